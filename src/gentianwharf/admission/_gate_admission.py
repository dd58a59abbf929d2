"""Adapter from the gate's decisions to the relay's admission interface."""

from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol, final

from twisted.internet.defer import CancelledError, Deferred, FirstError, gatherResults
from twisted.internet.task import deferLater

from gentianwharf import load
from gentianwharf.logs import log
from gentianwharf.placement import rendezvous_rank
from gentianwharf.relay import (
    NO_NOTICE,
    HedgeCallback,
    Outcome,
    Problem,
    QueriedLoad,
    SendCause,
    ServerLoad,
    ServerNotice,
    Ticket,
)
from gentianwharf.topology import BackendServer

from ._conversions import gate_ticket, problem_of
from ._slot_admission import SlotAdmission

_OUTCOME_KINDS = {
    Outcome.ANSWERED: load.OutcomeKind.OK,
    Outcome.NOT_OWNER: load.OutcomeKind.NOT_OWNER,
    Outcome.SHED: load.OutcomeKind.SHED,
    Outcome.CONNECT_FAILED: load.OutcomeKind.CONNECT_FAILED,
    Outcome.LOST: load.OutcomeKind.TIMEOUT,
    Outcome.TIMED_OUT: load.OutcomeKind.TIMEOUT,
    Outcome.CANCELLED: load.OutcomeKind.CANCELLED,
}

# A refusal shows that the server is alive as well as any other answer does.
_ALIVE_OUTCOMES = frozenset({Outcome.ANSWERED, Outcome.NOT_OWNER, Outcome.SHED})

Clock = Callable[[], float]
LoadListener = Callable[[BackendServer, ServerLoad, float | None], None]
"""Called with a server, the load that it reported and the time of its answer.

The time is in seconds, and None if the server refused the request.
"""
NoticeListener = Callable[[BackendServer, ServerNotice], None]
"""Called with what a server stated in an answer, if it is new or not empty."""
ServerOutcomeListener = Callable[[str, bool, float | None], None]
"""Called with a server's id, whether it answered, and the time that a run took.

The time is in seconds, and None unless the server ran the request.
"""


class LoadQueries(Protocol):
    """Queries servers for their load."""

    async def query(self, server: BackendServer) -> QueriedLoad | None:
        """Return a server's load, None if it doesn't state it in time."""


