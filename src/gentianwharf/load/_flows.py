"""How many requests each caller, or each key, has waiting and in flight.

Load pattern: a hot caller fills the limit, and each of the others waits for one of its
requests to end. A flow with nothing else, or with less than another one, is light: it
may exceed the limit a little, at the cost of the busiest.

What waits counts too. A hot caller that is held back has one request in flight and
five waiting; by what is in flight alone, a family with one request of its own was as
busy, and waited 60 ms behind it.
"""

from typing import final

# Of some hundred callers one in twenty has a second request at a host by chance. Held
# back like a hot one's, those made the p99 at a load of 1.0 171 ms instead of 157 ms.
MIN_BUSY = 2
# A busy flow has more than this part of all. On a host that has half of the load the
# busiest of 200 equal callers has three requests by chance, and is no hot caller.
BUSY_SHARE = 1 / 3
# With so much of all, the busiest is who makes the others be refused.
BUSIEST_SHARE = 1 / 4


@final
class FlowCounts:
    """Counts of the flows that have any; bounded by what waits and is in flight.

    >>> flows = FlowCounts()
    >>> for name in ("hot", "hot", "other"):
    ...     flows.add(name)
    >>> flows.is_light("hot"), flows.is_light("other"), flows.is_light("new")
    (False, True, True)
    >>> flows.add_waiting("hot")
    >>> flows.count("hot"), flows.count_in_flight("hot"), flows.has_busy()
    (3, 2, True)
    """

    __slots__ = (
        "_counts",
        "_flows_with",
        "_min_busy",
        "_max_count",
        "_total",
        "_waiting",
    )

    def __init__(self, *, min_busy: int = MIN_BUSY) -> None:
        self._min_busy = min_busy
        self._counts: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        # How many flows have each count, so that the busiest is known at once.
        self._flows_with: dict[int, int] = {}
        self._max_count = 0
        self._total = 0

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, flow: str) -> int:
        """Return how many requests the flow has, waiting and in flight."""
        return self._counts.get(flow, 0)

    def count_in_flight(self, flow: str) -> int:
        """Return how many requests the flow has in flight."""
        return self._counts.get(flow, 0) - self._waiting.get(flow, 0)

    def add(self, flow: str) -> None:
        """Count a request that is sent."""
        before = self._counts.get(flow, 0)
        self._counts[flow] = before + 1
        self._move(before, before + 1)

    def remove(self, flow: str) -> None:
        """Stop counting a request that was sent."""
        before = self._counts[flow]
        if before > 1:
            self._counts[flow] = before - 1
        else:
            del self._counts[flow]
        self._move(before, before - 1)

    def add_waiting(self, flow: str) -> None:
        """Count a request that waits."""
        self._waiting[flow] = self._waiting.get(flow, 0) + 1
        self.add(flow)

    def remove_waiting(self, flow: str) -> None:
        """Stop counting a request that waited."""
        left = self._waiting[flow] - 1
        if left:
            self._waiting[flow] = left
        else:
            del self._waiting[flow]
        self.remove(flow)

    def is_light(self, flow: str, *, own: int = 0) -> bool:
        """Whether the flow has nothing, less than another one, or little of all.

        ``own`` of its requests are left out: the one that is asked for, if counted.
        """
        count = self._counts.get(flow, 0)
        if count <= own or count < self._max_count:
            return True
        if count == self._total:
            return False
        return count - own < self._min_busy or count <= self._total * BUSY_SHARE

    def has_busy(self) -> bool:
        """Whether the flow with the most has much of all."""
        return (
            self._max_count > self._min_busy
            and self._max_count >= self._total * BUSIEST_SHARE
        )

    def _move(self, before: int, after: int) -> None:
        self._total += after - before
        flows_with = self._flows_with
        if before:
            left = flows_with[before] - 1
            if left:
                flows_with[before] = left
            else:
                del flows_with[before]
        if after:
            flows_with[after] = flows_with.get(after, 0) + 1
        if after > self._max_count:
            self._max_count = after
        elif before == self._max_count and before not in flows_with:
            # The flow that had the most now has one less: nobody has more than that.
            self._max_count = after
