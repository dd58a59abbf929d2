"""Callers and servers at the edges of HTTP/1.1, on real sockets."""

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
    answer,
    echo_id,
    read_head,
    read_to_end,
    request,
    running_relay,
)

# More than any limit on a head, less than a socket's buffers hold.
FLOOD_BYTES = 2_000_000
# No outcome here may come of a deadline, however busy the machine is.
patient_relay = partial(running_relay, deadline_ms=60_000)
CHUNKED = "Transfer-Encoding: chunked\r\n"


def ok(connection: socket.socket, head: bytes) -> None:
    connection.sendall(answer(extra=echo_id(head)))


def flooding(piece: bytes, *, first: bytes = b"") -> Script:
    """Return a server that sends the piece again and again."""

    def flood(connection: socket.socket, head: bytes) -> None:
        connection.sendall(first)
        for _ in range(FLOOD_BYTES // len(piece)):
            connection.sendall(piece)
        read_head(connection)

    return flood


def seen_by_server(seen: list[bytes], ended: threading.Event) -> Script:
    """Return a server that notes all bytes until its connection ends."""

    def note(connection: socket.socket, head: bytes) -> None:
        seen.append(head)
        seen.append(read_to_end(connection))
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
def test_endless_head_is_given_up_on_before_the_deadline(script: Script) -> None:
    """One mad server fills a host's memory, and its loop has time for nothing else.

    The server sends header after header, or one "wait a moment" after the other, and
    no answer; each is read and kept until the deadline.
    """
    with patient_relay([script]) as relay:
        received = relay.send(request("POST", body=b"x"))
        assert received.startswith(b"HTTP/1.1 502 ")
        assert json.loads(received.split(b"\r\n\r\n", 1)[1])["run"] == "unknown"
        assert relay.admission.outcomes == [Outcome.LOST]


def test_few_informational_answers_come_before_the_answer() -> None:
    def hints(connection: socket.socket, head: bytes) -> None:
        connection.sendall(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 3)
        ok(connection, head)

    with patient_relay([hints]) as relay:
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\nok")


def test_trailers_of_an_answer_leave_it_whole_and_its_connection_usable() -> None:
    trailed = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"
    )

    def trailing(connection: socket.socket, head: bytes) -> None:
        connection.sendall(trailed)

    with patient_relay([trailing]) as relay:
        for _ in range(2):
            assert relay.send(request()).endswith(b"2\r\nok\r\n0\r\n\r\n")
        assert relay.servers[0].connections == 1


def test_trailers_of_an_upload_pose_as_no_header() -> None:
    """A caller names a token of its own in the trailers of an upload."""
    seen = list[bytes]()

    def reading(connection: socket.socket, head: bytes) -> None:
        seen.append(head)
        while b"0\r\n\r\n" not in b"".join(seen):
            seen.append(connection.recv(1000))
        ok(connection, head)

    raw = request("POST", headers=CHUNKED)
    with patient_relay([reading]) as relay:
        received = relay.send(raw + b"2\r\nok\r\n0\r\nGentianwharf-Token: 9\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"Token: 9" not in b"".join(seen)


def test_wrong_answer_after_an_abort_reaches_nobody() -> None:
    """A treasurer sees another club's dues.

    A caller left, so that its request was aborted; the server answered it all the
    same, on the connection that the next request was to use.
    """
    go_on = threading.Event()
    wrong = answer(b"another's", extra="Gentianwharf-Request-Id: other\r\n")

    def late(connection: socket.socket, head: bytes) -> None:
        go_on.wait(5)
        connection.sendall(wrong)

    with patient_relay([ok, late, ok]) as relay:
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


def test_more_than_an_answer_is_never_the_next_answer() -> None:
    """A family gets a page that it did not ask for, from a server that counts wrongly.

    The server sent more than its answer's length. The connection was kept, and what
    followed was taken for the answer to the next request.
    """
    go_on = threading.Event()

    def too_much(connection: socket.socket, head: bytes) -> None:
        connection.sendall(answer(b"first") + b"x")
        go_on.wait(5)
        connection.sendall(answer(b"another's"))

    with patient_relay([too_much, ok]) as relay:
        assert relay.send(request()).endswith(b"\r\n\r\nfirst")
        threading.Timer(0.05, go_on.set).start()
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


def test_bytes_on_an_idle_connection_end_it() -> None:
    go_on = threading.Event()

    def unasked(connection: socket.socket, head: bytes) -> None:
        ok(connection, head)
        go_on.wait(5)
        connection.sendall(answer(b"late", status="408 Request Timeout"))

    with patient_relay([unasked, ok]) as relay:
        relay.send(request())
        go_on.set()
        while relay.app.connections["s0"].idle():
            threading.Event().wait(0.005)
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(answer(extra="Connection: Close\r\n"), id="upper-case"),
        pytest.param(answer(extra="Connection: x-a, close\r\n"), id="list"),
        pytest.param(answer().replace(b"HTTP/1.1", b"HTTP/1.0"), id="http-1.0"),
    ],
)
def test_connection_that_the_server_closes_is_not_kept(raw: bytes) -> None:
    """A reservation's outcome is unknown each time after a server's last answer.

    The server said that it would close its connection, in other words than Twisted
    reads; the next request was sent on it and lost.
    """

    def closing(connection: socket.socket, head: bytes) -> None:
        connection.sendall(raw)
        read_head(connection)
        connection.close()

    with patient_relay([closing, closing, ok]) as relay:
        for _ in range(2):
            received = relay.send(request("POST", body=b"x"))
            assert received.startswith(b"HTTP/1.1 200 ")
        assert len(relay.servers[0].heads) == relay.servers[0].connections == 2


