"""Rules that stand together and differ in their keys alone, looked up at once.

A service whose keys are being moved has one rule for each key or range of shards that
has moved. Testing them one by one would make a match slower with each step.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import groupby
from typing import final

from ._compile import CompiledRule
from ._document import KeySource
from ._ranges import ShardRanges

LEAST_RUN = 4
"""Below this, testing one by one costs no more than two lookups."""


@final
class KeyRun:
    """Consecutive rules that agree in all but their condition on the key."""

    __slots__ = ("_keys", "_ranges", "headers", "methods", "shards", "source")

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self.methods = rules[0].methods
        self.headers = rules[0].headers
        self.source: KeySource | None = rules[0].source
        self.shards = rules[0].shards
        self._ranges = ShardRanges(one for one in rules if one.key is None)
        self._keys: dict[str, CompiledRule] = {}
        for one in rules:
            if one.key is not None:
                self._keys.setdefault(one.key, one)

    def first(self, key: str, shard: int) -> CompiledRule | None:
        """Return the first rule of the run that holds for the key."""
        by_shard = self._ranges.first(shard)
        by_key = self._keys.get(key)
        if by_key is None or (by_shard is not None and by_shard.number < by_key.number):
            return by_shard
        return by_key


Step = CompiledRule | KeyRun


def gather_runs(rules: Iterable[CompiledRule]) -> Iterator[Step]:
    """Return ``rules`` in order, with runs of at least ``LEAST_RUN`` put together."""
    for divides, group in groupby(rules, key=_run_shape):
        members = list(group)
        if divides is not None and len(members) >= LEAST_RUN:
            yield KeyRun(members)
        else:
            yield from members


def _run_shape(rule: CompiledRule) -> tuple[object, ...] | None:
    """Return what the rules of a run share; path and host were settled before."""
    if not rule.divides or not rule.shards:
        return None
    return (rule.methods, rule.header_set, rule.source, rule.shards)
