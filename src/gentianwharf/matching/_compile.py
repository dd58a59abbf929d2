"""Compiles rules into the form in which they are matched."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil
from typing import final

from ._rule import Condition, KeySource, Rule, Rules


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CompiledRule:
    """A rule with its conditions in the form in which they are tested.

    The rule matches keys whose shard is in ``range(first_shard, end_shard)``.
    ``has_key_condition`` is True if the rule sets ``key``, ``shard_share`` or
    ``shard_range``.
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
    """Compile the rules of ``document``; ``shards`` as for ``RuleSet``.

    Equal key sources are replaced by one object, so that matching can compare them by
    identity.
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
    """Return the number of shards that a share covers, rounded up.

    The product is rounded to 6 decimals first: ``0.07 * 100`` is 7.000000000000001,
    which ``ceil`` alone would make 8.
    """
    return ceil(round(share * shards, 6))
