"""Finds rules that are unreachable because an earlier rule always matches first."""

from collections.abc import Iterator, Sequence

from gentianwharf.matching import CompiledRule, RuleIndex, find_shard, is_in_range


def covers(earlier: CompiledRule, later: CompiledRule) -> bool:
    """Return whether the conditions of ``later`` except the key imply ``earlier``'s.

    Two rules with different key sources may read different keys, so an earlier rule
    with a key condition covers only rules with the same key source.
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


def find_unreachable(
    rules: Sequence[CompiledRule],
) -> Iterator[tuple[CompiledRule, CompiledRule]]:
    """Yield each unreachable rule with the earlier rule that covers it."""
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
        return _matches_key(earlier, later.key)
    return (
        earlier.shards == later.shards
        and earlier.first_shard <= later.first_shard
        and later.end_shard <= earlier.end_shard
    )


def _matches_key(rule: CompiledRule, key: str) -> bool:
    if not rule.shards:
        return False
    shard = find_shard(rule.key_source, key, rule.shards)
    return is_in_range(rule.first_shard, shard, rule.end_shard)
