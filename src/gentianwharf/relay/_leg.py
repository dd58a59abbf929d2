"""One sending of a request to one server, up to the head of its answer."""

from typing import Any, cast, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.web._newclient import RequestNotSent, Response
from twisted.web.http_headers import Headers

from gentianwharf.errors import PeerMismatchError, PeerUnavailableError
from gentianwharf.pauses import Timeout
from gentianwharf.runs import RunStatus
from gentianwharf.topology import BackendServer

from ._answer import check_request_id, has_provable_end
from ._caller_request import CallerRequest
from ._connections import ServerConnection, ServerConnectionPool
from ._deadline import RemainingTime, remaining_time
from ._header_codec import HeaderCodec, ServerRefusal
from ._headers import passed_on, set_fields
from ._ports import Admission, Outcome, Owner, Ticket
from ._problem import Problem

DEFAULT_RETRY_AFTER_S = 1.0


class LegError(Exception):
    """A leg that brought no answer; ``problem`` is for the caller.

    ``shed_s`` is for how long a server that sheds said that it wants no work, None
    where it named no time.
    """

    def __init__(
        self, *, outcome: Outcome, problem: Problem, shed_s: float | None = None
    ) -> None:
        super().__init__(problem.title)
        self.outcome = outcome
        self.problem = problem
        self.shed_s = shed_s


@final
class NotRunError(LegError):
    """The request provably did not run; another leg may follow."""


@final
class LostError(LegError):
    """The request may have run; another leg may follow if it is repeatable."""


@final
class FinalError(LegError):
    """Another leg would end the same way."""


