"""The durations of grants, and the time after which they have certainly expired."""

from dataclasses import dataclass
from typing import final

GRANT_S = 2.5
"""Duration of a grant while the store answers. It bounds how long the keys of a lost
server are not served. Within it a new leader has to be elected and to renew all grants:
last renewal 0.5 s, lease 1.2 s, election and renewal below 0.4 s."""

RENEW_EVERY_S = 0.5
"""A fifth of a grant, so that three renewals may be lost."""

MIN_RENEWALS_PER_S = 200.0
"""Renewals that the smallest hosts, with 0.4 of a core for everything, send per second.
With more spans than they can renew in time, each is renewed less often."""

RENEWALS_PER_CORE_PER_S = 500.0
"""Renewals per second for each core of a larger host: a quarter of its CPU time, since
a renewal takes 0.5 ms."""

NEXT_LEADER_S = 2.0
"""In addition to one renewal interval a grant has to last through the loss of a leader:
lease 1.2 s, election and renewal 0.4 s, and some tenths of a second for a slow
store."""

UNREACHABLE_S = 1.2
"""A holder that answers no order for this time counts as lost before its entry expires.
It covers two renewals and one attempt on a new connection."""

PROBE_EVERY_S = 0.8
"""Interval of the probes of an unreachable holder that is still listed."""

RETRY_EVERY_S = 0.3
"""Delay before an unanswered order is sent again: short enough to make up for a lost
packet, with four tries before the next renewal is due."""

LEADER_LEASE_S = 1.2
"""The leader's lease in the store. If it were shorter, a store that takes 0.5 s for an
answer would let it expire; if it were longer, grants would expire before a new leader
renews them."""

RENEW_LEASE_EVERY_S = 0.3
"""A renewal does not wait for the answer to the one before, so that three answers in a
row may be lost."""

CONFIRM_EVERY_S = 0.6
"""Interval at which a leader reads its item. A renewed lease does not show that the
item is still there."""

CONFIRM_WITHIN_S = 2.4
"""A leader that could not read its item for this time lets its lease run out."""

STORE_SILENT_S = 1.0
"""If the store does not answer for this time, grants get the longest duration that the
servers accept."""

RENEW_WITHOUT_STORE_S = 5.0
"""For how long a leader without contact to the store goes on renewing grants, each for
the longest duration that the servers accept; together this covers an outage of about
15 s. The next leader waits for this time before it assumes that an unreachable server
has no grant."""

MAX_DELIVERY_S = 1.0
"""Time after which an order that was written no longer arrives. A new leader waits for
it as well: the lease of the leader before it may have ended right after its last
contact."""

CLOCK_DRIFT = 1.02
"""A server's clock may run 2 % slow while it measures a grant."""

MARGIN_S = 0.1
"""Added to the drift, for the time from the kernel's send buffer to the server."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class GrantTiming:
    """Durations of a deployment; ``longest_grant_s`` is the longest accepted grant.

    ``cores`` are those of this host: the more grants it can renew in time, the shorter
    they are, and the sooner the keys of a lost server are served again.
    """

    longest_grant_s: float
    cores: float = 0.0
    grant_s: float = GRANT_S
    renew_every_s: float = RENEW_EVERY_S
    retry_every_s: float = RETRY_EVERY_S
    renew_without_store_s: float = RENEW_WITHOUT_STORE_S

    def renew_after_s(self, spans: int) -> float:
        """Return the renewal interval for a number of spans.

        >>> timing = GrantTiming(longest_grant_s=10.0)
        >>> timing.renew_after_s(40), timing.renew_after_s(300)
        (0.5, 1.5)
        >>> GrantTiming(longest_grant_s=10.0, cores=2.0).renew_after_s(300)
        0.5
        """
        renewals_per_s = max(MIN_RENEWALS_PER_S, self.cores * RENEWALS_PER_CORE_PER_S)
        return max(self.renew_every_s, spans / renewals_per_s)

    def duration_s(self, *, store_silent_s: float, spans: int = 0) -> float:
        """Return the duration of a grant, given the time since contact with the store.

        Without contact to the store, no host may be able to renew for a while.

        >>> timing = GrantTiming(longest_grant_s=10.0)
        >>> timing.duration_s(store_silent_s=0.0, spans=40)
        2.5
        >>> timing.duration_s(store_silent_s=0.0, spans=300)
        3.5
        >>> timing.duration_s(store_silent_s=2.0)
        10.0
        """
        if store_silent_s > STORE_SILENT_S:
            return self.longest_grant_s
        needed_s = self.renew_after_s(spans) + NEXT_LEADER_S
        return min(max(self.grant_s, needed_s), self.longest_grant_s)

    def grant_expiry_s(self, *, ended_s: float, duration_s: float) -> float:
        """Return when a grant whose call ended at ``ended_s`` has certainly expired."""
        return ended_s + duration_s * CLOCK_DRIFT + MARGIN_S

    def latest_grant_expiry_s(self, *, stopped_s: float) -> float:
        """Return when all grants to a server that stopped have certainly expired."""
        return self.grant_expiry_s(ended_s=stopped_s, duration_s=self.longest_grant_s)

    def earlier_grants_expiry_s(self, *, took_over_s: float) -> float:
        """Return when all grants of earlier leaders have certainly expired."""
        return self.latest_grant_expiry_s(
            stopped_s=took_over_s + self.renew_without_store_s + MAX_DELIVERY_S
        )
