"""Counts of waiting and in-flight requests of each flow: a caller or a key.

Load pattern: a hot caller uses up the limit, and each other caller waits for one of its
requests to end. A flow with no other requests, or with fewer than another flow, is
light: it may exceed the limit a little, at the expense of the busiest flow.

Waiting requests count too. A hot caller that is limited has one request in flight and
five waiting. By requests in flight alone, another caller with a single request seemed
equally busy, and waited 60 ms behind it.
"""

from typing import final

# Of about a hundred callers one in twenty has a second request at a host by chance.
# When those callers were limited like a hot one, the p99 at a load of 1.0 was 171 ms
# instead of 157 ms.
MIN_BUSY = 2
# A busy flow has more than this share of all requests. On a host with half of the load
# the busiest of 200 equal callers has three requests by chance and is not a hot caller.
BUSY_SHARE = 1 / 3
# With this share of all requests, the busiest flow causes the refusals of the others.
BUSIEST_SHARE = 1 / 4


@final
class FlowCounts:
    """Request counts of flows; the tables hold only flows that have requests.

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
        "_flows_by_count",
        "_max_count",
        "_min_busy",
        "_total",
        "_waiting",
    )

    def __init__(self, *, min_busy: int = MIN_BUSY) -> None:
        self._min_busy = min_busy
        self._counts: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        # The number of flows with each count, to find the highest count without a scan.
        self._flows_by_count: dict[int, int] = {}
        self._max_count = 0
        self._total = 0

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, flow: str) -> int:
        """Return how many requests the flow has waiting and in flight."""
        return self._counts.get(flow, 0)

    def count_in_flight(self, flow: str) -> int:
        """Return how many requests the flow has in flight."""
        return self._counts.get(flow, 0) - self._waiting.get(flow, 0)

    def add(self, flow: str) -> None:
        """Count a request that is sent."""
        before = self._counts.get(flow, 0)
        self._counts[flow] = before + 1
        self._update_totals(before, before + 1)

    def remove(self, flow: str) -> None:
        """Stop counting a request that was sent."""
        before = self._counts[flow]
        if before > 1:
            self._counts[flow] = before - 1
        else:
            del self._counts[flow]
        self._update_totals(before, before - 1)

    def add_waiting(self, flow: str) -> None:
        """Count a request that waits."""
        self._waiting[flow] = self._waiting.get(flow, 0) + 1
        self.add(flow)

    def remove_waiting(self, flow: str) -> None:
        """Stop counting a request that waited."""
        remaining = self._waiting[flow] - 1
        if remaining:
            self._waiting[flow] = remaining
        else:
            del self._waiting[flow]
        self.remove(flow)

    def is_light(self, flow: str, *, own: int = 0) -> bool:
        """Whether the flow has no requests, fewer than another flow, or a small share.

        ``own`` of its requests are left out: 1 if the request in question is counted.
        """
        count = self._counts.get(flow, 0)
        if count <= own or count < self._max_count:
            return True
        if count == self._total:
            return False
        return count - own < self._min_busy or count <= self._total * BUSY_SHARE

    def has_busy(self) -> bool:
        """Whether the flow with the most requests has a large share of all."""
        return (
            self._max_count > self._min_busy
            and self._max_count >= self._total * BUSIEST_SHARE
        )

    def _update_totals(self, before: int, after: int) -> None:
        self._total += after - before
        flows = self._flows_by_count
        if before:
            remaining = flows[before] - 1
            if remaining:
                flows[before] = remaining
            else:
                del flows[before]
        if after:
            flows[after] = flows.get(after, 0) + 1
        if after > self._max_count:
            self._max_count = after
        elif before == self._max_count and before not in flows:
            # The only flow with the highest count now has one request fewer, and no
            # other flow has more than that.
            self._max_count = after
