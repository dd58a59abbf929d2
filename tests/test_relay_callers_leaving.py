"""A caller that leaves while its request waits is noticed, and nothing is sent."""

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from twisted.internet.task import deferLater

from gentianwharf.relay._caller_body import MAX_REPLAY_BYTES
from tests.builders_answers import ok
from tests.builders_processes import wait_until
from tests.builders_relay import (
    REACTOR,
    RunningRelay,
    in_reactor,
    request,
    running_relay,
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SMALL_BYTES, LARGE_BYTES = 300, 60_000
MAX_READ_BYTES = 2 * 65_536 + MAX_REPLAY_BYTES
"""One read of a socket to pass the limit, and one that was under way."""


@contextmanager
def waiting_relay() -> Iterator[tuple[RunningRelay, threading.Event]]:
    """Run a relay whose requests wait for a server until the event is set."""
    admitted = threading.Event()
    with running_relay([ok], deadline_ms=60_000) as relay:
        admit = relay.admission.admit

        async def wait_and_admit(*arguments: Any) -> Any:
            while not admitted.is_set():
                await deferLater(REACTOR, 0.005)
            return await admit(*arguments)

        relay.admission.admit = wait_and_admit
        yield relay, admitted


def leave(caller: socket.socket, how: str) -> None:
    if how == "reset":
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.close()


@pytest.mark.parametrize("how", ["closed", "reset"])
@pytest.mark.parametrize("body_bytes", [0, SMALL_BYTES, LARGE_BYTES])
def test_request_of_a_caller_that_left_is_not_sent(body_bytes: int, how: str) -> None:
    """Guards against requests that are run for nobody.

    While a body waits for a server, its caller's connection was not read.
    """
    with waiting_relay() as (relay, admitted):
        caller = relay.connect()
        caller.sendall(request("POST", body=b"x" * body_bytes, close=False))
        wait_until(lambda: bool(relay.app.in_flight), description="the request")
        leave(caller, how)
        in_reactor(lambda: deferLater(REACTOR, 0.05))
        admitted.set()
        wait_until(lambda: not relay.app.in_flight, description="the end")
        assert relay.servers[0].heads == []
        assert relay.records.responses[-1].status == 499


def test_waiting_body_is_not_read_without_bound() -> None:
    """Guards against bodies of waiting requests that fill the memory."""
    with waiting_relay() as (relay, admitted), relay.connect() as caller:
        caller.sendall(request("POST", headers="Content-Length: 8000000\r\n"))
        caller.settimeout(0.3)
        sent = 0
        with pytest.raises(TimeoutError):
            while sent < 8_000_000:
                sent += caller.send(b"x" * 65_536)
        (exchange,) = relay.app.in_flight
        body = exchange.request.body
        assert body is not None
        assert body.received_bytes < MAX_READ_BYTES
        admitted.set()


def test_body_that_was_read_ahead_reaches_the_server_once() -> None:
    """Guards against a body that is sent twice, or without what came early."""
    received = list[bytes]()

    def reading(connection: socket.socket, head: bytes) -> None:
        data = head
        while not data.endswith(b"end"):
            data += connection.recv(65_536)
        received.append(data.partition(b"\r\n\r\n")[2])
        ok(connection, head)

    with waiting_relay() as (relay, admitted), relay.connect() as caller:
        relay.servers[0].scripts = [reading]
        body = b"begin" + b"x" * LARGE_BYTES + b"end"
        caller.sendall(request("POST", headers=f"Content-Length: {len(body)}\r\n"))
        caller.sendall(body[:1000])
        wait_until(lambda: bool(relay.app.in_flight), description="the request")
        in_reactor(lambda: deferLater(REACTOR, 0.02))
        admitted.set()
        caller.sendall(body[1000:])
        assert caller.recv(65_536).startswith(b"HTTP/1.1 200 ")
    assert received == [body]
