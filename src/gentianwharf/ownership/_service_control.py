"""The control of one service: taking the lease, planning and moving."""

from collections.abc import Callable, Coroutine
from typing import Any, final

from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError
from gentianwharf.placement import rendezvous_rank
from gentianwharf.topology import Service

from ._announcer import Announcer
from ._context import Context
from ._deadlines import DeadlineAsker
from ._evidence import Suspicions
from ._fanout import Fanout
from ._lease import ControlLease
from ._loads import SentCounts, sampled
from ._messages import ControlAlive, Item
from ._move import MoveState
from ._mover import Mover
from ._plans import ServicePlans
from ._protocols import answer_within
from ._tables import TABLE
from ._timing import (
    CONTROL_SILENT_S,
    STANDBY_SILENT_S,
    STORE_TIMEOUT_S,
    TAKE_AGAIN_S,
)
from ._writer import TableWriter

CANDIDATES_PER_DOMAIN = 2
"""Hosts of each domain that may take a service's control."""

STANDBYS = 2
"""Candidates that prepare for a silent holder: the first may be lost with it, and not
yet be known to be."""

ALIVE_EVERY_S = 0.2
"""How often the holder says that it lives."""

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
        fanout: Fanout,
        suspicions: Suspicions,
        asker: DeadlineAsker,
    ) -> None:
        self._context = context
        self._service = service
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
            may_write=lambda: self.lease.is_held or self._is_standby,
            written=self._written,
            fanout=fanout,
        )
        self._mover = Mover(
            context=context,
            service=service,
            lease=self.lease,
            announcer=announcer,
            writer=self._writer,
            asker=asker,
        )
        self.holder: str | None = None
        self._heard_s = context.now_s
        self._fanout = fanout
        self._said_s = float("-inf")
        self._alive_number = 0
        self._busy = False
        self._loaded_term = 0
        self._is_tick_due = False
        self._is_standby = False
        self._candidates_of: tuple[object, ...] = ()
        self._kept_candidates: list[str] = []
        self.sent = SentCounts()
        self.plans = ServicePlans(
            context=context,
            service=service,
            suspicions=suspicions,
            mover=self._mover,
            writer=self._writer,
        )

    @property
    def mover(self) -> Mover:
        """Return the service's moves."""
        return self._mover

    def alive(self, alive: ControlAlive) -> None:
        """Take a holder's sign of life, and pass it on in a large domain."""
        self.heard(alive.holder)
        self.sent.keys.watched = frozenset(alive.watched)
        self._fanout.pass_on_alive(alive)

    def heard(self, host: str) -> None:
        """Note that ``host`` says it holds the control."""
        self.holder = host
        self._heard_s = self._context.now_s

    def tick(self) -> None:
        """Keep or take the lease, plan, and carry moves on."""
        self._report_loads()
        if not self.lease.is_held:
            self._prepare()
            if self._may_take():
                self._start(self._take)
            return
        self._is_standby = False
        if self.lease.is_renewal_due:
            self._start(self.lease.renew)
        if self._loaded_term != self.lease.term:
            self._start(self._load)
            return
        self._say_alive()
        self.plans.run()
        self._mover.tick()
        self._writer.flush()

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

    def _prepare(self) -> None:
        """Begin the moves away from lost servers while the holder is silent.

        When a server is lost together with the control holder, the waits for rights
        to end and for the lease to end go on side by side. No lease is needed for an
        intent: it is a compare-and-swap, on the evidence of a majority of witnesses,
        and whoever comes second finds it there. Orders to servers wait for the lease.
        """
        self.plans.forget_requests()
        silent_s = self._context.now_s - self._heard_s
        rank = self._rank() if silent_s >= STANDBY_SILENT_S else None
        is_standby = rank is not None and rank < STANDBYS
        if not (is_standby and self._is_standby):
            # What was wanted under the lease that has ended is no standby's business.
            self._writer.clear()
            self._mover.clear()
        self._is_standby = is_standby
        if is_standby:
            self.plans.run_lost()
            self._mover.prepare()
            self._writer.flush()

    def _written(self) -> None:
        """Go on at once: until the next tick an intent would wait to be announced."""
        if self.lease.is_held:
            self._mover.tick_soon()
        elif self._is_standby:
            self._mover.prepare()

    def _may_take(self) -> bool:
        silent_s = self._context.now_s - self._heard_s
        if silent_s < CONTROL_SILENT_S:
            return False
        rank = self._rank()
        return rank is not None and (
            silent_s >= CONTROL_SILENT_S + rank * ALIVE_EVERY_S
        )

    def told(self) -> list[str]:
        """Return the hosts that are told of servers that do not answer.

        The standbys among them, since the holder may be lost at the same moment.
        """
        holder = [self.holder] if self.holder is not None else []
        return list(dict.fromkeys([*holder, *self._candidates()[:STANDBYS]]))

    def _candidates(self) -> list[str]:
        """Return the hosts that may take the control, but for a holder, in order."""
        context = self._context
        # A lost holder may count as live for a while yet; this host itself lives.
        gone = self.holder if self.holder != context.host.id else None
        of = (gone, *(context.live_hosts(domain) for domain in context.domains))
        if of != self._candidates_of:
            # Kept, since a silent holder is looked at in each tick.
            self._candidates_of = of
            self._kept_candidates = self._find_candidates(gone)
        return self._kept_candidates

    def _find_candidates(self, gone: str | None) -> list[str]:
        name = self._service.name
        candidates: list[str] = []
        for domain in self._context.domains:
            live = [one for one in self._context.live_hosts(domain) if one != gone]
            candidates += rendezvous_rank(name, live)[:CANDIDATES_PER_DOMAIN]
        return list(rendezvous_rank(name, candidates))

    def _rank(self) -> int | None:
        context = self._context
        # One more than the candidates, in case that the holder is one of them. Else
        # every host would rank the whole fleet because one of them is silent.
        if not context.is_among(self._service.name, CANDIDATES_PER_DOMAIN + 1):
            return None
        candidates = self._candidates()
        host = context.host.id
        return candidates.index(host) if host in candidates else None

    async def _take(self) -> None:
        # Also after a failed try the next one waits: the holder may be out of this
        # host's reach, and the store's rate is shared.
        self._heard_s = self._context.now_s + TAKE_AGAIN_S - CONTROL_SILENT_S
        if await self.lease.take():
            await self._load()
            self.tick_soon()

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
            await self._writer.write_first(self.plans.first_targets())
        self._loaded_term = term

    def moves(self) -> list[MoveState]:
        """Return the moves under way for the admin port."""
        return self._mover.states()

    def _report_loads(self) -> None:
        context = self._context
        report = self.sent.take(self._service.name, context.now_s)
        if report is None or self.holder is None:
            return
        hosts = sum(len(context.peers.hosts_of(one)) for one in context.domains)
        chosen = sampled(report, hosts=hosts, rng=context.rng)
        if chosen is not None:
            context.send(self.holder, chosen)

    def _say_alive(self) -> None:
        context = self._context
        if context.now_s < self._said_s + ALIVE_EVERY_S:
            return
        self._said_s = context.now_s
        self.heard(context.host.id)
        self._alive_number += 1
        watched = self.plans.watched
        self.sent.keys.watched = frozenset(watched)
        alive = ControlAlive(
            service=self._service.name,
            holder=context.host.id,
            term=self.lease.term,
            number=self._alive_number,
            watched=watched,
        )
        candidates = self._candidates()
        for domain in context.domains:
            for host in self._fanout.first_hosts(domain, also=candidates):
                context.send(host, alive)
        self._fanout.pass_on_alive(alive)
