"""Pinned keys: single keys with an entry of their own, set by rules or operators."""

from collections.abc import Iterable, Mapping
from typing import final

from gentianwharf.keys import shard_of
from gentianwharf.placement import UNIFORM_DEMAND, Demand, place
from gentianwharf.topology import Service

from ._context import Context
from ._hot_keys import HotKeys
from ._planner import ServerStates
from ._table import CHUNK_SHARDS, EntryState
from ._writer import TableWriter


@final
class Pinner:
    """Plans the entries of single keys that rules, operators or the load require."""

    def __init__(
        self, *, context: Context, service: Service, writer: TableWriter
    ) -> None:
        self._context = context
        self._service = service
        self._writer = writer
        self._requested: dict[str, str] = {}
        self._rule_keys: set[str] = set()
        self._hot_keys = HotKeys()
        # Servers of a service are similar in size. Thresholds refer to the smallest,
        # so that a hot key's load is small for each of them.
        self._slots_per_server = min(server.slots for server in service.servers)

    def request(self, key: str, server: str) -> None:
        """Accept an operator's request; an empty ``server`` removes the entry."""
        self._requested[key] = server

    def _rule_sites(self) -> Mapping[str, str | None]:
        return self._context.single_key_sites(self._service.name)

    def site_of(self, shard: int) -> str | None:
        """Return the site that the rules set for a shard or a single key's entry."""
        name = self._service.name
        if shard < self._service.shards:
            return self._context.site_of(name, shard)
        key = self._context.tables.pinned_keys[name].get(shard, "")
        rule_sites = self._rule_sites()
        if key in rule_sites or self._is_fixed(key):
            return rule_sites.get(key)
        return self._context.site_of(name, shard_of(key, self._service.shards))

    def _is_fixed(self, key: str) -> bool:
        number = shard_of(key, self._service.shards) // CHUNK_SHARDS
        chunk = self._context.tables.chunks(self._service.name).get(number)
        return chunk is not None and key in chunk.fixed

    def forget_requests(self) -> None:
        """Discard operators' requests after the lease is lost."""
        self._requested.clear()

    def is_movable(self, shard: int) -> bool:
        """Whether an entry may be moved to balance load: no operator placed it."""
        if shard < self._service.shards:
            return True
        key = self._context.tables.pinned_keys[self._service.name].get(shard, "")
        return not self._is_fixed(key)

    def plan(self, states: ServerStates) -> None:
        """Have the writer add missing entries and remove those no longer required."""
        pins = self._context.tables.pins[self._service.name]
        usable = {server.id for server in states.usable()}
        for key, server in self._requested.items():
            if key not in pins and server in usable:
                self._writer.pin(key, server, fixed=True)
            elif key in pins and (server in usable or not server):
                self._move(pins[key], server)
        self._requested.clear()
        rule_sites = self._rule_sites()
        for key in rule_sites:
            self._rule_keys.add(key)
            if key not in pins:
                self._pin_for_rules(key, states)
        # Entries of other keys are assumed to exist because of their load.
        for key in self._rule_keys - rule_sites.keys():
            if key in pins and not self._is_fixed(key):
                # Repeated until the entry is gone: an earlier move of the entry, to
                # the site that the rules set for its shard, may still be in progress.
                self._move(pins[key], "")
            else:
                self._rule_keys.discard(key)

    def pin_by_load(
        self, demand: Demand, key_slots: Mapping[str, float], states: ServerStates
    ) -> None:
        """Pin hot keys at their current owner and unpin cold keys."""
        name = self._service.name
        tables = self._context.tables
        pins = tables.pins[name]
        usable = {server.id for server in states.usable()}
        new = {key: slots for key, slots in key_slots.items() if key not in pins}
        for key in self._hot_keys.keys_to_pin(
            new, pinned=len(pins), slots_per_server=self._slots_per_server
        ):
            entry = tables.entry(name, shard_of(key, self._service.shards))
            if entry is not None and entry.owner in usable:
                self._context.log("hot-key-pinned", service=name, server=entry.owner)
                self._writer.pin(key, entry.owner, fixed=False)
        by_load = {
            key: demand.measured_slots.get(shard, 0.0)
            for key, shard in pins.items()
            if key not in self._rule_sites() and not self._is_fixed(key)
        }
        for key in self._hot_keys.keys_to_unpin(
            by_load, slots_per_server=self._slots_per_server, now_s=self._context.now_s
        ):
            self._context.log("cold-key-unpinned", service=name)
            self._move(pins[key], "")

    def shards_to_watch(self, demand: Demand) -> tuple[int, ...]:
        """Return the shards whose keys hosts should count."""
        return self._hot_keys.shards_to_watch(
            demand, shards=self._service.shards, slots_per_server=self._slots_per_server
        )

    def _pin_for_rules(self, key: str, states: ServerStates) -> None:
        site = self._rule_sites()[key]
        shard = shard_of(key, self._service.shards)
        targets = place(
            [shard],
            demand=UNIFORM_DEMAND,
            current_load={},
            candidates=states.usable(),
            site_of=lambda shard: site,
        )
        if targets:
            self._writer.pin(key, targets[shard], fixed=False)

    def _move(self, shard: int, server: str) -> None:
        entry = self._context.tables.entry(self._service.name, shard)
        if entry is None or entry.state is not EntryState.OWNED:
            return
        if entry.owner != server:
            self._writer.intend({shard: (server, EntryState.RELEASING)})

    def off_site(self) -> Iterable[int]:
        """Yield single keys' entries whose owner is not at the rules' site."""
        context = self._context
        for shard, entry in context.tables.pinned[self._service.name].items():
            site = self.site_of(shard)
            if site is None or entry.state is not EntryState.OWNED:
                continue
            if context.domains[context.servers[entry.owner].domain].site != site:
                yield shard
