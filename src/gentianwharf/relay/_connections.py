"""Persistent connections to one backend server, direct or through another host."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast, final

from twisted.internet import error as twisted_errors
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.topology import BackendServer

from ._connect_probe import ConnectProbe, ProbeResult
from ._link_monitor import SLOW_CONNECT_S, LinkMonitor
from ._reachability import ConnectFailure
from ._server_connection import ServerConnection
from ._tunnels import Tunnels

__all__ = ["ServerConnection", "ServerConnectionPool", "ServerLinks"]

# Round trips on loopback and within a rack take well under 1 ms, and connecting takes
# 1 ms. A lost SYN is retransmitted after 1 s, so a longer timeout only waits for hosts
# that are down.
CONNECT_TIMEOUT_S = 0.5
# Firewalls and load balancers commonly discard idle connections after a minute or more.
# A connection that was idle for longer than this is closed instead of reused.
MAX_IDLE_S = 15.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLinks:
    """The links to all servers, and the way around them while they are lost."""

    monitor: LinkMonitor
    tunnels: Tunnels


class ServerConnectionPool:
    """The connections of a daemon to one backend server.

    Without ``links``, which are those to all servers, all connections are direct.
    """

    def __init__(
        self,
        *,
        server: BackendServer,
        reactor: Any,
        links: ServerLinks | None = None,
    ) -> None:
        self.server = server
        self.links = links
        self.on_reassigned: Callable[[BackendServer], None] = lambda server: None
        self.is_reassigned = False
        """Whether another server has answered at the server's address."""
        self.max_connections = server.connections
        self.opened = 0
        self._reactor = reactor
        self.clock: IReactorTime = reactor
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
            self.is_reassigned = False
            self.retire_all()

    def note_reassigned(self, address: str) -> None:
        """Record that another server has answered at ``address``.

        The server has ended, or is to be listed at another address. Until then nothing
        is sent to this one, which may belong to another service.
        """
        if address != self.server.address or self.is_reassigned:
            return
        self.is_reassigned = True
        self.retire_all()
        self.on_reassigned(self.server)

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
        self,
        *,
        request_id: str | None = None,
        fresh: bool = False,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> ServerConnection:
        """Return an unused connection; ``fresh`` requests a new one.

        It is one that has not carried ``request_id``, which is None for requests whose
        responses contain no id. If all connections are idle ones that have, one of them
        is replaced.

        Opening one takes ``timeout_s`` at most. A direct connection never takes more
        than the usual timeout, after which another host may be asked for a tunnel.
        Raises ``PeerUnavailableError``, before any byte of a request is sent.
        """
        if self.is_reassigned:
            raise self._unavailable("another server has its address")
        if not fresh:
            connection = self._acquire_idle(request_id)
            if connection is not None:
                return connection
        if len(self) >= self.max_connections and (fresh or not self._close_oldest()):
            raise self._unavailable(
                f"all {self.max_connections} connections are in use"
            )
        return await self._connect(timeout_s)

    def has_room(self) -> bool:
        """Whether one more connection may be opened."""
        return len(self) < self.max_connections

    async def probe(self, timeout_s: float) -> ConnectProbe:
        """Connect directly, to find out whether the server has ended.

        On a host that has lost its links, a refusal says nothing about the server.
        """
        try:
            connection = await self._connect_directly(timeout_s)
        except PeerUnavailableError as error:
            if not isinstance(error.__cause__, twisted_errors.ConnectionRefusedError):
                return ConnectProbe(result=ProbeResult.UNKNOWN)
            if self.links is not None and await self.links.monitor.confirm():
                return ConnectProbe(result=ProbeResult.UNKNOWN)
            return ConnectProbe(result=ProbeResult.REFUSED)
        self.release(connection)
        return ConnectProbe(result=ProbeResult.OPENED)

    async def warm_up(self, timeout_s: float) -> bool:
        """Open a direct connection for later requests; return whether it is open."""
        try:
            connection = await self._connect_directly(timeout_s)
        except PeerUnavailableError:
            return False
        self.release(connection)
        return True

    def _acquire_idle(self, request_id: str | None) -> ServerConnection | None:
        """Return the connection that was used last and may carry the request."""
        oldest_s = self.clock.seconds() - MAX_IDLE_S
        while self._idle and self._idle[0].idle_since_s < oldest_s:
            self._close_oldest()
        for connection in reversed(self._idle):
            if connection.may_carry(request_id):
                self._idle.remove(connection)
                return connection
        return None

    def _close_oldest(self) -> bool:
        """Close the connection that was idle for longest; return whether there is one.

        The pool may open another one at once, although the event loop reports the end
        of this one later: the reset reaches the server before the new connection.
        """
        if not self._idle:
            return False
        connection = self._idle.popleft()
        connection.abort_now()
        self._open.discard(connection)
        return True

    async def _connect(self, timeout_s: float) -> ServerConnection:
        links, end_s = self.links, self.clock.seconds() + timeout_s
        if links is None:
            return await self._connect_directly(min(timeout_s, CONNECT_TIMEOUT_S))
        was_cut_off = links.monitor.is_cut_off
        if was_cut_off:
            connection = await self._connect_by_tunnel(links, end_s)
            if connection is not None:
                return connection
        # Also tried by a host that is cut off while no other host accepts tunnels.
        left_s = end_s - self.clock.seconds()
        if left_s <= 0:
            raise self._unavailable("no time was left to connect")
        try:
            return await self._connect_directly(min(left_s, CONNECT_TIMEOUT_S), links)
        except PeerUnavailableError:
            if was_cut_off or not await links.monitor.confirm():
                raise
            connection = await self._connect_by_tunnel(links, end_s)
            if connection is None:
                raise
            return connection

    async def _connect_by_tunnel(
        self, links: ServerLinks, end_s: float
    ) -> ServerConnection | None:
        """Return a connection through another host, None if there is no such host."""
        timeout_s = min(end_s - self.clock.seconds(), CONNECT_TIMEOUT_S)
        if timeout_s <= 0:
            return None
        address = self.server.address
        self._connecting += 1
        try:
            tunnel = await links.tunnels.open(self.server, timeout_s=timeout_s)
        finally:
            self._connecting -= 1
        if tunnel is None:
            return None
        connection = ServerConnection(pool=self, tunnel=tunnel)
        tunnel.attach(connection)
        # Links may have been restored meanwhile.
        connection.retired = not links.monitor.is_cut_off
        return self._add(connection, address)

    async def _connect_directly(
        self, timeout_s: float, links: ServerLinks | None = None
    ) -> ServerConnection:
        """Connect; with ``links``, give up as soon as they are known to be lost."""
        address = self.server.address
        host, _, port = address.rpartition(":")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = kind(self._reactor, host.strip("[]"), int(port), timeout=timeout_s)
        factory = Factory.forProtocol(lambda: ServerConnection(pool=self))
        factory.noisy = False
        self._connecting += 1
        connecting = endpoint.connect(factory)
        watch = _ConnectWatch(connecting=connecting, links=links, reactor=self._reactor)
        try:
            connection = cast(ServerConnection, await connecting)
        except ConnectingCancelledError as error:
            if watch.gave_up:
                raise self._unavailable("this host has lost its links") from error
            # Twisted's own error for a cancelled connection is a ConnectError, which
            # would count as a failure of the server.
            raise CancelledError from error
        except (ConnectError, OSError) as error:
            if self.links is not None:
                self.links.monitor.reachability.note_failed(
                    self.server.id, _failure_of(error)
                )
            raise self._unavailable(f"can't connect: {error}") from error
        finally:
            watch.stop()
            self._connecting -= 1
        if self.links is not None:
            self.links.monitor.reachability.note_opened(self.server.id)
        return self._add(connection, address)

    def _add(self, connection: ServerConnection, address: str) -> ServerConnection:
        self.opened += 1
        self._open.add(connection)
        if address != self.server.address:
            # The server moved while connecting; another one may be using the address.
            connection.abort_now()
            raise self._unavailable(f"it has left {address}")
        return connection

    def _unavailable(self, message: str) -> PeerUnavailableError:
        return PeerUnavailableError(message, step="connect", peer=self.server.address)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool after a complete response.

        A server that responded early may never read the rest of the request's body. The
        connection is not reused then, since the next request would be queued behind it.
        """
        if connection.retired or connection.has_unsent_body:
            connection.close_after_sending()
            return
        connection.idle_since_s = self.clock.seconds()
        self._idle.append(connection)

    def withdraw_idle(self, connection: ServerConnection) -> bool:
        """Let no request use a connection; return whether it was idle.

        A connection that is aborted is lost only in the next iteration of the loop.
        """
        if connection not in self._idle:
            return False
        self._idle.remove(connection)
        return True

    def discard(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self.withdraw_idle(connection)

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

    def retire_direct(self) -> None:
        """Close direct connections, because this host has lost its links.

        Repeatable requests are given up, so that they are sent again by another way.
        The outcome of others is unknown, and their responses may still arrive.
        """
        for connection in list(self._open):
            if connection.tunnel is not None:
                continue
            connection.retire()
            if connection.awaits_response and connection.repeatable:
                connection.abort_now()

    def retire_tunnels(self) -> None:
        """Close connections through other hosts, after their responses."""
        for connection in list(self._open):
            if connection.tunnel is not None:
                connection.retire()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.abort_now()


@final
class _ConnectWatch:
    """Reports a connection that takes long, and gives it up with the links."""

    def __init__(
        self, *, connecting: "Deferred[Any]", links: ServerLinks | None, reactor: Any
    ) -> None:
        self.gave_up = False
        self._connecting = connecting
        self._monitor = links.monitor if links is not None else None
        self._timer: Any = None
        if self._monitor is not None:
            self._monitor.add_connecting(self.give_up)
            self._timer = reactor.callLater(
                SLOW_CONNECT_S, self._monitor.note_slow_connect
            )

    def give_up(self) -> None:
        """Cancel the connection."""
        self.gave_up = True
        self._connecting.cancel()

    def stop(self) -> None:
        """Stop watching: the connection is open, or failed."""
        if self._monitor is not None:
            self._monitor.discard_connecting(self.give_up)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _failure_of(error: Exception) -> ConnectFailure:
    if isinstance(error, twisted_errors.ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(error, twisted_errors.TimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.OTHER
