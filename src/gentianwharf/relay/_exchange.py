"""One caller's request, from its head to the end of the response."""

from dataclasses import replace
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.web._newclient import Response

from gentianwharf.logs import log
from gentianwharf.matching import RuleMatch
from gentianwharf.runs import RunStatus
from gentianwharf.topology import BackendServer

from ._attempt import Attempt
from ._attempt_errors import AttemptError, FinalError, NotPermittedError
from ._caller_request import CallerRequest
from ._connections import ServerConnectionPool
from ._final_problems import (
    CUT_OFF_NOT_RUN,
    CUT_OFF_UNKNOWN,
    INTERNAL_ERROR,
    STATUS_UNKNOWN,
    STOPPING_NOT_RUN,
    STOPPING_UNKNOWN,
)
from ._header_codec import HeaderCodec
from ._idempotency import (
    IdempotencyKey,
    IdempotentRequests,
    StoredResponse,
    stored_response,
    write_stored_response,
)
from ._ports import (
    AccessRecord,
    Admission,
    Observer,
    Outcome,
    Ownership,
    SendCause,
    Ticket,
)
from ._problem import Problem, write_problem
from ._race import Race
from ._response import ResponseBody, write_response_head
from ._run_guard import RunGuard, is_whole_run
from ._sends import Sends, cause_after
from ._server_selection import ServerSelection
from ._tries import Tries

# Recorded in logs and metrics if the caller disconnects before the response.
STATUS_CALLER_GONE = 499


