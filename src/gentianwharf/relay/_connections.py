"""Kept connections to one backend server.

A connection carries one request at a time and is kept only after a whole answer.
One that timed out, was cancelled or holds an unfinished answer is aborted, so that
a late answer can never be taken for the answer to another request.
"""

import socket
from collections import deque
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IReactorTime, ITCPTransport
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Response
from twisted.web._newclient import Request as ServerRequest
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer

from gentianwharf.errors import PeerMismatchError, PeerUnavailableError
from gentianwharf.topology import BackendServer

from ._headers import connection_options
from ._transport import JoinedLines, send_now

__all__ = ["ServerConnection", "ServerConnectionPool"]

# Loopback and rack round trips take well under a millisecond and opening 1 ms; a
# SYN that is lost is repeated after 1 s, so anything longer waits for a dead host.
CONNECT_TIMEOUT_S = 0.5
# Firewalls and balancers commonly discard idle connections after a minute or more; a
# connection unused for longer than this is closed instead of trusted.
MOST_IDLE_S = 15.0
# Probes begin after 4 s of silence, two seconds apart; two without an answer end the
# connection, so that one gone silent lives for 8 s at most, within the idle limit.
KEEPALIVE = {
    socket.TCP_KEEPIDLE: 4,
    socket.TCP_KEEPINTVL: 2,
    socket.TCP_KEEPCNT: 2,
}


HTTP_1_0 = (1, 0)
# Heads of answers are some hundred bytes, with early hints a few thousand.
MOST_ANSWER_HEAD_BYTES = 65_536


class _Sent(ServerRequest):
    """A request whose head is written in one piece."""

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
        self._answered: Deferred[Response] | None = None
        self._head_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Let the kernel probe the connection while it is idle.

        A middlebox that has lost track of it answers no probe: the connection is
        closed while it is idle, and not found silent by a request.
        """
        super().connectionMade()
        handle = cast(Any, self.transport).getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in KEEPALIVE.items():
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Forget the connection, wherever it was."""
        self.pool.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take data, and give up on a server whose answer's head has no end.

        Twisted bounds each line, but neither their number nor that of informational
        answers: a mad server would fill the memory and keep the loop busy until the
        request's deadline.
        """
        super().dataReceived(data)
        answered = self._answered
        if answered is None or answered.called:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MOST_ANSWER_HEAD_BYTES:
            answered.errback(self._endless_head())
            self.abort_now()

    def _endless_head(self) -> PeerMismatchError:
        return PeerMismatchError(
            f"expected an answer's head within {MOST_ANSWER_HEAD_BYTES} bytes, got"
            f" {self._head_bytes} without its end",
            step="read-answer",
            peer=self.pool.server.address,
        )

    def _finishResponse(self, rest: bytes) -> None:  # noqa: N802
        # A server that sends more than its answer is out of step: what follows would
        # be read as the answer to the next request, and Twisted drops only the part
        # that is here already.
        if rest or self._will_close():
            self.retired = True
        super()._finishResponse(rest)

    def _will_close(self) -> bool:
        """Whether the server closes after this answer.

        Twisted knows the word ``close`` alone and in lower case. A request sent on such
        a connection is lost, and its outcome unknown.
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
        """Send a request; fires with the answer once its head is here.

        A server may answer before it has read the whole body; Twisted's client
        reports such an answer only after the upload, which the server may never
        read. So the answer is taken from the parser as soon as it has its head.
        """
        self.requests += 1
        request = _Sent._construct(method, uri, headers, body, True)
        answered: Deferred[Response] = Deferred(lambda _: self.abort_now())
        self._answered, self._head_bytes = answered, 0
        sent = cast("Deferred[Response]", self.request(request))
        early = getattr(self, "_responseDeferred", None)
        if early is not None:
            early.addCallback(_tee, answered)
        sent.addCallbacks(
            lambda response: _fire(answered, response),
            lambda failure: _fail(answered, failure),
        )
        send_now(self.transport)
        return answered

    def abort_now(self) -> None:
        """Close at once; whatever answer is still to come is never read."""
        self.retired = True
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()


