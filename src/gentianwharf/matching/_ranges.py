"""Looks up the first of many rules whose shard range contains a shard."""

from bisect import bisect_right
from collections.abc import Iterable
from heapq import heappop, heappush
from typing import final

from ._compile import CompiledRule


@final
class ShardRanges:
    """Finds the first rule that covers a shard, by bisecting the range bounds."""

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        by_start = sorted(rules, key=lambda rule: rule.first_shard)
        bounds = {rule.first_shard for rule in by_start}
        bounds |= {rule.end_shard for rule in by_start}
        self._starts = sorted({0, *bounds})
        self._first: list[CompiledRule | None] = []
        active: list[tuple[int, int, CompiledRule]] = []
        position = 0
        for start in self._starts:
            while position < len(by_start) and by_start[position].first_shard == start:
                rule = by_start[position]
                heappush(active, (rule.number, rule.end_shard, rule))
                position += 1
            while active and active[0][1] <= start:
                heappop(active)
            self._first.append(active[0][2] if active else None)

    def first(self, shard: int) -> CompiledRule | None:
        """Return the rule with the lowest number that covers ``shard``, if any."""
        return self._first[bisect_right(self._starts, shard) - 1]
