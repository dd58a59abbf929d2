"""Opens tunnels through other hosts while this host has no links to servers."""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol, cast, final

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.logs import log
from gentianwharf.pauses import Timeout, UnpausedTimeout
from gentianwharf.topology import BackendServer

from ._messages import (
    FramedProtocol,
    OpenTunnel,
    RefusalReason,
    SharedNotice,
    Subscribe,
    TunnelOpened,
    TunnelRefused,
    decode_reply,
)
from ._peer import Peer, TunnelHost
from ._server import close_end, set_tunnel_options

MAX_PEERS = 6
"""Hosts through which one host opens tunnels: its load is spread over several, and few
of them have to be watched."""

MAX_ATTEMPTS = 2
"""Hosts that are asked in turn for one tunnel."""

FIRST_PEER_TIMEOUT_S = 0.3
"""Time after the start for which tunnels wait until the first host accepts them."""

OPEN_TIMEOUT_S = 0.3
"""Longer than the other host may take to connect to the server."""

RETRY_INTERVAL_S = 0.5
"""Interval at which hosts are looked for while there are too few."""


class TunnelUser(Protocol):
    """The protocol that uses a tunnel as its connection."""

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        """Start to use the connection."""

    def retire(self) -> None:
        """Close the connection once the response to the current request is complete."""

    def abort_now(self) -> None:
        """Close the connection immediately."""


@final
class Tunnel:
    """An open tunnel; call ``closed`` when its connection is lost."""

    def __init__(
        self,
        *,
        peer: Peer,
        server_id: str,
        transport: Any,
        on_closed: Callable[["Tunnel"], None],
    ) -> None:
        self.peer = peer
        self._server_id = server_id
        self.user: TunnelUser | None = None
        self._transport = transport
        self._on_closed = on_closed

    @property
    def host(self) -> str:
        """The name of the host that carries the tunnel."""
        return self.peer.host.name

    def attach(self, user: TunnelUser) -> None:
        """Let ``user`` use the connection from now on."""
        self.user = user
        self._transport.protocol = user
        user.makeConnection(self._transport)

    def share_notice(self, *, rest_s: float | None, is_leaving: bool) -> None:
        """Tell the host that carries the tunnel what the server stated."""
        self.peer.share(
            SharedNotice(
                server_id=self._server_id, rest_s=rest_s, is_leaving=is_leaving
            )
        )

    def closed(self) -> None:
        """Record that the connection is lost."""
        self._on_closed(self)


