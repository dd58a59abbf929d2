"""Rules made ready for matching, and an index that keeps their order."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from typing import final

from ._document import Condition, KeySource, Rule, RuleDocument


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CompiledRule:
    """A rule with its conditions in the form in which they are tested.

    The shards from ``first_shard`` up to, not including, ``end_shard`` hold;
    ``divides`` says whether the rule has a condition on the key at all.
    """

    number: int
    rule: Rule
    host: str | None
    path_prefix: str
    methods: frozenset[str]
    headers: tuple[tuple[str, str], ...]
    source: KeySource | None
    key: str | None
    divides: bool
    shards: int
    first_shard: int
    end_shard: int
    repeatable: bool | None


def compile_rules(
    document: RuleDocument, shards: Mapping[str, int]
) -> tuple[CompiledRule, ...]:
    """Return the rules ready for matching; ``shards`` as for ``RuleSet``.

    Equal key sources become one object, so that matching tells them apart cheaply.
    """
    sources: dict[KeySource | None, KeySource | None] = {}
    return tuple(
        _compile_rule(
            rule,
            number=number,
            shards=shards.get(rule.then.service, 0),
            source=sources.setdefault(rule.then.key, rule.then.key),
        )
        for number, rule in enumerate(document.rules, start=1)
    )


def _compile_rule(
    rule: Rule, *, number: int, shards: int, source: KeySource | None
) -> CompiledRule:
    when = rule.when
    first_shard, end_shard = _shard_bounds(when, shards)
    return CompiledRule(
        number=number,
        rule=rule,
        host=when.host,
        path_prefix=when.path_prefix or "",
        methods=frozenset(when.methods),
        headers=tuple(when.headers.items()),
        source=source,
        key=when.key,
        divides=(
            when.key is not None
            or when.shard_share is not None
            or when.shard_range is not None
        ),
        shards=shards,
        first_shard=first_shard,
        end_shard=end_shard,
        repeatable=rule.then.repeatable,
    )


def _shard_bounds(when: Condition, shards: int) -> tuple[int, int]:
    if when.shard_share is not None:
        return 0, _shards_in_share(when.shard_share, shards)
    if when.shard_range is not None:
        return when.shard_range.first, when.shard_range.last + 1
    return 0, shards


def _shards_in_share(share: float, shards: int) -> int:
    """Return how many shards a share covers, rounded up.

    Rounding first keeps 0.07 of 100 at 7: the product is 7.000000000000001.
    """
    return ceil(round(share * shards, 6))


def headers_hold(rule: CompiledRule, headers: Mapping[str, str]) -> bool:
    """Say whether every header that ``rule`` asks for has its value."""
    return all(headers.get(name) == value for name, value in rule.headers)


@final
class RuleIndex:
    """Finds the rules whose host and path prefix fit a request, in their order.

    Few of many rules fit one request's host and path. Comparing only these makes
    the cost of a match independent of how many services the document covers.
    """

    def __init__(self, rules: Sequence[CompiledRule]) -> None:
        self._any_host = _PrefixIndex(one for one in rules if one.host is None)
        hosts = {one.host for one in rules if one.host is not None}
        self._hosts = {
            host: _PrefixIndex(one for one in rules if one.host == host)
            for host in hosts
        }

    def candidates(self, host: str, path: str) -> Iterable[CompiledRule]:
        """Return the rules whose host and path prefix fit, in document order."""
        general = self._any_host.find(path)
        own_index = self._hosts.get(host)
        if own_index is None:
            return general
        own = own_index.find(path)
        if not own:
            return general
        if not general:
            return own
        return _merge(own, general)


def _merge(
    left: Sequence[CompiledRule], right: Sequence[CompiledRule]
) -> Iterator[CompiledRule]:
    position = 0
    for rule in left:
        while position < len(right) and right[position].number < rule.number:
            yield right[position]
            position += 1
        yield rule
    yield from right[position:]


class _PrefixIndex:
    """The rules that fit the longest known prefix of a path.

    The prefixes of one path are prefixes of each other, so the longest of them
    settles the whole list. In sorted order it is the entry at or before the path, or
    one of that entry's own prefixes.
    """

    def __init__(self, rules: Iterable[CompiledRule]) -> None:
        kept = tuple(rules)
        self._prefixes = sorted({"", *(one.path_prefix for one in kept)})
        self._parents = [self._parent(number) for number in range(len(self._prefixes))]
        self._rules = [
            tuple(one for one in kept if prefix.startswith(one.path_prefix))
            for prefix in self._prefixes
        ]

    def _parent(self, number: int) -> int:
        prefix = self._prefixes[number]
        for earlier in range(number - 1, -1, -1):
            if prefix.startswith(self._prefixes[earlier]):
                return earlier
        return 0

    def find(self, path: str) -> tuple[CompiledRule, ...]:
        number = bisect_right(self._prefixes, path) - 1
        while not path.startswith(self._prefixes[number]):
            number = self._parents[number]
        return self._rules[number]
