"""Where the rules want the owner of a key to stand.

Only the key decides here, never a request: placement asks before any request comes,
and every host must get the same answer.
"""

from bisect import bisect_right
from collections.abc import Sequence
from typing import final

from gentianwharf.keys import shard_of

from ._compile import CompiledRule


def first_for_shard(
    rules: Sequence[CompiledRule], service: str, shard: int
) -> CompiledRule | None:
    """Return the first rule of ``service`` that holds for all keys of ``shard``."""
    for one in rules:
        if one.rule.then.service != service or one.key is not None:
            continue
        if one.first_shard <= shard < one.end_shard:
            return one
    return None


def first_for_key(
    rules: Sequence[CompiledRule], service: str, key: str
) -> CompiledRule | None:
    """Return the first rule of ``service`` that holds for ``key``."""
    for one in rules:
        if one.rule.then.service != service or not one.shards:
            continue
        if one.key == key:
            return one
        shard = shard_of(key, one.shards)
        if one.key is None and one.first_shard <= shard < one.end_shard:
            return one
    return None


@final
class ServiceSites:
    """The sites of one keyed service: ranges of shards, and keys with a rule.

    Ranges are worked out once, since placement asks for each of up to 65,536 shards.
    """

    def __init__(self, *, rules: Sequence[CompiledRule], service: str) -> None:
        own = [one for one in rules if one.rule.then.service == service and one.shards]
        edges = {one.first_shard for one in own} | {one.end_shard for one in own}
        self._starts = sorted({0, *edges})
        self._sites = [self._site(own, service, start) for start in self._starts]
        keys = dict.fromkeys(one.key for one in own if one.key is not None)
        deciding = {key: first_for_key(own, service, key) for key in keys}
        self.single_keys = {
            key: one.rule.then.site
            for key, one in deciding.items()
            if one is not None and one.key == key
        }

    def _site(
        self, rules: Sequence[CompiledRule], service: str, shard: int
    ) -> str | None:
        found = first_for_shard(rules, service, shard)
        return found.rule.then.site if found is not None else None

    def site_of(self, shard: int) -> str | None:
        """Return the site where ``shard`` should stand; None leaves it open."""
        return self._sites[bisect_right(self._starts, shard) - 1]
