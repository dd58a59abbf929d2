"""Persistent connections to one backend server.

A connection carries one request at a time and is reused only after a complete response.
After a timeout, a cancellation or an incomplete response it is aborted, so that a late
response can't be read as the response to another request.
"""

import socket
from collections import deque
from typing import Any, cast

from twisted.internet import error as twisted_errors
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTime, ITCPTransport
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, RequestNotSent, Response
from twisted.web._newclient import Request as ServerRequest
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer

from gentianwharf.errors import PeerMismatchError, PeerUnavailableError
from gentianwharf.topology import BackendServer

from ._headers import connection_options
from ._reachability import ConnectFailure, Reachability
from ._transport import JoinedLines, send_now

__all__ = ["ServerConnection", "ServerConnectionPool"]

# Round trips on loopback and within a rack take well under 1 ms, and connecting takes
# 1 ms. A lost SYN is retransmitted after 1 s, so a longer timeout only waits for hosts
# that are down.
CONNECT_TIMEOUT_S = 0.5
# Firewalls and load balancers commonly discard idle connections after a minute or more.
# A connection that was idle for longer than this is closed instead of reused.
MAX_IDLE_S = 15.0
# Keep-alive probes start after 4 s without data, 2 s apart. The kernel closes the
# connection after two unanswered probes, that is within 8 s and thus within MAX_IDLE_S.
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 4,
    socket.TCP_KEEPINTVL: 2,
    socket.TCP_KEEPCNT: 2,
}


HTTP_1_0 = (1, 0)
# Response heads have some hundred bytes, or a few thousand with early hints.
MAX_RESPONSE_HEAD_BYTES = 65_536


class _OneWriteRequest(ServerRequest):
    """A request whose head is written to the transport in one call."""

    def _writeHeaders(self, transport: Any, length: bytes | None) -> None:  # noqa: N802
        super()._writeHeaders(JoinedLines(transport=transport), length)


