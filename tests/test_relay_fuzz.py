"""Whatever bytes a caller sends, servers see well-formed requests only."""

import re
import socket
from contextlib import suppress

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gentianwharf.relay import ConnectionLimits
from tests.builders_relay import RunningRelay, answer, read_to_end, running_relay

PIECES = st.sampled_from(
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
REQUESTS = st.lists(st.one_of(PIECES, st.binary(max_size=8)), max_size=14).map(b"".join)
# What is incomplete is given up on soon: most examples are.
QUICK = ConnectionLimits(idle_timeout_s=0.03)
TARGET = re.compile(rb"(GET|POST) /(plain/1|keyed/a) HTTP/1\.1\r\n")


def ok(connection: socket.socket, head: bytes) -> None:
    connection.sendall(answer())


def send(relay: RunningRelay, raw: bytes) -> bytes:
    with relay.connect() as connection:
        with suppress(OSError):
            connection.sendall(raw)
        return read_to_end(connection)


def test_any_bytes_get_an_answer_or_a_close_and_servers_only_whole_heads() -> None:
    """A server takes a caller's bytes for the next caller's request.

    Two readers disagree about where a request ends. Here one reader decides, and
    writes each request anew.
    """
    with running_relay([ok], limits=QUICK) as relay:

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
