"""The gate: what the relay asks before, during and after it sends a request.

Nothing here waits, reads a clock or knows a network. Order of calls for a request:
``submit``; after ``Start`` exactly one ``finished`` for each server that it was sent
to; after ``Wait`` a later ``finished`` or ``tick`` names it, or ``cancel`` takes it
back. ``tick`` is due every 10 to 50 ms.
"""

from collections.abc import Iterable
from random import Random
from typing import final

from gentianwharf.pauses import TickGap
from gentianwharf.platform import ServerReport
from gentianwharf.topology import BackendServer, Service

from ._choose import choose_server, place
from ._class_state import ClassState
from ._health import judge_all, learn
from ._pool import Pool
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
from ._server_state import Flight, Standing
from ._snapshot import GateSnapshot, pool_snapshot, server_snapshot

# An answer of a suspect is worth a second request when it takes longer than some 9 of
# 10 do: three medians. Elsewhere a late answer is a long job, which is as long twice:
# hedging those too cost 3 % of the servers' time at 70 % load and gained nothing.
HEDGE_RATIO = 3.0


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
        self._tick_gap = TickGap()
        self._flights: dict[str, Flight] = {}
        self._hedges: dict[str, Flight] = {}
        self._waiting: dict[str, Pool] = {}
        self._refused = dict.fromkeys(RefuseReason, 0)
        self._started = 0
        self._retried = 0
        self._hedged = 0

    # What the relay calls.

    def set_daemons(self, daemons: int) -> None:
        """Follow the number of daemons that share the servers with this one."""
        self._registry.set_daemons(daemons)

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide on a new request."""
        budget = self._registry.budgets.get(ticket.service)
        if budget is not None:
            budget.note_request()
        return self._admit(ticket, now_s, avoid=None)

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Note how a sent request ended; return decisions on others that waited.

        ``server`` tells a hedged request's two sends apart. An outcome for a request
        that is not in flight (any more) changes nothing.
        """
        flight = self._take_flight(ticket_id, server)
        if flight is None:
            return []
        state = self._registry.servers[flight.server]
        pool = self._registry.pool_of(flight.ticket)
        class_state = pool.classes[flight.ticket.request_class]
        del state.flights[ticket_id]
        state.overdue -= flight.overdue
        pool.note_end(class_state, flight)
        learn(pool, class_state, state, flight, outcome, now_s)
        self._registry.drop_if_gone(state)
        return self._serve_waiting(pool, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Forget a request whose caller has gone, waiting or in flight."""
        pool = self._waiting.pop(ticket_id, None)
        if pool is not None:
            for class_state in pool.classes.values():
                if class_state.queue.remove(ticket_id):
                    pool.waiting -= 1
            return []
        decisions: list[Decision] = []
        for flight in (self._flights.get(ticket_id), self._hedges.get(ticket_id)):
            if flight is not None:
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
        budget = self._registry.budgets.get(ticket.service)
        if budget is None or not budget.take():
            return self._refuse(ticket, RefuseReason.RETRY_BUDGET, now_s)
        self._retried += 1
        return self._admit(ticket, now_s, avoid=avoid)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiters that have become too late, find silent servers, hedge."""
        decisions: list[Decision] = []
        paused_s = self._tick_gap.note_tick(now_s)
        judge_all(
            self._registry.servers.values(), self._registry.pool_of, paused_s, now_s
        )
        for pool in list(self._registry.pools.values()):
            pool.tick(now_s)
            decisions += self._refuse_late(pool, now_s)
            decisions += self._serve_waiting(pool, now_s)
            decisions += self._hedge_late(pool, now_s)
        self._registry.drop_idle_pools()
        return decisions

    # What the daemon tells about servers.

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> list[Decision]:
        """Follow the servers of a service: new ones start cold, others leave."""
        pool = self._registry.set_servers(service, servers, now_s)
        return [] if pool is None else self._serve_waiting(pool, now_s)

    def report(self, server_id: str, report: ServerReport, now_s: float) -> None:
        """Take a server's own word as a hint; only "draining" is believed at once."""
        state = self._registry.servers.get(server_id)
        if state is None:
            return
        state.note_draining(report.draining, now_s)
        if report.cold and state.answers == 0 and state.ramp_from_s is None:
            state.ramp_from_s = now_s
        if report.healthy:
            state.reported_s = now_s

    def snapshot(self) -> GateSnapshot:
        """Return the state for metrics."""
        return GateSnapshot(
            pools=tuple(
                pool_snapshot(key, one) for key, one in self._registry.pools.items()
            ),
            servers=tuple(
                server_snapshot(one) for one in self._registry.servers.values()
            ),
            refused=dict(self._refused),
            started=self._started,
            retried=self._retried,
            hedged=self._hedged,
            retries_saved={
                name: one.saved for name, one in self._registry.budgets.items()
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
                class_state.note_decision(refused=False)
                return started
        return self._wait(pool, class_state, ticket, now_s)

    def _may_start(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> bool:
        light = pool.is_light(ticket)
        waiting = len(class_state.queue) > 0
        if waiting and (not light or pool.passes_first(class_state, now_s)):
            return False
        return pool.has_room(class_state, light=light)

    def _can_be_served(self, ticket: Ticket, now_s: float) -> bool:
        if ticket.server is None:
            pool = self._registry.pools.get((ticket.service, None))
            return pool is not None and any(
                one.standing is Standing.ACTIVE
                or one.takes_probe(now_s, repeatable=ticket.repeatable)
                for one in pool.states
            )
        state = self._registry.servers.get(ticket.server)
        if state is None or state.server.service != ticket.service:
            return False
        return state.takes_pinned(now_s) or state.takes_probe(
            now_s, repeatable=ticket.repeatable
        )

    def _wait(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> Decision:
        rate_per_s = pool.turn_rate_per_s(class_state)
        most = pool.most_places(class_state, rate_per_s)
        has_place = class_state.queue.has_place(
            ticket, places=pool.places(class_state, most), most=most
        )
        class_state.note_decision(refused=not has_place)
        if not has_place:
            return self._refuse(ticket, RefuseReason.OVERLOAD, now_s)
        wait_s = len(class_state.queue) / rate_per_s
        if now_s + wait_s + class_state.mean_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        pool.push(class_state, ticket, now_s)
        self._waiting[ticket.id] = pool
        return Wait(ticket_id=ticket.id)

    def _refuse(self, ticket: Ticket, reason: RefuseReason, now_s: float) -> Refuse:
        self._refused[reason] += 1
        pool = self._registry.pools.get((ticket.service, ticket.server))
        if pool is None:
            retry_after_s = 1.0 + self._rng.random()
        else:
            class_state = pool.classes[ticket.request_class]
            retry_after_s = class_state.return_times.retry_after_s(
                backlog=len(class_state.queue),
                rate_per_s=pool.turn_rate_per_s(class_state),
                now_s=now_s,
            )
        return Refuse(ticket_id=ticket.id, reason=reason, retry_after_s=retry_after_s)

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
        state = place(
            pool, class_state, ticket, now_s=now_s, rng=self._rng, avoid=avoid
        )
        if state is None:
            return None
        probe = state.standing is Standing.SUSPECT
        flight = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=class_state.request_class.long,
            probe=probe,
        )
        if probe:
            state.note_probe(now_s)
        state.flights[ticket.id] = flight
        self._flights[ticket.id] = flight
        pool.note_start(class_state, flight, now_s)
        if probe:
            # A server that still owes its last answers may owe this one for long.
            pool.note_end(class_state, flight)
        self._started += 1
        return Start(ticket_id=ticket.id, server=state.server.id)

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
            class_state.queue.pop()
            self._note_left(pool, ticket)
            decisions.append(
                started or self._refuse(ticket, RefuseReason.DEADLINE, now_s)
            )
        return decisions

    def _note_left(self, pool: Pool, ticket: Ticket) -> None:
        pool.waiting -= 1
        del self._waiting[ticket.id]

    def _refuse_late(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not pool.waiting:
            return decisions
        gone = pool.is_gone(now_s)
        for class_state in pool.classes.values():
            for ticket in class_state.queue.waiting():
                if gone or now_s + class_state.mean_s > ticket.deadline_s:
                    class_state.queue.remove(ticket.id)
                    self._note_left(pool, ticket)
                    reason = RefuseReason.NO_SERVER if gone else RefuseReason.DEADLINE
                    decisions.append(self._refuse(ticket, reason, now_s))
        return decisions

    # Ends and hedges.

    def _take_flight(self, ticket_id: str, server: str | None) -> Flight | None:
        for table in (self._flights, self._hedges):
            flight = table.get(ticket_id)
            if flight is not None and server in (None, flight.server):
                return table.pop(ticket_id)
        return None

    def _hedge_late(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if pool.pinned:
            return decisions
        budget = self._registry.budgets[pool.service]
        for state in pool.suspects:
            for flight in list(state.flights.values()):
                if not self._may_hedge(pool, flight, now_s) or not budget.take():
                    continue
                started = self._start_hedge(pool, flight, now_s)
                if started is not None:
                    decisions.append(started)
        return decisions

    def _may_hedge(self, pool: Pool, flight: Flight, now_s: float) -> bool:
        ticket = flight.ticket
        class_state = pool.classes[ticket.request_class]
        if flight.hedge or not ticket.repeatable or ticket.id in self._hedges:
            return False
        if not class_state.request_class.hedged or not class_state.median_s:
            return False
        return now_s - flight.started_s > HEDGE_RATIO * class_state.median_s

    def _start_hedge(self, pool: Pool, flight: Flight, now_s: float) -> Start | None:
        ticket = flight.ticket
        state = choose_server(
            pool.short_states, now_s=now_s, rng=self._rng, avoid=flight.server
        )
        if state is None:
            return None
        second = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=False,
            hedge=True,
        )
        state.flights[ticket.id] = second
        self._hedges[ticket.id] = second
        pool.note_start(pool.classes[ticket.request_class], second, now_s)
        self._hedged += 1
        return Start(ticket_id=ticket.id, server=state.server.id, hedge=True)
