"""For each shard, the first of many rules whose range holds it."""

from bisect import bisect_right
from collections.abc import Iterable
from heapq import heappop, heappush
from typing import final

from ._compile import CompiledRule


@final
class ShardRanges:
    """Which rule is the first to hold for a shard, found by bisecting ranges."""

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        by_start = sorted(rules, key=lambda one: one.first_shard)
        edges = {one.first_shard for one in by_start}
        edges |= {one.end_shard for one in by_start}
        self._starts = sorted({0, *edges})
        self._first: list[CompiledRule | None] = []
        active: list[tuple[int, int, CompiledRule]] = []
        position = 0
        for start in self._starts:
            while position < len(by_start) and by_start[position].first_shard == start:
                one = by_start[position]
                heappush(active, (one.number, one.end_shard, one))
                position += 1
            while active and active[0][1] <= start:
                heappop(active)
            self._first.append(active[0][2] if active else None)

    def first(self, shard: int) -> CompiledRule | None:
        """Return the rule with the lowest number that holds for ``shard``."""
        return self._first[bisect_right(self._starts, shard) - 1]
