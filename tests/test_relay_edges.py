"""Edge cases of HTTP/1.1 with callers and servers on real sockets."""

import json
import socket
import threading
from contextlib import suppress
from functools import partial

import pytest

from gentianwharf.relay import Outcome
from tests.builders_relay import (
    RunningRelay,
    Script,
    read_head,
    read_to_end,
    request,
    request_id_header,
    response,
    running_relay,
)

# More than any limit on a head, but less than the socket buffers hold.
FLOOD_BYTES = 2_000_000
# A long deadline, so that no outcome here depends on the load of the machine.
long_deadline_relay = partial(running_relay, deadline_ms=60_000)
CHUNKED = "Transfer-Encoding: chunked\r\n"


def ok(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response(extra=request_id_header(head)))


def flooding(piece: bytes, *, first: bytes = b"") -> Script:
    """Return a script that sends ``piece`` repeatedly."""

    def flood(connection: socket.socket, head: bytes) -> None:
        connection.sendall(first)
        for _ in range(FLOOD_BYTES // len(piece)):
            connection.sendall(piece)
        read_head(connection)

    return flood


def recording(received_bytes: list[bytes], ended: threading.Event) -> Script:
    """Return a script that records all bytes until the connection is closed."""

    def note(connection: socket.socket, head: bytes) -> None:
        received_bytes.append(head)
        received_bytes.append(read_to_end(connection))
        ended.set()

    return note


def wait_for_heads(relay: RunningRelay, count: int) -> None:
    while len(relay.servers[0].heads) < count:
        threading.Event().wait(0.005)


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(
            flooding(b"X-More: yes\r\n", first=b"HTTP/1.1 200 OK\r\n"), id="headers"
        ),
        pytest.param(
            flooding(b"x" * 1000, first=b"HTTP/1.1 200 OK\r\nX: "), id="one-long-line"
        ),
        pytest.param(flooding(b"HTTP/1.1 102 Processing\r\n\r\n"), id="informational"),
    ],
)
def test_endless_response_head_fails_before_the_deadline(script: Script) -> None:
    """Guards against a faulty server that exhausts a host's memory and CPU time.

    The server sends headers or informational responses without end. Each was parsed and
    stored until the deadline.
    """
    with long_deadline_relay([script]) as relay:
        received = relay.send(request("POST", body=b"x"))
        assert received.startswith(b"HTTP/1.1 502 ")
        assert json.loads(received.split(b"\r\n\r\n", 1)[1])["run"] == "unknown"
        assert relay.admission.outcomes == [Outcome.LOST]


def test_informational_responses_before_the_response_are_skipped() -> None:
    def hints(connection: socket.socket, head: bytes) -> None:
        connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 3)
        ok(connection, head)

    with long_deadline_relay([hints]) as relay:
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\nok")


def test_trailers_keep_the_response_complete_and_the_connection_usable() -> None:
    def trailing(connection: socket.socket, head: bytes) -> None:
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + request_id_header(head).encode()
            + b"\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"
        )

    with long_deadline_relay([trailing]) as relay:
        for _ in range(2):
            assert relay.send(request()).endswith(b"2\r\nok\r\n0\r\n\r\n")
        assert relay.servers[0].connections == 1


def test_trailers_of_an_upload_are_not_forwarded_as_headers() -> None:
    """Guards against a caller that sets a token in the trailers of an upload."""
    received_bytes = list[bytes]()

    def reading(connection: socket.socket, head: bytes) -> None:
        received_bytes.append(head)
        while b"0\r\n\r\n" not in b"".join(received_bytes):
            received_bytes.append(connection.recv(1000))
        ok(connection, head)

    raw = request("POST", headers=CHUNKED)
    with long_deadline_relay([reading]) as relay:
        received = relay.send(raw + b"2\r\nok\r\n0\r\nGentianwharf-Token: 9\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"Token: 9" not in b"".join(received_bytes)


def test_response_after_an_abort_is_discarded() -> None:
    """Guards against a response that is sent to the wrong caller.

    A caller disconnected and its request was aborted. The server still responded, on
    the connection that would have been reused for the next request.
    """
    go_on = threading.Event()
    wrong = response(b"another's", extra="Gentianwharf-Request-Id: other\r\n")

    def late(connection: socket.socket, head: bytes) -> None:
        go_on.wait(5)
        connection.sendall(wrong)

    with long_deadline_relay([ok, late, ok]) as relay:
        relay.send(request())
        with relay.connect() as gone:
            gone.sendall(request("POST", body=b"x"))
            wait_for_heads(relay, 2)
        while not relay.admission.outcomes[1:]:
            threading.Event().wait(0.005)
        go_on.set()
        received = relay.send(request("POST", body=b"x"))
        assert received.endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


def test_surplus_bytes_are_not_read_as_the_next_response() -> None:
    """Guards against reading surplus bytes as the response to the next request.

    The server sent more bytes than the length of its response, and the connection was
    reused.
    """
    go_on = threading.Event()

    def too_much(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(b"first") + b"x")
        go_on.wait(5)
        connection.sendall(response(b"another's"))

    with long_deadline_relay([too_much, ok]) as relay:
        assert relay.send(request()).endswith(b"\r\n\r\nfirst")
        threading.Timer(0.05, go_on.set).start()
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


def test_data_on_an_idle_connection_closes_it() -> None:
    go_on = threading.Event()

    def unsolicited(connection: socket.socket, head: bytes) -> None:
        ok(connection, head)
        go_on.wait(5)
        connection.sendall(response(b"late", status="408 Request Timeout"))

    with long_deadline_relay([unsolicited, ok]) as relay:
        relay.send(request())
        go_on.set()
        while relay.app.connections["s0"].idle():
            threading.Event().wait(0.005)
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(response(extra="Connection: Close\r\n"), id="upper-case"),
        pytest.param(response(extra="Connection: x-a, close\r\n"), id="list"),
        pytest.param(response().replace(b"HTTP/1.1", b"HTTP/1.0"), id="http-1.0"),
    ],
)
def test_connection_that_the_server_closes_is_not_reused(raw: bytes) -> None:
    """Guards against sending a request on a connection that the server closes.

    The server announced the close in a form that Twisted does not recognize. The next
    request was sent on the connection and lost, with an unknown outcome.
    """

    def closing(connection: socket.socket, head: bytes) -> None:
        connection.sendall(raw)
        read_head(connection)
        connection.close()

    with long_deadline_relay([closing, closing, ok]) as relay:
        for _ in range(2):
            received = relay.send(request("POST", body=b"x"))
            assert received.startswith(b"HTTP/1.1 200 ")
        assert len(relay.servers[0].heads) == relay.servers[0].connections == 2