@final
class GateAdmission:
    """Passes requests to the gate and resumes waiting exchanges with its decisions."""

    def __init__(
        self,
        *,
        gate: load.Gate,
        servers: Mapping[str, BackendServer],
        now_s: Clock,
        on_server_outcome: ServerOutcomeListener,
    ) -> None:
        self.servers = dict(servers)
        self.on_load: LoadListener = _ignore_load
        self.on_notice: NoticeListener = lambda server, notice: None
        self.on_notice_to_sender: Callable[[str, ServerNotice], None] = (
            lambda server_id, notice: None
        )
        self.on_timeout: Callable[[BackendServer], None] = lambda server: None
        self._load_queries: LoadQueries | None = None
        self._reactor: Any = None
        self._slots: SlotAdmission | None = None
        self._gate = gate
        self._now_s = now_s
        self._on_server_outcome = on_server_outcome
        self._listed: dict[str, tuple[BackendServer, ...]] = {}
        for server in self.servers.values():
            listed = self._listed.get(server.service, ())
            self._listed[server.service] = (*listed, server)
        self._waiting: dict[str, Deferred[BackendServer]] = {}
        self._hedges: dict[str, HedgeCallback] = {}

    async def admit(
        self, ticket: Ticket, owner: BackendServer | None, hedge: HedgeCallback
    ) -> BackendServer:
        """Return the server to send to, after waiting if necessary."""
        decision = self._gate.submit(gate_ticket(ticket, owner), self._now_s())
        return await self._await_decision(ticket, hedge, decision)

    async def admit_retry(
        self,
        ticket: Ticket,
        owner: BackendServer | None,
        hedge: HedgeCallback,
        *,
        after: Outcome,
        avoid: BackendServer,
        is_repeat: bool,
    ) -> BackendServer:
        """Return the server for another try, if the retry budget allows one."""
        decision = self._gate.retry(
            gate_ticket(ticket, owner),
            _OUTCOME_KINDS[after],
            self._now_s(),
            avoid.id,
            is_repeat=is_repeat,
        )
        return await self._await_decision(ticket, hedge, decision)

    def finished(
        self,
        ticket: Ticket,
        server: BackendServer,
        outcome: Outcome,
        elapsed_s: float,
        retry_after_s: float | None = None,
    ) -> None:
        """Record how an attempt ended and apply the decisions that follow from it."""
        if outcome is Outcome.TIMED_OUT:
            self.on_timeout(server)
        if outcome is not Outcome.CANCELLED:
            busy_s = elapsed_s if outcome is Outcome.ANSWERED else None
            self._on_server_outcome(server.id, outcome in _ALIVE_OUTCOMES, busy_s)
        work_s = None
        if self._slots is not None:
            work_s = self._slots.finished(ticket, server.id, outcome, elapsed_s)
        gate_outcome = load.Outcome(
            kind=_OUTCOME_KINDS[outcome],
            elapsed_s=elapsed_s,
            retry_after_s=retry_after_s,
            work_s=work_s,
        )
        self._apply(
            self._gate.finished(ticket.id, gate_outcome, self._now_s(), server.id)
        )

    def server_for_key(self, service: str, key: str) -> BackendServer | None:
        """Return the server that every daemon sends an idempotency key to.

        It is the first of the listed servers in rendezvous order. All daemons have the
        same list within seconds, and removing a server moves only its own keys.
        """
        listed = self._listed.get(service, ())
        return rendezvous_server(key, listed)

    def tick(self) -> None:
        """Apply the gate's periodic decisions: refusals, starts and hedges."""
        self._apply(self._gate.tick(self._now_s()))
        for path in self._gate.retries.paths_to_query(self._now_s()):
            server = self.servers.get(path)
            if server is not None and self.may_send(path):
                self._start(self._query(server))

    def set_servers(self, service: str, servers: Iterable[BackendServer]) -> None:
        """Update the servers of a service."""
        servers = tuple(servers)
        self._listed[service] = servers
        self.servers.update({server.id: server for server in servers})
        self._apply(self._gate.set_servers(service, servers, self._now_s()))

    def forget_failures(self) -> None:
        """Stop avoiding servers because of requests over lost links."""
        self._gate.forget_failures(self._now_s())

    def set_load_queries(self, queries: LoadQueries, *, reactor: Any) -> None:
        """Query servers for their load before requests are sent to them."""
        self._load_queries = queries
        self._reactor = reactor

    def set_slots(self, slots: SlotAdmission) -> None:
        """Acquire slots for the requests of dispatched services."""
        self._slots = slots

    def explore(self, server: BackendServer) -> None:
        """Find out whether the servers of a service answer queries for their load.

        Otherwise the first requests of a starting host would be placed without reports.
        """
        self._start(self._query_server(server))

    def _start(self, query: Coroutine[Any, Any, Any]) -> None:
        started = Deferred.fromCoroutine(query)
        started.addErrback(lambda failure: log.error(failure.getTraceback()))

    async def _await_decision(
        self, ticket: Ticket, hedge: HedgeCallback, decision: load.Decision
    ) -> BackendServer:
        while isinstance(decision, load.QueryLoad | load.AcquireSlot):
            if isinstance(decision, load.QueryLoad):
                decision = await self._query_load(decision)
            elif self._slots is not None:
                decision = await self._slots.place(ticket, decision)
            else:
                decision = self._gate.admit_without_dispatcher(ticket.id, self._now_s())
        waiting: Deferred[BackendServer] = Deferred(lambda _: self._cancel(ticket.id))
        self._waiting[ticket.id] = waiting
        self._hedges[ticket.id] = hedge
        self._apply([decision])
        try:
            return await waiting
        finally:
            self._waiting.pop(ticket.id, None)

    async def _query_load(self, query: load.QueryLoad) -> load.Decision:
        try:
            if query.delay_s:
                await deferLater(self._reactor, query.delay_s)
            await gatherResults(
                [
                    Deferred.fromCoroutine(self._query_server(self.servers[server_id]))
                    for server_id in query.servers
                ],
                consumeErrors=True,
            )
        except (CancelledError, FirstError) as error:
            self._apply(self._gate.cancel(query.ticket_id, self._now_s()))
            if isinstance(error, FirstError):
                # gatherResults wraps the error of a query, also its cancellation.
                error.subFailure.raiseException()
            raise
        return self._gate.place(query.ticket_id, self._now_s())

    async def _query(self, server: BackendServer) -> QueriedLoad | None:
        """Query a server, whose answer shows that earlier writes have arrived."""
        queries, asked_s = self._load_queries, self._now_s()
        queried = await queries.query(server) if queries is not None else None
        if queried is not None:
            self._gate.retries.confirm_path(
                queried.path, until_s=asked_s, now_s=self._now_s()
            )
        return queried

    async def _query_server(self, server: BackendServer) -> None:
        queried = await self._query(server)
        now_s = self._now_s()
        if queried is None:
            self._gate.note_unreachable(server.id, now_s)
            return
        if queried.cold_remaining_s:
            until_s = now_s + queried.cold_remaining_s
            self._gate.set_cold(server.id, until_s=until_s)
        if queried.notice != NO_NOTICE:
            self._note_queried_notice(server, queried.notice)
        if queried.load is None:
            self._gate.note_unreachable(server.id, now_s)
            return
        self._note_load(server, queried.load)

    def _note_load(self, server: BackendServer, load: ServerLoad) -> None:
        self._gate.note_load(
            server.id,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            slowdown=load.slowdown,
            now_s=self._now_s(),
        )

    def note_load(
        self,
        server: BackendServer,
        load: ServerLoad,
        elapsed_s: float | None,
        ticket: Ticket | None = None,
    ) -> None:
        """Record the load that a server reported with the response to ``ticket``."""
        self._note_load(server, load)
        if self._slots is not None and ticket is not None:
            self._slots.note_load(ticket, load, elapsed_s)
        self.on_load(server, load, elapsed_s)

    def take_retry(self, ticket: Ticket) -> bool:
        """Take a retry from the budget, just before a request is written once more."""
        return self._gate.retries.take(ticket.service, self._now_s())

    def note_send(self, ticket: Ticket, cause: SendCause, path: str) -> None:
        """Record that a request is written to a server."""
        self._gate.retries.record_write(
            ticket.id, ticket.service, cause=cause, path=path, now_s=self._now_s()
        )

    def withdraw_send(self, ticket: Ticket) -> None:
        """Record that no byte of the last write of a request was sent."""
        self._gate.retries.withdraw_write(ticket.id)

    def note_arrived(
        self, ticket: Ticket, path: str, until_s: float | None = None
    ) -> None:
        """Record that a request that was written has arrived, or never will."""
        self._gate.retries.confirm_write(
            ticket.id, path=path, now_s=self._now_s(), until_s=until_s
        )

    def may_still_send(self, server: BackendServer) -> bool:
        """Return whether the server has not asked for rest, or left, meanwhile."""
        return self.may_send(server.id)

    def note_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Record what a server stated about the requests that it accepts."""
        limit_per_s = notice.max_requests_per_s
        is_new = self._gate.notices.set_limit(server.id, limit_per_s, self._now_s())
        if is_new:
            _log_limit(server.id, limit_per_s)
        if notice.is_leaving:
            self._note_leaving(server.id)
        if notice.rest_s is not None:
            self._note_rest(server.id, notice.rest_s)
        if is_new or notice != NO_NOTICE:
            self.on_notice(server, notice)
        if notice.concerns_sender:
            self.on_notice_to_sender(server.id, notice)

    def _note_queried_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        # A query's answer without a limit ends none: servers may name their limits in
        # answers to requests only.
        if notice.max_requests_per_s is None:
            limit_per_s = self._gate.notices.limit_of(server.id)
            notice = replace(notice, max_requests_per_s=limit_per_s)
        self.note_notice(server, notice)

    def note_reported_notice(self, server_id: str, notice: ServerNotice) -> None:
        """Record what a server stated in an answer to another host."""
        limit_per_s = notice.max_requests_per_s
        if self._gate.notices.set_reported_limit(server_id, limit_per_s, self._now_s()):
            _log_limit(server_id, limit_per_s)
        if notice.is_leaving:
            self._note_leaving(server_id)

    def note_shared_notice(
        self, server_id: str, *, rest_s: float | None, is_leaving: bool
    ) -> None:
        """Record what a server stated to a host that it can't tell from this one."""
        if rest_s is not None:
            self._note_rest(server_id, rest_s)
        if is_leaving:
            self._note_leaving(server_id)

    def may_send(self, server_id: str) -> bool:
        """Return whether a server takes requests from this host."""
        return self._gate.notices.may_still_send(server_id, self._now_s())

    def _note_rest(self, server_id: str, rest_s: float) -> None:
        if self._gate.notices.set_rest(server_id, rest_s, self._now_s()):
            log.info(
                "server asks for rest", extra={"server": server_id, "rest_s": rest_s}
            )

    def _note_leaving(self, server_id: str) -> None:
        if self._gate.notices.set_leaving(server_id, self._now_s()):
            log.info("server states that it leaves", extra={"server": server_id})

    def discard(self, ticket: Ticket) -> None:
        """Discard the hedge callback and slot of a request that has had its answer."""
        self._hedges.pop(ticket.id, None)
        self._gate.retries.discard(ticket.id)
        if self._slots is not None:
            self._slots.discard(ticket)

    def _cancel(self, ticket_id: str) -> None:
        self._waiting.pop(ticket_id, None)
        self._apply(self._gate.cancel(ticket_id, self._now_s()))

    def _apply(self, decisions: Iterable[load.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, load.Start) and decision.hedge:
                self._start_hedge(decision)
            elif isinstance(decision, load.Start):
                self._resume(decision.ticket_id, self.servers[decision.server])
            elif isinstance(decision, load.Refuse):
                self._resume(decision.ticket_id, problem_of(decision))

    def _start_hedge(self, decision: load.Start) -> None:
        hedge = self._hedges.get(decision.ticket_id)
        if hedge is not None:
            hedge(self.servers[decision.server])
            return
        # The request was answered in the same turn of the loop. The gate counts the
        # send as in flight until it is reported as ended.
        outcome = load.Outcome(kind=load.OutcomeKind.CANCELLED, elapsed_s=0.0)
        self._apply(
            self._gate.finished(
                decision.ticket_id, outcome, self._now_s(), decision.server
            )
        )

    def _resume(self, ticket_id: str, result: Any) -> None:
        waiting = self._waiting.pop(ticket_id, None)
        if waiting is None:
            return
        if isinstance(result, Problem):
            waiting.errback(result)
        else:
            waiting.callback(result)


def _ignore_load(
    server: BackendServer, load: ServerLoad, elapsed_s: float | None
) -> None:
    """Do nothing; the default for users that need no load reports."""


def _log_limit(server_id: str, limit_per_s: float | None) -> None:
    log.info(
        "server limits its requests"
        if limit_per_s is not None
        else "server no longer limits its requests",
        extra={"server": server_id, "max_requests_per_s": limit_per_s},
    )


def rendezvous_server(
    key: str, servers: tuple[BackendServer, ...]
) -> BackendServer | None:
    """Return the server of ``key`` by rendezvous hashing, None without servers."""
    if not servers:
        return None
    first = rendezvous_rank(key, [server.id for server in servers])[0]
    return next(server for server in servers if server.id == first)
