"""The control of one service: taking the lease, planning and moving."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.placement import Candidate, place, rendezvous_rank
from gentianwharf.topology import Service

from ._announcer import Announcer
from ._context import Context
from ._evidence import Suspicions
from ._lease import ControlLease
from ._loads import SentCounts, ShardLoads
from ._messages import ControlAlive, Item, Wish
from ._move import MoveState
from ._mover import Mover
from ._pinner import Pinner
from ._planner import (
    MOST_PLANNED_MOVES,
    ServerStates,
    plan_leaving,
    plan_lost,
    plan_rebalance,
)
from ._protocols import answer_within
from ._table import EntryState
from ._tables import TABLE
from ._timing import CONTROL_SILENT_S, LEASE_S, STORE_TIMEOUT_S
from ._writer import TableWriter

CANDIDATES_PER_DOMAIN = 2
"""Hosts of each domain that may take a service's control."""

ALIVE_EVERY_S = 0.2
"""How often the holder says that it lives."""

LEAVING_FRESH_S = 2.0
"""How long a server's own word that it is draining counts; it repeats it."""

REBALANCE_EVERY_S = 10.0
"""How often the load is looked at: several reports of each host come between."""

SCAN_SHARDS = 512
"""Shards looked at in one tick for a site that the rules changed."""

SOON_S = 0.01
"""Suspicions that come within this time, one from each witness, are looked at
together: a fifth of a tick, against 0.4 s that a right takes to end."""


