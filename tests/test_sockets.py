"""How long the kernel delivers the bytes of a stopped or killed process."""

import select
import socket
from collections.abc import Iterator
from dataclasses import dataclass

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.keyspace import Grant, Holder
from gentianwharf.platform import ServerOrders
from gentianwharf.platform._order_connections import DELIVERY_TIMEOUT_S
from gentianwharf.sockets import limit_delivery_time
from tests.builders_keyspace import may_always_send
from tests.builders_relay import ScriptedServer, in_reactor, response, running_reactor

BUFFER_BYTES = 4_096
SENT_BYTES = 1_000_000
TIMEOUT_S = 0.3
MAX_WAIT_MS = 10_000


@dataclass(frozen=True, kw_only=True)
class SocketTransport:
    """The part of a transport that the function under test uses."""

    handle: socket.socket

    def getHandle(self) -> socket.socket:  # noqa: N802
        """Return the socket."""
        return self.handle


@pytest.fixture
def connection() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Return both ends of a connection with small buffers."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    with sender, receiver:
        sender.setblocking(False)
        yield sender, receiver


def received_bytes(receiver: socket.socket) -> int:
    """Return how many bytes arrive before the connection is reset."""
    size = 0
    with pytest.raises(ConnectionResetError):
        while chunk := receiver.recv(BUFFER_BYTES):
            size += len(chunk)
    return size


def test_kernel_discards_what_is_not_acknowledged_in_time(
    connection: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against bytes of a stopped process that arrive after a partition."""
    sender, receiver = connection
    limit_delivery_time(SocketTransport(handle=sender), timeout_s=TIMEOUT_S)
    sent_bytes = sender.send(bytes(SENT_BYTES))
    poll = select.poll()
    poll.register(sender, 0)
    assert poll.poll(MAX_WAIT_MS)
    assert received_bytes(receiver) < sent_bytes


def test_kernel_discards_what_a_closed_connection_has_not_sent(
    connection: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against bytes of a killed process that arrive after a partition."""
    sender, receiver = connection
    limit_delivery_time(SocketTransport(handle=sender), timeout_s=MAX_WAIT_MS / 1000)
    sent_bytes = sender.send(bytes(SENT_BYTES))
    sender.close()
    assert received_bytes(receiver) < sent_bytes


def test_delivery_of_orders_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against orders of a former leader that arrive late."""
    limits_s: list[float] = []
    monkeypatch.setattr(
        "gentianwharf.platform._order_connections.limit_delivery_time",
        lambda transport, *, timeout_s: limits_s.append(timeout_s),
    )
    server = ScriptedServer(scripts=[lambda peer, head: peer.sendall(response(b""))])
    holder = Holder(server_id="i-1", born_ms=1, address=f"127.0.0.1:{server.start()}")
    orders = ServerOrders(reactor=running_reactor())
    grant = Grant(first=3, last=9, token=12, duration_s=2.5)

    def send() -> "Deferred[None]":
        return Deferred.fromCoroutine(
            orders.grant(holder, grant, timeout_s=2.0, may_send=may_always_send)
        )

    in_reactor(send)
    server.stop()
    assert limits_s == [DELIVERY_TIMEOUT_S]
