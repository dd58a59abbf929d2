"""By when the grants that were sent before a move have expired, whoever leads since.

A leader grants nothing to the former holders of the moves in the tables by which it
took over. It took over by every table that was stored before its claim, and the last
contact of each earlier leader was before that claim. So the grants to the former
holders of a move expire in a bounded time after the first claim that followed the move,
also if the leader changes again.
"""

from collections.abc import Callable
from math import inf
from typing import final

from ._timing import GrantTiming

Clock = Callable[[], float]


@final
class MoveBounds:
    """When this host noticed that a leader was elected after moves had been stored."""

    def __init__(self, *, timing: GrantTiming, now_s: Clock) -> None:
        self._timing = timing
        self._now_s = now_s
        self._elections: dict[str, list[tuple[int, float]]] = {}
        """By service, the highest token that was stored before an election, and when
        this host noticed that election; both ascending."""

    def note_election(self, service: str, highest_token: int) -> None:
        """Record that a leader was elected after a table had been stored.

        ``highest_token`` is that of the table.
        """
        elections = self._elections.setdefault(service, [])
        if elections and highest_token <= elections[-1][0]:
            return
        now_s = self._now_s()
        elections.append((highest_token, now_s))
        # An election whose bound has passed covers all earlier ones.
        while len(elections) > 1 and self._bound_s(elections[1][1]) <= now_s:
            del elections[0]

    def expire_by_s(self, service: str, token: int) -> float:
        """Return by when grants to the former holders of a span have expired.

        ``token`` is that of the span, with which it was moved. Infinite if this host
        knows of no election since.
        """
        for highest_token, noticed_s in self._elections.get(service, ()):
            if highest_token >= token:
                return self._bound_s(noticed_s)
        return inf

    def _bound_s(self, noticed_s: float) -> float:
        return self._timing.earlier_grants_expiry_s(took_over_s=noticed_s)