def _tee(response: Response, answered: "Deferred[Response]") -> Response:
    _fire(answered, response)
    return response


def _fire(answered: "Deferred[Response]", response: Response) -> None:
    if not answered.called:
        answered.callback(response)


def _fail(answered: "Deferred[Response]", failure: Any) -> None:
    if not answered.called:
        answered.errback(failure)


class ServerConnectionPool:
    """The connections of this daemon to one backend server."""

    def __init__(self, *, server: BackendServer, reactor: Any) -> None:
        self.server = server
        self.max_connections = server.connections
        self.opened = 0
        self._reactor = reactor
        self._clock: IReactorTime = reactor
        self._idle: deque[ServerConnection] = deque()
        self._all: set[ServerConnection] = set()
        self._connecting = 0

    def update_server(self, server: BackendServer) -> None:
        """Take what is now known of the server; call ``set_daemon_count`` after it.

        A server may start again under its id at another address. Connections to the old
        one are closed: it may be another server's by now.
        """
        moved = server.address != self.server.address
        self.server = server
        if moved:
            self.retire_all()

    def set_daemon_count(self, daemons: int) -> None:
        """Take an equal part of what the server accepts from all daemons.

        The list of hosts tells how many there are, so nobody has to be asked; what
        one daemon does not use, another can't borrow, since a server that is out of
        connections refuses everybody.
        """
        self.max_connections = max(1, self.server.connections // max(1, daemons))

    def __len__(self) -> int:
        return len(self._all) + self._connecting

    async def acquire(self, *, fresh: bool = False) -> ServerConnection:
        """Return a connection nobody else uses; ``fresh`` asks for a new one.

        Raises ``PeerUnavailableError``: no byte of any request was sent.
        """
        if not fresh:
            kept = self._take_idle()
            if kept is not None:
                return kept
        if len(self) >= self.max_connections:
            raise self._unavailable(
                f"all {self.max_connections} connections are in use"
            )
        return await self._connect()

    def _take_idle(self) -> ServerConnection | None:
        oldest_s = self._clock.seconds() - MOST_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s >= oldest_s:
                return connection
            connection.abort_now()
        return None

    async def _connect(self) -> ServerConnection:
        address = self.server.address
        host, _, port = address.rpartition(":")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = kind(
            self._reactor, host.strip("[]"), int(port), timeout=CONNECT_TIMEOUT_S
        )
        factory = Factory.forProtocol(lambda: ServerConnection(pool=self))
        factory.noisy = False
        self._connecting += 1
        try:
            connection = cast(ServerConnection, await endpoint.connect(factory))
        except (ConnectError, OSError) as error:
            raise self._unavailable(f"can't connect: {error}") from error
        finally:
            self._connecting -= 1
        self.opened += 1
        self._all.add(connection)
        if address != self.server.address:
            # The server has moved meanwhile: the address may be another one's by now.
            connection.abort_now()
            raise self._unavailable(f"it has left {address}")
        return connection

    def _unavailable(self, message: str) -> PeerUnavailableError:
        return PeerUnavailableError(message, step="connect", peer=self.server.address)

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection whose answer has come whole."""
        if connection.retired:
            connection.abort_now()
            return
        connection.idle_since_s = self._clock.seconds()
        self._idle.append(connection)

    def discard(self, connection: ServerConnection) -> None:
        """Drop a connection that is closed."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def idle(self) -> tuple[ServerConnection, ...]:
        """Return the connections that wait for a request."""
        return tuple(self._idle)

    def retire_all(self) -> None:
        """Close idle connections now and the others after their answers.

        For when one was found silent for good: what lost track of it, a firewall
        that restarted for instance, has likely lost track of the others as well.
        """
        for connection in self._all:
            connection.retired = True
        while self._idle:
            self._idle.popleft().abort_now()

    def close(self) -> None:
        """Close everything."""
        for connection in list(self._all):
            connection.abort_now()
