"""One caller's request, from its head to the end of its answer."""

from dataclasses import replace
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.web._newclient import Response

from gentianwharf.logs import log
from gentianwharf.matching import RuleMatch
from gentianwharf.runs import RunStatus
from gentianwharf.topology import BackendServer

from ._answer import AnswerBody, write_head
from ._caller_request import CallerRequest
from ._connections import ServerConnectionPool
from ._header_codec import HeaderCodec
from ._headers import answered_with
from ._leg import FinalError, Leg, LegError, NotRunError
from ._ports import (
    Admission,
    Observer,
    Outcome,
    Owner,
    Ownership,
    ResponseRecord,
    Ticket,
)
from ._problem import Problem, write_problem
from ._race import Race
from ._repeats import KeptAnswer, RepeatKey, Repeats

# Tries that may have run, of a request that may repeat, where its rule names no number:
# three reach a working server past two that fail.
MOST_RUNS = 3
# Each try needs proof that the one before did not run, or a request that may repeat.
# Three reach a working server past one that is gone and one that sheds.
MOST_TRIES = 3
# Besides: a key that moves is refused by its former holder, and by the next one until
# that has its grant.
MOST_MISDIRECTED = 4
# What is known of a request without an answer that may have run.
STATUS_UNKNOWN = 502
# What logs and metrics show for a caller that went away before its answer.
STATUS_CALLER_GONE = 499

FAULT = Problem(
    status=500,
    title="a fault of the router",
    run=RunStatus.UNKNOWN,
    detail="Its log has the trace under this request's id.",
    step="serve",
)

STOPPING_NOT_RUN = Problem(
    status=503,
    title="the host is stopping",
    run=RunStatus.NOT_RUN,
    detail="The request was not run. Another host serves it.",
    # Short, since other hosts can serve the retry at once.
    retry_after_s=0.1,
    step="shutdown",
)
STOPPING_UNKNOWN = Problem(
    status=STATUS_UNKNOWN,
    title="the host is stopping, and the server has not answered",
    run=RunStatus.UNKNOWN,
    detail=(
        "The request may have run. Ask for its outcome with its idempotency key"
        " or its request id before sending it again."
    ),
    step="shutdown",
)


