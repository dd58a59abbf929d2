"""What one end of a tunnel does to the other, while bytes wait in between."""

import socket
import struct
import threading
import time

import pytest

from gentianwharf.tunnels import _server
from tests.builders_processes import wait_until
from tests.builders_relay import in_reactor
from tests.builders_tunnels import tunneling

UPLOAD_BYTES = 20_000_000
"""More than the kernel buffers on loopback for the connections of one tunnel."""

ANSWER = b"".join(b"%07x\n" % index for index in range(375_000))
"""An answer of 3 MB, each place of which differs from each other."""

EARLY_ANSWER_BYTES = 200_000

RESETS = 20
BLOCKED_S = 0.03
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

UPLOAD_S = 0.5
"""Time for an upload to fill these buffers."""


def read_all(connection: socket.socket) -> bytes:
    data = b""
    while piece := connection.recv(65_536):
        data += piece
    return data


def send_and_close(connection: socket.socket, answer: bytes = ANSWER) -> None:
    with connection:
        connection.sendall(answer)


def test_reset_passes_while_the_server_does_not_read() -> None:
    """Guards against servers and tunnels kept for callers who left within an upload."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.write(b"x" * UPLOAD_BYTES)
        time.sleep(UPLOAD_S)
        in_reactor(user.abort_now)
        wait_until(
            lambda: not hosts.carriers[0].open_tunnels, description="a free tunnel"
        )
        with pytest.raises(ConnectionResetError):
            read_all(server)


def test_answer_within_an_upload_arrives_whole() -> None:
    """Guards against answers lost with the part of an upload that was not read.

    The server answers early, ends its side, and would read on.
    """
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.pause()
        user.write(b"x" * UPLOAD_BYTES)
        time.sleep(UPLOAD_S)
        server.sendall(ANSWER[:EARLY_ANSWER_BYTES])
        server.shutdown(socket.SHUT_WR)
        time.sleep(UPLOAD_S)
        user.resume()
        wait_until(lambda: user.ended, description="the end of the tunnel")
        assert user.ended == "closed"
        assert user.received == ANSWER[:EARLY_ANSWER_BYTES]
        wait_until(
            lambda: not hosts.carriers[0].open_tunnels, description="a free tunnel"
        )


def test_answer_to_a_slow_reader_arrives_whole() -> None:
    """Guards against bytes dropped when the server closes after its answer."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.pause()
        sender = threading.Thread(target=send_and_close, args=(server,), daemon=True)
        sender.start()
        time.sleep(UPLOAD_S)
        user.resume()
        wait_until(lambda: user.ended, description="the end of the tunnel")
        assert user.ended == "closed"
        assert user.received == ANSWER


def test_host_that_never_reads_an_answers_end_is_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tunnels kept for hosts that stopped reading."""
    monkeypatch.setattr(_server, "LINGER_TIMEOUT_S", 0.5)
    with tunneling() as hosts:
        user = hosts.opened()
        user.pause()
        send_and_close(hosts.backend.connection(), ANSWER[:EARLY_ANSWER_BYTES])
        wait_until(
            lambda: not hosts.carriers[0].open_tunnels, description="a free tunnel"
        )


def test_body_whose_host_closes_arrives_whole_at_a_slow_server() -> None:
    """Guards against bytes dropped when a host closes after its last byte."""
    with tunneling() as hosts:
        user = hosts.opened()
        server = hosts.backend.connection()
        user.write(ANSWER * 4)
        in_reactor(user.close)
        time.sleep(UPLOAD_S)
        assert read_all(server) == ANSWER * 4
        wait_until(
            lambda: not hosts.carriers[0].open_tunnels, description="a free tunnel"
        )


@pytest.mark.parametrize("answer_bytes", [10, 100_000])
def test_answer_before_a_reset_arrives_whole(answer_bytes: int) -> None:
    """Guards against answers dropped as the carrier hears of both at the same time."""
    answer = ANSWER[:answer_bytes]
    with tunneling() as hosts:
        for number in range(RESETS):
            user = hosts.opened()
            server = hosts.backend.connection(number)
            blocked = threading.Thread(target=in_reactor, args=(block_loop,))
            blocked.start()
            server.sendall(answer)
            server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            server.close()
            blocked.join()
            wait_until(lambda user=user: user.ended, description="the tunnel's end")
            assert user.ended == "reset"
            assert user.received == answer


def block_loop() -> None:
    time.sleep(BLOCKED_S)
