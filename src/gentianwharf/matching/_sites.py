"""The sites at which the rules place the owners of keys.

The site depends on the key alone and not on other attributes of a request: placement
determines it before any request arrives, and every host must get the same result.
"""

from collections.abc import Mapping, Sequence
from typing import final

from ._compile import CompiledRule
from ._ranges import ShardRanges
from ._shards import find_shard


@final
class ServiceSites:
    """The sites of one keyed service, from the rules that send requests to it.

    The shard ranges are indexed once, since placement looks up each of up to 65,536
    shards.
    """

    def __init__(self, *, rules: Sequence[CompiledRule]) -> None:
        self._ranges = ShardRanges(rule for rule in rules if rule.key is None)
        first_by_key: dict[str, CompiledRule] = {}
        for rule in rules:
            if rule.key is not None:
                first_by_key.setdefault(rule.key, rule)
        # Without a request, the first rule determines how keys map to shards.
        key_source, shards = rules[0].key_source, rules[0].shards
        self.single_keys = {
            key: rule.rule.then.site
            for key, rule in first_by_key.items()
            if not self._has_earlier_rule(rule, find_shard(key_source, key, shards))
        }

    def site_of(self, shard: int) -> str | None:
        """Return the site that the rules set for ``shard``, or None for any site."""
        rule = self._ranges.first(shard)
        return rule.rule.then.site if rule is not None else None

    def _has_earlier_rule(self, key_rule: CompiledRule, shard: int | None) -> bool:
        """Return whether a rule that covers the key's shard precedes ``key_rule``."""
        if shard is None:
            return False
        by_shard = self._ranges.first(shard)
        return by_shard is not None and by_shard.number < key_rule.number


def sites_by_service(rules: Sequence[CompiledRule]) -> Mapping[str, ServiceSites]:
    """Return the sites of each keyed service that a rule names.

    The rules are grouped in one pass. Scanning all rules for each service blocked a
    host's thread for 7.3 s with 4,800 rules for as many services (``bench/rules.py``).
    """
    by_service: dict[str, list[CompiledRule]] = {}
    for rule in rules:
        if rule.shards:
            by_service.setdefault(rule.rule.then.service, []).append(rule)
    return {name: ServiceSites(rules=group) for name, group in by_service.items()}
