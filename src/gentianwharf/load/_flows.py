"""How many requests each caller, or each key, has in flight.

Load pattern: a hot caller fills the limit, and each of the others waits for one of its
requests to end. A flow with nothing in flight, or less than another one, is light: it
may exceed the limit a little, at the cost of the busiest.
"""

from typing import final


@final
class FlowCounts:
    """Counts of the flows that have any; bounded by what is in flight.

    >>> flows = FlowCounts()
    >>> for name in ("hot", "hot", "other"):
    ...     flows.add(name)
    >>> flows.is_light("hot"), flows.is_light("other"), flows.is_light("new")
    (False, True, True)
    """

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, flow: str) -> int:
        """Return how many requests the flow has in flight."""
        return self._counts.get(flow, 0)

    def add(self, flow: str) -> None:
        """Count a request that is sent."""
        self._counts[flow] = self._counts.get(flow, 0) + 1

    def remove(self, flow: str) -> None:
        """Stop counting a request."""
        left = self._counts[flow] - 1
        if left:
            self._counts[flow] = left
        else:
            del self._counts[flow]

    def is_light(self, flow: str) -> bool:
        """Whether the flow has nothing in flight, or less than another one."""
        own = self._counts.get(flow, 0)
        return own == 0 or own < max(self._counts.values())
