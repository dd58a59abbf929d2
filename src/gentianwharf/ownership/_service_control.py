"""The control of one service: acquiring the lease, planning and moving shards."""

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
"""Hosts of each domain that may acquire the control of a service."""

STANDBYS = 2
"""Candidates that prepare a takeover while the holder is silent. One is not enough: the
first may be lost together with the holder without this being detected yet."""

ALIVE_EVERY_S = 0.2
"""Interval between the holder's heartbeats."""

EARLY_TICK_DELAY_S = 0.01
"""Delay before an early tick, so that suspicions which arrive together, one from each
witness, are handled in one tick. It is a fifth of a tick and short beside the 0.4 s
after which a right expires."""


@final
class ServiceControl:
    """Control of one service; runs on every host, acts on the holder and standbys."""

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
            written=self._on_written,
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
        self._last_alive_s = context.now_s
        self._fanout = fanout
        self._alive_sent_s = float("-inf")
        self._alive_number = 0
        self._busy = False
        self._table_read_term = 0
        self._is_tick_due = False
        self._is_standby = False
        self._candidate_inputs: tuple[object, ...] = ()
        self._cached_candidates: list[str] = []
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

    def handle_alive(self, alive: ControlAlive) -> None:
        """Handle a holder's heartbeat, and forward it in a large domain."""
        self.record_holder(alive.holder)
        self.sent.keys.watched = frozenset(alive.watched)
        self._fanout.forward_alive(alive)

    def record_holder(self, host: str) -> None:
        """Record ``host`` as the holder of the control."""
        self.holder = host
        self._last_alive_s = self._context.now_s

    def tick(self) -> None:
        """Renew or acquire the lease, plan, and advance the moves."""
        self._report_loads()
        if not self.lease.is_held:
            self._prepare_takeover()
            if self._may_acquire():
                self._start(self._acquire)
            return
        self._is_standby = False
        if self.lease.is_renewal_due:
            self._start(self.lease.renew)
        if self._table_read_term != self.lease.term:
            self._start(self._read_table)
            return
        self._send_alive()
        self.plans.run()
        self._mover.tick()
        self._writer.flush()

    def tick_soon(self) -> None:
        """Schedule one early tick, however many suspicions arrive until then."""
        if self._is_tick_due:
            return
        self._is_tick_due = True
        self._context.clock.callLater(EARLY_TICK_DELAY_S, self._tick_now)

    def _tick_now(self) -> None:
        self._is_tick_due = False
        self.tick()

    def _start(self, work: Callable[[], Coroutine[Deferred[Any], Any, None]]) -> None:
        if not self._busy:
            self._busy = True
            Deferred.fromCoroutine(self._run_logged(work))

    async def _run_logged(
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

    def _prepare_takeover(self) -> None:
        """Start the moves away from lost servers while the holder is silent.

        When a server is lost together with the control holder, this lets the rights
        and the lease expire in parallel. An intent needs no lease: it is written by
        compare-and-swap, on the evidence of a majority of witnesses, and a second
        writer finds it in the store. Orders to servers wait for the lease.
        """
        self.plans.forget_requests()
        silent_s = self._context.now_s - self._last_alive_s
        rank = self._rank() if silent_s >= STANDBY_SILENT_S else None
        is_standby = rank is not None and rank < STANDBYS
        if not (is_standby and self._is_standby):
            # A standby must not write changes that were requested under a lease that
            # has expired.
            self._writer.clear()
            self._mover.clear()
        self._is_standby = is_standby
        if is_standby:
            self.plans.run_lost()
            self._mover.prepare()
            self._writer.flush()

    def _on_written(self) -> None:
        """Continue at once, so that an intent is announced before the next tick."""
        if self.lease.is_held:
            self._mover.tick_soon()
        elif self._is_standby:
            self._mover.prepare()

    def _may_acquire(self) -> bool:
        silent_s = self._context.now_s - self._last_alive_s
        if silent_s < CONTROL_SILENT_S:
            return False
        rank = self._rank()
        return rank is not None and (
            silent_s >= CONTROL_SILENT_S + rank * ALIVE_EVERY_S
        )

    def suspicion_recipients(self) -> list[str]:
        """Return the hosts that receive suspicions of servers that do not answer.

        They include the standbys, since the holder may be lost at the same time.
        """
        holder = [self.holder] if self.holder is not None else []
        return list(dict.fromkeys([*holder, *self._candidates()[:STANDBYS]]))

    def _candidates(self) -> list[str]:
        """Return the hosts that may take over from the holder, in order of rank."""
        context = self._context
        # Another host that is the holder is left out, since a lost holder may still be
        # counted as live. This host is running, so it is never left out.
        excluded = self.holder if self.holder != context.host.id else None
        inputs = (
            excluded,
            *(context.live_hosts(domain) for domain in context.domains),
        )
        if inputs != self._candidate_inputs:
            # Cached, since the rank is checked in each tick while the holder is silent.
            self._candidate_inputs = inputs
            self._cached_candidates = self._find_candidates(excluded)
        return self._cached_candidates

    def _find_candidates(self, excluded: str | None) -> list[str]:
        name = self._service.name
        candidates: list[str] = []
        for domain in self._context.domains:
            live = [
                host for host in self._context.live_hosts(domain) if host != excluded
            ]
            candidates += rendezvous_rank(name, live)[:CANDIDATES_PER_DOMAIN]
        return list(rendezvous_rank(name, candidates))

    def _rank(self) -> int | None:
        context = self._context
        # One host more than the candidates, since the holder may be among them. Without
        # this check a silent holder would make every host rank the whole fleet.
        if not context.is_selected(self._service.name, CANDIDATES_PER_DOMAIN + 1):
            return None
        candidates = self._candidates()
        host = context.host.id
        return candidates.index(host) if host in candidates else None

    async def _acquire(self) -> None:
        # The next attempt waits also after a failed one: the holder may only be
        # unreachable from this host, and all hosts share the store's rate limit.
        self._last_alive_s = self._context.now_s + TAKE_AGAIN_S - CONTROL_SILENT_S
        if await self.lease.acquire():
            await self._read_table()
            self.tick_soon()

    async def _read_table(self) -> None:
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
        for value in found:
            item = Item(context.relative_key(value.key), value.revision, value.value)
            context.tables.install(item)
        if not context.tables.is_complete(self._service.name):
            await self._writer.write_first(self.plans.first_targets())
        self._table_read_term = term

    def moves(self) -> list[MoveState]:
        """Return the moves in progress for the admin port."""
        return self._mover.states()

    def _report_loads(self) -> None:
        context = self._context
        report = self.sent.take(self._service.name, context.now_s)
        if report is None or self.holder is None:
            return
        hosts = sum(len(context.peers.hosts_of(domain)) for domain in context.domains)
        sample = sampled(report, hosts=hosts, rng=context.rng)
        if sample is not None:
            context.send(self.holder, sample)

    def _send_alive(self) -> None:
        context = self._context
        if context.now_s < self._alive_sent_s + ALIVE_EVERY_S:
            return
        self._alive_sent_s = context.now_s
        self.record_holder(context.host.id)
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
        self._fanout.forward_alive(alive)
