"""Which rules take every request that a later one asks for."""

from collections.abc import Iterator, Sequence

from gentianwharf.matching import CompiledRule, RuleIndex, find_shard, is_in_range


def covers(earlier: CompiledRule, later: CompiledRule) -> bool:
    """Say whether what ``later`` asks of a request, its key aside, implies ``earlier``.

    A key that the two read in different places may differ, so an earlier rule that
    divides by key covers only rules that read it in the same place.
    """
    return (
        earlier.header_set <= later.header_set
        and later.path_prefix.startswith(earlier.path_prefix)
        and (earlier.host is None or earlier.host == later.host)
        and _methods_cover(earlier.methods, later.methods)
        and (not earlier.has_key_condition or earlier.key_source == later.key_source)
    )


def _methods_cover(earlier: frozenset[str], later: frozenset[str]) -> bool:
    return not earlier or (bool(later) and later <= earlier)


def unreachable(
    rules: Sequence[CompiledRule],
) -> Iterator[tuple[CompiledRule, CompiledRule]]:
    """Return each rule that an earlier one hides entirely, with that earlier one."""
    index = RuleIndex(rules)
    for later in rules:
        for earlier in index.candidates(later.host, later.path_prefix):
            if earlier.number >= later.number:
                break
            if covers(earlier, later) and _keys_cover(earlier, later):
                yield later, earlier
                break


def _keys_cover(earlier: CompiledRule, later: CompiledRule) -> bool:
    if not earlier.has_key_condition:
        return True
    if not later.has_key_condition:
        return False
    if earlier.key is not None:
        return earlier.key == later.key
    if later.key is not None:
        return _takes(earlier, later.key)
    return (
        earlier.shards == later.shards
        and earlier.first_shard <= later.first_shard
        and later.end_shard <= earlier.end_shard
    )


def _takes(rule: CompiledRule, key: str) -> bool:
    if not rule.shards:
        return False
    shard = find_shard(rule.key_source, key, rule.shards)
    return is_in_range(rule.first_shard, shard, rule.end_shard)
