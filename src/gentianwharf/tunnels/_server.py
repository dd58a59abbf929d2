"""Accepts tunnels of hosts that have lost their links to the servers."""

import socket
from collections import Counter
from collections.abc import Callable
from typing import Any, cast, final

import msgspec
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer, IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from gentianwharf.logs import log
from gentianwharf.sockets import is_reset, unacknowledged_bytes
from gentianwharf.topology import BackendServer

from ._messages import (
    FramedProtocol,
    HostState,
    OpenTunnel,
    RefusalReason,
    Request,
    SharedNotice,
    Subscribe,
    TunnelOpened,
    TunnelRefused,
    decode_request,
    is_same_secret,
)

MAX_TUNNELS = 256
MAX_SUBSCRIBERS = 256
BUFFER_BYTES = 16_384
"""Bytes of each direction of a tunnel that are read at a time, and buffered at most
beyond that while the receiver is slower than the sender."""

CONNECT_TIMEOUT_S = 0.2
HANDSHAKE_TIMEOUT_S = 2.0
STATE_INTERVAL_S = 0.25
"""Interval of ``HostState`` messages; hosts drop one from which none arrives."""

RESET_CHECK_INTERVAL_S = 0.25
"""Interval of the checks for a reset while reading is paused: the event loop doesn't
report resets then."""

LINGER_TIMEOUT_S = 30.0
"""Time for a host to read the rest of an answer, as long as for a stalled response."""


@final
class TunnelServer(Factory):
    """Accepts tunnels while this host has links to servers and is not stopping.

    ``server_by_id`` returns the listed server with an id, so that tunnels lead nowhere
    else. ``secret`` returns what all hosts of the system know, empty if it is unknown.
    ``may_send`` tells whether a server takes requests from this host, and ``on_notice``
    is called with what a server stated to a host through a tunnel of this one.

    A tunnel's connection to its server is always a direct one: there are no loops.
    """

    noisy = False

    def __init__(
        self,
        *,
        server_by_id: Callable[[str], BackendServer | None],
        secret: Callable[[], str],
        is_cut_off: Callable[[], bool],
        reactor: Any,
        may_send: Callable[[str], bool] = lambda server_id: True,
    ) -> None:
        self.on_notice: Callable[[SharedNotice], None] = lambda notice: None
        self.may_send = may_send
        self.server_by_id = server_by_id
        self.secret = secret
        self.is_stopping = False
        self.reactor = reactor
        self.opened = 0
        self.refused: Counter[str] = Counter()
        self._is_cut_off = is_cut_off
        self._connections: set[_Entry] = set()

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Accept a connection of a host."""
        return _Entry(server=self)

    @property
    def open_tunnels(self) -> int:
        """The number of tunnels that are open or being opened."""
        return sum(entry.carries_tunnel for entry in self._connections)

    def refusal(self) -> str | None:
        """Return why this host accepts no tunnel, None if it does."""
        if self.is_stopping:
            return RefusalReason.STOPPING
        if self._is_cut_off():
            return RefusalReason.CUT_OFF
        if self.open_tunnels >= MAX_TUNNELS:
            return RefusalReason.FULL
        return None

    def stop_accepting(self) -> None:
        """Refuse new tunnels; hosts close theirs once their requests are answered."""
        self.is_stopping = True
        self.send_state()

    def note_cut_off(self) -> None:
        """Refuse new tunnels, and reset those whose servers acknowledge nothing."""
        self.send_state()
        for entry in list(self._connections):
            if entry.is_unacknowledged():
                entry.abort()

    def send_state(self) -> None:
        """Send this host's state to all subscribers."""
        for entry in list(self._connections):
            if entry.is_subscriber:
                entry.send_state()

    def share(self, notice: SharedNotice, sender: "_Entry | None" = None) -> None:
        """Send subscribers what a server stated to this host, or to one of them."""
        for entry in list(self._connections):
            if entry.is_subscriber and entry is not sender:
                entry.send(notice)

    def close(self) -> None:
        """Close all connections."""
        for entry in list(self._connections):
            entry.abort()

    def add(self, entry: "_Entry") -> bool:
        """Register a connection; return False if there are too many."""
        if len(self._connections) >= MAX_TUNNELS + MAX_SUBSCRIBERS:
            return False
        self._connections.add(entry)
        return True

    def discard(self, entry: "_Entry") -> None:
        """Remove a closed connection."""
        self._connections.discard(entry)