@final
class Exchange:
    """Serves one request: decides, sends it, and hands the answer back."""

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
        repeats: Repeats,
        repeat: RepeatKey | None,
        reactor: Any,
    ) -> None:
        self.request = request
        self.match = match
        self.ticket = ticket
        self._ownership = ownership
        self._admission = admission
        self._connections = connections
        self._observer = observer
        self._codec = codec
        self._repeats = repeats
        self._repeat = repeat
        self._kept: KeptAnswer | None = None
        self._reactor = reactor
        self._begun_s = reactor.seconds()
        self._waited_s = 0.0
        self._server: BackendServer | None = None
        self._owner: Owner | None = None
        self._race: Race | None = None
        self._tries = 0
        self._runs = 0
        self._misdirected = 0
        self._most_runs = match.rule.then.most_tries or MOST_RUNS
        self._may_have_run = False
        self._awaits_repeat = False
        self._shutdown_problem: Problem | None = None
        self._done: Deferred[None] | None = None

    def start(self) -> "Deferred[None]":
        """Start serving the request; cancelling the result ends it."""
        self._done = Deferred.fromCoroutine(self.serve())
        return self._done

    def cancel_for_shutdown(self) -> None:
        """Stop serving, and send a problem document if no answer has begun."""
        is_sent = self._race is not None and self._race.is_sent
        may_have_run = is_sent or self._may_have_run or self._awaits_repeat
        self._shutdown_problem = STOPPING_UNKNOWN if may_have_run else STOPPING_NOT_RUN
        if self._done is not None:
            self._done.cancel()

    async def serve(self) -> None:
        """Serve the request; every way out answers or breaks the connection."""
        try:
            if self._repeat is None:
                await self._serve()
            else:
                await self._serve_once(self._repeat)
        except Problem as problem:
            self.refuse(problem)
        except CancelledError:
            self._cancelled()
        except Exception:
            # A fault of ours must not look like an answer of the server's, and
            # nothing is known of what it left behind.
            log.exception(
                "request failed",
                extra={
                    "request_id": self.ticket.request_id,
                    "step": "serve",
                    "peer": "self",
                },
            )
            self.refuse(FAULT)
        finally:
            self._admission.discard(self.ticket)

    def _cancelled(self) -> None:
        if self._shutdown_problem is None:
            self._record(
                status=STATUS_CALLER_GONE, run=RunStatus.UNKNOWN, reason="caller-gone"
            )
        else:
            self.refuse(self._shutdown_problem)

    async def _serve_once(self, repeat: RepeatKey) -> None:
        self._awaits_repeat = True
        kept = await self._repeats.claim(repeat, self.ticket.request_id)
        self._awaits_repeat = False
        if kept is not None:
            self._give_again(kept)
            return
        try:
            await self._serve()
        except Problem as problem:
            if problem.run is RunStatus.NOT_RUN and not self._may_have_run:
                self._repeats.forget(repeat)
            else:
                self._repeats.settle(repeat, None)
            raise
        except BaseException:
            # The caller went away, or a fault of ours: nobody knows the outcome.
            self._repeats.settle(repeat, None)
            raise
        self._repeats.settle(repeat, self._kept)

    def _give_again(self, kept: KeptAnswer) -> None:
        request = self.request
        request.setResponseCode(kept.status, kept.phrase)
        for name, values in kept.headers:
            request.responseHeaders.setRawHeaders(name, values)
        request.setHeader(
            self._codec.request_id_header, self.ticket.request_id.encode("latin-1")
        )
        request.setHeader(b"Content-Length", str(len(kept.body)).encode())
        request.write(kept.body)
        request.finish()
        self._record(status=kept.status, run=RunStatus.RUN, reason="answer-given-again")

    def hedge(self, server: BackendServer) -> None:
        """Send the request a second time, beside the first."""
        race = self._race
        may_run_twice = self._runs + 2 <= self._most_runs
        if (
            race is None
            or race.decided
            or self.request.body is not None
            or not may_run_twice
        ):
            self._admission.finished(self.ticket, server, Outcome.CANCELLED, 0.0)
            return
        race.start(self._leg(server, fresh=server == self._server))

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem document at once."""
        if self._may_have_run and problem.run is RunStatus.NOT_RUN:
            # The last try did not run; an earlier one, of a repeatable request, may.
            # Callers take a 503 for a promise that nothing ran.
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
        error: LegError | None = None
        while True:
            server = await self._admit(error)
            try:
                leg, response = await self._run(server)
            except FinalError as failed:
                self._learn(failed)
                raise failed.problem from failed
            except LegError as failed:
                self._learn(failed)
                if not self._may_try_again(failed):
                    raise failed.problem from failed
                error = failed
            else:
                await self._hand_back(leg, response)
                return

    async def _admit(self, error: LegError | None) -> BackendServer:
        self._tries += 1
        self._owner = None
        if self.ticket.shard is not None:
            self._owner = await self._ownership.owner(self.ticket)
        owner = self._owner.server if self._owner else self._same_server()
        if error is None or self._server is None:
            server = await self._admission.admit(self.ticket, owner, self.hedge)
            self._waited_s = self._reactor.seconds() - self._begun_s
        else:
            server = await self._admit_retry(error, owner, self._server)
        self._server = server
        return server

    def _same_server(self) -> BackendServer | None:
        """Return the one server that may run a repeated request of any daemon.

        Without it a request that is repeated through another daemon would run on
        another server, which has not seen its idempotency key.
        """
        if self._repeat is None:
            return None
        return self._admission.server_for_key(self.ticket.service, self._repeat.key)

    async def _admit_retry(
        self, error: LegError, owner: BackendServer | None, avoid: BackendServer
    ) -> BackendServer:
        try:
            return await self._admission.admit_retry(
                self.ticket, owner, self.hedge, after=error.outcome, avoid=avoid
            )
        except Problem as refusal:
            raise error.problem from refusal

    async def _run(self, server: BackendServer) -> tuple[Leg, Response]:
        race = Race(ticket=self.ticket, admission=self._admission)
        self._race = race
        race.start(self._leg(server))
        return await race.winner()

    def _leg(self, server: BackendServer, *, fresh: bool = False) -> Leg:
        return Leg(
            request=self.request,
            ticket=self.ticket,
            server=server,
            owner=self._owner,
            connections=self._connections[server.id],
            admission=self._admission,
            codec=self._codec,
            reactor=self._reactor,
            fresh=fresh,
        )

    def _learn(self, error: LegError) -> None:
        lost_legs = self._race.lost_legs if self._race is not None else 0
        if lost_legs:
            self._may_have_run = True
            self._runs += lost_legs
        if error.outcome is Outcome.NOT_OWNER and self._owner is not None:
            self._misdirected += 1
            self._ownership.report_not_owner(self.ticket, self._owner)

    def _may_try_again(self, error: LegError) -> bool:
        if self._misdirected > MOST_MISDIRECTED or self._runs >= self._most_runs:
            return False
        if self._tries - self._misdirected >= MOST_TRIES:
            return False
        if self._reactor.seconds() >= self.ticket.deadline_s:
            return False
        body = self.request.body
        if body is not None and not body.can_restart:
            return False
        return isinstance(error, NotRunError) or self.ticket.repeatable

    async def _hand_back(self, leg: Leg, response: Response) -> None:
        self._server = leg.server
        outcome = Outcome.CANCELLED
        try:
            if await self._write_answer(leg, response):
                outcome = Outcome.ANSWERED
        finally:
            self._admission.finished(self.ticket, leg.server, outcome, leg.elapsed_s)

    async def _write_answer(self, leg: Leg, response: Response) -> bool:
        request = self.request
        if request._disconnected:
            leg.abort()
            return False
        write_head(
            request,
            response,
            request_id=self.ticket.request_id,
            codec=self._codec,
        )
        body = AnswerBody(
            request=request, clock=self._reactor, keep=self._repeat is not None
        )
        response.deliverBody(body)
        body.watch()
        try:
            whole = await body.done
        except CancelledError:
            leg.abort()
            raise
        if not whole:
            leg.abort()
            self._record(status=response.code, run=RunStatus.RUN, reason="answer-cut")
            return False
        if body.kept is not None:
            self._kept = _kept(response, bytes(body.kept), self._codec)
        if not request._disconnected:
            request.send_now()
            request.finish()
        self._record(status=response.code, run=RunStatus.RUN)
        return True

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
            ResponseRecord(
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
                tries=self._tries,
            )
        )


def _kept(response: Response, body: bytes, codec: HeaderCodec) -> KeptAnswer:
    return KeptAnswer(
        status=response.code,
        phrase=response.phrase,
        headers=tuple(
            (name, tuple(values))
            for name, values in answered_with(
                response.headers, codec.is_forwarded
            ).items()
        ),
        body=body,
    )
