"""Groups consecutive rules that differ in one condition, for a single lookup.

A service whose keys are being migrated has one rule for each key or shard range that
has moved; a service with many callers may have one rule for each value of a header.
Testing these one by one would make the cost of a match proportional to their number.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import groupby
from typing import final

from ._compile import CompiledRule
from ._ranges import ShardRanges
from ._rule import KeySource

MIN_RUN_LENGTH = 4
"""Testing fewer rules one by one costs no more than the two lookups of a run."""


@final
class KeyRun:
    """Consecutive rules that differ only in their condition on the key."""

    __slots__ = ("_keys", "_ranges", "headers", "key_source", "methods", "shards")

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self.methods = rules[0].methods
        self.headers = rules[0].headers
        self.key_source: KeySource | None = rules[0].key_source
        self.shards = rules[0].shards
        self._ranges = ShardRanges(rule for rule in rules if rule.key is None)
        self._keys: dict[str, CompiledRule] = {}
        for rule in rules:
            if rule.key is not None:
                self._keys.setdefault(rule.key, rule)

    def first(self, key: str, shard: int) -> CompiledRule | None:
        """Return the first rule of the run that matches the key, if any."""
        by_shard = self._ranges.first(shard)
        by_key = self._keys.get(key)
        if by_key is None or (by_shard is not None and by_shard.number < by_key.number):
            return by_shard
        return by_key


@final
class HeaderRun:
    """Consecutive rules that differ only in the value of their only header."""

    __slots__ = ("_name", "_values", "headers", "methods")

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self.methods = rules[0].methods
        self.headers: tuple[tuple[str, str], ...] = ()
        self._name = rules[0].headers[0][0]
        self._values: dict[str, CompiledRule] = {}
        for rule in rules:
            self._values.setdefault(rule.headers[0][1], rule)

    def first(self, headers: Mapping[str, str]) -> CompiledRule | None:
        """Return the first rule of the run that matches the header's value, if any."""
        value = headers.get(self._name)
        return self._values.get(value) if value is not None else None


Step = CompiledRule | KeyRun | HeaderRun


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _KeyShape:
    """What the rules of a ``KeyRun`` share besides host and path prefix."""

    methods: frozenset[str]
    headers: frozenset[tuple[str, str]]
    key_source: KeySource | None
    shards: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _HeaderShape:
    """What the rules of a ``HeaderRun`` share besides host and path prefix."""

    methods: frozenset[str]
    name: str


def gather_runs(rules: Iterable[CompiledRule]) -> Iterator[Step]:
    """Yield ``rules`` in order, with runs of ``MIN_RUN_LENGTH`` or more grouped."""
    for shape, group in groupby(rules, key=_shape):
        members = list(group)
        if shape is None or len(members) < MIN_RUN_LENGTH:
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