@implementer(IPushProducer)
class _End(Protocol):
    """One end of a tunnel, as the other end uses it."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading until the other end has written what was read."""
        cast(Any, self.transport).pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""
        cast(Any, self.transport).resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the other end is lost, and will close this one."""

    def write(self, data: bytes) -> None:
        """Write bytes that arrived at the other end."""
        if self.transport is not None:
            self.transport.write(data)

    def close(self, *, clean: bool) -> None:
        """Close this end as the other end was closed: a reset stays a reset."""
        close_end(self.transport, clean=clean)


@final
class _Entry(_End, FramedProtocol):
    """The end of a tunnel at which another host's bytes arrive, or a subscriber."""

    def __init__(self, *, server: TunnelServer) -> None:
        self._server = server
        self._exit: _Exit | None = None
        self._connecting: Any = None
        self._timer: Any = None
        self._reset_check: Any = None
        self._is_paused = False
        self.is_subscriber = False

    @property
    def carries_tunnel(self) -> bool:
        """Whether a tunnel is open or being opened."""
        return self._exit is not None or self._connecting is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for a request for a limited time."""
        if not self._server.add(self):
            self.abort()
            return
        set_tunnel_options(self.transport)
        self._timer = self._server.reactor.callLater(HANDSHAKE_TIMEOUT_S, self.abort)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Copy bytes to the server once the tunnel is open."""
        if self._exit is not None:
            self._exit.write(data)
        elif self._connecting is not None:
            # A host sends nothing before the tunnel is open.
            self.abort()
        else:
            super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle the request of a host, or what a server stated to a subscriber."""
        try:
            request = decode_request(string)
        except msgspec.DecodeError as error:
            self._reject(f"cannot decode a request for a tunnel: {error}")
            return
        if isinstance(request, SharedNotice) or self.is_subscriber:
            self._note(request)
            return
        self._timer.cancel()
        if not is_same_secret(request.secret, self._server.secret()):
            self._reject("request for a tunnel without the secret of this system")
        elif isinstance(request, Subscribe):
            self.is_subscriber = True
            self._send_state_periodically()
        else:
            self._open(request)

    def _note(self, request: Request) -> None:
        if self.is_subscriber and isinstance(request, SharedNotice):
            self._server.on_notice(request)
            self._server.share(request, sender=self)
        else:
            self._reject("expected a subscriber's notice")

    def _reject(self, message: str) -> None:
        log.warning(message, extra={"step": "tunnel", "peer": self._peer_ip()})
        self.abort()

    def _peer_ip(self) -> str:
        return str(cast(Any, self.transport).getPeer().host)

    def _send_state_periodically(self) -> None:
        self.send_state()
        self._timer = self._server.reactor.callLater(
            STATE_INTERVAL_S, self._send_state_periodically
        )

    def send_state(self) -> None:
        """Send this host's state."""
        self.send(HostState(accepts=self._server.refusal() is None))

    def _open(self, request: OpenTunnel) -> None:
        reason = self._server.refusal()
        server = self._server.server_by_id(request.server_id)
        if reason is None and server is None:
            reason = RefusalReason.UNKNOWN_SERVER
        if reason is None and not self._server.may_send(request.server_id):
            reason = RefusalReason.RESTING
        if reason is not None or server is None:
            self._refuse(reason or RefusalReason.UNKNOWN_SERVER)
            return
        ip, _, port = server.address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self._server.reactor, ip, int(port), timeout=CONNECT_TIMEOUT_S
        )
        factory = Factory.forProtocol(lambda: _Exit(entry=self))
        factory.noisy = False
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(self._join, self._fail)

    def _join(self, exit_end: "_Exit") -> None:
        self._connecting = None
        self._server.opened += 1
        self._exit = exit_end
        cast(Any, self.transport).registerProducer(exit_end, True)
        cast(Any, exit_end.transport).registerProducer(self, True)
        self.send(TunnelOpened())

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading, and check whether the host resets the tunnel meanwhile."""
        super().pauseProducing()
        self._is_paused = True
        if self._reset_check is None:
            self._check_reset_later()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""
        self._is_paused = False
        super().resumeProducing()

    def _check_reset_later(self) -> None:
        self._reset_check = self._server.reactor.callLater(
            RESET_CHECK_INTERVAL_S, self._check_reset
        )

    def _check_reset(self) -> None:
        self._reset_check = None
        if not self._is_paused:
            return
        if is_reset(self.transport):
            self.abort()
            return
        self._check_reset_later()

    def _fail(self, failure: Failure) -> None:
        self._connecting = None
        if self.connected:
            self._refuse(RefusalReason.UNREACHABLE)

    def _refuse(self, reason: str) -> None:
        self._server.refused[reason] += 1
        self.send(TunnelRefused(reason=reason))
        cast(Any, self.transport).loseConnection()

    def close(self, *, clean: bool) -> None:
        """End the answer as the server did: a reset stays a reset.

        What the server sent before is written first. After a clean end, the rest of an
        upload is read and dropped: closing with unread data resets the connection, and
        the host may lose the end of the answer.
        """
        transport = cast(Any, self.transport)
        if not transport.connected:
            super().close(clean=clean)
            return
        transport.unregisterProducer()
        if clean:
            transport.loseWriteConnection()
            self.resumeProducing()
        else:
            transport.registerProducer(_ResetOnceWritten(transport), False)
        self._timer = self._server.reactor.callLater(LINGER_TIMEOUT_S, self.abort)

    def is_unacknowledged(self) -> bool:
        """Whether bytes on their way to the server wait to be acknowledged."""
        exit_end = self._exit
        return exit_end is not None and unacknowledged_bytes(exit_end.transport) > 0

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Close the connection to the server, so that it drops the request."""
        self._server.discard(self)
        for timer in (self._timer, self._reset_check):
            if timer is not None and timer.active():
                timer.cancel()
        connecting, self._connecting = self._connecting, None
        if connecting is not None:
            connecting.cancel()
        exit_end, self._exit = self._exit, None
        if exit_end is not None:
            exit_end.close(clean=bool(reason.check(ConnectionDone)))


