"""What should move: away from lost and leaving servers, to its site, to less load."""

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
    MOST_PLANNED_MOVES,
    ServerStates,
    lost_shards,
    plan_rebalance,
)
from ._table import EntryState
from ._writer import TableWriter

LEAVING_FRESH_S = 2.0
"""How long a server's own word that it is draining counts; it repeats it."""

REBALANCE_EVERY_S = 10.0
"""How often the load is looked at: several reports of each host come between."""

SCAN_SHARDS = 512
"""Shards looked at in one tick for a site that the rules changed."""


@final
class ServicePlans:
    """Turns states, requests and loads of one service into intents.

    Only the holder of the service's control runs it.
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
        self._said_leaving_s: dict[str, float] = {}
        self._requested: dict[int, str] = {}
        self._scan_from = 0
        self._has_sites = False
        self._is_bound = False
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
        """Take an operator's request."""
        if request.key is None:
            self._requested[request.shard] = request.server
        else:
            self._pinner.request(request.key, request.server)

    def forget_requests(self) -> None:
        """Forget what operators asked for, the lease being gone.

        Who asked sends it to the next holder. Kept, it would be carried out when this
        host has the lease again, against all that was asked for meanwhile.
        """
        self._requested.clear()
        self._pinner.forget_requests()

    def said_leaving(self, server: str) -> None:
        """Note that ``server`` itself says it is draining."""
        self._said_leaving_s[server] = self._context.now_s

    def _leaving(self) -> set[str]:
        now_s = self._context.now_s
        said = {
            server
            for server, at_s in self._said_leaving_s.items()
            if now_s - at_s <= LEAVING_FRESH_S
        }
        return said | self.listed_leaving

    def _site_of(self, shard: int) -> str | None:
        return self._pinner.site_of(shard)

    def first_targets(self) -> dict[int, str]:
        """Return the owners of a service that has no table yet."""
        return place(
            range(self._service.shards),
            demand=UNIFORM_DEMAND,
            current_load={},
            candidates=self._states().usable(),
            site_of=self._site_of,
        )

    def _demand(self) -> Demand:
        slots = sum(one.slots for one in self._service.servers)
        self.loads.decay(self._context.now_s)
        return self.loads.demand(slots=slots)

    def _busy_slots(self, demand: Demand) -> dict[str, float]:
        tables = self._context.tables
        busy = {
            server.id: demand.total(tables.numbers_of(server.id))
            for server in self._service.servers
        }
        for shard, move in self._mover.moves.items():
            # A key's own entry that is taken away has no target.
            if move.entry.target:
                busy[move.entry.target] += demand.shard_slots(shard)
        return busy

    def _placed(self, shards: Sequence[int], states: ServerStates) -> dict[int, str]:
        """Return a target for each of ``shards``.

        Asked on every tick while a server is lost or leaves, mostly for none: the
        load is summed up only for some.
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
        """Intend what must move away from lost servers; returns all servers' states."""
        states = self._states()
        if states.lost:
            self._plan_lost(states)
        return states

    def run(self) -> None:
        """Intend what should move now."""
        states = self.run_lost()
        self._plan_leaving(states)
        self._rebalance(states)

    def _rebalance(self, states: ServerStates) -> None:
        context = self._context
        if context.now_s < self._rebalanced_s + REBALANCE_EVERY_S:
            return
        self._rebalanced_s = context.now_s
        pins = context.tables.pins[self._service.name]
        self.loads.take_out(pins)
        demand = self._demand()
        self._pinner.follow_load(demand, self.loads.key_slots(), states)
        self.watched = self._pinner.shards_to_watch(demand)
        self.loads.watch(self.watched)
        # Moves under way change the picture: settle one round before the next.
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
            is_bound=self._is_bound,
            is_movable=self._pinner.is_movable,
            weights=context.weights,
            room=MOST_PLANNED_MOVES,
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
        entries |= {shard: one.entry for shard, one in self._mover.moves.items()}
        targets = self._placed(lost_shards(entries, states.lost), states)
        intents = {shard: (one, EntryState.LAPSING) for shard, one in targets.items()}
        if intents:
            self._context.log("owners-lost", servers=sorted(states.lost))
            self._writer.intend(intents)

    def _plan_leaving(self, states: ServerStates) -> None:
        room = MOST_PLANNED_MOVES - len(self._mover.moves)
        if room <= 0:
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
        # Each holds requests for a moment: no more at a time than there is room for.
        targets = self._placed(list(owned)[:room], states)
        intents = {
            shard: (target, EntryState.RELEASING)
            for shard, target in targets.items()
            if target != owned[shard].owner
        }
        if intents:
            self._writer.intend(intents)

    def _intend_requested(self, states: ServerStates) -> None:
        usable = {one.id for one in states.usable()}
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
        """Return shards, of a part of them at a time, that stand off their site."""
        context = self._context
        name = self._service.name
        first = self._scan_from
        if first == 0:
            # What the last whole look found: whether the rules bind any shard.
            self._is_bound, self._has_sites = self._has_sites, False
        last = min(first + SCAN_SHARDS, self._service.shards)
        self._scan_from = last % self._service.shards
        off = []
        for shard in range(first, last):
            entry = context.tables.entry(name, shard)
            site = context.site_of(name, shard)
            self._has_sites |= site is not None
            if entry is None or site is None or entry.state is not EntryState.OWNED:
                continue
            if context.domains[context.servers[entry.owner].domain].site != site:
                off.append(shard)
        return off
