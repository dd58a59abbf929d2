"""Helpers for uploads that get a response before the end of the body."""

import socket
import threading
import time
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.testing import StringTransport

from gentianwharf.relay._caller_body import CallerBody
from gentianwharf.relay._server_connection import ServerConnection
from gentianwharf.relay._transport import buffered_bytes
from tests.builders_processes import wait_until
from tests.builders_relay import RunningRelay, in_reactor, request

PIECE_BYTES = 30_000
SEND_STALL_S = 0.5
"""Time without an empty write buffer after which sending counts as stalled."""

SMALL_RECEIVE_BUFFER_BYTES = 8_192
CHUNKED = "Transfer-Encoding: chunked\r\n"
ZERO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def warm_up(relay: RunningRelay) -> None:
    """Open one idle connection to the only server."""
    (pool,) = relay.app.connections.values()
    in_reactor(lambda: Deferred.fromCoroutine(pool.warm_up(1.0)))
    assert len(pool.idle()) == 1


def reset(connection: socket.socket) -> None:
    """Reset a server's connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    connection.close()


def use_small_receive_buffer(relay: RunningRelay) -> None:
    """Limit the receive buffer of the only server."""
    relay.servers[0]._listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES
    )


def open_connections(relay: RunningRelay) -> tuple[ServerConnection, ...]:
    """Return the open connections to the only server."""
    (pool,) = relay.app.connections.values()
    return tuple(pool._open)


def is_send_stalled(connection: ServerConnection) -> bool:
    """Return whether the kernel accepts no more data, since the server reads none."""
    end_s = time.monotonic() + SEND_STALL_S
    while in_reactor(lambda: buffered_bytes(connection.transport)):
        if time.monotonic() > end_s:
            return True
        time.sleep(0.05)
    return False


def body_in_flight(relay: RunningRelay) -> Any:
    """Return the body of the only request that is being received."""
    for channel in relay.site.channels:
        return channel.requests[-1].body if channel.requests else None
    return None


def bodies_in_flight(relay: RunningRelay) -> list[CallerBody]:
    """Return the bodies that are being received."""
    all_bodies = [
        channel.requests[-1].body for channel in relay.site.channels if channel.requests
    ]
    return [body for body in all_bodies if body is not None]


def upload_until_send_stalls(relay: RunningRelay, caller: socket.socket) -> None:
    """Send a chunked body until its end stays in the host's write buffer."""
    caller.sendall(request("POST", headers=CHUNKED, close=False))
    wait_until(
        lambda: bool(open_connections(relay)), description="a connection to the server"
    )
    (connection,) = open_connections(relay)
    sent_bytes = 0
    while not is_send_stalled(connection):
        caller.sendall(b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES))
        sent_bytes += PIECE_BYTES
        wait_until(
            lambda: body_in_flight(relay).received_bytes == sent_bytes,  # noqa: B023
            description="the chunk at the host",
        )
    caller.sendall(b"0\r\n\r\n")
    wait_until(
        lambda: body_in_flight(relay) is None or body_in_flight(relay).complete,
        description="the end of the body",
    )


def block_reactor(until: threading.Event) -> threading.Thread:
    """Block the reactor, so that pending events are handled in one iteration."""
    is_blocked = threading.Event()

    def block() -> None:
        is_blocked.set()
        until.wait(5.0)

    blocking = threading.Thread(target=in_reactor, args=(block,))
    blocking.start()
    assert is_blocked.wait(5.0)
    return blocking


@final
class StalledTransport(StringTransport):
    """A transport whose peer reads nothing, and which closes only on abort."""

    is_aborted = False

    def getHandle(self) -> Any:  # noqa: N802
        """Return an unconnected socket, which accepts socket options."""
        return socket.socket()

    def abortConnection(self) -> None:  # noqa: N802
        """Record the abort."""
        self.is_aborted = True
