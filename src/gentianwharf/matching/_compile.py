"""Rules made ready for matching."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil
from typing import final

from ._rule import Condition, KeySource, Rule, Rules


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CompiledRule:
    """A rule with its conditions in the form in which they are tested.

    The shards from ``first_shard`` up to, not including, ``end_shard`` hold;
    ``has_key_condition`` says whether the rule has a condition on the key at all.
    """

    number: int
    rule: Rule
    host: str | None
    path_prefix: str
    methods: frozenset[str]
    headers: tuple[tuple[str, str], ...]
    header_set: frozenset[tuple[str, str]]
    key_source: KeySource | None
    key: str | None
    has_key_condition: bool
    shards: int
    first_shard: int
    end_shard: int
    repeatable: bool | None


def compile_rules(
    document: Rules, shards: Mapping[str, int]
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
            key_source=sources.setdefault(rule.then.key, rule.then.key),
        )
        for number, rule in enumerate(document.rules, start=1)
    )


def _compile_rule(
    rule: Rule, *, number: int, shards: int, key_source: KeySource | None
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
        header_set=frozenset(when.headers.items()),
        key_source=key_source,
        key=when.key,
        has_key_condition=(
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
