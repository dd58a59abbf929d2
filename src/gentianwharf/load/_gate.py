"""The gate: what the relay asks before, during and after it sends a request.

Nothing here waits, reads a clock or knows a network. Order of calls for a request:
``submit``; after ``Start`` exactly one ``finished`` for each server that it was sent
to; after ``Wait`` a later ``finished`` or ``tick`` names it, or ``cancel`` takes it
back. ``tick`` is due every 10 to 50 ms.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import final

from gentianwharf.platform import ServerReport
from gentianwharf.topology import BackendServer, Service

from ._budget import RetryBudget
from ._choose import choose_server
from ._class_state import ClassState
from ._pool import Pool
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
from ._server_state import (
    LEAST_OVERDUE_S,
    MOST_RATIO,
    OVERDUE_RATIO,
    Flight,
    ServerState,
    Standing,
)
from ._snapshot import ClassSnapshot, GateSnapshot, PoolSnapshot, ServerSnapshot

# An answer of a suspect is worth a second request when it takes longer than some 9 of
# 10 do: three medians. Elsewhere a late answer is a long job, which is as long twice:
# hedging those too cost 3 % of the servers' time at 70 % load and gained nothing.
HEDGE_RATIO = 3.0
# What a server that sheds without naming a time is given.
DEFAULT_SHED_S = 0.05

PoolKey = tuple[str, str | None]


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
        self._domain = domain
        self._rng = rng
        self._daemons = max(1, daemons)
        self._classes: Mapping[str, RequestClass] = {one.name: one for one in classes}
        self._servers: dict[str, ServerState] = {}
        self._pools: dict[PoolKey, Pool] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._flights: dict[str, Flight] = {}
        self._hedges: dict[str, Flight] = {}
        self._waiting: dict[str, Pool] = {}
        self._refused = dict.fromkeys(RefuseReason, 0)
        self._started = 0
        self._retried = 0
        self._hedged = 0
        for service in services:
            self._add_service(service)

    # What the relay calls.

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide on a new request."""
        budget = self._budgets.get(ticket.service)
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
        state = self._servers[flight.server]
        pool = self._pool_of(flight.ticket)
        class_state = pool.classes[flight.ticket.request_class]
        del state.flights[ticket_id]
        state.overdue -= flight.overdue
        pool.note_end(class_state, flight)
        self._learn(pool, class_state, state, flight, outcome, now_s)
        self._drop_if_gone(state)
        return self._serve_waiting(pool, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Forget a request whose caller has gone, waiting or in flight."""
        pool = self._waiting.pop(ticket_id, None)
        if pool is not None:
            for class_state in pool.classes.values():
                if class_state.queue.remove(ticket_id):
                    pool.note_left(class_state)
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

        ``avoid`` is the server that failed it. Only what is proved not to have run,
        or may run twice, is sent again, within the budget.
        """
        if after not in PROVES_NOT_RUN and not ticket.repeatable:
            return self._refuse(ticket, RefuseReason.NOT_REPEATABLE, now_s)
        budget = self._budgets.get(ticket.service)
        if budget is None or not budget.take():
            return self._refuse(ticket, RefuseReason.RETRY_BUDGET, now_s)
        self._retried += 1
        return self._admit(ticket, now_s, avoid=avoid)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse waiters that have become too late, find silent servers, hedge."""
        decisions: list[Decision] = []
        for state in self._servers.values():
            self._judge_overdue(state, now_s)
        for pool in list(self._pools.values()):
            pool.tick(now_s)
            decisions += self._refuse_late(pool, now_s)
            decisions += self._serve_waiting(pool, now_s)
            decisions += self._hedge_late(pool, now_s)
        return decisions

    # What the daemon tells about servers.

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> list[Decision]:
        """Follow the servers of a service: new ones start cold, others leave."""
        wanted = {one.id: one for one in servers}
        for state in self._states_of(service):
            if state.server.id not in wanted:
                state.leave(now_s)
        for server in wanted.values():
            known = self._servers.get(server.id)
            if known is None:
                self._add_server(server).ramp_from_s = now_s
            elif known.standing is Standing.LEAVING:
                known.come_back(now_s)
        for state in self._states_of(service):
            self._drop_if_gone(state)
        pool = self._pools.get((service, None))
        if pool is None:
            return []
        pool.set_states(self._states_of(service))
        return self._serve_waiting(pool, now_s)

    def report(self, server_id: str, report: ServerReport, now_s: float) -> None:
        """Take a server's own word as a hint; only "draining" is believed at once."""
        state = self._servers.get(server_id)
        if state is None:
            return
        if report.draining:
            state.leave(now_s)
        if report.cold and state.answers == 0 and state.ramp_from_s is None:
            state.ramp_from_s = now_s
        if report.healthy:
            state.shown_life_s = now_s

    def snapshot(self) -> GateSnapshot:
        """Return the state for metrics."""
        return GateSnapshot(
            pools=tuple(_pool_snapshot(key, one) for key, one in self._pools.items()),
            servers=tuple(_server_snapshot(one) for one in self._servers.values()),
            refused=dict(self._refused),
            started=self._started,
            retried=self._retried,
            hedged=self._hedged,
            retries_saved={name: one.saved for name, one in self._budgets.items()},
        )

    # Servers and pools.

    def _add_service(self, service: Service) -> None:
        self._budgets[service.name] = RetryBudget()
        states = [self._add_server(server) for server in service.servers]
        if not service.keyed:
            self._pools[service.name, None] = self._make_pool(service.name, states)

    def _add_server(self, server: BackendServer) -> ServerState:
        state = ServerState(
            server=server,
            local=server.domain == self._domain,
            most_connections=max(1, server.connections // self._daemons),
        )
        self._servers[server.id] = state
        return state

    def _make_pool(
        self, service: str, states: list[ServerState], *, pinned: bool = False
    ) -> Pool:
        return Pool(
            service=service,
            states=states,
            classes=self._classes,
            daemons=self._daemons,
            rng=self._rng,
            pinned=pinned,
        )

    def _states_of(self, service: str) -> list[ServerState]:
        return [one for one in self._servers.values() if one.server.service == service]

    def _drop_if_gone(self, state: ServerState) -> None:
        if state.standing is not Standing.LEAVING or state.flights:
            return
        service, server_id = state.server.service, state.server.id
        del self._servers[server_id]
        bound = self._pools.get((service, server_id))
        if bound is not None and not bound.waiting:
            del self._pools[service, server_id]
        pool = self._pools.get((service, None))
        if pool is not None:
            pool.set_states([one for one in pool.states if one is not state])

    def _pool_of(self, ticket: Ticket) -> Pool:
        key = (ticket.service, ticket.server)
        pool = self._pools.get(key)
        if pool is None:
            assert ticket.server is not None
            states = [self._servers[ticket.server]]
            pool = self._make_pool(ticket.service, states, pinned=True)
            self._pools[key] = pool
        return pool

    # Admission.

    def _admit(self, ticket: Ticket, now_s: float, *, avoid: str | None) -> Decision:
        if not self._can_be_served(ticket, now_s):
            return self._refuse(ticket, RefuseReason.NO_SERVER, now_s)
        pool = self._pool_of(ticket)
        class_state = pool.classes[ticket.request_class]
        if now_s + class_state.mean_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        if not len(class_state.queue) and pool.has_room(class_state):
            started = self._start(pool, class_state, ticket, now_s, avoid=avoid)
            if started is not None:
                return started
        return self._wait(pool, class_state, ticket, now_s)

    def _can_be_served(self, ticket: Ticket, now_s: float) -> bool:
        if ticket.server is None:
            pool = self._pools.get((ticket.service, None))
            return pool is not None and any(
                one.standing is Standing.ACTIVE
                or one.takes_probe(now_s, repeatable=ticket.repeatable)
                for one in pool.states
            )
        state = self._servers.get(ticket.server)
        if state is None or state.server.service != ticket.service:
            return False
        return state.takes_pinned(now_s) or state.takes_probe(
            now_s, repeatable=ticket.repeatable
        )

    def _wait(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> Decision:
        places = pool.places(class_state, now_s)
        if not class_state.queue.has_place(ticket, places):
            return self._refuse(ticket, RefuseReason.OVERLOAD, now_s)
        ready_s = now_s + pool.expected_wait_s(class_state) + class_state.mean_s
        if ready_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        pool.push(class_state, ticket, now_s)
        self._waiting[ticket.id] = pool
        return Wait(ticket_id=ticket.id)

    def _refuse(self, ticket: Ticket, reason: RefuseReason, now_s: float) -> Refuse:
        self._refused[reason] += 1
        pool = self._pools.get((ticket.service, ticket.server))
        if pool is None:
            retry_after_s = 1.0 + self._rng.random()
        else:
            class_state = pool.classes[ticket.request_class]
            retry_after_s = class_state.comeback.retry_after_s(
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
        state = self._place(pool, class_state, ticket, now_s, avoid)
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

    def _place(
        self,
        pool: Pool,
        class_state: ClassState,
        ticket: Ticket,
        now_s: float,
        avoid: str | None,
    ) -> ServerState | None:
        if pool.pinned:
            state = pool.states[0]
            if state.takes_probe(now_s, repeatable=ticket.repeatable):
                return state
            if not state.takes_pinned(now_s):
                return None
            full = len(state.flights) >= state.most_connections
            return None if full or now_s < state.shed_until_s else state
        if class_state.request_class.long:
            states = pool.long_states or pool.states
        else:
            states = pool.short_states
            for state in states:
                if state.takes_probe(now_s, repeatable=ticket.repeatable):
                    return state
        return choose_server(states, now_s=now_s, rng=self._rng, avoid=avoid)

    def _serve_waiting(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        blocked: set[str] = set()
        while pool.waiting:
            class_state = pool.next_class(blocked)
            if class_state is None:
                break
            ticket = class_state.queue.peek()
            late = now_s + class_state.mean_s > ticket.deadline_s
            started = None if late else self._start(pool, class_state, ticket, now_s)
            if started is None and not late:
                blocked.add(class_state.request_class.name)
                continue
            class_state.queue.pop()
            self._note_left(pool, class_state, ticket)
            decisions.append(
                started or self._refuse(ticket, RefuseReason.DEADLINE, now_s)
            )
        return decisions

    def _note_left(self, pool: Pool, class_state: ClassState, ticket: Ticket) -> None:
        pool.note_left(class_state)
        del self._waiting[ticket.id]

    def _refuse_late(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if not pool.waiting:
            return decisions
        for class_state in pool.classes.values():
            for ticket in class_state.queue.waiting():
                if now_s + class_state.mean_s > ticket.deadline_s:
                    class_state.queue.remove(ticket.id)
                    self._note_left(pool, class_state, ticket)
                    decisions.append(self._refuse(ticket, RefuseReason.DEADLINE, now_s))
        return decisions

    # Learning.

    def _take_flight(self, ticket_id: str, server: str | None) -> Flight | None:
        for table in (self._flights, self._hedges):
            flight = table.get(ticket_id)
            if flight is not None and server in (None, flight.server):
                return table.pop(ticket_id)
        return None

    def _learn(
        self,
        pool: Pool,
        class_state: ClassState,
        state: ServerState,
        flight: Flight,
        outcome: Outcome,
        now_s: float,
    ) -> None:
        kind = outcome.kind
        if kind is OutcomeKind.SHED:
            pool.limit.note_shed()
            state.note_shed(now_s, outcome.retry_after_s or DEFAULT_SHED_S)
        elif kind in (OutcomeKind.CONNECT_FAILED, OutcomeKind.TIMEOUT):
            self._judge(pool, state, flight, MOST_RATIO, now_s)
        elif kind in (OutcomeKind.OK, OutcomeKind.SLOW):
            ratio = class_state.note_answer(outcome.elapsed_s)
            if flight.long:
                return
            pool.limit.note_answer(
                elapsed_s=outcome.elapsed_s, wanted_more=pool.waiting > 0
            )
            state.shown_life_s = now_s
            self._judge(pool, state, flight, ratio, now_s)

    def _judge(
        self,
        pool: Pool,
        state: ServerState,
        flight: Flight,
        ratio: float,
        now_s: float,
    ) -> None:
        if flight.judged:
            return
        flight.judged = True
        state.note_ratio(ratio, now_s, probe=flight.probe)
        # The only server of a pool: refusing all would be worse than its slowness.
        if state.is_too_slow() and not pool.pinned and len(pool.states) > 1:
            self._suspect(state, now_s)

    def _suspect(self, state: ServerState, now_s: float) -> None:
        state.suspect(now_s)
        # What it owes must not hold the pool's limit while others are free.
        for flight in state.flights.values():
            pool = self._pool_of(flight.ticket)
            pool.note_end(pool.classes[flight.ticket.request_class], flight)

    def _judge_overdue(self, state: ServerState, now_s: float) -> None:
        for flight in list(state.flights.values()):
            if flight.long or flight.judged:
                continue
            pool = self._pool_of(flight.ticket)
            median_s = pool.classes[flight.ticket.request_class].median_s
            overdue_s = max(LEAST_OVERDUE_S, OVERDUE_RATIO * median_s)
            if median_s and now_s - flight.started_s > overdue_s:
                state.overdue += 1
                flight.overdue = True
                self._judge(pool, state, flight, MOST_RATIO, now_s)

    def _hedge_late(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if pool.pinned or pool.waiting:
            return decisions
        budget = self._budgets[pool.service]
        for state in pool.states:
            if state.standing is not Standing.SUSPECT:
                continue
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


def _pool_snapshot(key: PoolKey, pool: Pool) -> PoolSnapshot:
    return PoolSnapshot(
        service=key[0],
        server=key[1],
        limit=pool.limit.value,
        in_flight=pool.short_in_flight + pool.long_in_flight,
        long_servers=len(pool.long_states),
        classes=tuple(
            ClassSnapshot(
                name=name,
                waiting=len(one.queue),
                in_flight=one.in_flight,
                mean_ms=one.mean_s * 1000,
                expected_wait_ms=pool.expected_wait_s(one) * 1000,
            )
            for name, one in pool.classes.items()
        ),
    )


def _server_snapshot(state: ServerState) -> ServerSnapshot:
    return ServerSnapshot(
        id=state.server.id,
        service=state.server.service,
        standing=state.standing,
        in_flight=len(state.flights),
        slowness=state.ratio,
        ramping=state.ramp_from_s is not None,
    )
