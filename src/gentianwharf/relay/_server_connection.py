"""A persistent connection to one backend server.

A connection carries one request at a time and is reused only after a complete response.
After a timeout, a cancellation or an incomplete response it is aborted, so that a late
response can't be read as the response to another request.

A server may send a response again, where the next one is expected. Responses contain
the id of their request, which is the same each time a request is sent. A connection
therefore carries an id only once: on one connection, an id identifies one send.
"""

import socket
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, RequestNotSent, Response
from twisted.web._newclient import Request as ServerRequest
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from xxhash import xxh3_64_intdigest

from gentianwharf.errors import PeerMismatchError
from gentianwharf.pauses import Timeout
from gentianwharf.sockets import queued_bytes, unacknowledged_bytes
from gentianwharf.statuses import check_statuses

from ._headers import connection_options
from ._link_monitor import LinkMonitor
from ._transport import JoinedLines, buffered_bytes, send_now
from ._tunnels import Tunnel

if TYPE_CHECKING:
    from ._connections import ServerConnectionPool

# Keep-alive probes start after 4 s without data, 2 s apart. The kernel closes the
# connection after two unanswered probes, that is within 8 s and thus within MAX_IDLE_S.
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 4,
    socket.TCP_KEEPINTVL: 2,
    socket.TCP_KEEPCNT: 2,
}

HTTP_1_0 = (1, 0)
MAX_SENDS = 256
"""Requests after which a connection is closed; bounds the memory for their ids."""

DRAIN_TIMEOUT_S = 5.0
"""Time for a server that responded early to read the rest of the request's body."""

# Response heads have some hundred bytes, or a few thousand with early hints.
MAX_RESPONSE_HEAD_BYTES = 65_536

MAX_INFORMATIONAL_RESPONSES = 16
"""Responses such as 103 (Early Hints) before the final one of a request."""


class _OneWriteRequest(ServerRequest):
    """A request whose head is written to the transport in one call."""

    def _writeHeaders(self, transport: Any, length: bytes | None) -> None:  # noqa: N802
        super()._writeHeaders(JoinedLines(transport=transport), length)


