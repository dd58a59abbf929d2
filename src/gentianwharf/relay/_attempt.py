"""One attempt to send a request to a server, up to the head of the response."""

from typing import Any, cast

from twisted.internet.defer import CancelledError, Deferred
from twisted.web._newclient import RequestNotSent, Response
from twisted.web.http_headers import Headers

from gentianwharf.errors import PeerMismatchError, PeerUnavailableError
from gentianwharf.logs import log
from gentianwharf.pauses import Timeout
from gentianwharf.runs import RunStatus
from gentianwharf.statuses import InvalidStatusError
from gentianwharf.topology import BackendServer

from ._attempt_errors import (
    FinalError,
    LostError,
    NotPermittedError,
    NotRunError,
)
from ._body_upload import BodyUpload
from ._caller_request import CallerRequest
from ._connections import ServerConnection, ServerConnectionPool
from ._deadline import RemainingTime, remaining_time
from ._final_problems import UNKNOWN_DETAIL
from ._header_codec import HeaderCodec, ServerRefusal
from ._headers import forwarded_headers, set_fields
from ._ports import (
    Admission,
    AttemptRecord,
    Outcome,
    Owner,
    SendCause,
    ServerNotice,
    Ticket,
)
from ._problem import Problem
from ._response import check_request_id, has_detectable_end
from ._run_guard import GuardedRun
from ._sends import Sends

DEFAULT_RETRY_AFTER_S = 1.0

MIN_CONNECT_S = 0.1
"""Time after which a connection that isn't open counts as a failure of the server.
Connecting takes 1 ms, but a request may have hardly any time left."""


