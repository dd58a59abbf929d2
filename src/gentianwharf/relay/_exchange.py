"""One caller's request, from its head to the end of its answer."""

import time
from typing import Any, cast

from twisted.internet.defer import CancelledError
from twisted.web._newclient import RequestNotSent, Response
from twisted.web.http_headers import Headers

from gentianwharf.errors import (
    GentianwharfError,
    PeerMismatchError,
    PeerUnavailableError,
)
from gentianwharf.rules import RuleMatch
from gentianwharf.topology import BackendServer

from . import _headers as names
from ._answer import AnswerBody, check_request_id, has_provable_end, write_head
from ._caller import CallerRequest
from ._connections import ServerConnection, ServerConnections
from ._ports import (
    Admission,
    Answered,
    Observer,
    Outcome,
    Owner,
    Ownership,
    Ticket,
)
from ._problem import Problem, Run, write_problem

# Not the owner, and shedding or leaving: the answers by which a server refuses a
# request without running it, if it also says so in a header.
STATUS_NOT_OWNER = 421
STATUS_SHED = 503
# Each try at a server needs proof that the one before did not run, or a request that
# may repeat. Three reach another server past one that is gone and one that sheds.
MOST_TRIES = 3


class _AttemptError(Exception):
    """An attempt that brought no answer; ``problem`` is for the caller."""

    def __init__(self, *, outcome: Outcome, problem: Problem) -> None:
        super().__init__(problem.title)
        self.outcome = outcome
        self.problem = problem


class _NotRunError(_AttemptError):
    """An attempt that provably did not run; another may follow."""


class _LostError(_AttemptError):
    """An attempt that may have run; another may follow for a repeatable request."""