def test_truncated_upload_does_not_look_complete_to_the_server() -> None:
    """Guards against a truncated upload that looks complete to the server.

    The caller's connection was closed in the middle of a chunked upload, and the router
    forwarded the end of the connection as the end of the body.
    """
    received_bytes, ended = list[bytes](), threading.Event()
    with long_deadline_relay([recording(received_bytes, ended)]) as relay:
        with relay.connect() as connection:
            connection.sendall(request("POST", headers=CHUNKED) + b"3\r\nabc\r\n")
            wait_for_heads(relay, 1)
        assert ended.wait(5)
        # The head is excluded, since its deadline may end with a 0.
        body = b"".join(received_bytes).partition(b"\r\n\r\n")[2]
        assert body.startswith(b"3\r\nabc\r\n")
        assert b"0\r\n\r\n" not in body


def test_half_close_by_the_caller_cancels_the_request() -> None:
    """Guards against requests that occupy a slot after their caller has disconnected.

    The end of the caller's stream is the only sign of a disconnect. A caller that
    half-closes and still reads can't be distinguished from one that is gone.
    """
    received_bytes, ended = list[bytes](), threading.Event()
    with long_deadline_relay([recording(received_bytes, ended)]) as relay:
        with relay.connect() as connection:
            connection.sendall(request())
            wait_for_heads(relay, 1)
            connection.shutdown(socket.SHUT_WR)
            assert ended.wait(5)
            assert read_to_end(connection) == b""
        assert relay.admission.outcomes == [Outcome.CANCELLED]


@pytest.mark.parametrize(
    ("upgrade", "status"),
    [
        pytest.param("websocket", 501, id="websocket"),
        pytest.param("TLS/1.2, HTTP/1.1", 501, id="tls"),
        # Sent by curl --http2; RFC 9113 allows a server to ignore it.
        pytest.param("h2c", 200, id="http2"),
    ],
)
def test_upgrade_is_refused_with_its_reason(upgrade: str, status: int) -> None:
    """Guards against a caller that waits for an upgrade that never happens.

    The request was forwarded without its Upgrade header and served as a plain one.
    """
    headers = f"Connection: Upgrade\r\nUpgrade: {upgrade}\r\n"
    with long_deadline_relay([ok]) as relay, relay.connect() as connection:
        connection.sendall(request(headers=headers, close=False))
        received = connection.recv(65_536)
        assert received.startswith(f"HTTP/1.1 {status} ".encode())
        assert relay.servers[0].connections == (status == 200)
    if status != 200:
        problem = json.loads(received.split(b"\r\n\r\n", 1)[1])
        assert problem["run"] == "not-run"
        assert "Upgrade" in problem["detail"]


def refusing(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response(b"too big", status="413 Too Large"))
    read_to_end(connection)


def test_refusal_of_an_expected_upload_is_forwarded() -> None:
    """Guards against an upload that continues after the server has refused it."""
    headers = "Expect: 100-continue\r\nContent-Length: 50000000\r\n"
    with long_deadline_relay([refusing]) as relay, relay.connect() as connection:
        connection.sendall(request("POST", headers=headers, close=False))
        received = read_to_end(connection)
    final = received.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert final.startswith(b"HTTP/1.1 413 ")
    assert final.endswith(b"\r\n\r\ntoo big")


def test_connection_with_an_incomplete_upload_is_not_reused() -> None:
    """Guards against an upload that starts with the rest of the previous one.

    The server responded before the end of the body and kept the connection open, while
    the rest of that body had not been sent.
    """

    def early(connection: socket.socket, head: bytes) -> None:
        ok(connection, head)

    raw = request("POST", headers="Content-Length: 1000\r\n", close=False)
    with long_deadline_relay([early, ok]) as relay:
        with relay.connect() as connection:
            connection.sendall(raw + b"x" * 10)
            first = read_to_end(connection)
            with suppress(OSError):
                connection.sendall(b"x" * 990)
        second = relay.send(request("POST", body=b"y"))
        assert first.endswith(b"\r\n\r\nok")
        assert second.endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2
        assert relay.servers[0].heads[1].endswith(b"\r\n\r\ny")