@final
class ServiceControl:
    """Runs on every host; acts only where the control lease is held."""

    def __init__(
        self,
        *,
        context: Context,
        service: Service,
        announcer: Announcer,
        suspicions: Suspicions,
    ) -> None:
        self._context = context
        self._service = service
        self._suspicions = suspicions
        self.lease = ControlLease(
            host=context.host.id,
            key=f"{context.prefix}control/{service.name}",
            clock=context.clock,
            store=context.store,
            log=context.log,
        )
        self._writer = TableWriter(
            context=context,
            service=service.name,
            shards=service.shards,
            lease=self.lease,
        )
        self._mover = Mover(
            context=context,
            service=service,
            lease=self.lease,
            announcer=announcer,
            writer=self._writer,
        )
        self.holder: str | None = None
        self._heard_s = context.now_s
        self._said_s = float("-inf")
        self._busy = False
        self._loaded_term = 0
        self._scan_from = 0
        self._is_tick_due = False
        self.listed_leaving: set[str] = set()
        self._said_leaving_s: dict[str, float] = {}
        self._wishes: dict[int, str] = {}
        self._pinner = Pinner(context=context, service=service, writer=self._writer)
        self.sent = SentCounts()
        self.loads = ShardLoads()
        self._rebalanced_s = context.now_s

    @property
    def mover(self) -> Mover:
        """Return the service's moves."""
        return self._mover

    def heard(self, host: str) -> None:
        """Note that ``host`` says it holds the control."""
        self.holder = host
        self._heard_s = self._context.now_s

    def tick(self) -> None:
        """Keep or take the lease, plan, and carry moves on."""
        self._report_loads()
        if not self.lease.is_held:
            self._writer.clear()
            self._mover.clear()
            if self._may_take():
                self._start(self._take)
            return
        if self.lease.is_renewal_due:
            self._start(self.lease.renew)
        if self._loaded_term != self.lease.term:
            self._start(self._load)
            return
        self._say_alive()
        self._plan()
        self._mover.tick()
        self._writer.kick()

    def tick_soon(self) -> None:
        """Tick before the next regular one, once however many suspicions come."""
        if self._is_tick_due:
            return
        self._is_tick_due = True
        self._context.clock.callLater(SOON_S, self._tick_now)

    def _tick_now(self) -> None:
        self._is_tick_due = False
        self.tick()

    def _start(self, work: Callable[[], Coroutine[Deferred[Any], Any, None]]) -> None:
        if not self._busy:
            self._busy = True
            Deferred.fromCoroutine(self._guarded(work))

    async def _guarded(
        self, work: Callable[[], Coroutine[Deferred[Any], Any, None]]
    ) -> None:
        try:
            await work()
        except GentianwharfError as error:
            self._context.log(
                "control-failed", service=self._service.name, error=str(error)
            )
        finally:
            self._busy = False

    def _may_take(self) -> bool:
        context = self._context
        rank = self._rank()
        if rank is None:
            return False
        silent_s = context.now_s - self._heard_s
        return silent_s >= CONTROL_SILENT_S + rank * ALIVE_EVERY_S

    def _rank(self) -> int | None:
        candidates = []
        for domain in self._context.domains:
            hosts = self._context.live_hosts(domain)
            ranked = rendezvous_rank(self._service.name, hosts)
            candidates += ranked[:CANDIDATES_PER_DOMAIN]
        ranked = rendezvous_rank(self._service.name, candidates)
        host = self._context.host.id
        return ranked.index(host) if host in ranked else None

    async def _take(self) -> None:
        # Also after a failed try the next one waits: the holder may be out of this
        # host's reach, and the store's rate is shared.
        self._heard_s = self._context.now_s + LEASE_S / 4 - CONTROL_SILENT_S
        if await self.lease.take():
            await self._load()

    async def _load(self) -> None:
        context = self._context
        term = self.lease.term
        prefix = f"{context.prefix}{TABLE}{self._service.name}/"
        found = await answer_within(
            context.clock,
            STORE_TIMEOUT_S,
            context.store.get_many(prefix),
            step="read table",
            peer=prefix,
        )
        for one in found:
            item = Item(context.relative(one.key), one.revision, one.value)
            context.tables.install(item)
        if not context.tables.is_complete(self._service.name):
            await self._writer.write_first(self._first_targets())
        self._loaded_term = term

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

    def wish(self, wish: Wish) -> None:
        """Take an operator's wish."""
        if wish.key is None:
            self._wishes[wish.shard] = wish.server
        else:
            self._pinner.wish(wish.key, wish.server)

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

    def moves(self) -> list[MoveState]:
        """Return the moves under way for the admin port."""
        return self._mover.states()

    def _site_of(self, shard: int) -> str | None:
        return self._pinner.site_of(shard)

    def _first_targets(self) -> dict[int, str]:
        return place(
            range(self._service.shards),
            loads={},
            busy={},
            candidates=self._states().usable(),
            site_of=self._site_of,
        )

    def _busy_loads(self) -> dict[str, float]:
        tables = self._context.tables
        busy = {
            server.id: float(tables.count_owned(server.id))
            for server in self._service.servers
        }
        for move in self._mover.moves.values():
            busy[move.entry.target] += 1.0
        return busy

    def _plan(self) -> None:
        states = self._states()
        if states.lost:
            self._plan_lost(states)
        self._plan_leaving(states)
        self._rebalance(states)

    def _report_loads(self) -> None:
        report = self.sent.take(self._service.name, self._context.now_s)
        if report is not None and self.holder is not None:
            self._context.send(self.holder, report)

    def _rebalance(self, states: ServerStates) -> None:
        context = self._context
        if context.now_s < self._rebalanced_s + REBALANCE_EVERY_S:
            return
        self._rebalanced_s = context.now_s
        # Moves under way change the picture: settle one round before the next.
        if self._mover.moves:
            return
        chunks = context.tables.chunks(self._service.name).values()
        entries = {
            shard: entry
            for chunk in chunks
            for shard, entry in chunk.entries.items()
            if shard < self._service.shards
        }
        intents = plan_rebalance(
            entries,
            states=states,
            loads=self.loads.rates(self._service.shards),
            site_of=self._site_of,
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
        intents = plan_lost(
            entries,
            states=states,
            loads={},
            busy=self._busy_loads(),
            site_of=self._site_of,
        )
        if intents:
            self._context.log("owners-lost", servers=sorted(states.lost))
            self._writer.intend(intents)

    def _plan_leaving(self, states: ServerStates) -> None:
        room = MOST_PLANNED_MOVES - len(self._mover.moves)
        if room <= 0:
            return
        self._grant_wishes(states)
        self._pinner.plan(states)
        shards = [
            *self._shards_of_leaving(states),
            *self._shards_off_site(),
            *self._pinner.off_site(),
        ]
        if not shards:
            return
        name = self._service.name
        entries = {
            shard: entry
            for shard in shards
            if (entry := self._context.tables.entry(name, shard)) is not None
        }
        intents = plan_leaving(
            entries,
            shards=shards,
            states=states,
            loads={},
            busy=self._busy_loads(),
            site_of=self._site_of,
            room=room,
        )
        if intents:
            self._writer.intend(intents)

    def _grant_wishes(self, states: ServerStates) -> None:
        usable = {one.id for one in states.usable()}
        intents = {}
        for shard, server in self._wishes.items():
            entry = self._context.tables.entry(self._service.name, shard)
            if entry is None or entry.state is not EntryState.OWNED:
                continue
            if server in usable and server != entry.owner:
                intents[shard] = (server, EntryState.RELEASING)
        self._wishes.clear()
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
        last = min(first + SCAN_SHARDS, self._service.shards)
        self._scan_from = last % self._service.shards
        off = []
        for shard in range(first, last):
            entry = context.tables.entry(name, shard)
            site = context.site_of(name, shard)
            if entry is None or site is None or entry.state is not EntryState.OWNED:
                continue
            if context.domains[context.servers[entry.owner].domain].site != site:
                off.append(shard)
        return off

    def _say_alive(self) -> None:
        context = self._context
        if context.now_s < self._said_s + ALIVE_EVERY_S:
            return
        self._said_s = context.now_s
        self.heard(context.host.id)
        alive = ControlAlive(service=self._service.name, term=self.lease.term)
        for domain in context.domains:
            for host in context.peers.hosts_of(domain):
                if host != context.host.id:
                    context.send(host, alive)
