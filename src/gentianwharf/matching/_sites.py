"""Where the rules want the owner of a key to stand.

Only the key decides here, never a request: placement asks before any request comes,
and every host must get the same answer.
"""

from collections.abc import Mapping, Sequence
from typing import final

from ._compile import CompiledRule
from ._ranges import ShardRanges
from ._shards import find_shard


@final
class ServiceSites:
    """The sites of one keyed service, from the rules that send requests to it.

    Ranges are worked out once, since placement asks for each of up to 65,536 shards.
    """

    def __init__(self, *, rules: Sequence[CompiledRule]) -> None:
        self._ranges = ShardRanges(one for one in rules if one.key is None)
        first_by_key: dict[str, CompiledRule] = {}
        for one in rules:
            if one.key is not None:
                first_by_key.setdefault(one.key, one)
        # Placement asks without a request: the first rule says how a key has its shard.
        key_source, shards = rules[0].key_source, rules[0].shards
        self.single_keys = {
            key: one.rule.then.site
            for key, one in first_by_key.items()
            if not self._is_decided_before(one, find_shard(key_source, key, shards))
        }

    def site_of(self, shard: int) -> str | None:
        """Return the site where ``shard`` should stand; None leaves it open."""
        found = self._ranges.first(shard)
        return found.rule.then.site if found is not None else None

    def _is_decided_before(self, single: CompiledRule, shard: int | None) -> bool:
        """Say whether a rule for the key's shard stands before the key's own."""
        if shard is None:
            return False
        by_shard = self._ranges.first(shard)
        return by_shard is not None and by_shard.number < single.number


def sites_by_service(rules: Sequence[CompiledRule]) -> Mapping[str, ServiceSites]:
    """Return the sites of each keyed service that a rule names.

    One pass over the list: when each service looked through all of it, 4,800 rules for
    as many services held the host's thread for 7.3 s (``bench/rules.py``).
    """
    by_service: dict[str, list[CompiledRule]] = {}
    for one in rules:
        if one.shards:
            by_service.setdefault(one.rule.then.service, []).append(one)
    return {name: ServiceSites(rules=own) for name, own in by_service.items()}