@final
class _Exit(_End):
    """The end of a tunnel at its server."""

    def __init__(self, *, entry: _Entry) -> None:
        self._entry = entry

    def connectionMade(self) -> None:  # noqa: N802
        """Set the buffer's size."""
        set_tunnel_options(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Copy bytes to the host."""
        self._entry.write(data)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Close the connection to the host."""
        self._entry.close(clean=bool(reason.check(ConnectionDone)))


@final
@implementer(IPullProducer)
class _ResetOnceWritten:
    """Resets a connection once it has nothing left to write.

    The connection calls ``resumeProducing`` as the producer is registered, and then
    each time that its buffer is empty.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_registered = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Reset the connection, unless it may still have something to write."""
        if self._is_registered:
            self._transport.abortConnection()
            return
        self._is_registered = True
        # A connection that has nothing to write calls again as well.
        self._transport.startWriting()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection is lost."""


def set_tunnel_options(transport: Any) -> None:
    """Bound the buffers of a connection, and detect a peer that is gone."""
    transport.bufferSize = BUFFER_BYTES
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def close_end(transport: Any, *, clean: bool) -> None:
    """Close after all buffered bytes are written, or reset the connection."""
    if transport is None:
        return
    if not clean:
        transport.abortConnection()
        return
    transport.unregisterProducer()
    transport.loseConnection()
