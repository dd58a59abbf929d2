"""Which servers ended at about the same time."""

from collections import deque
from collections.abc import Container
from typing import final

CORRELATION_S = 2.0
"""Ends of servers are correlated if no more time lies between them."""

SAME_END_S = 1.0
"""Connections of a server that ends are lost within this time."""

NUMBER_MARK = "+"

KEPT_S = 120.0
MAX_ENDS = 1_000


@final
class ServerEnds:
    """The latest ends of servers, each of which is counted once.

    >>> ends = ServerEnds()
    >>> ends.note("ledger-1", 10.0)
    True
    >>> ends.note("ledger-1", 10.1)
    False
    >>> ends.note("ledger-2", 10.5)
    True
    >>> ends.others_near(10.0, incarnations={"ledger-1"})
    True
    >>> ends.others_near(10.0, incarnations={"ledger-1", "ledger-2"})
    False
    """

    def __init__(self) -> None:
        self._ends: deque[tuple[str, float]] = deque(maxlen=MAX_ENDS)
        self._incarnations: dict[str, float] = {}
        self.count = 0

    def note(self, incarnation: str, ended_s: float) -> bool:
        """Record the end of a server; return whether it was not known."""
        if incarnation in self._incarnations:
            return False
        while self._ends and (
            len(self._ends) == MAX_ENDS or self._ends[0][1] < ended_s - KEPT_S
        ):
            self._incarnations.pop(self._ends.popleft()[0], None)
        self._ends.append((incarnation, ended_s))
        self._incarnations[incarnation] = ended_s
        self.count += 1
        return True

    def incarnation_at(self, incarnation: str, lost_s: float) -> str:
        """Return the name of the incarnation that a server was in when it was lost.

        A server may run again although its entry does not say so yet; then it has the
        name of its former incarnation and a number.

        >>> ends = ServerEnds()
        >>> _ = ends.note("ledger-1", 10.0)
        >>> ends.incarnation_at("ledger-1", 10.5), ends.incarnation_at("ledger-1", 15.0)
        ('ledger-1', 'ledger-1+1')
        """
        number, found = 0, incarnation
        while (
            found in self._incarnations
            and lost_s > self._incarnations[found] + SAME_END_S
        ):
            number += 1
            found = f"{incarnation}{NUMBER_MARK}{number}"
        return found

    def is_known(self, incarnation: str) -> bool:
        """Whether the end of this incarnation was recorded and is remembered."""
        return incarnation in self._incarnations

    def latest_s(self, *, except_incarnations: Container[str]) -> float:
        """Return when a server not among these ended last, minus infinity for none."""
        return max(
            (
                ended_s
                for incarnation, ended_s in self._ends
                if incarnation not in except_incarnations
            ),
            default=float("-inf"),
        )

    def others_near(self, ended_s: float, *, incarnations: Container[str]) -> bool:
        """Whether a server not among ``incarnations`` ended at about this time."""
        return any(
            abs(other_s - ended_s) <= CORRELATION_S and incarnation not in incarnations
            for incarnation, other_s in self._ends
        )
