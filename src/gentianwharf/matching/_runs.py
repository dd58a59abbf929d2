"""Rules that stand together and differ in one thing alone, looked up at once.

A service whose keys are being moved has one rule for each key or range of shards that
has moved, and a service with many callers may have one for each value of a header.
Testing them one by one would make a match slower with each.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import final

from ._compile import CompiledRule
from ._ranges import ShardRanges
from ._rule import KeySource

LEAST_RUN = 4
"""Below this, testing one by one costs no more than two lookups."""


@final
class KeyRun:
    """Consecutive rules that agree in all but their condition on the key."""

    __slots__ = ("_keys", "_ranges", "headers", "key_source", "methods", "shards")

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self.methods = rules[0].methods
        self.headers = rules[0].headers
        self.key_source: KeySource | None = rules[0].key_source
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


@final
class HeaderRun:
    """Consecutive rules that agree in all but the value of their only header."""

    __slots__ = ("_name", "_values", "headers", "methods")

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self.methods = rules[0].methods
        self.headers: tuple[tuple[str, str], ...] = ()
        self._name = rules[0].headers[0][0]
        self._values: dict[str, CompiledRule] = {}
        for one in rules:
            self._values.setdefault(one.headers[0][1], one)

    def first(self, headers: Mapping[str, str]) -> CompiledRule | None:
        """Return the first rule of the run that asks for the header's value."""
        value = headers.get(self._name)
        return self._values.get(value) if value is not None else None


Step = CompiledRule | KeyRun | HeaderRun


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _KeyShape:
    """What the rules of a run of keys share; path and host were settled before."""

    methods: frozenset[str]
    headers: frozenset[tuple[str, str]]
    key_source: KeySource | None
    shards: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _HeaderShape:
    """What the rules of a run of header values share."""

    methods: frozenset[str]
    name: str


def gather_runs(rules: Iterable[CompiledRule]) -> Iterator[Step]:
    """Return ``rules`` in order, with runs of at least ``LEAST_RUN`` put together."""
    for shape, group in groupby(rules, key=_shape):
        members = list(group)
        if shape is None or len(members) < LEAST_RUN:
            yield from members
        elif isinstance(shape, _KeyShape):
            yield KeyRun(members)
        else:
            yield HeaderRun(members)


def _shape(rule: CompiledRule) -> _KeyShape | _HeaderShape | None:
    if rule.has_key_condition and rule.shards:
        return _KeyShape(
            methods=rule.methods,
            headers=rule.header_set,
            key_source=rule.key_source,
            shards=rule.shards,
        )
    if not rule.has_key_condition and len(rule.headers) == 1:
        return _HeaderShape(methods=rule.methods, name=rule.headers[0][0])
    return None
