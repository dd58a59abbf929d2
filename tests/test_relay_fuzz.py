"""Arbitrary bytes from a caller or a server reach the other side as valid HTTP only."""

import re
import socket
import threading
from contextlib import suppress

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gentianwharf.relay import ConnectionLimits
from tests.builders_relay import (
    RunningRelay,
    read_to_end,
    request,
    response,
    running_relay,
)

REQUEST_PIECES = st.sampled_from(
    [
        b"GET /plain/1 HTTP/1.1\r\n",
        b"POST /plain/1 HTTP/1.1\r\n",
        b"POST /keyed/a HTTP/1.0\r\n",
        b"Host: gateway\r\n",
        b"Host:\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 5, 6\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding:\x0bchunked\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"Gentianwharf-Key: k\r\n",
        b" folded: yes\r\n",
        b"\r\n",
        b"\n",
        b"\x00",
        b"hello",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"FFFFFFFFFFFFFFFFFF\r\n",
    ]
)
REQUESTS = st.lists(st.one_of(REQUEST_PIECES, st.binary(max_size=8)), max_size=14).map(
    b"".join
)
# A short timeout, since most examples are incomplete requests.
SHORT_TIMEOUTS = ConnectionLimits(idle_timeout_s=0.03)
TARGET = re.compile(rb"(GET|POST) /(plain/1|keyed/a) HTTP/1\.1\r\n")


def ok(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response())


def send(relay: RunningRelay, raw: bytes) -> bytes:
    with relay.connect() as connection:
        with suppress(OSError):
            connection.sendall(raw)
        return read_to_end(connection)


def test_arbitrary_request_bytes_reach_servers_as_valid_requests_only() -> None:
    """Guards against request smuggling.

    Two parsers may disagree on where a request ends, so that a server reads a caller's
    bytes as another caller's request. The router parses each request and serializes it
    again.
    """
    with running_relay([ok], limits=SHORT_TIMEOUTS) as relay:

        @settings(
            max_examples=150,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(raw=REQUESTS)
        def check(raw: bytes) -> None:
            received = send(relay, raw)
            assert not received or received.startswith(b"HTTP/1.1 ")

        check()
        assert send(
            relay, b"GET /plain/1 HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"
        ).endswith(b"ok")
        heads = relay.servers[0].heads
    assert heads
    for head in heads:
        lines = head.split(b"\r\n\r\n")[0].lower().split(b"\r\n")
        assert TARGET.match(head)
        assert sum(line.startswith(b"host:") for line in lines) == 1
        lengths = [line for line in lines if line.startswith(b"content-length:")]
        codings = [line for line in lines if line.startswith(b"transfer-encoding:")]
        assert len(lengths) + len(codings) <= 1


RESPONSE_PIECES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 No Content\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n",
        b"HTTP/1.1 99999 What\r\n",
        b"HTTP/9.9 200 OK\r\n",
        b"HTTP/1.1 200\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Connection: close\r\n",
        b"Gentianwharf-Run: not-run\r\n",
        b"Gentianwharf-Request-Id: other\r\n",
        b"X: a\x00b\rc\r\n",
        b"no colon\r\n",
        b" folded\r\n",
        b"\r\n",
        b"\n",
        b"hello",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"FFFFFFFFFFFFFFFFFF\r\n",
    ]
)
RESPONSES = st.lists(
    st.one_of(RESPONSE_PIECES, st.binary(max_size=8)), max_size=10
).map(b"".join)
RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.1 [0-9]{3} [^\r\n]*\r\n(?:[!#-'*+.0-9A-Z^-z|~-]+: [^\r\n\0]*\r\n)*\r\n"
)


def is_complete(received: bytes) -> bool:
    """Return whether a response to GET has the length that its head states."""
    head, _, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: ([0-9]+)", head)
    if length is not None:
        return len(body) == int(length[1])
    if re.search(rb"(?i)\r\ntransfer-encoding: chunked", head):
        return body.endswith(b"0\r\n\r\n")
    return not body


def test_arbitrary_response_bytes_reach_callers_as_one_response_or_an_abort() -> None:
    """Guards against malformed responses that affect other callers.

    A server's bytes were forwarded unchanged, such as a second response after the first
    or half a head, and the load balancer read them as the response to the next caller.
    """
    response_bytes = [b""]

    def send_and_close(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response_bytes[0])
        connection.shutdown(socket.SHUT_WR)

    with running_relay([send_and_close]) as relay:

        @settings(
            max_examples=200,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(raw=RESPONSES)
        def check(raw: bytes) -> None:
            response_bytes[0] = raw
            received = relay.send(request())
            if not received:
                return
            assert RESPONSE_HEAD.match(received), received
            if not is_complete(received):
                # Truncated like the server's response: fewer bytes than its length.
                assert not received.endswith(b"0\r\n\r\n")

        check()
        response_bytes[0] = response(b"well again")
        assert relay.send(request()).endswith(b"\r\n\r\nwell again")
        while relay.app.in_flight or any(map(len, relay.app.connections.values())):
            threading.Event().wait(0.005)