class _FinalError(_AttemptError):
    """An attempt after which another would end the same way."""


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
        connections: dict[str, ServerConnections],
        observer: Observer,
        reactor: Any,
    ) -> None:
        self.request = request
        self.match = match
        self.ticket = ticket
        self._ownership = ownership
        self._admission = admission
        self._connections = connections
        self._observer = observer
        self._reactor = reactor
        self._begun_s = reactor.seconds()
        self._waited_s = 0.0
        self._server: BackendServer | None = None
        self._tries = 0

    async def serve(self) -> None:
        """Serve the request; every way out answers or breaks the connection."""
        try:
            await self._serve()
        except Problem as problem:
            self.refuse(problem)
        except CancelledError:
            self._record(status=499, run=Run.UNKNOWN, reason="caller-gone")

    async def _serve(self) -> None:
        while True:
            self._tries += 1
            try:
                await self._try()
            except _NotRunError as error:
                if not self._may_try_again():
                    raise error.problem from error
            except _LostError as error:
                if not (self.ticket.repeatable and self._may_try_again()):
                    raise error.problem from error
            except _FinalError as error:
                raise error.problem from error
            else:
                return

    def _may_try_again(self) -> bool:
        if self._tries >= MOST_TRIES or self._remaining_s() <= 0:
            return False
        body = self.request.body
        if body is not None and not body.can_restart:
            return False
        return self._admission.may_retry(self.ticket)

    async def _try(self) -> None:
        owner = await self._find_owner()
        server = await self._admission.admit(
            self.ticket, owner.server if owner else None
        )
        self._server = server
        begun_s = self._reactor.seconds()
        if self._tries == 1:
            self._waited_s = begun_s - self._begun_s
        outcome = Outcome.CANCELLED
        try:
            await self._attempt(server, owner)
            outcome = Outcome.ANSWERED
        except _AttemptError as error:
            outcome = error.outcome
            if outcome is Outcome.NOT_OWNER and owner is not None:
                self._ownership.not_owner(self.ticket, owner)
            raise
        finally:
            elapsed_s = self._reactor.seconds() - begun_s
            self._admission.finished(self.ticket, server, outcome, elapsed_s)

    async def _find_owner(self) -> Owner | None:
        if self.ticket.shard is None:
            return None
        return await self._ownership.owner(self.ticket)

    async def _attempt(self, server: BackendServer, owner: Owner | None) -> None:
        connection = await self._connect(server)
        response = await self._send(connection, server, owner)
        self._check(connection, response, server)
        await self._hand_back(connection, response, server)

    async def _connect(self, server: BackendServer) -> ServerConnection:
        try:
            return await self._connections[server.id].acquire()
        except PeerUnavailableError as error:
            raise _NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                problem=self._problem(502, "the server can't be reached", error=error),
            ) from error

    async def _send(
        self,
        connection: ServerConnection,
        server: BackendServer,
        owner: Owner | None,
    ) -> Response:
        deadline_s = self.ticket.deadline_s
        if owner is not None:
            deadline_s = min(deadline_s, owner.deadline_s)
        remaining_s = deadline_s - self._reactor.seconds()
        if remaining_s <= 0:
            connection.pool.put_back(connection)
            raise _FinalError(
                outcome=Outcome.CANCELLED,
                problem=self._problem(503, "no time was left to run the request"),
            )
        answer = connection.exchange(
            method=self.request.method,
            uri=self.request.uri,
            headers=self._request_headers(server, owner, remaining_s),
            body=self.request.body,
        )
        timeout = self._reactor.callLater(remaining_s, answer.cancel)
        try:
            return await answer
        except RequestNotSent as error:
            raise _NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                problem=self._problem(502, "the connection was closed"),
            ) from error
        except CancelledError as error:
            if timeout.active():
                connection.abort_now()
                raise
            raise _LostError(
                outcome=Outcome.TIMED_OUT,
                problem=self._unknown(504, "no answer by the deadline", server),
            ) from error
        except Exception as error:
            connection.abort_now()
            raise _LostError(
                outcome=Outcome.LOST,
                problem=self._unknown(502, "the answer was lost", server, error),
            ) from error
        finally:
            if timeout.active():
                timeout.cancel()

    def _request_headers(
        self, server: BackendServer, owner: Owner | None, remaining_s: float
    ) -> Headers:
        headers = names.passed_on(self.request.requestHeaders)
        deadline_ms = int((time.time() + remaining_s) * 1000)
        headers.setRawHeaders(names.REQUEST_ID, [self.ticket.request_id.encode()])
        headers.setRawHeaders(names.SERVICE, [server.service.encode()])
        headers.setRawHeaders(names.DEADLINE, [str(deadline_ms).encode()])
        if self.ticket.key is not None:
            headers.setRawHeaders(names.KEY, [self.ticket.key.encode()])
        if owner is not None:
            headers.setRawHeaders(names.SHARD, [str(self.ticket.shard).encode()])
            headers.setRawHeaders(names.TOKEN, [str(owner.token).encode()])
        return headers

    def _check(
        self, connection: ServerConnection, response: Response, server: BackendServer
    ) -> None:
        try:
            check_request_id(response, self.ticket.request_id, peer=server.address)
        except PeerMismatchError as error:
            connection.abort_now()
            raise _LostError(
                outcome=Outcome.LOST,
                problem=self._unknown(
                    502, "an answer to another request came", server, error
                ),
            ) from error
        if response.headers.getRawHeaders(names.RUN) == [b"not-run"]:
            self._drop_answer(connection, response)
            raise self._refused_by_server(response, server)
        if not has_provable_end(connection, response):
            connection.abort_now()
            raise _FinalError(
                outcome=Outcome.LOST,
                problem=self._problem(
                    502,
                    "the server's answer has no provable end",
                    run=Run.RUN,
                    step="read-answer",
                    peer=server.address,
                ),
            )

    def _drop_answer(self, connection: ServerConnection, response: Response) -> None:
        if cast(Any, response.length) == 0:
            return
        # Short bodies would be cheap to read, but an abort is always right.
        connection.abort_now()

    def _refused_by_server(
        self, response: Response, server: BackendServer
    ) -> _NotRunError:
        not_owner = response.code == STATUS_NOT_OWNER
        return _NotRunError(
            outcome=Outcome.NOT_OWNER if not_owner else Outcome.SHED,
            problem=self._problem(
                503,
                "the server refused the request without running it",
                retry_after_s=_retry_after_s(response),
                step="send",
                peer=server.address,
            ),
        )

    async def _hand_back(
        self, connection: ServerConnection, response: Response, server: BackendServer
    ) -> None:
        request = self.request
        if request._disconnected:
            connection.abort_now()
            return
        write_head(request, response, request_id=self.ticket.request_id)
        body = AnswerBody(request=request, clock=self._reactor)
        response.deliverBody(body)
        try:
            whole = await body.done
        except CancelledError:
            connection.abort_now()
            raise
        if not whole:
            connection.abort_now()
            self._record(status=response.code, run=Run.RUN, reason="answer-cut")
            return
        if not request._disconnected:
            request.finish()
        self._record(status=response.code, run=Run.RUN)

    def refuse(self, problem: Problem) -> None:
        """Answer with a problem document at once."""
        if not self.request._disconnected and not self.request.startedWriting:
            write_problem(self.request, problem, request_id=self.ticket.request_id)
        self._record(
            status=problem.status,
            run=problem.run,
            reason=problem.title,
            step=problem.step,
            peer=problem.peer,
        )

    def _remaining_s(self) -> float:
        return float(self.ticket.deadline_s - self._reactor.seconds())

    def _unknown(
        self,
        status: int,
        title: str,
        server: BackendServer,
        error: Exception | None = None,
    ) -> Problem:
        detail = (
            "The request may have run. Ask for its outcome with its idempotency key"
            f" or its request id before sending it again. {error or ''}"
        )
        return Problem(
            status=status,
            title=title,
            run=Run.UNKNOWN,
            detail=detail.strip(),
            step="answer",
            peer=server.address,
        )

    def _problem(
        self,
        status: int,
        title: str,
        *,
        run: Run = Run.NOT_RUN,
        retry_after_s: float | None = 1.0,
        step: str = "send",
        peer: str = "",
        error: GentianwharfError | None = None,
    ) -> Problem:
        return Problem(
            status=status,
            title=title,
            run=run,
            detail=str(error) if error else "",
            retry_after_s=retry_after_s,
            step=error.step if error else step,
            peer=error.peer if error else peer,
        )

    def _record(
        self, *, status: int, run: Run, reason: str = "", step: str = "", peer: str = ""
    ) -> None:
        self._observer.answered(
            Answered(
                ticket=self.ticket,
                rule=self.match.number,
                server=self._server.id if self._server else "",
                status=status,
                run=str(run),
                waited_s=self._waited_s,
                elapsed_s=self._reactor.seconds() - self._begun_s,
                reason=reason,
                step=step,
                peer=peer,
            )
        )


def _retry_after_s(response: Response) -> float:
    values = response.headers.getRawHeaders(b"retry-after")
    if values and values[0].isdigit():
        return float(values[0])
    return 1.0
