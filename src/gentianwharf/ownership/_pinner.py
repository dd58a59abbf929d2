"""Single keys with an entry of their own: wanted by rules or by operators."""

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
    """Compares the keys that should stand alone with those that do."""

    def __init__(
        self, *, context: Context, service: Service, writer: TableWriter
    ) -> None:
        self._context = context
        self._service = service
        self._writer = writer
        self._requested: dict[str, str] = {}
        self._ruled: set[str] = set()
        self._hot_keys = HotKeys()
        # Servers of a service are alike; the smallest keeps the pieces small enough.
        self._slots_a_server = min(one.slots for one in service.servers)

    def request(self, key: str, server: str) -> None:
        """Take an operator's request; an empty ``server`` takes the entry away."""
        self._requested[key] = server

    def _wanted(self) -> Mapping[str, str | None]:
        return self._context.single_key_sites(self._service.name)

    def site_of(self, shard: int) -> str | None:
        """Return the site that the rules want for a shard or a single key's entry."""
        name = self._service.name
        if shard < self._service.shards:
            return self._context.site_of(name, shard)
        key = self._context.tables.pinned_keys[name].get(shard, "")
        wanted = self._wanted()
        if key in wanted or self._is_fixed(key):
            return wanted.get(key)
        return self._context.site_of(name, shard_of(key, self._service.shards))

    def _is_fixed(self, key: str) -> bool:
        number = shard_of(key, self._service.shards) // CHUNK_SHARDS
        chunk = self._context.tables.chunks(self._service.name).get(number)
        return chunk is not None and key in chunk.fixed

    def forget_requests(self) -> None:
        """Forget what operators asked for, the lease being gone."""
        self._requested.clear()

    def is_movable(self, shard: int) -> bool:
        """Whether an entry may be moved for the sake of load: no operator placed it."""
        if shard < self._service.shards:
            return True
        key = self._context.tables.pinned_keys[self._service.name].get(shard, "")
        return not self._is_fixed(key)

    def plan(self, states: ServerStates) -> None:
        """Ask the writer for entries that are missing or no longer wanted."""
        pins = self._context.tables.pins[self._service.name]
        usable = {one.id for one in states.usable()}
        for key, server in self._requested.items():
            if key not in pins and server in usable:
                self._writer.pin(key, server, fixed=True)
            elif key in pins and (server in usable or not server):
                self._move(pins[key], server)
        self._requested.clear()
        wanted = self._wanted()
        for key in wanted:
            self._ruled.add(key)
            if key not in pins:
                self._pin_for_rules(key, states)
        # Others are there for their load, as far as this holder knows.
        for key in self._ruled - wanted.keys():
            if key in pins and not self._is_fixed(key):
                # Until it is gone: its entry may be on a move that began first, to
                # the site that the rules want for its shard.
                self._move(pins[key], "")
            else:
                self._ruled.discard(key)

    def follow_load(
        self, demand: Demand, key_slots: Mapping[str, float], states: ServerStates
    ) -> None:
        """Give hot keys an entry of their own at their owner; end it for cold ones."""
        name = self._service.name
        tables = self._context.tables
        pins = tables.pins[name]
        usable = {one.id for one in states.usable()}
        new = {key: slots for key, slots in key_slots.items() if key not in pins}
        for key in self._hot_keys.to_pin(
            new, pinned=len(pins), slots_a_server=self._slots_a_server
        ):
            entry = tables.entry(name, shard_of(key, self._service.shards))
            if entry is not None and entry.owner in usable:
                self._context.log("hot-key-pinned", service=name, server=entry.owner)
                self._writer.pin(key, entry.owner, fixed=False)
        by_load = {
            key: demand.measured_slots.get(shard, 0.0)
            for key, shard in pins.items()
            if key not in self._wanted() and not self._is_fixed(key)
        }
        for key in self._hot_keys.cooled(
            by_load, slots_a_server=self._slots_a_server, now_s=self._context.now_s
        ):
            self._context.log("cold-key-unpinned", service=name)
            self._move(pins[key], "")

    def shards_to_watch(self, demand: Demand) -> tuple[int, ...]:
        """Return the shards whose keys the hosts should count."""
        return self._hot_keys.shards_to_watch(
            demand, shards=self._service.shards, slots_a_server=self._slots_a_server
        )

    def _pin_for_rules(self, key: str, states: ServerStates) -> None:
        site = self._wanted()[key]
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
        """Return single keys' entries that stand off the site the rules want."""
        context = self._context
        for shard, entry in context.tables.pinned[self._service.name].items():
            site = self.site_of(shard)
            if site is None or entry.state is not EntryState.OWNED:
                continue
            if context.domains[context.servers[entry.owner].domain].site != site:
                yield shard
