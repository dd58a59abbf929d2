"""Planning of moves: off lost and draining servers, to the rules' site, for load."""

from collections.abc import Iterable, Sequence
from typing import final

from gentianwharf.placement import UNIFORM_DEMAND, Candidate, Demand, place
from gentianwharf.topology import Service

from ._context import Context
from ._evidence import Suspicions
from ._loads import ShardLoads
from ._messages import MoveRequest
from ._mover import Mover
from ._pinner import Pinner
from ._planner import (
    MAX_PLANNED_MOVES,
    ServerStates,
    lost_shards,
    plan_rebalance,
)
from ._table import EntryState
from ._writer import TableWriter

DRAINING_REPORT_TTL_S = 2.0
"""How long a server's own report that it is draining is valid; servers repeat it."""

REBALANCE_EVERY_S = 10.0
"""Interval of load balancing; several reports of each host arrive in between."""

SCAN_SHARDS = 512
"""Shards checked per tick for a site that the rules have changed."""


@final
class ServicePlans:
    """Turns states, requests and loads of one service into intents.

    Runs only on the host that holds the service's control.
    """

    def __init__(
        self,
        *,
        context: Context,
        service: Service,
        suspicions: Suspicions,
        mover: Mover,
        writer: TableWriter,
    ) -> None:
        self.listed_leaving: set[str] = set()
        self.loads = ShardLoads(shards=service.shards)
        self.watched: tuple[int, ...] = ()
        self._context = context
        self._service = service
        self._suspicions = suspicions
        self._mover = mover
        self._writer = writer
        self._pinner = Pinner(context=context, service=service, writer=writer)
        self._draining_reported_s: dict[str, float] = {}
        self._requested: dict[int, str] = {}
        self._next_scan_shard = 0
        self._scan_found_site = False
        self._any_shard_has_site = False
        self._rebalanced_s = context.now_s

    def _states(self) -> ServerStates:
        context = self._context
        now_s = context.now_s
        lost = {
            server.id
            for server in self._service.servers
            if context.tables.is_declared_lost(server.domain)
            or self._suspicions.lost(
                server.id, context.tables.witnesses(server.domain), now_s
            )
        }
        candidates = [
            Candidate(
                id=server.id,
                site=context.domains[server.domain].site,
                slots=server.slots,
            )
            for server in self._service.servers
        ]
        return ServerStates(candidates=candidates, lost=lost, leaving=self._leaving())

    def request(self, request: MoveRequest) -> None:
        """Accept an operator's request; the next run plans it."""
        if request.key is None:
            self._requested[request.shard] = request.server
        else:
            self._pinner.request(request.key, request.server)

    def forget_requests(self) -> None:
        """Discard operators' requests after the lease is lost.

        The host that accepted a request sends it to the next control holder. If it
        were kept here, it would be executed once this host holds the lease again and
        would override newer requests.
        """
        self._requested.clear()
        self._pinner.forget_requests()

    def said_leaving(self, server: str) -> None:
        """Record that ``server`` itself reports that it is draining."""
        self._draining_reported_s[server] = self._context.now_s

    def _leaving(self) -> set[str]:
        now_s = self._context.now_s
        reported = {
            server
            for server, at_s in self._draining_reported_s.items()
            if now_s - at_s <= DRAINING_REPORT_TTL_S
        }
        return reported | self.listed_leaving

    def _site_of(self, shard: int) -> str | None:
        return self._pinner.site_of(shard)

    def first_targets(self) -> dict[int, str]:
        """Return the initial owners for a service that has no table yet."""
        return place(
            range(self._service.shards),
            demand=UNIFORM_DEMAND,
            current_load={},
            candidates=self._states().usable(),
            site_of=self._site_of,
        )

    def _demand(self) -> Demand:
        slots = sum(server.slots for server in self._service.servers)
        self.loads.decay(self._context.now_s)
        return self.loads.demand(slots=slots)

    def _busy_slots(self, demand: Demand) -> dict[str, float]:
        tables = self._context.tables
        busy = {
            server.id: demand.total(tables.numbers_of(server.id))
            for server in self._service.servers
        }
        for shard, move in self._mover.moves.items():
            # The move that removes a pinned key's entry has no target.
            if move.entry.target:
                busy[move.entry.target] += demand.shard_slots(shard)
        return busy

    def _choose_targets(
        self, shards: Sequence[int], states: ServerStates
    ) -> dict[int, str]:
        """Return a target for each of ``shards``.

        Called on every tick while a server is lost or draining, mostly without
        shards; the load is summed only if there are any.
        """
        if not shards:
            return {}
        demand = self._demand()
        return place(
            shards,
            demand=demand,
            current_load=self._busy_slots(demand),
            candidates=states.usable(),
            site_of=self._site_of,
        )

    def run_lost(self) -> ServerStates:
        """Write intents for shards of lost servers; return all servers' states."""
        states = self._states()
        if states.lost:
            self._plan_lost(states)
        return states

    def run(self) -> None:
        """Write intents for all moves that are due."""
        states = self.run_lost()
        self._plan_leaving(states)
        self._rebalance(states)

    def _rebalance(self, states: ServerStates) -> None:
        context = self._context
        if context.now_s < self._rebalanced_s + REBALANCE_EVERY_S:
            return
        self._rebalanced_s = context.now_s
        pins = context.tables.pins[self._service.name]
        self.loads.split_off_pins(pins)
        demand = self._demand()
        self._pinner.pin_by_load(demand, self.loads.key_slots(), states)
        self.watched = self._pinner.shards_to_watch(demand)
        self.loads.watch(self.watched)
        # Moves in progress change the load, so one round ends before the next starts.
        if self._mover.moves:
            return
        owned = {
            server.id: context.tables.numbers_of(server.id)
            for server in self._service.servers
        }
        intents = plan_rebalance(
            owned,
            states=states,
            demand=demand,
            within_sites=self._any_shard_has_site,
            is_movable=self._pinner.is_movable,
            weights=context.weights,
            max_moves=MAX_PLANNED_MOVES,
        )
        if intents:
            context.log("rebalance", service=self._service.name, moves=len(intents))
            self._writer.intend(intents)

    def _plan_lost(self, states: ServerStates) -> None:
        tables = self._context.tables
        entries = {
            shard: entry
            for server in states.lost
            for shard, entry in tables.owned_by(self._service.name, server).items()
        }
        entries |= {shard: move.entry for shard, move in self._mover.moves.items()}
        targets = self._choose_targets(lost_shards(entries, states.lost), states)
        intents = {
            shard: (target, EntryState.LAPSING) for shard, target in targets.items()
        }
        if intents:
            self._context.log("owners-lost", servers=sorted(states.lost))
            self._writer.intend(intents)

    def _plan_leaving(self, states: ServerStates) -> None:
        free_moves = MAX_PLANNED_MOVES - len(self._mover.moves)
        if free_moves <= 0:
            return
        self._intend_requested(states)
        self._pinner.plan(states)
        shards = [
            *self._shards_of_leaving(states),
            *self._shards_off_site(),
            *self._pinner.off_site(),
        ]
        name = self._service.name
        owned = {
            shard: entry
            for shard in shards
            if (entry := self._context.tables.entry(name, shard)) is not None
            and entry.state is EntryState.OWNED
        }
        # Each move holds requests for a moment, so the number at a time is limited.
        targets = self._choose_targets(list(owned)[:free_moves], states)
        intents = {
            shard: (target, EntryState.RELEASING)
            for shard, target in targets.items()
            if target != owned[shard].owner
        }
        if intents:
            self._writer.intend(intents)

    def _intend_requested(self, states: ServerStates) -> None:
        usable = {server.id for server in states.usable()}
        intents = {}
        for shard, server in self._requested.items():
            entry = self._context.tables.entry(self._service.name, shard)
            if entry is None or entry.state is not EntryState.OWNED:
                continue
            if server in usable and server != entry.owner:
                intents[shard] = (server, EntryState.RELEASING)
        self._requested.clear()
        if intents:
            self._writer.intend(intents)

    def _shards_of_leaving(self, states: ServerStates) -> Iterable[int]:
        for server in states.leaving - states.lost:
            yield from self._context.tables.owned_by(self._service.name, server)

    def _shards_off_site(self) -> list[int]:
        """Return shards of the next scan range whose owner is off the rules' site."""
        context = self._context
        name = self._service.name
        first = self._next_scan_shard
        if first == 0:
            # The completed scan tells whether the rules set a site for any shard.
            self._any_shard_has_site, self._scan_found_site = (
                self._scan_found_site,
                False,
            )
        last = min(first + SCAN_SHARDS, self._service.shards)
        self._next_scan_shard = last % self._service.shards
        misplaced = []
        for shard in range(first, last):
            entry = context.tables.entry(name, shard)
            site = context.site_of(name, shard)
            self._scan_found_site |= site is not None
            if entry is None or site is None or entry.state is not EntryState.OWNED:
                continue
            if context.domains[context.servers[entry.owner].domain].site != site:
                misplaced.append(shard)
        return misplaced
