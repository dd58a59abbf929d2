"""The distribution of load over the shards of a service."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from itertools import accumulate
from typing import final

IDLE_SHARE = 0.25
"""Share of all load that is distributed evenly over all shards: a shard without recent
requests may get some next."""


@final
class ShardLoad:
    """The load by shard, partly counted and partly assumed to be even.

    >>> load = ShardLoad(counts={5: 3, 9: 1}, shards=100)
    >>> round(load.share(0, 99), 3), round(load.share(5, 5), 3), load.count(0, 8)
    (1.0, 0.565, 3.0)
    >>> load.cut(0, 99, 0.5)
    5
    """

    def __init__(self, *, counts: Mapping[int, float], shards: int) -> None:
        self._counts = counts
        self._shards = sorted(counts)
        # The sum of all counts before each position.
        self._sums = [0.0, *accumulate(float(counts[shard]) for shard in self._shards)]
        self._hottest = max(counts, key=lambda shard: counts[shard], default=None)
        self.total = self._sums[-1]
        idle = IDLE_SHARE if self.total else 1.0
        self._share_per_shard = idle / shards
        self._share_per_count = (1.0 - idle) / (self.total or 1.0)

    def count(self, first: int, last: int) -> float:
        """Return the decayed number of recent requests for these shards."""
        start = bisect_left(self._shards, first)
        end = bisect_right(self._shards, last)
        return self._sums[end] - self._sums[start]

    def share(self, first: int, last: int) -> float:
        """Return the share of all load on these shards, 0 to 1."""
        even = (last - first + 1) * self._share_per_shard
        return even + self.count(first, last) * self._share_per_count

    def hottest(self) -> int | None:
        """Return the shard with the most requests, None if there were none."""
        return self._hottest

    def shards_above(self, share: float) -> dict[int, float]:
        """Return the shards with more than this share of all load, and their shares."""
        min_count = (share - self._share_per_shard) / (self._share_per_count or 1.0)
        return {
            shard: self.share(shard, shard)
            for shard, count in self._counts.items()
            if count > min_count
        }

    def cut(self, first: int, last: int, wanted: float) -> int:
        """Return the last shard of the shortest range from ``first`` with this load."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.share(first, middle) < wanted:
                low = middle + 1
            else:
                high = middle
        return low