def test_upload_that_is_cut_off_is_never_whole_at_the_server() -> None:
    """A faculty has half a transcript as if it were all of it.

    The caller's connection broke in the middle of a chunked upload, and the end of
    the connection was handed on as the end of the body.
    """
    seen, ended = list[bytes](), threading.Event()
    with patient_relay([seen_by_server(seen, ended)]) as relay:
        with relay.connect() as connection:
            connection.sendall(request("POST", headers=CHUNKED) + b"3\r\nabc\r\n")
            wait_for_heads(relay, 1)
        assert ended.wait(5)
        # The head may end with a 0 itself, that of its deadline.
        body = b"".join(seen).partition(b"\r\n\r\n")[2]
        assert body.startswith(b"3\r\nabc\r\n")
        assert b"0\r\n\r\n" not in body


def test_caller_that_half_closes_has_gone_and_the_server_is_told() -> None:
    """A family that left goes on holding a slot until its page would have been done.

    The end of a caller's stream is all that tells of its leaving: one that only
    half-closed and would still read can't be told from one that is gone.
    """
    seen, ended = list[bytes](), threading.Event()
    with patient_relay([seen_by_server(seen, ended)]) as relay:
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
        # What curl --http2 sends first; RFC 9113 lets a server pass over it.
        pytest.param("h2c", 200, id="http2"),
    ],
)
def test_upgrade_is_refused_with_its_reason(upgrade: str, status: int) -> None:
    """A page waits for ever for a stream that is never opened.

    The request went on without its Upgrade header, and was answered as a plain one.
    """
    headers = f"Connection: Upgrade\r\nUpgrade: {upgrade}\r\n"
    with patient_relay([ok]) as relay, relay.connect() as connection:
        connection.sendall(request(headers=headers, close=False))
        received = connection.recv(65_536)
        assert received.startswith(f"HTTP/1.1 {status} ".encode())
        assert relay.servers[0].connections == (status == 200)
    if status != 200:
        problem = json.loads(received.split(b"\r\n\r\n", 1)[1])
        assert problem["run"] == "not-run"
        assert "Upgrade" in problem["detail"]


def refusing(connection: socket.socket, head: bytes) -> None:
    connection.sendall(answer(b"too big", status="413 Too Large"))
    read_to_end(connection)


def test_server_that_refuses_an_expected_upload_is_heard() -> None:
    """An editor's tool uploads an issue for minutes that was refused at once."""
    headers = "Expect: 100-continue\r\nContent-Length: 50000000\r\n"
    with patient_relay([refusing]) as relay, relay.connect() as connection:
        connection.sendall(request("POST", headers=headers, close=False))
        received = read_to_end(connection)
    final = received.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert final.startswith(b"HTTP/1.1 413 ")
    assert final.endswith(b"\r\n\r\ntoo big")


def test_connection_with_an_unfinished_upload_carries_no_other_request() -> None:
    """A secretary's next upload begins with the rest of the one before.

    The server answered before the body's end and kept its connection, on which the
    rest of that body was still due.
    """

    def early(connection: socket.socket, head: bytes) -> None:
        ok(connection, head)

    raw = request("POST", headers="Content-Length: 1000\r\n", close=False)
    with patient_relay([early, ok]) as relay:
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