class Attempt:
    """Sends the request on one connection and checks the head of the response."""

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
        sends: Sends,
        cause: SendCause,
        guarded_run: GuardedRun,
        fresh: bool = False,
    ) -> None:
        self.server = server
        self.connection: ServerConnection | None = None
        self.begun_s = reactor.seconds()
        self.is_sent = False
        self.outcome = Outcome.CANCELLED
        """``CANCELLED`` while it runs, ``ANSWERED`` once a response has begun."""
        self._connection_sends = 0
        self._request = request
        self._ticket = ticket
        self._owner = owner
        self._connections = connections
        self._admission = admission
        self._codec = codec
        self._reactor = reactor
        self._sends = sends
        self._cause = cause
        self._guarded_run = guarded_run
        self._fresh = fresh
        self._upload: BodyUpload | None = None

    @property
    def elapsed_s(self) -> float:
        """Seconds since the attempt began."""
        return float(self._reactor.seconds() - self.begun_s)

    @property
    def is_reused(self) -> bool:
        """Whether the connection had carried an earlier request."""
        return self.connection is not None and self.connection.requests > 1

    @property
    def through(self) -> str:
        """The host whose tunnel is used, empty without one."""
        tunnel = self.connection.tunnel if self.connection is not None else None
        return tunnel.host if tunnel is not None else ""

    def record(self) -> AttemptRecord:
        """Return the attempt for the record of decisions."""
        if not self.is_sent or self.connection is None:
            return AttemptRecord(server=self.server.id, outcome=self.outcome)
        return AttemptRecord(
            server=self.server.id,
            outcome=self.outcome,
            local_port=self.connection.local_port,
            connection_sends=self._connection_sends,
            body=self._upload.record() if self._upload is not None else None,
        )

    async def run(self) -> Response:
        """Return the response once its head has arrived; raises ``AttemptError``."""
        connection = await self._connect()
        self.connection = connection
        try:
            response = await self._send(connection)
            self._record_load(response)
            self._note_notice(connection, self._codec.notice(response))
            self._check_usable(connection, response)
        except BaseException:
            self._abort_upload()
            raise
        return response

    def _abort_upload(self) -> None:
        if self._upload is not None:
            self._upload.abort()

    def _record_load(self, response: Response) -> None:
        load = self._codec.load(response.headers)
        if load is not None:
            has_run = self._codec.refusal(response) is None
            elapsed_s = self.elapsed_s if has_run else None
            self._admission.note_load(self.server, load, elapsed_s, self._ticket)

    def _note_notice(self, connection: ServerConnection, notice: ServerNotice) -> None:
        self._admission.note_notice(self.server, notice)
        if connection.tunnel is not None and notice.concerns_sender:
            connection.tunnel.share_notice(
                rest_s=notice.rest_s, is_leaving=notice.is_leaving
            )

    def abort(self) -> None:
        """Close the connection.

        This signals the cancellation to the server and discards a late response.
        """
        self._abort_upload()
        if self.connection is not None:
            self.connection.abort_now()

    def retire_connections(self) -> None:
        """Close the existing connections to this server once they are idle."""
        self._connections.retire_all()

    async def _connect(self) -> ServerConnection:
        left_s = self._deadline_s() - self._reactor.seconds()
        if left_s <= 0:
            raise self._no_time_error()
        try:
            return await self._connections.acquire(
                request_id=self._ticket.request_id,
                fresh=self._fresh,
                timeout_s=left_s,
            )
        except PeerUnavailableError as error:
            if left_s < MIN_CONNECT_S and self._is_late():
                raise self._no_time_error() from error
            raise NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                # 503 instead of 502: callers rely on a 503 to mean that nothing ran,
                # and then also retry requests that must not run twice.
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
        if self._request.has_caller_left():
            self._connections.release(connection)
            # The loss of the connection cancels the request.
            self._request.abort()
            raise CancelledError
        if not self._admission.may_still_send(self.server):
            self._connections.release(connection)
            raise NotRunError(
                outcome=Outcome.SHED,
                problem=self._not_run("the server accepts no more requests"),
            )
        if not self._guarded_run.may_send():
            self._connections.release(connection)
            raise NotRunError(
                outcome=Outcome.CANCELLED,
                problem=self._not_run("the request has to be admitted again"),
            )
        remaining = remaining_time(self._deadline_s(), now_s=self._reactor.seconds)
        if remaining.duration_s <= 0:
            self._connections.release(connection)
            raise self._no_time_error()
        written_s = self._reactor.seconds()
        if not self._sends.permit(self._cause, path=connection.path):
            self._connections.release(connection)
            raise NotPermittedError(
                outcome=Outcome.CANCELLED,
                problem=self._not_run("refused: retry-budget"),
            )
        self._guarded_run.note_written(self.server)
        response = self._write(connection, remaining)
        timeout = Timeout(
            clock=self._reactor, delay_s=remaining.duration_s, expire=response.cancel
        )
        try:
            answer = await response
        except RequestNotSent as error:
            self._sends.withdraw()
            self._guarded_run.note_unwritten()
            raise NotRunError(
                outcome=Outcome.CONNECT_FAILED,
                problem=self._not_run("the connection was closed"),
            ) from error
        except CancelledError as error:
            self._guarded_run.note_abandoned(self.server)
            raise self._cancellation_error(
                connection, timed_out=timeout.expired
            ) from error
        except Exception as error:
            self.note_end_of_connection(connection)
            if connection.is_lost and connection.tunnel is None:
                self._admission.note_arrived(self._ticket, connection.path)
            connection.abort_now()
            raise LostError(
                outcome=Outcome.LOST,
                problem=self._unknown(502, self._title_of_loss(error), error),
            ) from error
        finally:
            timeout.stop()
        self._check_request_id(connection, answer)
        self._admission.note_arrived(self._ticket, connection.path, until_s=written_s)
        return answer

    def _title_of_loss(self, error: Exception) -> str:
        if not isinstance(error, InvalidStatusError):
            return "the answer was lost"
        log.warning(
            "invalid status in an answer: {}",
            error,
            extra={
                "request_id": self._ticket.request_id,
                "server": self.server.id,
                "step": "answer",
                "peer": self.server.address,
            },
        )
        return "the server's answer has no valid status"

    def note_end_of_connection(self, connection: ServerConnection) -> None:
        """Record that a connection ended without the whole answer.

        The end of a tunnel, or of a connection that this host has closed, says nothing
        about the server.
        """
        if connection.is_lost and connection.tunnel is None:
            self._guarded_run.note_lost(self.server)
        else:
            self._guarded_run.note_abandoned(self.server)

    def _write(
        self, connection: ServerConnection, remaining: RemainingTime
    ) -> "Deferred[Response]":
        headers = self._headers(remaining)
        self.is_sent = True
        self._connection_sends = connection.requests + 1
        if self._request.body is not None:
            self._upload = self._request.body.open_upload(
                on_abort=connection.abort_now, is_confirmed=False
            )
        try:
            response = connection.send_request(
                method=self._request.method,
                uri=self._request.uri,
                headers=headers,
                body=self._upload,
                request_id=self._ticket.request_id,
                repeatable=self._ticket.repeatable,
            )
        except ValueError as error:
            self.is_sent = False
            self._guarded_run.note_unwritten()
            self._connections.release(connection)
            raise FinalError(
                outcome=Outcome.CANCELLED,
                problem=Problem(
                    status=400,
                    title="bad request",
                    run=RunStatus.NOT_RUN,
                    detail="expected a target of visible ASCII characters",
                    step="send",
                ),
            ) from error
        if self._upload is not None and not response.called:
            self._upload.confirm()
        return response

    def _is_late(self) -> bool:
        return bool(self._reactor.seconds() >= self._deadline_s())

    def _no_time_error(self) -> FinalError:
        return FinalError(
            outcome=Outcome.CANCELLED,
            problem=self._not_run("no time was left to run the request"),
        )

    def _cancellation_error(
        self, connection: ServerConnection, *, timed_out: bool
    ) -> Exception:
        connection.abort_now()
        if not timed_out:
            return CancelledError()
        if self.is_reused:
            # The server may be slow, or a middlebox may have dropped the state of this
            # connection, and then most likely that of the others of the same age.
            self.retire_connections()
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
        headers = forwarded_headers(self._request.requestHeaders, codec.is_forwarded)
        fields = codec.request_fields(self._ticket, self.server, self._owner, remaining)
        set_fields(headers, fields)
        return headers

    def _check_request_id(
        self, connection: ServerConnection, response: Response
    ) -> None:
        try:
            has_id = check_request_id(
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
        if not has_id:
            # A late copy of this response could not be told from the next one.
            connection.retire()

    def _check_usable(self, connection: ServerConnection, response: Response) -> None:
        refusal = self._codec.refusal(response)
        if refusal is not None:
            if cast(Any, response.length) != 0:
                connection.abort_now()
            if refusal.answered_by not in (None, self.server.id):
                self._connections.note_reassigned(self.server.address)
            raise self._refusal_error(refusal)
        if not has_detectable_end(connection, response):
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

    def _refusal_error(self, refusal: ServerRefusal) -> NotRunError:
        self._guarded_run.note_refused()
        retry_after_s = refusal.retry_after_s
        return NotRunError(
            retry_after_s=retry_after_s,
            outcome=Outcome.NOT_OWNER if refusal.not_owner else Outcome.SHED,
            problem=self._not_run(
                "the server refused the request without running it",
                retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
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
        detail = f"{UNKNOWN_DETAIL} {error or ''}"
        return Problem(
            status=status,
            title=title,
            run=RunStatus.UNKNOWN,
            detail=detail.strip(),
            step="answer",
            peer=self.server.address,
        )


def run_attempt(attempt: Attempt) -> "Deferred[Response]":
    """Start an attempt; cancelling the result cancels it."""
    return Deferred.fromCoroutine(attempt.run())
