"""The gate: what the relay asks before, during and after it sends a request.

Nothing here waits, reads a clock or knows a network. Order of calls for a request:
``submit``; after ``Start`` exactly one ``finished`` for each server that it was sent
to; after ``Wait`` a later ``finished`` or ``tick`` names it, or ``cancel`` takes it
back. ``tick`` is due every 10 to 50 ms.
"""

from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING, final

from gentianwharf.pauses import PauseDetector
from gentianwharf.topology import BackendServer, Service

if TYPE_CHECKING:
    # For its type alone: the adapters beside it take 20 MB and a third of a second.
    from gentianwharf.infra import ServerReport

from ._choose import choose_server, select_server
from ._class_state import ClassState
from ._flights import Flights
from ._health import evaluate_servers, record_outcome
from ._owner import may_queue
from ._pool import Pool
from ._queue_capacity import max_queue_capacity, queue_capacity
from ._refusals import Refusals
from ._registry import Registry
from ._requests import (
    PROVES_NOT_RUN,
    Decision,
    Outcome,
    OutcomeKind,
    Refuse,
    RefuseReason,
    RequestClass,
    Start,
    Ticket,
    Wait,
)
from ._snapshot import GateSnapshot, pool_snapshot, server_snapshot


@final
class Gate:
    """Admits, queues, refuses and places the requests of one daemon.

    >>> server = BackendServer(id="ledger-1", service="ledger", domain="hall-a",
    ...                        address="127.0.0.1:9200", slots=3, connections=120)
    >>> posting = RequestClass.from_deadline(name="posting", deadline_ms=5000, weight=8)
    >>> gate = Gate(
    ...     services=[Service(name="ledger", keyed=False, shards=0, servers=(server,))],
    ...     classes=[posting], domain="hall-a", rng=Random(1), daemons=1)
    >>> def ask(id):
    ...     return gate.submit(
    ...         Ticket(id=id, service="ledger", request_class="posting",
    ...                caller="round-rock", deadline_s=5.0), 0.0)
    >>> [type(ask(str(number))).__name__ for number in range(4)]
    ['Start', 'Start', 'Start', 'Wait']
    >>> gate.finished("0", Outcome(kind=OutcomeKind.OK, elapsed_s=0.01), 0.01)
    [Start(ticket_id='3', server='ledger-1', hedge=False)]
    """

    def __init__(
        self,
        *,
        services: Iterable[Service],
        classes: Iterable[RequestClass],
        domain: str,
        rng: Random,
        daemons: int,
    ) -> None:
        self._rng = rng
        self._registry = Registry(
            services=services, classes=classes, domain=domain, rng=rng, daemons=daemons
        )
        self._pause_detector = PauseDetector()
        self._flights = Flights()
        self._refusals = Refusals(rng=rng)
        self._waiting: dict[str, Pool] = {}
        self._retried = 0

    # What the relay calls.

    def set_daemons(self, daemons: int) -> None:
        """Follow the number of daemons that share the servers with this one."""
        self._registry.set_daemons(daemons)

    def add(
        self, *, services: Iterable[Service], classes: Iterable[RequestClass]
    ) -> None:
        """Take services and classes that a new configuration brought."""
        self._registry.add_classes(classes)
        self._registry.add_services(services)

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide on a new request."""
        budget = self._registry.budgets.get(ticket.service)
        if budget is not None:
            budget.record_request()
        return self._admit(ticket, now_s, avoid=None)

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Note how a sent request ended; return decisions on others that waited.

        ``server`` tells a hedged request's two sends apart. An outcome for a request
        that is not in flight (any more) changes nothing.
        """
        flight = self._flights.pop(ticket_id, server)
        if flight is None:
            return []
        state = self._registry.servers[flight.server]
        pool = self._registry.pool_of(flight.ticket)
        class_state = pool.classes[flight.ticket.request_class]
        del state.flights[ticket_id]
        state.overdue -= flight.overdue
        pool.record_end(class_state, flight)
        record_outcome(pool, class_state, state, flight, outcome, now_s)
        self._registry.drop_if_unlisted(state)
        return self._serve_waiting(pool, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Forget a request whose caller has gone, waiting or in flight."""
        pool = self._waiting.pop(ticket_id, None)
        if pool is not None:
            pool.remove(ticket_id)
            return []
        decisions: list[Decision] = []
        for flight in self._flights.of_request(ticket_id):
            elapsed_s = now_s - flight.started_s
            outcome = Outcome(kind=OutcomeKind.CANCELLED, elapsed_s=elapsed_s)
            decisions += self.finished(ticket_id, outcome, now_s, flight.server)
        return decisions

    def retry(
        self, ticket: Ticket, after: OutcomeKind, now_s: float, avoid: str | None = None
    ) -> Decision:
        """Decide on sending once more a request that ended with ``after``.

        To be asked when none of its sends is in flight any more. ``avoid`` is the
        server that failed it. Only what is proved not to have run, or may run twice,
        is sent again, within the budget.
        """
        if after not in PROVES_NOT_RUN and not ticket.repeatable:
            return self._refuse(ticket, RefuseReason.NOT_REPEATABLE, now_s)
        if after is OutcomeKind.SHED and ticket.server is not None:
            # The owner is full by its own word, and nobody else may run it: sent again
            # after a wait it was shed again, and its refusal came 700 ms late.
            return self._refuse(ticket, RefuseReason.OVERLOAD, now_s)
        budget = self._registry.budgets.get(ticket.service)
        if budget is None or not budget.take():
            return self._refuse(ticket, RefuseReason.RETRY_BUDGET, now_s)
        self._retried += 1
        return self._admit(ticket, now_s, avoid=avoid)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiters that have become too late, find silent servers, hedge."""
        decisions: list[Decision] = []
        paused_s = self._pause_detector.record_tick(now_s)
        evaluate_servers(
            self._registry.servers.values(), self._registry.pool_of, paused_s, now_s
        )
        for pool in list(self._registry.pools.values()):
            if pool.is_idle():
                continue
            pool.tick(now_s)
            decisions += self._refuse_expired(pool, now_s)
            decisions += self._serve_waiting(pool, now_s)
            decisions += self._send_hedges(pool, now_s)
        self._registry.drop_idle_pools()
        return decisions

    # What the daemon tells about servers.

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> list[Decision]:
        """Follow the servers of a service: new ones start cold, others leave."""
        pool = self._registry.set_servers(service, servers, now_s)
        return [] if pool is None else self._serve_waiting(pool, now_s)

    def note_load(
        self, server_id: str, *, waiting: int, slots: int, now_s: float
    ) -> None:
        """Take what a server says of its queue with an answer."""
        state = self._registry.servers.get(server_id)
        if state is None:
            return
        state.record_queue(waiting, now_s)
        pool = self._registry.pools.get((state.server.service, server_id))
        if pool is not None and pool.pinned:
            pool.limit.record_queue(
                waiting=waiting, slots=slots, has_backlog=pool.waiting > 0
            )

    def apply_server_report(
        self, server_id: str, report: "ServerReport", now_s: float
    ) -> None:
        """Take a server's own word as a hint; only "draining" is believed at once."""
        state = self._registry.servers.get(server_id)
        if state is None:
            return
        state.set_draining(report.draining, now_s)
        if report.cold and state.answer_count == 0 and state.ramp_started_s is None:
            state.ramp_started_s = now_s
        if report.healthy:
            state.last_report_s = now_s

    def snapshot(self) -> GateSnapshot:
        """Return the state for metrics."""
        return GateSnapshot(
            pools=tuple(
                pool_snapshot(key, one) for key, one in self._registry.pools.items()
            ),
            servers=tuple(
                server_snapshot(one) for one in self._registry.servers.values()
            ),
            refused=dict(self._refusals.counts),
            started=self._flights.started,
            retried=self._retried,
            hedged=self._flights.hedged,
            retry_budgets={
                name: one.tokens for name, one in self._registry.budgets.items()
            },
        )

    # Admission.

    def _admit(self, ticket: Ticket, now_s: float, *, avoid: str | None) -> Decision:
        if not self._can_be_served(ticket, now_s):
            return self._refuse(ticket, RefuseReason.NO_SERVER, now_s)
        pool = self._registry.pool_of(ticket)
        class_state = pool.classes[ticket.request_class]
        if now_s + class_state.mean_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        if self._may_start(pool, class_state, ticket, now_s):
            started = self._start(pool, class_state, ticket, now_s, avoid=avoid)
            if started is not None:
                class_state.record_decision(refused=False)
                return started
        return self._wait(pool, class_state, ticket, now_s)

    def _may_start(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> bool:
        light = pool.is_light(ticket)
        waiting = len(class_state.queue) > 0
        if waiting and (not light or pool.head_has_priority(class_state, now_s)):
            return False
        return pool.has_capacity(class_state, now_s, light=light)

    def _can_be_served(self, ticket: Ticket, now_s: float) -> bool:
        if ticket.server is None:
            pool = self._registry.pools.get((ticket.service, None))
            return pool is not None and pool.can_serve(ticket, now_s)
        state = self._registry.servers.get(ticket.server)
        if state is None or state.server.service != ticket.service:
            return False
        return state.accepts_pinned(now_s) or state.accepts_probe(
            now_s, repeatable=ticket.repeatable
        )

    def _wait(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> Decision:
        share = pool.class_share(class_state)
        rate_per_s = pool.service_rate_per_s(class_state, share)
        can_enqueue = not pool.pinned or may_queue(pool, class_state, now_s)
        if can_enqueue:
            most = max_queue_capacity(class_state.max_wait_s, rate_per_s)
            now = queue_capacity(most, class_state.refused_share, share)
            if pool.has_other_busy_caller(ticket):
                now = most
            can_enqueue = class_state.queue.can_enqueue(ticket, places=now, most=most)
        class_state.record_decision(refused=not can_enqueue)
        if not can_enqueue:
            return self._refusals.refuse_overload(
                ticket, class_state, rate_per_s, now_s
            )
        wait_s = len(class_state.queue) / rate_per_s
        if now_s + wait_s + class_state.mean_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        pool.enqueue(class_state, ticket, now_s)
        self._waiting[ticket.id] = pool
        return Wait(ticket_id=ticket.id)

    def _refuse(self, ticket: Ticket, reason: RefuseReason, now_s: float) -> Refuse:
        pool = self._registry.pools.get((ticket.service, ticket.server))
        return self._refusals.refuse(ticket, reason, pool, now_s)

    # Sending.

    def _start(
        self,
        pool: Pool,
        class_state: ClassState,
        ticket: Ticket,
        now_s: float,
        *,
        avoid: str | None = None,
    ) -> Start | None:
        state = select_server(
            pool, class_state, ticket, now_s=now_s, rng=self._rng, avoid=avoid
        )
        if state is None:
            return None
        return self._flights.start(pool, class_state, state, ticket, now_s)

    def _serve_waiting(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        blocked: set[str] = set()
        while pool.waiting:
            class_state = pool.next_class(blocked, now_s)
            if class_state is None:
                break
            ticket = class_state.queue.peek()
            late = now_s + class_state.mean_s > ticket.deadline_s
            started = None if late else self._start(pool, class_state, ticket, now_s)
            if started is None and not late:
                blocked.add(class_state.request_class.name)
                continue
            pool.dequeue(class_state)
            del self._waiting[ticket.id]
            decisions.append(
                started or self._refuse(ticket, RefuseReason.DEADLINE, now_s)
            )
        return decisions

    def _refuse_expired(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not pool.waiting:
            return decisions
        gone = pool.is_unavailable(now_s)
        for class_state in pool.classes.values():
            for ticket in class_state.queue.waiting():
                if gone or now_s + class_state.mean_s > ticket.deadline_s:
                    pool.remove(ticket.id)
                    del self._waiting[ticket.id]
                    reason = RefuseReason.NO_SERVER if gone else RefuseReason.DEADLINE
                    decisions.append(self._refuse(ticket, reason, now_s))
        return decisions

    def _send_hedges(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for late in self._flights.hedge_candidates(pool, now_s):
            if not self._registry.budgets[pool.service].take():
                break
            state = choose_server(
                pool.short_states, now_s=now_s, rng=self._rng, avoid=late.server
            )
            if state is not None:
                decisions.append(self._flights.hedge(pool, late, state, now_s))
        return decisions
