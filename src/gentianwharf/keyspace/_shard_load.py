"""How busy shards are."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from itertools import accumulate
from typing import final

IDLE_SHARE = 0.25
"""The part of all load that is taken as even over all shards: what was not sampled
lately may be asked for next."""


@final
class ShardLoad:
    """How busy shards are: part sampled, part even.

    >>> load = ShardLoad(counts={5: 3, 9: 1}, shards=100)
    >>> round(load.share(0, 99), 3), round(load.share(5, 5), 3), load.count(0, 8)
    (1.0, 0.565, 3.0)
    >>> load.cut(0, 99, 0.5)
    5
    """

    def __init__(self, *, counts: Mapping[int, float], shards: int) -> None:
        self._shards = sorted(counts)
        # The sum of all counts before each place.
        self._sums = [0.0, *accumulate(float(counts[shard]) for shard in self._shards)]
        self._hottest = max(counts, key=lambda shard: counts[shard], default=None)
        self.total = self._sums[-1]
        idle = IDLE_SHARE if self.total else 1.0
        self._share_per_shard = idle / shards
        self._share_per_count = (1.0 - idle) / (self.total or 1.0)

    def count(self, first: int, last: int) -> float:
        """Return how many requests for these shards were counted lately."""
        start = bisect_left(self._shards, first)
        end = bisect_right(self._shards, last)
        return self._sums[end] - self._sums[start]

    def share(self, first: int, last: int) -> float:
        """Return the part of all load that these shards have, 0 to 1."""
        even = (last - first + 1) * self._share_per_shard
        return even + self.count(first, last) * self._share_per_count

    def hottest(self) -> int | None:
        """Return the shard that was asked for most often, None if none was."""
        return self._hottest

    def cut(self, first: int, last: int, wanted: float) -> int:
        """Return the last shard of the shortest part from ``first`` with that load."""
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.share(first, middle) < wanted:
                low = middle + 1
            else:
                high = middle
        return low
