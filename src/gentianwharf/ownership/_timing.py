"""Times of the ownership protocol, in seconds, with the grounds for each.

One rule ties them together: a right that was asked for at ``t`` is used until
``t + RIGHT_USE_S`` on the asking host's clock, and who waits for it to end waits
``RIGHT_WAIT_S`` on its own clock. Clocks that run apart by less than ``DRIFT``
each can't make the wait the shorter of the two.
"""

TICK_S = 0.05
"""How often the systems run; the daemon's tick."""

DRIFT = 0.01
"""Largest error of a clock's rate that is allowed for.

Quartz is off by up to 1e-4 and time daemons slew by up to 5e-4; a hundredth
leaves twenty times that, for virtual machines whose clocks are steered harder.
"""

RIGHT_USE_S = 0.4
"""How long a host acts on a right, from the moment before it asked."""

RIGHT_WAIT_S = RIGHT_USE_S * (1 + DRIFT) / (1 - DRIFT)
"""How long to wait until no right given earlier can be alive anywhere."""

CLOCK_RATIO = (1 + DRIFT) / (1 - DRIFT)
"""By how much one clock may run faster than another."""

DEADLINE_PAST_RIGHT_S = 0.1
"""How far beyond the end of its right a host lets deadlines reach without asking.

300 to 400 ms of a right are left at most moments, so that deadlines of 400 ms need no
question; each millisecond more is unavailable time after a loss.
"""

SHORT_DEADLINE_S = 0.4
"""Requests that want no more than this take what they can have at once, if it is at
least ``LEAST_DEADLINE_S``: 150 to 400 ms of a right are left, the less the more hosts
passed it on. Were the rest asked for, services of short deadlines would wait for it
after a loss as well, and their requests for an answer of the witnesses."""

LEAST_DEADLINE_S = 0.2
"""Twenty times what a short request takes, and no longer than a right leaves over while
one round of questions fails."""

ALLOWANCE_REUSE_S = 0.2
"""For how long one allowance of a longer deadline serves new requests. It is asked for
again when half of it is left: ten questions a second, as many as for rights."""

ALLOWANCE_AGAIN_S = 0.02
"""After which a question for a longer deadline is sent again: ten times the round
trip between domains, and a few tries within the time that a request is held."""

RIGHT_ASK_EVERY_S = 0.1
"""Three rounds may fail in a row before a right ends."""

RENEW_EVERY_S = 0.1
"""How often grants to a server are renewed: as often as rights are."""

ORDER_TIMEOUT_S = 0.1
"""After which an order's or a probe's answer counts as missing.

A hundred times the round trip between domains of today (1 ms), and long enough
for a pause of a collector; longer would be felt in the time until served again.
"""

ORDER_LIFE_S = 0.25
"""Age at which an order is void, on the clock of a server that gives stamps."""

STORE_TIMEOUT_S = 1.0
"""After which a store call counts as lost; it answers in milliseconds."""

LEASE_S = 0.6
"""Control lease. When a server is lost together with the control holder, as in a rack,
the lease ends while the rights to the lost server do, which takes 0.4 s from 0.3 s
after the loss; a shorter one would make no key served sooner."""

LEASE_RENEW_EVERY_S = 0.2
"""How often the control lease is renewed: five store writes a second and service."""

LEASE_RENEW_TIMEOUT_S = 0.18
"""After which a renewal counts as lost, so that a second one fits into the lease."""

CONTROL_SILENT_S = 0.5
"""Silence of the control holder after which a candidate tries to take over."""

TAKE_AGAIN_S = 0.1
"""Pause after a lease that was not to be had, as the silent holder's goes on."""

STANDBY_SILENT_S = 0.3
"""Silence of the control holder after which standbys write intents for lost servers:
one sign of life is missing. It is as long as evidence against a server takes."""

SUSPECT_FRESH_S = 1.0
"""How long a host's suspicion of a server counts."""

HOLD_S = 0.25
"""How long a request may wait for a shard whose move is under way.

A move takes some milliseconds; with hundreds under way at once, as when a rule moves
half of a service, single ones take up to 0.2 s. Who waits longer is refused: beyond a
quarter of a second a page is felt as slow, and the caller may as well come back.
"""

SHORT_HOLD_S = 0.05
"""The same for a shard whose owner is lost, or has refused and no move is known: the
former takes ten times as long to be served again, so that waiting would only put the
refusal off; the latter is tried again."""

HOLD_STEP_S = 0.002
"""How often a request that is held for a move looks again. A planned move takes some
milliseconds, so a longer step would itself be most of the wait."""

RIGHT_HOLD_S = 0.15
"""How long requests wait for a right that has ended: a round of questions, and half of
one for the answers of a host that has just been paused."""

RIGHT_HOLD_STEP_S = 0.02
"""How often these look again: after a pause there may be hundreds, and looking every
two milliseconds would hold up the loop that asks for the right."""

RETRY_AFTER_S = 0.5
"""What a refused caller is told while a shard has no owner to send to."""

WALL_CLOCK_SKEW_S = 0.05
"""Largest difference of wall clocks allowed for when deadlines are waited out.

Time daemons keep hosts of one site within some milliseconds; a deployment whose
servers have no time daemon must not rely on deadlines.
"""

WATCH_S = 20.0
"""How long one watch call waits; a silent one is replaced after it."""
