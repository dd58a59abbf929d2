"""Callers that read slowly: what waits for them in memory stays bounded."""

import socket
import time
from contextlib import ExitStack
from typing import Any, cast

import pytest

from tests.builders_processes import wait_until
from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    request,
    request_id_header,
    response,
    running_relay,
)

FIRST_BYTES = range(60_000, 260_000, 10_000)
"""Sizes of which some fill the caller's connection with their last bytes."""

SECOND_BYTES = 5_000_000
"""More than the kernel buffers for a connection from a server."""

KERNEL_BUFFER_BYTES = 8_192
PAUSE_S = 1.0
MOST_BUFFERED_BYTES = 300_000
"""A few reads of 64 KiB: of the transport, of the server, and of a buffered answer."""


def sized(connection: socket.socket, head: bytes) -> None:
    """Answer with as many bytes as the last part of the path says."""
    size = int(head.split(b" ")[1].rpartition(b"/")[2])
    connection.sendall(response(b"x" * size, extra=request_id_header(head)))


def most_buffered_bytes(relay: RunningRelay) -> int:
    """Return how many bytes wait in the relay's memory for one caller at most."""

    def most() -> int:
        transports = [cast(Any, each.transport) for each in relay.site.channels]
        return max(len(each.dataBuffer) + each._tempDataLen for each in transports)

    return int(in_reactor(most))


def read_exactly(connection: socket.socket, size: int) -> int:
    read = 0
    while read < size:
        piece = connection.recv(min(65_536, size - read))
        assert piece, f"closed after {read} of {size} bytes"
        read += len(piece)
    return read


def connect_with_small_buffers(relay: RunningRelay) -> socket.socket:
    """Return a caller's connection of which the kernel buffers little."""
    known = set(in_reactor(lambda: list(relay.site.channels)))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    caller.settimeout(10.0)
    caller.connect(("127.0.0.1", relay.port))
    wait_until(
        lambda: len(in_reactor(lambda: list(relay.site.channels))) > len(known),
        description="the caller's connection",
    )
    for channel in set(in_reactor(lambda: list(relay.site.channels))) - known:
        handle = cast(Any, channel.transport).getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    return caller


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_answer_behind_another_one_waits_for_a_slow_caller(method: str) -> None:
    """Guards against an answer read into memory while its caller reads nothing.

    The caller's connection is full when the answer begins, and tells only those
    answers to pause that began before.
    """
    with running_relay([sized], deadline_ms=10_000) as relay, ExitStack() as stack:
        callers = []
        for first_bytes in FIRST_BYTES:
            caller = stack.enter_context(connect_with_small_buffers(relay))
            paths = (f"/plain/{size}" for size in (first_bytes, SECOND_BYTES))
            caller.sendall(
                b"".join(request(method, path, close=False) for path in paths)
            )
            callers.append((caller, first_bytes))
        time.sleep(PAUSE_S)
        assert most_buffered_bytes(relay) <= MOST_BUFFERED_BYTES
        for caller, first_bytes in callers:
            read_exactly(caller, first_bytes + SECOND_BYTES)