class Leg:
    """Sends the request on one connection and checks the answer's head."""

    def __init__(
        self,
        *,
        request: CallerRequest,
        ticket: Ticket,
        server: BackendServer,
        owner: Owner | None,
        connections: ServerConnectionPool,
        admission: Admission,
        codec: HeaderCodec,
        reactor: Any,
        fresh: bool = False,
    ) -> None:
        self.server = server
        self.connection: ServerConnection | None = None
        self.begun_s = reactor.seconds()
        self.is_sent = False
        self._request = request
        self._ticket = ticket
        self._owner = owner
        self._connections = connections
        self._admission = admission
        self._codec = codec
        self._reactor = reactor
        self._fresh = fresh

    @property
    def elapsed_s(self) -> float:
        """Seconds since the leg began."""
        return float(self._reactor.seconds() - self.begun_s)

    @property
    def reused(self) -> bool:
        """Whether the connection had carried an earlier request."""
        return self.connection is not None and self.connection.requests > 1

    async def run(self) -> Response:
        """Return the answer's head; raises ``LegError``."""
        connection = await self._connect()
        self.connection = connection
        response = await self._send(connection)
        self._note_load(response)
        self._check(connection, response)
        return response

    def _note_load(self, response: Response) -> None:
        load = self._codec.load(response.headers)
        if load is not None:
            has_run = self._codec.refusal(response) is None
            elapsed_s = self.elapsed_s if has_run else None
            self._admission.note_load(self.server, load, elapsed_s)

    def abort(self) -> None:
        """Close the connection: that tells the server, and no late answer is read."""
        if self.connection is not None:
            self.connection.abort_now()

    def retire_silent_connections(self) -> None:
        """Trust no older connection to this server any more."""
        self._connections.retire_all()

    async def _connect(self) -> ServerConnection:
        try:
            return await self._connections.acquire(fresh=self._fresh)
        except PeerUnavailableError as error:
            raise NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                # 503 and not 502: callers take it for a promise that nothing ran, and
                # ask again also where a request must not repeat.
                problem=Problem(
                    status=503,
                    title="the server can't be reached",
                    run=RunStatus.NOT_RUN,
                    detail=error.message,
                    retry_after_s=DEFAULT_RETRY_AFTER_S,
                    step=error.step,
                    peer=error.peer,
                ),
            ) from error

    async def _send(self, connection: ServerConnection) -> Response:
        remaining = remaining_time(self._deadline_s(), now_s=self._reactor.seconds)
        if remaining.duration_s <= 0:
            self._connections.release(connection)
            raise FinalError(
                outcome=Outcome.CANCELLED,
                problem=self._not_run("no time was left to run the request"),
            )
        self.is_sent = True
        answer = connection.send_request(
            method=self._request.method,
            uri=self._request.uri,
            headers=self._headers(remaining),
            body=self._request.body,
        )
        timeout = Timeout(
            clock=self._reactor, delay_s=remaining.duration_s, expire=answer.cancel
        )
        try:
            return await answer
        except RequestNotSent as error:
            raise NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                problem=self._not_run("the connection was closed"),
            ) from error
        except CancelledError as error:
            raise self._cancelled(connection, timed_out=timeout.expired) from error
        except Exception as error:
            connection.abort_now()
            raise LostError(
                outcome=Outcome.LOST,
                problem=self._unknown(502, "the answer was lost", error),
            ) from error
        finally:
            timeout.stop()

    def _cancelled(self, connection: ServerConnection, *, timed_out: bool) -> Exception:
        connection.abort_now()
        if not timed_out:
            return CancelledError()
        if self.reused:
            # Perhaps the server is slow; perhaps a middlebox has lost track of this
            # connection, and then most likely of the others that are as old.
            self.retire_silent_connections()
        return LostError(
            outcome=Outcome.TIMED_OUT,
            problem=self._unknown(504, "no answer by the deadline"),
        )

    def _deadline_s(self) -> float:
        if self._owner is None:
            return self._ticket.deadline_s
        return min(self._ticket.deadline_s, self._owner.deadline_s)

    def _headers(self, remaining: RemainingTime) -> Headers:
        codec = self._codec
        headers = passed_on(self._request.requestHeaders, codec.is_forwarded)
        fields = codec.request_fields(self._ticket, self.server, self._owner, remaining)
        set_fields(headers, fields)
        return headers

    def _check(self, connection: ServerConnection, response: Response) -> None:
        try:
            check_request_id(
                response,
                self._ticket.request_id,
                codec=self._codec,
                peer=self.server.address,
            )
        except PeerMismatchError as error:
            connection.abort_now()
            raise LostError(
                outcome=Outcome.LOST,
                problem=self._unknown(502, "an answer to another request came", error),
            ) from error
        refusal = self._codec.refusal(response)
        if refusal is not None:
            if cast(Any, response.length) != 0:
                connection.abort_now()
            raise self._refused_by_server(refusal)
        if not has_provable_end(connection, response):
            connection.abort_now()
            raise FinalError(
                outcome=Outcome.LOST,
                problem=Problem(
                    status=502,
                    title="the server's answer has no provable end",
                    run=RunStatus.RUN,
                    step="read-answer",
                    peer=self.server.address,
                ),
            )

    def _refused_by_server(self, refusal: ServerRefusal) -> NotRunError:
        named_s = refusal.retry_after_s
        return NotRunError(
            shed_s=named_s,
            outcome=Outcome.NOT_OWNER if refusal.not_owner else Outcome.SHED,
            problem=self._not_run(
                "the server refused the request without running it",
                retry_after_s=named_s or DEFAULT_RETRY_AFTER_S,
            ),
        )

    def _not_run(
        self, title: str, *, retry_after_s: float = DEFAULT_RETRY_AFTER_S
    ) -> Problem:
        return Problem(
            status=503,
            title=title,
            run=RunStatus.NOT_RUN,
            retry_after_s=retry_after_s,
            step="send",
            peer=self.server.address,
        )

    def _unknown(
        self, status: int, title: str, error: Exception | None = None
    ) -> Problem:
        detail = (
            "The request may have run. Ask for its outcome with its idempotency key"
            f" or its request id before sending it again. {error or ''}"
        )
        return Problem(
            status=status,
            title=title,
            run=RunStatus.UNKNOWN,
            detail=detail.strip(),
            step="answer",
            peer=self.server.address,
        )


def run_leg(leg: Leg) -> "Deferred[Response]":
    """Start a leg; cancelling the result ends it."""
    return Deferred.fromCoroutine(leg.run())
