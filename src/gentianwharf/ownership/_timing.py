"""Durations of the ownership protocol, in seconds, with the reason for each.

They follow one rule: a right that was requested at ``t`` is used until
``t + RIGHT_USE_S`` on the requesting host's clock, and a host that waits for it to end
waits ``RIGHT_WAIT_S`` on its own clock. As long as the rate error of each clock is less
than ``DRIFT``, the wait cannot be the shorter of the two.
"""

TICK_S = 0.05
"""Interval at which ownership systems run: the daemon's tick."""

DRIFT = 0.01
"""Largest tolerated error of a clock's rate.

Quartz is off by up to 1e-4 and time daemons slew by up to 5e-4. The limit of 0.01 is
twenty times that, for virtual machines whose clocks are adjusted more strongly.
"""

RIGHT_USE_S = 0.4
"""How long a host uses a right, counted from just before it requested it."""

RIGHT_WAIT_S = RIGHT_USE_S * (1 + DRIFT) / (1 - DRIFT)
"""How long to wait until no right granted earlier can be valid on any host."""

CLOCK_RATIO = (1 + DRIFT) / (1 - DRIFT)
"""Largest ratio of the rates of two clocks."""

DEADLINE_PAST_RIGHT_S = 0.1
"""How far a deadline may exceed the end of the host's right without an allowance.

Mostly 300 to 400 ms of a right are left, so that deadlines of 400 ms need no request to
the witnesses. Each additional millisecond is unavailable time after a loss.
"""

SHORT_DEADLINE_S = 0.4
"""Requests with a deadline up to this get the deadline that is available at once, if it
is at least ``LEAST_DEADLINE_S``: 150 to 400 ms of a right are left, the fewer the more
hosts forwarded it. If the rest were requested, services with short deadlines would also
have to wait for it after a loss, and their requests for an answer of the witnesses."""

LEAST_DEADLINE_S = 0.2
"""Twenty times the duration of a short request, and no longer than what is left of a
right while one round of requests for it fails."""

ALLOWANCE_REUSE_S = 0.2
"""How long one allowance of a longer deadline is used for new requests. It is requested
again when half of this is left: ten times per second, as often as rights are."""

ALLOWANCE_AGAIN_S = 0.02
"""Time after which a request for a longer deadline is resent: ten times the round trip
between domains, with a few attempts while a request is held."""

RIGHT_ASK_EVERY_S = 0.1
"""Interval of requests for rights; three consecutive rounds may fail before a right
ends."""

RENEW_EVERY_S = 0.1
"""Interval at which grants to a server are renewed, the same as for rights."""

ORDER_TIMEOUT_S = 0.1
"""Time after which the answer to an order or a probe counts as missing.

It is a hundred times the current round trip between domains (1 ms), and covers a
garbage collector's pause. A longer one would noticeably delay recovery after a loss.
"""

ORDER_LIFE_S = 0.25
"""Age at which an order becomes void, on the clock of a server that gives stamps."""

STORE_TIMEOUT_S = 1.0
"""Time after which a store call counts as lost; the store answers in milliseconds."""

LEASE_S = 0.6
"""Duration of the control lease. When a server and the control holder are lost
together, as with a rack, the lease ends while the rights to the lost server expire,
which takes 0.4 s starting 0.3 s after the loss. A shorter lease would not restore any
key sooner."""

LEASE_RENEW_EVERY_S = 0.2
"""Interval of control lease renewals: five store writes per second and service."""

LEASE_RENEW_TIMEOUT_S = 0.18
"""Time after which a renewal counts as lost; a second one still fits into the lease."""

CONTROL_SILENT_S = 0.5
"""Silence of the control holder after which a candidate tries to take over."""

TAKE_AGAIN_S = 0.1
"""Pause after a failed attempt at the lease, which the silent holder may still have."""

STANDBY_SILENT_S = 0.3
"""Time without a message of the control holder after which standbys write intents for
lost servers: one alive message is missing. Evidence against a server takes as long."""

SUSPECT_FRESH_S = 1.0
"""How long a host's suspicion of a server is valid."""

HOLD_S = 0.25
"""How long a request may wait for a shard whose move is in progress.

A move takes some milliseconds. With hundreds at once, as when a rule moves half of a
service, single moves take up to 0.2 s. Requests that wait longer are refused: a page
that is delayed by more than 0.25 s feels slow, and the caller can as well retry.
"""

SHORT_HOLD_S = 0.05
"""How long a request may wait for a shard whose owner is lost, or whose owner refused
while no move is known. A lost owner takes ten times as long to replace, so that waiting
would only delay the refusal. After a refusal the request is tried again."""

HOLD_STEP_S = 0.002
"""Interval at which a request held for a move checks the shard again. A planned move
takes some milliseconds, so a longer interval would be most of the wait."""

RIGHT_HOLD_S = 0.15
"""How long requests wait for a right that has ended: one round of requests for rights,
and half a round for the answers to a host that was just paused."""

RIGHT_HOLD_STEP_S = 0.02
"""Interval at which requests held for a right check again. After a pause there may be
hundreds, and checking every 2 ms would block the event loop that requests the right."""

RETRY_AFTER_S = 0.5
"""Retry delay sent to a refused caller while a shard has no reachable owner."""

WALL_CLOCK_SKEW_S = 0.05
"""Largest tolerated difference of wall clocks when waiting for deadlines to pass.

Time daemons keep hosts of one site within some milliseconds; a deployment whose
servers have no time daemon must not rely on deadlines.
"""

WATCH_S = 20.0
"""Duration of one watch call; a watch without an answer is then replaced."""
