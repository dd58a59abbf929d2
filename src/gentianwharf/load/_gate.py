"""The gate: admission, queueing and placement decisions for the relay.

The code is sans-I/O: it never blocks, reads a clock or opens a connection. The calls
for a request are, in this order: ``submit``; after a ``QueryLoad``, ``place``; after an
``AcquireSlot``, one of ``place_granted``, ``refuse_slot`` and
``admit_without_dispatcher``; after a ``Start``, exactly one ``finished`` for each
server that the request was sent to; after a ``Wait``, a later call returns a decision
about the request. ``cancel`` withdraws a request before any of these. ``tick`` has to
be called every 10 to 50 ms.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, final

from gentianwharf.pauses import PauseDetector
from gentianwharf.topology import BackendServer, Service

if TYPE_CHECKING:
    # Imported for its type only: the other modules of that package need 20 MB and a
    # third of a second to load.
    from gentianwharf.infra import ServerReport

from ._budget import RetryAgreement
from ._choose import choose_server, select_server
from ._class_state import ClassState
from ._dispatched_placement import DispatchedPlacement
from ._flights import Flights
from ._gate_notices import GateNotices
from ._gate_retries import GateRetries
from ._health import evaluate_servers, record_outcome
from ._pool import Pool
from ._queried_placement import QueriedPlacement
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
)
from ._server_state import LEAVING_GRACE_S, LoadReport
from ._snapshot import GateSnapshot, gate_snapshot
from ._waiting_requests import WaitingRequests


@final
class Gate:
    """Admits, queues, refuses and places the requests of one daemon.

    The decisions in a returned list are about requests that waited, or are hedges.
    ``name`` is this daemon's among the names of ``set_hosts``. ``retry_agreement``
    states the retries that all daemons together may send. An owner that leaves gets
    requests for its shards for ``leaving_grace_s``. ``notices`` takes what servers
    state about the requests that they accept.

    >>> server = BackendServer(id="ledger-1", service="ledger", domain="hall-a",
    ...                        address="127.0.0.1:9200", slots=3, connections=120)
    >>> posting = RequestClass.from_deadline(name="posting", deadline_ms=5000, weight=8)
    >>> gate = Gate(
    ...     services=[Service(name="ledger", keyed=False, shards=0, servers=(server,))],
    ...     classes=[posting], domain="hall-a", rng=Random(1), daemons=1)
    >>> def submit(id):
    ...     return gate.submit(
    ...         Ticket(id=id, service="ledger", request_class="posting",
    ...                caller="round-rock", deadline_s=5.0), 0.0)
    >>> [type(submit(str(number))).__name__ for number in range(4)]
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
        name: str = "",
        retry_agreement: RetryAgreement | None = None,
        leaving_grace_s: float = LEAVING_GRACE_S,
    ) -> None:
        self._rng = rng
        self._registry = Registry(
            services=services,
            classes=classes,
            domain=domain,
            rng=rng,
            daemons=daemons,
            name=name,
            retry_agreement=retry_agreement,
            leaving_grace_s=leaving_grace_s,
        )
        self._pause_detector = PauseDetector()
        self._flights = Flights()
        self._refusals = Refusals(rng=rng)
        self._waiting = WaitingRequests(
            registry=self._registry, refusals=self._refusals, start=self._start
        )
        self._dispatched = DispatchedPlacement(
            registry=self._registry,
            flights=self._flights,
            refusals=self._refusals,
            rng=rng,
        )
        self._queried = QueriedPlacement(
            registry=self._registry,
            flights=self._flights,
            refusals=self._refusals,
            rng=rng,
            admit=self._admit,
        )
        self.retries = GateRetries(registry=self._registry)
        self.notices = GateNotices(registry=self._registry, flights=self._flights)
        self._retried = 0

    # Calls of the relay.

    def set_daemons(self, daemons: int) -> None:
        """Set the number of daemons that share the servers, including this one."""
        self._registry.set_daemons(daemons)

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the names of all hosts, including this one.

        They share the few requests that cold servers tolerate.
        """
        self._registry.set_hosts(names)
        self._dispatched.update_senders()

    def set_cold(self, server_id: str, *, until_s: float) -> None:
        """Record until when a server is cold, also before it is listed."""
        self._registry.notices.set_cold(server_id, until_s=until_s)

    def add(
        self, *, services: Iterable[Service], classes: Iterable[RequestClass]
    ) -> None:
        """Add the services and classes of a new configuration."""
        self._registry.add_classes(classes)
        self._registry.add_services(services)

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide on a new request."""
        self._registry.budgets.record_request(ticket.service, now_s)
        return self._begin(ticket, now_s, avoid=None)

    def place(self, ticket_id: str, now_s: float) -> Decision:
        """Decide on a request after the servers of its ``QueryLoad`` were queried."""
        return self._queried.place(ticket_id, now_s)

    def set_dispatched(self, services: Collection[str]) -> None:
        """Set the services whose requests need a slot that a dispatcher grants."""
        self._dispatched.set_services(services)

    def place_granted(self, ticket_id: str, server: str, now_s: float) -> Decision:
        """Decide on a request that was granted a slot of ``server``.

        After any decision except ``Start`` the slot has to be returned.
        """
        return self._dispatched.place_granted(ticket_id, server, now_s)

    def refuse_slot(
        self, ticket_id: str, *, reason: str, retry_after_s: float
    ) -> Refuse:
        """Refuse a request because its dispatcher refused to grant a slot."""
        return self._dispatched.refuse(ticket_id, reason, retry_after_s)

    def admit_without_dispatcher(self, ticket_id: str, now_s: float) -> Decision:
        """Decide on a request for which no dispatcher could be reached."""
        return self._dispatched.place_alone(ticket_id, now_s)

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Record how a sent request ended; return decisions on waiting requests.

        ``server`` distinguishes the two sends of a hedged request. An outcome of a
        request that is not in flight is ignored.
        """
        flight = self._flights.end(ticket_id, server, outcome)
        if flight is None:
            return []
        state = self._registry.servers[flight.server]
        pool = self._registry.pool_of(flight.ticket)
        class_state = pool.classes[flight.ticket.request_class]
        del state.flights[ticket_id]
        state.overdue -= flight.overdue
        pool.record_end(class_state, flight)
        record_outcome(pool, class_state, state, flight, outcome, now_s)
        self._dispatched.record_outcome(flight, outcome)
        self._registry.drop_if_unlisted(state)
        return self._waiting.serve(pool, now_s)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Drop a waiting or in-flight request whose caller has disconnected."""
        if self._dispatched.cancel(ticket_id) or self._queried.cancel(ticket_id):
            return []
        if self._waiting.cancel(ticket_id):
            return []
        decisions: list[Decision] = []
        for flight in self._flights.of_request(ticket_id):
            elapsed_s = now_s - flight.started_s
            outcome = Outcome(kind=OutcomeKind.CANCELLED, elapsed_s=elapsed_s)
            decisions += self.finished(ticket_id, outcome, now_s, flight.server)
        return decisions

    def retry(
        self,
        ticket: Ticket,
        after: OutcomeKind,
        now_s: float,
        avoid: str | None = None,
        *,
        is_repeat: bool = True,
    ) -> Decision:
        """Decide whether to resend a request that ended with ``after``.

        Call this when none of its sends is in flight. ``avoid`` is the server that
        failed it. A request is resent only if it is proved not to have run or may run
        twice, and only within the retry budget unless no server has received it.
        """
        if after not in PROVES_NOT_RUN and not ticket.repeatable:
            return self._refuse(ticket, RefuseReason.NOT_REPEATABLE, now_s)
        if after is OutcomeKind.SHED and ticket.server is not None:
            # The owner reported that it is full, and no other server may run the
            # request.
            return self._refuse(ticket, RefuseReason.OVERLOAD, now_s)
        if is_repeat and not self._registry.budgets.allow(ticket.service, now_s):
            return self._refuse(ticket, RefuseReason.RETRY_BUDGET, now_s)
        self._retried += 1
        return self._begin(ticket, now_s, avoid=avoid)

    def tick(self, now_s: float) -> list[Decision]:
        """Refuse expired requests, detect unresponsive servers and send hedges."""
        decisions: list[Decision] = []
        self._registry.budgets.tick(now_s)
        paused_s = self._pause_detector.record_tick(now_s)
        evaluate_servers(
            self._registry.servers.values(), self._registry.pool_of, paused_s, now_s
        )
        for pool in list(self._registry.pools.values()):
            if pool.is_idle():
                continue
            pool.tick(now_s)
            decisions += self._waiting.refuse_expired(pool, now_s)
            decisions += self._waiting.serve(pool, now_s)
            decisions += self._send_hedges(pool, now_s)
        self._registry.drop_outdated(now_s)
        return decisions

    # Updates about servers, called by the daemon.

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> list[Decision]:
        """Update a service's servers: new ones start cold, unlisted ones leave."""
        pool = self._registry.set_servers(service, servers, now_s)
        return [] if pool is None else self._waiting.serve(pool, now_s)

    def note_load(
        self,
        server_id: str,
        *,
        waiting: int,
        slots: int,
        now_s: float,
        running: int = 0,
        slowdown: float | None = None,
    ) -> None:
        """Apply the load that a server reported with an answer or to a query."""
        report = None
        if slowdown is not None:
            report = LoadReport(
                running=running, waiting=waiting, slowdown=slowdown, at_s=now_s
            )
        self._registry.record_load(
            server_id, waiting=waiting, slots=slots, report=report, now_s=now_s
        )

    def set_speeds(self, speeds: Mapping[str, float]) -> None:
        """Set the speeds of servers by id, relative to the mean of their service."""
        self._registry.set_speeds(speeds)

    def note_unreachable(self, server_id: str, now_s: float) -> None:
        """Record that a server left a query for its load unanswered."""
        state = self._registry.servers.get(server_id)
        if state is not None:
            state.note_unreachable(now_s)

    def forget_failures(self, now_s: float) -> None:
        """Stop avoiding servers because of requests that were sent over lost links.

        The requests in flight are no evidence about their servers either.
        """
        for state in self._registry.servers.values():
            for flight in state.flights.values():
                pool = self._registry.pool_of(flight.ticket)
                pool.record_end(pool.classes[flight.ticket.request_class], flight)
            state.forget_failures(now_s)
        for pool in self._registry.pools.values():
            pool.update_suspects()

    def apply_server_report(
        self, server_id: str, report: "ServerReport", now_s: float
    ) -> None:
        """Apply a server's report about itself.

        Only ``draining`` takes effect at once. ``cold`` starts the ramp-up of a server
        without answers so far; after ``healthy``, a suspect server may be probed with a
        request that must not repeat.
        """
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
        return gate_snapshot(
            self._registry, self._flights, self._refusals, retried=self._retried
        )

    # Admission.

    def _begin(self, ticket: Ticket, now_s: float, *, avoid: str | None) -> Decision:
        if self._dispatched.is_dispatched(ticket.service):
            return self._dispatched.begin(ticket, now_s, avoid=avoid)
        return self._queried.begin(ticket, now_s, avoid=avoid)

    def _admit(self, ticket: Ticket, now_s: float, avoid: str | None) -> Decision:
        if not self._registry.can_be_served(ticket, now_s):
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
        return self._waiting.add(pool, class_state, ticket, now_s)

    def _may_start(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> bool:
        light = pool.is_light(ticket)
        waiting = len(class_state.queue) > 0
        if waiting and (not light or pool.head_has_priority(class_state, now_s)):
            return False
        return pool.has_capacity(class_state, now_s, light=light)

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

    def _send_hedges(self, pool: Pool, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        if self._dispatched.is_dispatched(pool.service):
            # A hedge would take a second slot, which other requests wait for.
            return decisions
        allowed = int(self._registry.budgets.available(pool.service, now_s))
        for flight in self._flights.hedge_candidates(pool, now_s):
            if len(decisions) >= allowed:
                break
            state = choose_server(
                pool.short_states, now_s=now_s, rng=self._rng, avoid=flight.server
            )
            if state is not None:
                decisions.append(self._flights.hedge(pool, flight, state, now_s))
        return decisions
