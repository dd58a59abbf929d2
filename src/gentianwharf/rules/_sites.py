"""Where the rules want the owner of a key to stand.

Only the key decides here, never a request: placement asks before any request comes,
and every host must get the same answer.
"""

from collections.abc import Sequence
from typing import final

from ._compile import CompiledRule
from ._ranges import ShardRanges
from ._shards import holds, shard_in


@final
class ServiceSites:
    """The sites of one keyed service: ranges of shards, and keys with a rule.

    Ranges are worked out once, since placement asks for each of up to 65,536 shards.
    """

    def __init__(self, *, rules: Sequence[CompiledRule], service: str) -> None:
        own = [one for one in rules if one.rule.then.service == service and one.shards]
        self._ranges = ShardRanges(one for one in own if one.key is None)
        keys = dict.fromkeys(one.key for one in own if one.key is not None)
        deciding = {key: _first_for_key(own, key) for key in keys}
        self.single_keys = {
            key: one.rule.then.site
            for key, one in deciding.items()
            if one is not None and one.key == key
        }

    def site_of(self, shard: int) -> str | None:
        """Return the site where ``shard`` should stand; None leaves it open."""
        found = self._ranges.first(shard)
        return found.rule.then.site if found is not None else None


def _first_for_key(rules: Sequence[CompiledRule], key: str) -> CompiledRule | None:
    shard = shard_in(rules[0].source, key, rules[0].shards)
    for one in rules:
        if one.key == key:
            return one
        if one.key is None and holds(one.first_shard, shard, one.end_shard):
            return one
    return None
