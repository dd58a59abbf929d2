"""Connections from hosts to simulated servers, beneath the product's ``ServerOrders``.

Only the transport is simulated: ``OrderConnections`` decides which connection an order
takes, which responses are believed, and when an order is sent again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectingCancelledError,
    ConnectionLost,
    ConnectionRefusedError,  # noqa: A004
    TimeoutError,  # noqa: A004
)

from gentianwharf.errors import RefusedError
from gentianwharf.keyspace import Grant, Release
from gentianwharf.platform import _order_connections
from gentianwharf.platform._header_codec import EXPECTED_INSTANCE
from gentianwharf.platform._order_connections import (
    CONNECT_TIMEOUT_S,
    DELIVERY_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_HANDOVERS,
    RELEASE,
    OrderResponse,
    _OrderConnection,
)
from gentianwharf.platform._orders import ServerOrders
from tests.builders_keyspace_search_loop import Loop
from tests.builders_keyspace_search_servers import Fleet, Link, SearchServer

THAW_SLACK_S = 0.3
CONNECT_RETRY_S = (1.0, 3.0)
"""When the kernel repeats what opens a connection."""

MAX_BACKOFF_S = 12.0


class _OrderBody(msgspec.Struct):
    first: int = msgspec.field(name="from")
    target: int
    fence: int
    hold_time: str = "0ms"
    handover: str | None = None


def decode_order(step: str, body: bytes) -> Grant | Release:
    """Return the order in a request."""
    decoded = msgspec.json.decode(body, type=_OrderBody)
    if step == RELEASE:
        return Release(first=decoded.first, last=decoded.target, token=decoded.fence)
    return Grant(
        first=decoded.first,
        last=decoded.target,
        token=decoded.fence,
        duration_s=float(decoded.hold_time.removesuffix("ms")) / 1000.0,
        handover=decoded.handover,
    )


def orders_of(*, fleet: Fleet, host: str, loop: Loop) -> ServerOrders:
    """Return one host's orders, whose connections are simulated."""
    orders = ServerOrders(reactor=loop)
    connections = cast(Any, orders._connections)
    dialer = Dialer(fleet=fleet, host=host, loop=loop, connections=connections)
    connections._connect = dialer.connect
    return orders


@dataclass(kw_only=True, eq=False)
class Packet:
    """One order on its way to a server."""

    server_id: str
    order: Grant | Release
    written_s: float
    arrived_s: float = 0.0
    has_arrived: bool = False
    is_excused: bool = False
    is_held_up: bool = False
    """Whether a cut or the server delays it."""


class Dialer:
    """Opens one host's connections."""

    def __init__(
        self, *, fleet: Fleet, host: str, loop: Loop, connections: Any
    ) -> None:
        self.fleet = fleet
        self.host = host
        self.loop = loop
        self.connections = connections

    async def connect(self, address: str) -> "SearchConnection":
        """Connect to the server at an address, in place of ``_connect``."""
        link = self.fleet.link(self.host, address)
        done: Deferred[SearchConnection] = Deferred(
            lambda done: done.errback(ConnectingCancelledError(address))
        )

        def fail(error: Exception) -> None:
            if not done.called:
                done.errback(error)

        def open_connection(server: SearchServer) -> None:
            if not done.called:
                done.callback(SearchConnection(self, server=server, link=link))

        def arrive() -> None:
            if done.called or not link.is_whole:
                return
            server = self.fleet.running.get(address)
            if server is None:
                self.loop.post(lambda: fail(ConnectionRefusedError()))
            else:
                self.loop.post(lambda: open_connection(server))

        timeout = self.loop.callLater(CONNECT_TIMEOUT_S, fail, TimeoutError())
        latency_s = self.fleet.latency_s(link)
        latency_s += self.fleet.rng.uniform(0.0, link.connects_late_s)
        delays_s = [0.0] if link.is_whole else CONNECT_RETRY_S
        for delay_s in delays_s:
            self.fleet.clock.callLater(latency_s + delay_s, arrive)
        try:
            return await done
        finally:
            if timeout.active():
                timeout.cancel()