class ServerConnection(HTTP11ClientProtocol):
    """One connection to a backend server."""

    def __init__(self, *, pool: "ServerConnectionPool") -> None:
        super().__init__(pool.release)
        self.pool = pool
        self.idle_since_s = 0.0
        self.requests = 0
        self.retired = False
        self._pending: Deferred[Response] | None = None
        self._head_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Enable TCP keep-alive probes.

        If a middlebox has dropped the state of the connection, the probes fail and the
        connection is closed while it is idle, before a request is sent on it.
        """
        super().connectionMade()
        handle = cast(Any, self.transport).getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE.items():
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection from the pool."""
        self.pool.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data, and fail the request if the head of the response is too large.

        Twisted limits the length of a line, but not the number of lines or of
        informational responses. A faulty server could otherwise exhaust the memory and
        keep the loop busy until the request's deadline.
        """
        self.pool.reachability.note_heard()
        super().dataReceived(data)
        pending = self._pending
        if pending is None or pending.called:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            pending.errback(self._oversized_head_error())
            self.abort_now()

    def _oversized_head_error(self) -> PeerMismatchError:
        return PeerMismatchError(
            f"expected an answer's head within {MAX_RESPONSE_HEAD_BYTES} bytes, got"
            f" {self._head_bytes} without its end",
            step="read-answer",
            peer=self.pool.server.address,
        )

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        # Data after the end of the response would be read as the response to the next
        # request. Twisted drops only the part that has already arrived.
        if rest or self._server_closes():
            self.retired = True
        super()._finishResponse(rest)

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
        self, *, method: bytes, uri: bytes, headers: Headers, body: IBodyProducer | None
    ) -> Deferred[Response]:
        """Send a request; the result fires once the head of the response has arrived.

        A server may respond before it has read the whole body. Twisted's client reports
        such a response only after the upload, which the server may never read, so the
        response is taken from the parser as soon as its head is complete.

        The result fails with ``RequestNotSent`` if no byte was sent. Raises
        ``ValueError`` if the method or target can't be sent.
        """
        request = _OneWriteRequest._construct(method, uri, headers, body, True)
        self.requests += 1
        pending: Deferred[Response] = Deferred(lambda _: self.abort_now())
        self._pending, self._head_bytes = pending, 0
        sent = cast("Deferred[Response]", self.request(request))
        early = getattr(self, "_responseDeferred", None)
        if early is not None:
            early.addCallback(_copy_response, pending)
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

    def abort_now(self) -> None:
        """Close the connection immediately, without reading a pending response."""
        self.retired = True
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()


def _copy_response(response: Response, pending: "Deferred[Response]") -> Response:
    _deliver(pending, response)
    return response


def _deliver(pending: "Deferred[Response]", response: Response) -> None:
    if not pending.called:
        pending.callback(response)


def _deliver_failure(pending: "Deferred[Response]", failure: Any) -> None:
    if not pending.called:
        pending.errback(failure)


class ServerConnectionPool:
    """The connections of a daemon to one backend server.

    ``reachability`` is that of all servers together.
    """

    def __init__(
        self,
        *,
        server: BackendServer,
        reactor: Any,
        reachability: Reachability | None = None,
    ) -> None:
        self.server = server
        self.reachability = reachability or Reachability(now_s=reactor.seconds)
        self.max_connections = server.connections
        self.opened = 0
        self._reactor = reactor
        self._clock: IReactorTime = reactor
        self._idle: deque[ServerConnection] = deque()
        self._open: set[ServerConnection] = set()
        self._connecting = 0

    def update_server(self, server: BackendServer) -> None:
        """Apply changed data of the server; call ``set_daemon_count`` afterwards.

        A server may restart under its id at another address. Connections to the old
        address are closed, since another server may be using it by now.
        """
        moved = server.address != self.server.address
        self.server = server
        if moved:
            self.retire_all()

    def set_daemon_count(self, daemons: int) -> None:
        """Limit this pool to an equal share of the server's connections.

        The number of daemons comes from the list of hosts, so the daemons need not
        coordinate. A daemon can't use another one's unused share, since a server that
        runs out of connections refuses all daemons.
        """
        self.max_connections = max(1, self.server.connections // max(1, daemons))

    def __len__(self) -> int:
        return len(self._open) + self._connecting

    async def acquire(
        self, *, fresh: bool = False, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ServerConnection:
        """Return an unused connection; ``fresh`` requests a new one.

        Opening one takes ``timeout_s`` at most, and never more than the usual timeout.
        Raises ``PeerUnavailableError``, before any byte of a request is sent.
        """
        if not fresh:
            connection = self._acquire_idle()
            if connection is not None:
                return connection
        if len(self) >= self.max_connections:
            raise self._unavailable(
                f"all {self.max_connections} connections are in use"
            )
        return await self._connect(min(timeout_s, CONNECT_TIMEOUT_S))

    def _acquire_idle(self) -> ServerConnection | None:
        oldest_s = self._clock.seconds() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s >= oldest_s:
                return connection
            connection.abort_now()
        return None

    async def _connect(self, timeout_s: float) -> ServerConnection:
        address = self.server.address
        host, _, port = address.rpartition(":")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = kind(self._reactor, host.strip("[]"), int(port), timeout=timeout_s)
        factory = Factory.forProtocol(lambda: ServerConnection(pool=self))
        factory.noisy = False
        self._connecting += 1
        try:
            connection = cast(ServerConnection, await endpoint.connect(factory))
        except ConnectingCancelledError as error:
            # Twisted's own error for a cancelled connection is a ConnectError, which
            # would count as a failure of the server.
            raise CancelledError from error
        except (ConnectError, OSError) as error:
            self.reachability.note_failed(self.server.id, _failure_of(error))
            raise self._unavailable(f"can't connect: {error}") from error
        finally:
            self._connecting -= 1
        self.opened += 1
        self.reachability.note_opened(self.server.id)
        self._open.add(connection)
        if address != self.server.address:
            # The server moved while connecting; another one may be using the address.
            connection.abort_now()
            raise self._unavailable(f"it has left {address}")
        return connection

    def _unavailable(self, message: str) -> PeerUnavailableError:
        return PeerUnavailableError(message, step="connect", peer=self.server.address)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.retired:
            connection.abort_now()
            return
        connection.idle_since_s = self._clock.seconds()
        self._idle.append(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def idle(self) -> tuple[ServerConnection, ...]:
        """Return the idle connections."""
        return tuple(self._idle)

    def retire_all(self) -> None:
        """Close idle connections now and the others after their responses.

        To be called if a connection has stopped working. The cause, such as a firewall
        restart, is likely to affect the other connections as well.
        """
        for connection in self._open:
            connection.retired = True
        while self._idle:
            self._idle.popleft().abort_now()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.abort_now()


def _failure_of(error: Exception) -> ConnectFailure:
    if isinstance(error, twisted_errors.ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(error, twisted_errors.TimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.OTHER
