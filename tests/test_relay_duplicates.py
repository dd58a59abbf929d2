"""Requests that wait for the answer to another one with their idempotency key."""

import socket
import threading
import time

from tests.builders_relay import (
    request,
    request_id_header,
    running_relay,
)

DEADLINE_S = 0.5
MAX_LATE_S = 1.0
"""A request has to be answered within this time after its deadline."""

STREAM_S = 4.0
PIECE_INTERVAL_S = 0.1
KEY = "Idempotency-Key: dues-7\r\n"


def streaming(connection: socket.socket, head: bytes) -> None:
    """Send a head at once, and the body in pieces."""
    pieces = int(STREAM_S / PIECE_INTERVAL_S)
    echo = request_id_header(head)
    connection.sendall(
        f"HTTP/1.1 200 OK\r\nContent-Length: {pieces}\r\n{echo}\r\n".encode()
    )
    for _ in range(pieces):
        time.sleep(PIECE_INTERVAL_S)
        connection.sendall(b"x")


def test_duplicate_is_answered_by_its_own_deadline() -> None:
    """Guards against waiting for a response that outlasts the deadline."""
    with running_relay([streaming], deadline_ms=int(DEADLINE_S * 1000)) as relay:
        post = request("POST", headers=KEY)
        first = threading.Thread(target=relay.send, args=(post,), daemon=True)
        first.start()
        time.sleep(PIECE_INTERVAL_S)
        begun_s = time.monotonic()
        received = relay.send(post)
        assert time.monotonic() - begun_s < DEADLINE_S + MAX_LATE_S
        assert received.startswith(b"HTTP/1.1 504 ")
        assert b'"run": "unknown"' in received
        assert len(relay.servers[0].heads) == 1
        first.join()
