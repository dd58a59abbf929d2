"""The check that only a key decides where its owner stands.

Were a keyed service's site to hang on a header, path or method as well, two requests
for one key would be sent to two sites, and each of the two servers would believe
itself the owner. The check walks through the groups of keys that the rules tell apart
and refuses a document in which one group can come out at two sites.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.matching import CompiledRule, find_shard, is_in_range

from ._cover import covers

Shape = tuple[object, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class TwoOwners:
    """Two rules that send one key to two sites; ``keys`` describes the keys."""

    first: CompiledRule
    second: CompiledRule
    keys: str


def two_owners(rules: Sequence[CompiledRule]) -> Iterator[TwoOwners]:
    """Return, for each later rule, the first conflict that it takes part in."""
    keyed: dict[str, list[CompiledRule]] = {}
    for one in rules:
        if one.shards:
            keyed.setdefault(one.rule.then.service, []).append(one)
    for own in keyed.values():
        yield from _two_owners_of_service(own)


def _two_owners_of_service(rules: Sequence[CompiledRule]) -> Iterator[TwoOwners]:
    covered_by = _covered_by(rules)
    reported: set[int] = set()
    for keys, holding in _groups(rules):
        first = None
        for position in _positions(holding):
            if covered_by[position] & holding:
                continue
            one = rules[position]
            first = first or one
            differs = one.rule.then.site != first.rule.then.site
            if differs and one.number not in reported:
                reported.add(one.number)
                yield TwoOwners(first=first, second=one, keys=keys)


def _groups(rules: Sequence[CompiledRule]) -> Iterator[tuple[str, int]]:
    """Return each group of keys that no rule tells apart, and the rules that hold.

    The rules come as a bit for each position: up to 1,000 rules and as many groups
    are compared on the daemon's only thread.
    """
    shards = rules[0].shards
    ranges = [one for one in rules if one.key is None]
    edges = {one.first_shard for one in ranges} | {one.end_shard for one in ranges}
    for start in sorted(edge for edge in {0, *edges} if edge < shards):
        yield f"keys of shard {start}", _holding(rules, start, None)
    for key in dict.fromkeys(one.key for one in rules if one.key is not None):
        shard = find_shard(rules[0].key_source, key, shards)
        yield f"key {key!r}", _holding(rules, shard, key)


def _holding(rules: Sequence[CompiledRule], shard: int | None, key: str | None) -> int:
    holding = 0
    for position, one in enumerate(rules):
        if one.key is None:
            is_held = is_in_range(one.first_shard, shard, one.end_shard)
        else:
            is_held = one.key == key
        holding |= is_held << position
    return holding


def _positions(bits: int) -> Iterator[int]:
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _covered_by(rules: Sequence[CompiledRule]) -> list[int]:
    """Return, for each rule, the earlier ones that cover it, as bits.

    A migration has several rules of one shape, so shapes are compared, not rules.
    """
    seen: dict[Shape, tuple[CompiledRule, int]] = {}
    covered_by = []
    for position, one in enumerate(rules):
        bits = 0
        for example, positions in seen.values():
            if covers(example, one):
                bits |= positions
        covered_by.append(bits)
        shape = _shape(one)
        example, positions = seen.get(shape, (one, 0))
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
