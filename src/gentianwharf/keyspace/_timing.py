"""For how long grants hold, and how long it takes to be sure that they don't."""

from dataclasses import dataclass
from typing import final

GRANT_S = 2.5
"""How long a grant holds while the store answers. A server that is lost keeps its keys
from being served for so long at the most; a new leader must be found and must have
renewed all grants within it (last renewal 0.5 s, lease 1.2 s, election and renewal
below 0.4 s)."""

RENEW_EVERY_S = 0.5
"""A fifth of a grant: three renewals may be lost."""

MOST_RENEWALS_PER_S = 200.0
"""More spans than a hundred are renewed less often. A renewal takes half a millisecond
of a core, and the smallest hosts have four tenths of one for everything."""

NEXT_LEADER_S = 2.0
"""Beyond one renewal a grant has to bridge the loss of a leader: lease 1.2 s, election
and renewal 0.4 s, and some tenths for a store that is slow."""

UNREACHABLE_S = 1.2
"""A holder that leaves every order for so long without an answer is taken for lost,
before its entry lapses: two renewals and a try on a new connection."""

PROBE_EVERY_S = 0.8
"""An unreachable holder that is still listed is asked for a sign of life so often."""

RETRY_EVERY_S = 0.3
"""When a server did not answer an order: soon enough for a lost packet, and four
tries before the next renewal is due."""

LEADER_LEASE_S = 1.2
"""The leader's lease in the store. Shorter, and a store that takes half a second for
an answer would end it; longer, and grants run out before a new leader renews them."""

RENEW_LEASE_EVERY_S = 0.3
"""The next renewal does not wait for an answer to the one before: three answers in a
row may be lost."""

STORE_SILENT_S = 1.0
"""Without an answer for so long, grants are given for as long as servers take them."""

RENEW_WITHOUT_STORE_S = 5.0
"""For how long a leader that does not hear from the store goes on renewing grants, each
then for as long as servers take: together they bridge an outage of some 15 s. A next
leader waits for so long before it takes a server that can't be reached for one without
a grant."""

CLOCK_DRIFT = 1.02
"""A server's clock that measures a grant may run 2 % slow."""

MARGIN_S = 0.1
"""Beside the drift, for an order's way from the kernel's buffer to the server."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class GrantTiming:
    """The figures of a deployment; ``longest_grant_s`` is what its servers take."""

    longest_grant_s: float
    grant_s: float = GRANT_S
    renew_every_s: float = RENEW_EVERY_S
    retry_every_s: float = RETRY_EVERY_S
    renew_without_store_s: float = RENEW_WITHOUT_STORE_S

    def renew_after_s(self, spans: int) -> float:
        """Return how often to renew so many spans.

        >>> timing = GrantTiming(longest_grant_s=10.0)
        >>> timing.renew_after_s(40), timing.renew_after_s(300)
        (0.5, 1.5)
        """
        return max(self.renew_every_s, spans / MOST_RENEWALS_PER_S)

    def duration_s(self, *, store_silent_s: float, spans: int = 0) -> float:
        """Return for how long to grant when the store was last heard of then.

        While it is not heard, nobody may be able to renew for a while.

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
        """Return when a grant has surely run out whose call ended at ``ended_s``."""
        return ended_s + duration_s * CLOCK_DRIFT + MARGIN_S

    def latest_grant_expiry_s(self, *, stopped_s: float) -> float:
        """Return when no grant can hold any more of a process that has ended."""
        return self.grant_expiry_s(ended_s=stopped_s, duration_s=self.longest_grant_s)

    def earlier_grants_expiry_s(self, *, took_over_s: float) -> float:
        """Return when no grant of an earlier leader can hold any more."""
        return self.latest_grant_expiry_s(
            stopped_s=took_over_s + self.renew_without_store_s
        )
