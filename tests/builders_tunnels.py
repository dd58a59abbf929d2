"""A host with tunnels on real sockets, a host that opens them, and a server."""

import socket
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from random import Random
from typing import Any, cast, final
from unittest.mock import Mock

from twisted.internet import error as twisted_errors
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from gentianwharf.topology import BackendServer
from gentianwharf.tunnels import Tunnel, TunnelClient, TunnelHost, TunnelServer
from tests.builders_processes import wait_until
from tests.builders_relay import in_reactor, make_server, running_reactor

SECRET = "known-to-all-hosts"


@final
class User(Protocol):
    """Uses a tunnel like a connection to a server."""

    def __init__(self) -> None:
        self.received = b""
        self.retired = False
        self.ended: str | None = None
        """Whether the connection was closed or reset, None while it is open."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record bytes."""
        self.received += data

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Record how the connection ended."""
        self.ended = "closed" if reason.check(ConnectionDone) else "reset"

    def write(self, data: bytes) -> None:
        """Send bytes to the server."""
        in_reactor(lambda: self.transport.write(data))  # type: ignore[union-attr]

    def retire(self) -> None:
        """Record the call."""
        self.retired = True

    def pause(self) -> None:
        """Stop reading."""
        in_reactor(cast(Any, self.transport).pauseProducing)

    def resume(self) -> None:
        """Read again."""
        in_reactor(cast(Any, self.transport).resumeProducing)

    def close(self) -> None:
        """Close the connection once all bytes are sent."""
        cast(Any, self.transport).loseConnection()

    def abort_now(self) -> None:
        """Reset the connection."""
        cast(Any, self.transport).abortConnection()


@final
class ConnectTimeoutReactor(MemoryReactorClock):
    """An in-memory reactor whose connection attempts time out."""

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Begin to connect; ``open_last_connection`` opens the connection."""
        connector = super().connectTCP(host, port, factory, timeout, bindAddress)
        failure = Failure(twisted_errors.TimeoutError())
        self.last_connect_timeout = self.callLater(
            timeout, factory.clientConnectionFailed, connector, failure
        )
        return connector

    def open_last_connection(self) -> Any:
        """Open the connection that was last begun; return its protocol."""
        if self.last_connect_timeout.active():
            self.last_connect_timeout.cancel()
        factory: Any = self.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(InMemoryTunnelTransport())
        return protocol


@final
class InMemoryTunnelTransport(StringTransport):
    """A connection between hosts that records sent bytes, without a socket."""

    is_aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def getHandle(self) -> Any:  # noqa: N802
        """Return a mock that accepts every socket option."""
        return Mock()

    def abortConnection(self) -> None:  # noqa: N802
        """Record the call."""
        self.is_aborted = True


@final
class Backend:
    """A listening server whose connections a test reads and writes itself."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self.connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                connection.settimeout(10.0)
                self.connections.append(connection)

    def connection(self, number: int = 0) -> socket.socket:
        """Return a connection, waiting for it."""
        wait_until(lambda: len(self.connections) > number, description="a connection")
        return self.connections[number]

    def stop(self) -> None:
        """Close everything."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        for each in (self._listener, *self.connections):
            each.close()


@final
class Tunneling:
    """One host that opens tunnels through ``carriers`` others."""

    def __init__(
        self,
        *,
        carriers: int = 1,
        secret: str = SECRET,
        domains: Sequence[str] = (),
    ) -> None:
        self.reactor = running_reactor()
        self.backend = Backend()
        self.servers: dict[str, BackendServer] = {
            "s0": make_server(0, self.backend.port)
        }
        self.is_cut_off = [False] * carriers
        self.carriers = [
            TunnelServer(
                server_by_id=self.servers.get,
                secret=lambda: SECRET,
                is_cut_off=lambda number=number: self.is_cut_off[number],  # type: ignore[misc]
                reactor=self.reactor,
            )
            for number in range(carriers)
        ]
        self._ports = [in_reactor(self._listener(each)) for each in self.carriers]
        self.client = TunnelClient(
            name="host-x",
            domain="lac",
            secret=lambda: secret,
            reactor=self.reactor,
            rng=Random(1),
        )
        hosts = [
            TunnelHost(
                name=f"host-{number}",
                address=f"127.0.0.1:{port.getHost().port}",
                domain=domains[number] if domains else "lac",
            )
            for number, port in enumerate(self._ports)
        ]
        in_reactor(lambda: self.client.set_hosts(hosts))
        in_reactor(self.client.start)

    def _listener(self, carrier: TunnelServer) -> Any:
        return lambda: self.reactor.listenTCP(0, carrier, interface="127.0.0.1")

    def open(self, server: BackendServer | None = None) -> User | None:
        """Open a tunnel and return its user, None if no host accepts tunnels."""
        server = server or self.servers["s0"]
        return cast(
            "User | None",
            in_reactor(lambda: Deferred.fromCoroutine(self._open(server))),
        )

    def open_tunnel(self) -> "Deferred[Tunnel | None]":
        """Open a tunnel that nobody uses yet; to be called in the reactor."""
        coroutine = self.client.open(self.servers["s0"], timeout_s=2.0)
        return Deferred.fromCoroutine(coroutine)

    async def _open(self, server: BackendServer) -> User | None:
        tunnel: Tunnel | None = await self.client.open(server, timeout_s=2.0)
        if tunnel is None:
            return None
        user = User()
        tunnel.attach(user)
        return user

    def opened(self) -> User:
        """Open a tunnel that has to be accepted."""
        user = self.open()
        assert user is not None
        return user

    def stop(self) -> None:
        """Close everything."""
        in_reactor(self.client.stop)
        for carrier, port in zip(self.carriers, self._ports, strict=True):
            in_reactor(carrier.close)
            in_reactor(port.stopListening)
        self.backend.stop()


@contextmanager
def tunneling(
    *, carriers: int = 1, secret: str = SECRET, domains: Sequence[str] = ()
) -> Iterator[Tunneling]:
    """Yield hosts, and close everything at the end."""
    hosts = Tunneling(carriers=carriers, secret=secret, domains=domains)
    try:
        yield hosts
    finally:
        hosts.stop()