class SearchConnection:
    """A connection, with the interface of ``_OrderConnection``.

    What a cut holds up arrives after the cut has healed, when the kernel of the host
    next repeats it. That kernel discards what has not been acknowledged for
    ``delivery_timeout_s``, and what an ended process has left.
    """

    delivery_timeout_s: float = DELIVERY_TIMEOUT_S
    discards_at_end = True
    """Whether unsent bytes are discarded when the process ends."""

    def __init__(self, dialer: Dialer, *, server: SearchServer, link: Link) -> None:
        self.address = server.holder.address
        self._fleet = dialer.fleet
        self._host = dialer.host
        self._loop = dialer.loop
        self._connections = dialer.connections
        self._server = server
        self._link = link
        self._rules = _OrderConnection(
            address=self.address, connections=dialer.connections
        )
        self._pending: Deferred[OrderResponse] | None = None
        self._is_closed = False
        self._is_reset = False
        self._is_closed_by_server = False
        self._last_response: OrderResponse | None = None
        self._idle_since_s = 0.0

    # The interface of the product.

    @property
    def is_usable(self) -> bool:
        """Whether an order may be sent.

        A connection whose other end has gone is closed, unless that is not heard.
        """
        is_alive = self._is_server_alive and not self._is_closed_by_server
        is_alive = is_alive or not self._link.is_whole
        return (
            is_alive
            and not (self._is_closed or self._is_reset)
            and self._pending is None
            and len(self._rules._handovers) < MAX_HANDOVERS
            and self._loop.seconds() < self._idle_since_s + IDLE_TIMEOUT_S
        )

    async def send(
        self, order: str, headers: dict[bytes, bytes], body: bytes
    ) -> OrderResponse:
        """Send an order; the connection is closed if no response arrives."""
        self._fleet.on_order(self._host)
        self._rules._orders += 1
        pending = self._pending = Deferred()
        server_id = headers[EXPECTED_INSTANCE].decode()
        decoded = decode_order(order, body)
        self._loop.write(lambda: self._write(server_id, decoded))
        try:
            return await pending
        except BaseException:
            self.abort_now()
            raise
        finally:
            self._idle_since_s = self._loop.seconds()

    def accept(self, order: str, response: OrderResponse) -> bool:
        """Decide as the product does whether a response may be a copy."""
        return self._rules.accept(order, response)

    def start_idle_timer(self, reactor: Any) -> None:
        """Do nothing; ``is_usable`` compares the time."""

    def stop_idle_timer(self) -> None:
        """Do nothing."""

    def abort_now(self) -> None:
        """Close the connection; what was not sent is discarded."""
        self._is_closed = True
        self._pending = None
        self._connections.discard(self)

    # The way to the server.

    @property
    def _is_server_alive(self) -> bool:
        return self._fleet.running.get(self.address) is self._server

    def _write(self, server_id: str, order: Grant | Release) -> None:
        if self._is_closed:
            return
        clock, link = self._fleet.clock, self._link
        packet = Packet(server_id=server_id, order=order, written_s=clock.seconds())
        if not link.is_whole:
            clock.callLater(self.delivery_timeout_s, self._give_up, packet)
        if link.delivers_orders:
            clock.callLater(self._fleet.latency_s(link), self._arrive, packet)
        else:
            self._hold_up(packet)

    def _hold_up(self, packet: Packet) -> None:
        packet.is_held_up = True
        self._link.held_up.append(lambda: self._repeat(packet))

    def _repeat(self, packet: Packet) -> None:
        """Send a packet again some time after the cut has healed."""
        clock = self._fleet.clock
        silent_s = clock.seconds() - packet.written_s
        delay_s = self._fleet.rng.uniform(0.0, min(silent_s, MAX_BACKOFF_S))
        clock.callLater(delay_s, self._send_again, packet)

    def _send_again(self, packet: Packet) -> None:
        has_ended = self.discards_at_end and not self._loop.is_alive
        if self._is_closed or self._is_reset or has_ended:
            return
        if self._link.delivers_orders:
            self._arrive(packet)
        else:
            self._hold_up(packet)

    def _give_up(self, packet: Packet) -> None:
        """Reset the connection if a packet has not been acknowledged."""
        if not (packet.has_arrived and self._link.delivers_answers):
            self._is_reset = True
            self._loop.post(self._lose)

    def _lose(self) -> None:
        if self._is_closed:
            return
        pending = self._pending
        self.abort_now()
        if pending is not None:
            pending.errback(ConnectionLost())

    def _arrive(self, packet: Packet) -> None:
        if not self._is_server_alive or self._is_closed_by_server:
            self._way_back(lambda: self._loop.post(self._lose))
            return
        packet.has_arrived = True
        now_s = packet.arrived_s = self._fleet.clock.seconds()
        since_s = now_s - max(self._loop.resumed_s, self._link.healed_s)
        packet.is_excused = since_s <= THAW_SLACK_S
        self._server.process(lambda: self._read(packet))

    # The server.

    def _read(self, packet: Packet) -> None:
        rng, server = self._fleet.rng, self._server
        if not self._is_server_alive:
            return
        waited_s = self._fleet.clock.seconds() - packet.arrived_s
        if waited_s > 0.0 and self._is_closed and rng.random() < 0.5:
            # A server may notice that the connection was closed before it reads.
            return
        is_answered = True
        if self._last_response is not None and (
            rng.random() < self._fleet.copies_at(self.address)
        ):
            self._respond(self._last_response)
            # A response in the same segment is ignored.
            is_answered = rng.random() < 0.5
        if server.is_late:
            packet.is_held_up = True
            late_s = rng.uniform(2.0, 12.0)
            self._fleet.clock.callLater(
                late_s, server.process, lambda: self._execute(packet, False)
            )
            return
        self._execute(packet, is_answered and not server.loses_answers)

    def _execute(self, packet: Packet, is_answered: bool) -> None:
        fleet, server, order = self._fleet, self._server, packet.order
        if not self._is_server_alive:
            return
        answer: Callable[[OrderResponse], None] = (
            self._respond if is_answered else lambda response: None
        )
        server_id = server.holder.server_id
        if packet.server_id != server_id and fleet.checks_instance:
            answer(_response(_order_connections.STATUS_OTHER_SERVER))
            return
        fleet.log(f"{self._host} -> {server_id}: {order} {is_answered=}")
        if isinstance(order, Release):
            done_s = fleet.apply_release(server, order)
            handover = f"{server_id}-{fleet.clock.seconds():.6f}"
            response = OrderResponse(status=200, handover=handover)
            self._answer_release(done_s, lambda: answer(response))
            return
        try:
            fleet.apply_grant(
                server,
                order,
                arrived_s=packet.arrived_s,
                is_excused=packet.is_excused,
                is_held_up=packet.is_held_up,
            )
        except RefusedError:
            answer(_response(_order_connections.STATUS_STALE_TOKEN))
        else:
            answer(_response(200))

    def _answer_release(self, done_s: float, answer: Callable[[], None]) -> None:
        """Answer once the work has ended, which takes longer if the server pauses."""
        clock, server = self._fleet.clock, self._server

        def finish() -> None:
            if self._is_server_alive:
                answer()
                self._fleet.on_released(server)

        clock.callLater(max(0.0, done_s - clock.seconds()), server.process, finish)

    # The way back.

    def _respond(self, response: OrderResponse) -> None:
        self._last_response = response
        self._way_back(lambda: self._loop.post(lambda: self._receive(response)))
        if self._fleet.rng.random() < self._server.closes:
            self._is_closed_by_server = True

    def _way_back(self, deliver: Callable[[], None]) -> None:
        clock, link = self._fleet.clock, self._link
        if link.delivers_answers:
            clock.callLater(self._fleet.latency_s(link), deliver)
            return
        since_s = clock.seconds()

        def repeat() -> None:
            silent_s = min(clock.seconds() - since_s, MAX_BACKOFF_S)
            clock.callLater(self._fleet.rng.uniform(0.0, silent_s), deliver)

        link.held_up.append(repeat)

    def _receive(self, response: OrderResponse) -> None:
        """Process a response; one that arrives while idle closes the connection."""
        if self._is_closed:
            return
        pending, self._pending = self._pending, None
        if pending is None:
            self.abort_now()
        else:
            pending.callback(response)


def _response(status: int) -> OrderResponse:
    return OrderResponse(status=status, handover=None)