@final
class Exchange:
    """Serves a request: selects a server, sends to it and forwards the response."""

    def __init__(
        self,
        *,
        request: CallerRequest,
        match: RuleMatch,
        ticket: Ticket,
        ownership: Ownership,
        admission: Admission,
        connections: dict[str, ServerConnectionPool],
        observer: Observer,
        codec: HeaderCodec,
        idempotent_requests: IdempotentRequests,
        idempotency_key: IdempotencyKey | None,
        run_guard: RunGuard,
        reactor: Any,
    ) -> None:
        self.request = request
        self.match = match
        self.ticket = ticket
        self._ownership = ownership
        self._selection = ServerSelection(
            ticket=ticket,
            ownership=ownership,
            admission=admission,
            idempotency_key=idempotency_key,
        )
        self._admission = admission
        self._connections = connections
        self._observer = observer
        self._codec = codec
        self._idempotent_requests = idempotent_requests
        self._idempotency_key = idempotency_key
        self._stored: StoredResponse | None = None
        self._reactor = reactor
        self._begun_s = reactor.seconds()
        self._waited_s = 0.0
        self._server: BackendServer | None = None
        self._attempt: Attempt | None = None
        self._attempts: list[Attempt] = []
        self._race: Race | None = None
        self._tries = Tries(max_runs=match.rule.then.most_tries)
        self._sends = Sends(ticket=ticket, admission=admission)
        self._may_have_run = False
        self._awaits_duplicate = False
        self._shutdown_problem: Problem | None = None
        self._done: Deferred[None] | None = None
        self._guarded_run = run_guard.watch(self)

    def start(self) -> "Deferred[None]":
        """Start serving the request; cancelling the result cancels it."""
        self._done = Deferred.fromCoroutine(self.serve())
        return self._done

    def cancel_for_shutdown(self) -> None:
        """Stop serving, and send a problem document if no response has begun."""
        may_have_run = self._is_sent or self._awaits_duplicate
        self._shutdown_problem = STOPPING_UNKNOWN if may_have_run else STOPPING_NOT_RUN
        if self._done is not None:
            self._done.cancel()

    async def serve(self) -> None:
        """Serve the request; always sends a response or aborts the connection."""
        try:
            if self._idempotency_key is None:
                await self._serve()
            else:
                await self._serve_idempotent(self._idempotency_key)
        except Problem as problem:
            self.refuse(problem)
        except CancelledError:
            self._handle_cancellation()
        except Exception:
            # An internal error must not look like a response of the server, and the
            # request may have run.
            log.exception(
                "request failed",
                extra={
                    "request_id": self.ticket.request_id,
                    "step": "serve",
                    "peer": "self",
                },
            )
            self.refuse(INTERNAL_ERROR)
        finally:
            self._guarded_run.finish()
            self._admission.discard(self.ticket)

    def _handle_cancellation(self) -> None:
        if self._shutdown_problem is not None:
            self.refuse(self._shutdown_problem)
        elif self.request._disconnected:
            self._record(
                status=STATUS_CALLER_GONE, run=RunStatus.UNKNOWN, reason="caller-gone"
            )
        else:
            # A wait inside the host was cancelled, and the caller needs an answer.
            self.refuse(CUT_OFF_UNKNOWN if self._is_sent else CUT_OFF_NOT_RUN)

    @property
    def _is_sent(self) -> bool:
        """Whether a server may have received the request and may have run it."""
        is_sent = self._race is not None and self._race.is_sent
        return is_sent or self._may_have_run

    async def _serve_idempotent(self, key: IdempotencyKey) -> None:
        self._awaits_duplicate = True
        stored = await self._idempotent_requests.claim(key, self.ticket)
        self._awaits_duplicate = False
        if stored is not None:
            self._replay(stored)
            return
        try:
            await self._serve()
        except Problem as problem:
            if problem.run is RunStatus.NOT_RUN and not self._may_have_run:
                self._idempotent_requests.mark_not_run(key)
            else:
                self._idempotent_requests.complete(key, None)
            raise
        except BaseException:
            # The caller disconnected, or an internal error.
            if self._is_sent:
                self._idempotent_requests.complete(key, None)
            else:
                self._idempotent_requests.mark_not_run(key)
            raise
        self._idempotent_requests.complete(key, self._stored)

    def _replay(self, stored: StoredResponse) -> None:
        write_stored_response(
            self.request, stored, request_id=self.ticket.request_id, codec=self._codec
        )
        self._record(
            status=stored.status, run=RunStatus.RUN, reason="answer-given-again"
        )

    def hedge(self, server: BackendServer) -> None:
        """Send the request a second time, concurrently with the first attempt."""
        race = self._race
        if (
            race is None
            or race.decided
            or self.request.body is not None
            or not self._guarded_run.may_send()
            or not self._tries.may_hedge(race.possible_runs)
        ):
            self._admission.finished(self.ticket, server, Outcome.CANCELLED, 0.0)
            return
        race.start(
            self._new_attempt(
                server, cause=SendCause.HEDGE, fresh=server == self._server
            )
        )

    def recall(self) -> None:
        """Give up the sends in flight, as if their connections had been lost."""
        if self._race is not None and not self._race.decided:
            self._race.recall()

    def refuse(self, problem: Problem) -> None:
        """Respond with a problem document."""
        if self._may_have_run and problem.run is RunStatus.NOT_RUN:
            # The last try did not run, but an earlier one of a repeatable request may
            # have run. Callers rely on a 503 to mean that nothing ran.
            problem = replace(problem, status=STATUS_UNKNOWN, run=RunStatus.UNKNOWN)
        if not self.request._disconnected and not self.request.startedWriting:
            write_problem(
                self.request,
                problem,
                request_id=self.ticket.request_id,
                codec=self._codec,
            )
        self._record(
            status=problem.status,
            run=problem.run,
            reason=problem.title,
            step=problem.step,
            peer=problem.peer,
        )

    async def _serve(self) -> None:
        error: AttemptError | None = None
        while True:
            try:
                await self._guarded_run.admit()
            except Problem as refusal:
                raise (error.problem if error else refusal) from refusal
            server = await self._admit(error)
            try:
                attempt, response = await self._run(
                    server, cause=cause_after(error.outcome if error else None)
                )
            except FinalError as failed:
                self._record_failure(failed)
                raise failed.problem from failed
            except NotPermittedError as failed:
                self._record_failure(failed)
                raise (error or failed).problem from failed
            except AttemptError as failed:
                self._record_failure(failed)
                if await self._guarded_run.settle() or not self._may_retry(failed):
                    raise failed.problem from failed
                error = failed
            else:
                await self._forward_response(attempt, response)
                return

    async def _admit(self, error: AttemptError | None) -> BackendServer:
        self._tries.count += 1
        if error is None or self._server is None:
            self._server = await self._selection.select(self.hedge)
            self._waited_s = self._reactor.seconds() - self._begun_s
        else:
            self._server = await self._selection.select_again(
                self.hedge,
                after=error,
                avoid=self._server,
                is_repeat=self._sends.count > 0,
            )
        return self._server

    async def _run(
        self, server: BackendServer, *, cause: SendCause
    ) -> tuple[Attempt, Response]:
        race = Race(ticket=self.ticket, admission=self._admission)
        self._race = race
        race.start(self._new_attempt(server, cause=cause))
        return await race.winner()

    def _new_attempt(
        self, server: BackendServer, *, cause: SendCause, fresh: bool = False
    ) -> Attempt:
        self._attempt = Attempt(
            request=self.request,
            ticket=self.ticket,
            server=server,
            owner=self._selection.owner,
            connections=self._connections[server.id],
            admission=self._admission,
            codec=self._codec,
            reactor=self._reactor,
            sends=self._sends,
            cause=cause,
            guarded_run=self._guarded_run,
            fresh=fresh,
        )
        self._attempts.append(self._attempt)
        return self._attempt

    def _record_failure(self, error: AttemptError) -> None:
        lost_attempts = self._race.lost_attempts if self._race is not None else 0
        self._may_have_run = self._may_have_run or lost_attempts > 0
        owner = self._selection.owner if error.outcome is Outcome.NOT_OWNER else None
        self._tries.record_failure(
            lost_attempts=lost_attempts, is_misdirected=owner is not None
        )
        if owner is not None:
            self._ownership.report_not_owner(self.ticket, owner)

    def _may_retry(self, error: AttemptError) -> bool:
        if self._reactor.seconds() >= self.ticket.deadline_s:
            return False
        body = self.request.body
        if body is not None and not body.can_restart:
            return False
        return self._tries.may_retry(error, repeatable=self.ticket.repeatable)

    async def _forward_response(self, attempt: Attempt, response: Response) -> None:
        self._server, self._attempt = attempt.server, attempt
        outcome = Outcome.CANCELLED
        try:
            outcome = await self._write_response(attempt, response)
        finally:
            self._admission.finished(
                self.ticket, attempt.server, outcome, attempt.elapsed_s
            )

    async def _write_response(self, attempt: Attempt, response: Response) -> Outcome:
        request = self.request
        if request._disconnected:
            attempt.abort()
            return Outcome.CANCELLED
        write_response_head(
            request, response, request_id=self.ticket.request_id, codec=self._codec
        )
        body = ResponseBody(
            request=request,
            clock=self._reactor,
            deadline_s=self.ticket.deadline_s,
            keep=self._idempotency_key is not None,
        )
        response.deliverBody(body)
        body.start_timers()
        try:
            complete = await body.done
        except CancelledError:
            self._guarded_run.note_abandoned(attempt.server)
            attempt.abort()
            raise
        if not complete:
            if attempt.connection is not None:
                attempt.note_end_of_connection(attempt.connection)
            attempt.abort()
            reason = "answer-timed-out" if body.timed_out else "answer-cut"
            self._record(status=response.code, run=RunStatus.RUN, reason=reason)
            return Outcome.TIMED_OUT if body.timed_out else Outcome.CANCELLED
        if is_whole_run(response.code):
            self._guarded_run.note_answered(attempt.server)
        else:
            self._guarded_run.note_abandoned(attempt.server)
        if body.stored is not None:
            self._stored = stored_response(response, bytes(body.stored), self._codec)
        if not request._disconnected:
            request.send_now()
            request.finish()
        self._record(status=response.code, run=RunStatus.RUN)
        return Outcome.ANSWERED

    def _record(
        self,
        *,
        status: int,
        run: RunStatus,
        reason: str = "",
        step: str = "",
        peer: str = "",
    ) -> None:
        self._observer.record_response(
            AccessRecord(
                ticket=self.ticket,
                rule=self.match.number,
                server=self._server.id if self._server else "",
                domain=self._server.domain if self._server else "",
                status=status,
                run=run,
                waited_s=self._waited_s,
                elapsed_s=self._reactor.seconds() - self._begun_s,
                reason=reason,
                step=step,
                peer=peer,
                tries=self._tries.count,
                sends=self._sends.count,
                through=self._attempt.through if self._attempt is not None else "",
                attempts=tuple(attempt.record() for attempt in self._attempts),
            )
        )