@final
class TunnelClient:
    """Finds hosts with links while it is started, and opens tunnels through them."""

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        secret: Callable[[], str],
        reactor: Any,
        rng: Random,
    ) -> None:
        self.on_notice: Callable[[SharedNotice], None] = lambda notice: None
        self.opened = 0
        self.failed = 0
        self._name = name
        self._domain = domain
        self._secret = secret
        self._reactor = reactor
        self._rng = rng
        self._hosts: tuple[TunnelHost, ...] = ()
        self._untried: list[TunnelHost] = []
        self._peers: dict[str, Peer] = {}
        self._tunnels: set[Tunnel] = set()
        self._waiting: list[Deferred[None]] = []
        self._timer: Any = None
        self._is_started = False
        self._started_s = 0.0
        self._first_peer_timeout: UnpausedTimeout | None = None
        """Ends the wait for the first host; None before the first start."""

    @property
    def open_tunnels(self) -> int:
        """The number of open tunnels."""
        return len(self._tunnels)

    @property
    def usable_peers(self) -> int:
        """The number of hosts that accept tunnels of this host."""
        return sum(peer.accepts for peer in self._peers.values())

    def set_hosts(self, hosts: Sequence[TunnelHost]) -> None:
        """Set the listed hosts, with or without this one."""
        self._hosts = tuple(host for host in hosts if host.name != self._name)
        for name, peer in list(self._peers.items()):
            if peer.host not in self._hosts:
                self._peers.pop(name, None)
                peer.end()
        if self._is_started:
            self._start_over()

    def start(self) -> None:
        """Look for hosts with links."""
        if not self._is_started:
            self._is_started = True
            self._started_s = self._reactor.seconds()
            self._first_peer_timeout = UnpausedTimeout(
                clock=self._reactor, delay_s=FIRST_PEER_TIMEOUT_S, expire=self._wake
            )
            self._untried = self._in_order()
            self._look_for_peers()

    def stop(self) -> None:
        """Open no more tunnels; open ones are left to their users."""
        self._is_started = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._first_peer_timeout is not None:
            self._first_peer_timeout.stop()
        for peer in list(self._peers.values()):
            peer.end()
        self._wake()

    def _in_order(self) -> list[TunnelHost]:
        """Return the hosts in the order in which they are tried, the last one first.

        Each failure domain has its turn, beginning with the own, so that there is a
        host beside most servers.
        """
        hosts = list(self._hosts)
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda host: host.domain != self._domain)
        seen: Counter[str] = Counter()
        turns: list[tuple[int, TunnelHost]] = []
        for host in hosts:
            turns.append((seen[host.domain], host))
            seen[host.domain] += 1
        turns.sort(key=lambda turn: turn[0])
        return [host for _, host in reversed(turns)]

    def _look_for_peers(self) -> None:
        """Subscribe to more hosts, and start over later if all have been tried."""
        while self._untried and len(self._peers) < MAX_PEERS:
            host = self._untried.pop()
            peer = self._peers[host.name] = Peer(
                host=host,
                on_state=self._note_state,
                on_end=self._note_end,
                on_notice=lambda notice: self.on_notice(notice),
                reactor=self._reactor,
            )
            peer.start(Subscribe(secret=self._secret(), host=self._name))
        if len(self._peers) < MAX_PEERS and not self._has_timer():
            self._timer = self._reactor.callLater(RETRY_INTERVAL_S, self._start_over)

    def _has_timer(self) -> bool:
        return self._timer is not None and bool(self._timer.active())

    def _start_over(self) -> None:
        self._untried = [
            host for host in self._in_order() if host.name not in self._peers
        ]
        self._look_for_peers()

    def _note_state(self, peer: Peer) -> None:
        if peer.accepts:
            log.info("host accepts tunnels", extra={"host": peer.host.name})
            self._wake()
            return
        log.info("host accepts no more tunnels", extra={"host": peer.host.name})
        for tunnel in self._tunnels_of(peer):
            if tunnel.user is not None:
                tunnel.user.retire()

    def _note_end(self, peer: Peer) -> None:
        if self._peers.get(peer.host.name) is peer:
            del self._peers[peer.host.name]
        if peer.is_silent:
            for tunnel in self._tunnels_of(peer):
                if tunnel.user is not None:
                    tunnel.user.abort_now()
        if self._is_started:
            self._look_for_peers()
        if not self._peers:
            # Nobody is left to wait for.
            self._wake()

    def _tunnels_of(self, peer: Peer) -> list[Tunnel]:
        return [tunnel for tunnel in self._tunnels if tunnel.peer is peer]

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.called:
                each.callback(None)

    async def open(self, server: BackendServer, *, timeout_s: float) -> Tunnel | None:
        """Open a tunnel to a server; return None if no host accepts tunnels.

        Raises ``PeerUnavailableError`` if the server can't be reached by tunnel either.
        No byte is sent to the server before a tunnel is returned.
        """
        end_s = self._reactor.seconds() + timeout_s
        end_s += await self._wait_for_first_peer(end_s)
        tried: set[str] = set()
        results: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            peer = self._choose_peer(server.domain, tried)
            left_s = end_s - self._reactor.seconds()
            if peer is None or left_s <= 0:
                break
            tried.add(peer.host.name)
            result = await self._open(peer, server, min(left_s, OPEN_TIMEOUT_S))
            if isinstance(result, Tunnel):
                self.opened += 1
                return result
            self.failed += 1
            results.add(result)
        if RefusalReason.UNREACHABLE in results:
            raise PeerUnavailableError(
                f"can't connect through {', '.join(sorted(tried))}",
                step="tunnel",
                peer=server.address,
            )
        return None

    def _choose_peer(self, domain: str, tried: set[str]) -> Peer | None:
        """Return a host in ``domain`` if there is one, and the least used of them.

        Bytes then cross between failure domains as often as on a direct connection.
        """
        usable = [
            peer
            for name, peer in self._peers.items()
            if peer.accepts and name not in tried
        ]
        self._rng.shuffle(usable)
        return min(
            usable,
            key=lambda peer: (
                peer.host.domain != domain,
                len(self._tunnels_of(peer)),
            ),
            default=None,
        )

    async def _wait_for_first_peer(self, end_s: float) -> float:
        """Wait for the first host just after the start; return by how much it was late.

        If this host was paused, the wait goes on until the states of hosts that arrived
        meanwhile have been read. The caller extends its deadline by the returned time.
        """
        if self._first_peer_timeout is None or self._first_peer_timeout.expired:
            return 0.0
        if not self._is_started or self.usable_peers:
            return 0.0
        begun_s = self._reactor.seconds()
        wait_s = min(end_s, self._started_s + FIRST_PEER_TIMEOUT_S) - begun_s
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        timeout = Timeout(
            clock=self._reactor,
            delay_s=end_s - begun_s,
            expire=lambda: _fire(waiting),
        )
        try:
            await waiting
        finally:
            timeout.stop()
        waited_s = float(self._reactor.seconds()) - begun_s
        return max(0.0, waited_s - max(0.0, wait_s))

    async def _open(
        self, peer: Peer, server: BackendServer, timeout_s: float
    ) -> "Tunnel | str":
        """Return a tunnel, or why the host opened none."""
        ip, _, port = peer.host.address.rpartition(":")
        request = OpenTunnel(
            secret=self._secret(), host=self._name, server_id=server.id
        )
        factory = Factory.forProtocol(lambda: _Handshake(request=request))
        factory.noisy = False
        connecting = TCP4ClientEndpoint(self._reactor, ip, int(port)).connect(factory)
        timeout = UnpausedTimeout(
            clock=self._reactor, delay_s=timeout_s, expire=connecting.cancel
        )
        try:
            handshake = cast(_Handshake, await connecting)
        except ConnectError:
            peer.end()
            return RefusalReason.STOPPING
        except ConnectingCancelledError:
            if not timeout.expired:
                raise
            peer.end()
            return RefusalReason.STOPPING
        finally:
            timeout.stop()
        timeout = UnpausedTimeout(
            clock=self._reactor, delay_s=timeout_s, expire=handshake.abort
        )
        try:
            reason = await handshake.done
        except CancelledError:
            handshake.abort()
            raise
        finally:
            timeout.stop()
        if reason is not None:
            return str(reason)
        tunnel = Tunnel(
            peer=peer,
            server_id=server.id,
            transport=handshake.transport,
            on_closed=self._tunnels.discard,
        )
        self._tunnels.add(tunnel)
        return tunnel


def _fire(waiting: "Deferred[None]") -> None:
    if not waiting.called:
        waiting.callback(None)


@final
class _Handshake(FramedProtocol):
    """Asks a host for a tunnel; ``done`` fires with None or the reason of a refusal."""

    def __init__(self, *, request: OpenTunnel) -> None:
        self.done: Deferred[str | None] = Deferred()
        self._request = request

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        set_tunnel_options(self.transport)
        self.send(self._request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the reply; bytes of a server that follow it belong to no request."""
        super().dataReceived(data)
        if self.done.called and self._unprocessed:
            self.abort()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Handle the reply."""
        try:
            reply = decode_reply(string)
        except msgspec.DecodeError:
            self.abort()
            return
        if self.done.called:
            self.abort()
        elif isinstance(reply, TunnelOpened):
            self.done.callback(None)
        elif isinstance(reply, TunnelRefused):
            self.done.callback(reply.reason)
            close_end(self.transport, clean=True)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Count a lost connection as a refusal."""
        if not self.done.called:
            self.done.callback(RefusalReason.STOPPING)
