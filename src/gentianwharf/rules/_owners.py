"""Checks that the site of a key's owner depends on the key alone.

If the site of a keyed service also depended on a header, path or method, two requests
for one key could be sent to two sites, and two servers would act as its owner. The
check goes through the groups of keys that the rules distinguish and reports a conflict
if requests for one group can be sent to two sites.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.matching import CompiledRule, find_shard, is_in_range

from ._cover import covers

Shape = tuple[object, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerConflict:
    """Two rules that send the same keys to two sites; ``keys`` describes the keys."""

    first: CompiledRule
    second: CompiledRule
    keys: str


def find_owner_conflicts(rules: Sequence[CompiledRule]) -> Iterator[OwnerConflict]:
    """Yield, for each later rule, its first conflict with an earlier rule."""
    keyed: dict[str, list[CompiledRule]] = {}
    for rule in rules:
        if rule.shards:
            keyed.setdefault(rule.rule.then.service, []).append(rule)
    for service_rules in keyed.values():
        yield from _find_service_conflicts(service_rules)


def _find_service_conflicts(rules: Sequence[CompiledRule]) -> Iterator[OwnerConflict]:
    covered_by = _covered_by(rules)
    reported: set[int] = set()
    for keys, matching in _groups(rules):
        first = None
        for position in _positions(matching):
            if covered_by[position] & matching:
                continue
            rule = rules[position]
            first = first or rule
            differs = rule.rule.then.site != first.rule.then.site
            if differs and rule.number not in reported:
                reported.add(rule.number)
                yield OwnerConflict(first=first, second=rule, keys=keys)


def _groups(rules: Sequence[CompiledRule]) -> Iterator[tuple[str, int]]:
    """Yield a description of each group of keys that no rule distinguishes.

    With it come the rules that match these keys, as a bit mask of positions: up to
    1,000 rules and as many groups are compared on the daemon's only thread.
    """
    shards = rules[0].shards
    ranges = [rule for rule in rules if rule.key is None]
    bounds = {rule.first_shard for rule in ranges} | {rule.end_shard for rule in ranges}
    for start in sorted(bound for bound in {0, *bounds} if bound < shards):
        yield f"keys of shard {start}", _matching_rules(rules, start, None)
    for key in dict.fromkeys(rule.key for rule in rules if rule.key is not None):
        shard = find_shard(rules[0].key_source, key, shards)
        yield f"key {key!r}", _matching_rules(rules, shard, key)


def _matching_rules(
    rules: Sequence[CompiledRule], shard: int | None, key: str | None
) -> int:
    matching = 0
    for position, rule in enumerate(rules):
        if rule.key is None:
            is_match = is_in_range(rule.first_shard, shard, rule.end_shard)
        else:
            is_match = rule.key == key
        matching |= is_match << position
    return matching


def _positions(bits: int) -> Iterator[int]:
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _covered_by(rules: Sequence[CompiledRule]) -> list[int]:
    """Return, for each rule, the earlier rules that cover it, as a bit mask.

    A migration has several rules of the same shape. Shapes are compared rather than
    rules, since ``covers`` depends on the shape alone.
    """
    seen: dict[Shape, tuple[CompiledRule, int]] = {}
    covered_by = []
    for position, rule in enumerate(rules):
        bits = 0
        for example, positions in seen.values():
            if covers(example, rule):
                bits |= positions
        covered_by.append(bits)
        shape = _shape(rule)
        example, positions = seen.get(shape, (rule, 0))
        seen[shape] = (example, positions | 1 << position)
    return covered_by


def _shape(rule: CompiledRule) -> Shape:
    return (
        rule.host,
        rule.path_prefix,
        rule.methods,
        rule.header_set,
        rule.key_source,
        rule.has_key_condition,
    )
