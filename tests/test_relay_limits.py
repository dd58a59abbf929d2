"""Limits on a caller's connection, and the responses beyond them."""

import threading
import time
from dataclasses import replace

import pytest

from gentianwharf.entryhost._conversions import limits_of
from gentianwharf.platform import CallerLimits
from gentianwharf.relay import ConnectionLimits
from tests.builders_relay import (
    in_reactor,
    read_to_end,
    request,
    response,
    running_relay,
)

HANG_S = 10.0
LIMITS = ConnectionLimits(most_body_bytes=1000)


def plain(connection, head):  # type: ignore[no-untyped-def]
    connection.sendall(response(b"ok"))


OPERATORS_LIMITS = limits_of(
    CallerLimits(
        max_header_bytes=2_000,
        max_body_bytes=1_000,
        head_timeout_s=3.0,
        idle_timeout_s=15.0,
    )
)


@pytest.mark.parametrize(("headers", "status"), [(400, b"200"), (600, b"431")])
def test_head_of_many_short_headers_is_measured_in_bytes(
    headers: int, status: bytes
) -> None:
    """Guards against refusing valid requests with many short headers.

    Operators limit a head in bytes, and 101 short headers are well below that limit.
    The router also limited their number and responded with 431, which callers don't
    retry.
    """
    raw = request("GET", headers="a:\r\n" * headers)
    with running_relay([plain], limits=OPERATORS_LIMITS) as relay:
        assert relay.send(raw).startswith(b"HTTP/1.1 " + status)


def test_body_with_a_length_over_the_limit_is_refused_before_it_is_sent() -> None:
    raw = request("POST", headers="Content-Length: 1001\r\n")
    with running_relay([plain], limits=LIMITS) as relay:
        received = relay.send(raw + b"x" * 1001)
        assert received.startswith(b"HTTP/1.1 413")
        assert b"expected at most 1000 bytes, got 1001" in received
        assert relay.servers[0].heads == []


def test_chunked_body_over_the_limit_is_never_complete_at_the_server() -> None:
    """Guards against an endless upload without a length that fills a server's disk."""
    raw = request("POST", headers="Transfer-Encoding: chunked\r\n")
    ends: list[bytes] = []
    ended = threading.Event()

    def reading(connection, head):  # type: ignore[no-untyped-def]
        ends.append((head + read_to_end(connection))[-5:])
        ended.set()

    with running_relay([reading], limits=LIMITS, deadline_ms=3000) as relay:
        received = relay.send(raw + b"400\r\n" + b"x" * 1024 + b"\r\n0\r\n\r\n")
        assert b"200" not in received
        assert not relay.servers[0].heads or ended.wait(HANG_S)
    assert b"0\r\n\r\n" not in ends


@pytest.mark.parametrize("size", [0, 1, 1000])
def test_body_within_the_limit_passes(size: int) -> None:
    def reading(connection, head):  # type: ignore[no-untyped-def]
        body = head.split(b"\r\n\r\n", 1)[1]
        while len(body) < size:
            body += connection.recv(10_000)
        connection.sendall(response(b"%d" % len(body)))

    raw = request("POST", headers=f"Content-Length: {size}\r\n")
    with running_relay([reading], limits=LIMITS, deadline_ms=3000) as relay:
        assert relay.send(raw + b"x" * size).endswith(b"%d" % size)


def test_slow_head_is_refused() -> None:
    """Guards against callers that occupy connections by sending heads slowly."""
    limits = ConnectionLimits(head_timeout_s=0.2)
    with running_relay([plain], limits=limits) as relay, relay.connect() as connection:
        connection.sendall(b"GET /plain/1 HTTP/1.1\r\nHost: x\r\n")
        for _ in range(4):
            in_reactor(relay.site.refuse_slow_heads)
            time.sleep(0.1)
        in_reactor(relay.site.refuse_slow_heads)
        received = read_to_end(connection)
    assert received.startswith(b"HTTP/1.1 408")
    assert b'"run": "not-run"' in received


def test_slow_body_is_not_refused_as_a_slow_head() -> None:
    limits = ConnectionLimits(head_timeout_s=0.1)

    def reading(connection, head):  # type: ignore[no-untyped-def]
        body = head.split(b"\r\n\r\n", 1)[1]
        while len(body) < 4:
            body += connection.recv(100)
        connection.sendall(response(body))

    with (
        running_relay([reading], limits=limits, deadline_ms=3000) as relay,
        relay.connect() as connection,
    ):
        connection.sendall(request("POST", headers="Content-Length: 4\r\n") + b"ab")
        for _ in range(4):
            in_reactor(relay.site.refuse_slow_heads)
            time.sleep(0.1)
        connection.sendall(b"cd")
        assert read_to_end(connection).endswith(b"abcd")


def test_new_limits_apply_to_open_connections() -> None:
    """Guards against a shorter idle timeout that is ignored by open connections."""
    with running_relay([plain]) as relay, relay.connect() as connection:
        connection.sendall(request(close=False))
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
        shorter = replace(relay.site.limits, idle_timeout_s=0.1)
        in_reactor(lambda: relay.site.apply_limits(shorter))
        begun_s = time.monotonic()
        assert read_to_end(connection) == b""
        assert time.monotonic() - begun_s < 2.0