class ServerConnection(HTTP11ClientProtocol):
    """One connection to a backend server, direct unless it has a ``tunnel``."""

    def __init__(
        self, *, pool: "ServerConnectionPool", tunnel: Tunnel | None = None
    ) -> None:
        super().__init__(pool.release)
        self.pool = pool
        self.tunnel = tunnel
        self.sent_s = 0.0
        self.repeatable = False
        self._monitor = pool.links.monitor if pool.links and not tunnel else None
        self._is_aborted = False
        self.is_lost = False
        """Whether the server, or something between, has ended the connection."""
        self.idle_since_s = 0.0
        self.requests = 0
        self.local_port = 0
        self.retired = False
        self._carried_ids: set[int] = set()
        """Digests of the ids of the requests that were sent."""
        self._pending: Deferred[Response] | None = None
        self._head_bytes = 0
        self._has_body = False
        self._drain_timeout: Timeout | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Enable TCP keep-alive probes.

        If a middlebox has dropped the state of the connection, the probes fail and the
        connection is closed while it is idle, before a request is sent on it.
        """
        super().connectionMade()
        handle = cast(Any, self.transport).getHandle()
        self.local_port = int(cast(Any, self.transport).getHost().port)
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE.items():
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection from the pool."""
        closes = bool(getattr(self.transport, "disconnecting", False))
        self.is_lost = not self._is_aborted and not closes
        self.pool.discard(self)
        if self._drain_timeout is not None:
            self._drain_timeout.stop()
        if self.tunnel is not None:
            self.tunnel.closed()
        elif (
            self._monitor is not None
            and not self._is_aborted
            and not reason.check(ConnectionDone)
        ):
            self._monitor.note_reset(self.server_id())
        response = getattr(self, "_responseDeferred", None)
        has_head = response is not None and response.called
        super().connectionLost(reason)
        if has_head:
            # Twisted does not fail the response while the request is still being sent.
            self._disconnectParser(reason)

    def _disconnectParser(self, reason: Any) -> None:  # noqa: N802
        parser = self._parser
        super()._disconnectParser(reason)
        if self._state == "TRANSMITTING":
            # The response can't be parsed. Twisted expects a parser in this state when
            # the request has been sent, or the connection is lost.
            self._state = "TRANSMITTING_AFTER_RECEIVING_RESPONSE"
        if parser is not None:
            # The parser, its callbacks and the errors that they raised refer to each
            # other: what they hold would stay in memory until the next collection.
            parser._buffer = b""
            parser.__dict__.pop("connectionMade", None)

    def server_id(self) -> str:
        """Return the id of the server."""
        return self.pool.server.id

    @property
    def path(self) -> str:
        """The way to the server, told apart from that through another host."""
        if self.tunnel is None:
            return self.server_id()
        return f"{self.server_id()} through {self.tunnel.host}"

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes were sent to the server and not acknowledged."""
        return unacknowledged_bytes(self.transport)

    def may_carry(self, request_id: str | None) -> bool:
        """Whether no request with this id was sent on this connection.

        Two ids may have the same digest; then another connection is used.
        """
        return request_id is None or _digest(request_id) not in self._carried_ids

    @property
    def awaits_response(self) -> bool:
        """Whether a request was sent, and the head of its response has not arrived."""
        return self._pending is not None and not self._pending.called

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data, and fail the request if the head of the response is too large.

        Twisted limits the length of a line, but not the number of lines or of
        informational responses. A faulty server could otherwise exhaust the memory and
        keep the loop busy until the request's deadline.
        """
        if self._monitor is not None:
            self._monitor.reachability.note_heard()
        if self._parser is None:
            # The bytes answer no request.
            self.abort_now()
            return
        # The end of a response may start the next request before this call returns.
        pending = self._pending
        super().dataReceived(data)
        if pending is None or pending.called:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            pending.errback(self._oversized_head_error())
            self.abort_now()

    def _giveUp(self, reason: Failure) -> None:  # noqa: N802
        # While the request is still being sent, Twisted does not fail it.
        pending = self._pending
        if pending is not None and not reason.check(ConnectionDone):
            _deliver_failure(pending, reason)
        super()._giveUp(reason)

    def _oversized_head_error(self) -> PeerMismatchError:
        return PeerMismatchError(
            f"expected an answer's head within {MAX_RESPONSE_HEAD_BYTES} bytes, got"
            f" {self._head_bytes} without its end",
            step="read-answer",
            peer=self.pool.server.address,
        )

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        if self._parser is None:
            # A body without a length has ended with the connection, which has no state
            # any more in which Twisted could finish the response.
            return
        # Data after the end of the response would be read as the response to the next
        # request. Twisted drops only the part that has already arrived.
        if rest or self._server_closes():
            self.retired = True
        super()._finishResponse(rest)
        if getattr(self.transport, "disconnecting", False):
            self._start_drain_timeout()

    def _server_closes(self) -> bool:
        """Return whether the server closes the connection after this response.

        Twisted recognizes ``close`` only in lower case and as the only option. A
        request sent on such a connection would be lost and its outcome unknown.
        """
        parser = self._parser
        if parser is None:
            return False
        options = connection_options(parser.connHeaders)
        if parser.response.version[1:] == HTTP_1_0:
            return b"keep-alive" not in options
        return b"close" in options

    def send_request(
        self,
        *,
        method: bytes,
        uri: bytes,
        headers: Headers,
        body: IBodyProducer | None,
        request_id: str | None = None,
        repeatable: bool = True,
    ) -> Deferred[Response]:
        """Send a request; the result fires once the head of the response has arrived.

        ``request_id`` is the id that the response will contain, None if it contains
        none; ``may_carry`` has to be true for it.

        A server may respond before it has read the whole body. Twisted's client reports
        such a response only after the upload, which the server may never read, so the
        response is taken from the parser as soon as its head is complete.

        The result fails with ``RequestNotSent`` if no byte was sent. Raises
        ``ValueError`` if the method or target can't be sent. A ``repeatable`` request
        is given up, to be sent again, once this host has lost its links to the servers.
        """
        request = _OneWriteRequest._construct(method, uri, headers, body, True)
        self.requests += 1
        if self.requests >= MAX_SENDS:
            self.retired = True
        if request_id is not None:
            self._carried_ids.add(_digest(request_id))
        pending: Deferred[Response] = Deferred(lambda _: self.abort_now())
        self._pending, self._head_bytes = pending, 0
        self._has_body = body is not None
        self._watch_response(pending, repeatable=repeatable)
        sent = cast("Deferred[Response]", self.request(request))
        check_statuses(self)
        self._bound_informational_responses()
        early = getattr(self, "_responseDeferred", None)
        if early is not None:
            early.addCallbacks(
                _copy_response,
                _copy_failure,
                callbackArgs=(pending,),
                errbackArgs=(pending,),
            )
        sent.addCallbacks(
            lambda response: _deliver(pending, response),
            lambda failure: _deliver_failure(pending, failure),
        )
        if isinstance(send_now(self.transport), Exception) and not pending.called:
            # The server reset the connection while it was idle, and the event loop has
            # not noticed yet. The kernel refused the first byte.
            pending.errback(RequestNotSent())
            self.abort_now()
        return pending

    def _bound_informational_responses(self) -> None:
        """Fail the request if too many of them come.

        Twisted skips each of them, which takes longer than its few bytes suggest, and
        returns to the event loop only after all that have arrived.
        """
        parser = self._parser
        if parser is None:
            return
        begin_head = parser.connectionMade
        left = MAX_INFORMATIONAL_RESPONSES

        def begin_next_head() -> None:
            nonlocal left
            left -= 1
            if left < 0:
                raise PeerMismatchError(
                    f"expected at most {MAX_INFORMATIONAL_RESPONSES} informational"
                    " responses, got more",
                    step="read-answer",
                    peer=self.pool.server.address,
                )
            begin_head()

        parser.connectionMade = begin_next_head  # type: ignore[method-assign]

    def _watch_response(
        self, pending: "Deferred[Response]", *, repeatable: bool
    ) -> None:
        self.sent_s = self.pool.clock.seconds()
        self.repeatable = repeatable
        if self._monitor is None:
            return
        self._monitor.in_flight[self] = None
        pending.addBoth(self._stop_watching, self._monitor)

    def _stop_watching(self, result: Any, monitor: LinkMonitor) -> Any:
        monitor.in_flight.pop(self, None)
        return result

    @property
    def has_unsent_body(self) -> bool:
        """Whether part of the last request's body is not yet acknowledged."""
        if not self._has_body:
            return False
        return (buffered_bytes(self.transport) + queued_bytes(self.transport)) > 0

    def close_after_sending(self) -> None:
        """Close the connection once the rest of the last request's body is sent."""
        if not self.has_unsent_body:
            self.abort_now()
            return
        self.retired = True
        cast(ITCPTransport, self.transport).loseConnection()
        self._start_drain_timeout()

    def _start_drain_timeout(self) -> None:
        if self._drain_timeout is None:
            self._drain_timeout = Timeout(
                clock=self.pool.clock, delay_s=DRAIN_TIMEOUT_S, expire=self.abort_now
            )

    def retire(self) -> None:
        """Close now if the connection is idle, otherwise after the response."""
        self.retired = True
        if self.pool.withdraw_idle(self):
            self.abort_now()

    def abort_now(self) -> None:
        """Close the connection immediately, without reading a pending response.

        A response without a body is complete before it is checked, so that the
        connection may be idle; the event loop reports its end later.
        """
        self.retired = True
        self.pool.withdraw_idle(self)
        self._is_aborted = True
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()


def _digest(request_id: str) -> int:
    return int(xxh3_64_intdigest(request_id.encode()))


def _copy_response(response: Response, pending: "Deferred[Response]") -> Response:
    _deliver(pending, response)
    return response


def _copy_failure(failure: Any, pending: "Deferred[Response]") -> None:
    # Nothing else handles it while the request is still being sent.
    _deliver_failure(pending, failure)


def _deliver(pending: "Deferred[Response]", response: Response) -> None:
    if not pending.called:
        pending.callback(response)


def _deliver_failure(pending: "Deferred[Response]", failure: Any) -> None:
    if not pending.called:
        pending.errback(failure)
