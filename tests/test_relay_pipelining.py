"""Pipelining: several requests on a connection before the first response."""

import threading
import time
from dataclasses import dataclass, field

import pytest

from gentianwharf.relay import ConnectionLimits
from gentianwharf.relay._pipeline import MAX_BUFFERED_BYTES, BufferedResponse
from tests.builders_relay import request, response, running_relay

ABSENCE_S = 0.2
"""Time to wait for an event that must not occur."""

STALL_S = 0.6
HANG_S = 5.0
"""Timeout for requests that wait for each other in a server; reached only by a hang."""


def path_of(head: bytes) -> bytes:
    return head.split(b" ")[1]


def are_in_order(received: bytes, *paths: bytes) -> bool:
    places = [received.index(b"body of " + path) for path in paths]
    return places == sorted(places)


def slow_until(path: bytes, *slow: bytes):  # type: ignore[no-untyped-def]
    """Return a script that responds to the slow paths only after ``path``."""
    responded = threading.Event()

    def serve(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) in slow:
            assert responded.wait(HANG_S), f"{path!r} waits for {path_of(head)!r}"
        connection.sendall(response(b"body of " + path_of(head)))
        if path_of(head) == path:
            responded.set()

    return serve


def test_pipelined_requests_are_served_concurrently() -> None:
    """Guards against serving pipelined requests one after another.

    A page sends three slow reads at once. Served in sequence, the third would be late
    before it is sent to a server.
    """
    # Each waits until all three have arrived; in sequence the barrier would time out.
    together = threading.Barrier(3, timeout=HANG_S)

    def server(connection, head):  # type: ignore[no-untyped-def]
        together.wait()
        connection.sendall(response(b"body of " + path_of(head)))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/a", close=False)
            + request(path="/plain/b", close=False)
            + request(path="/plain/c")
        )
    assert received.count(b"HTTP/1.1 200") == 3
    assert are_in_order(received, b"/plain/a", b"/plain/b", b"/plain/c")


def test_fast_response_waits_for_the_slow_one_before_it() -> None:
    server = slow_until(b"/plain/quick", b"/plain/slow")
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/quick")
        )
    assert received.count(b"HTTP/1.1 200") == 2
    assert are_in_order(received, b"/plain/slow", b"/plain/quick")


def test_large_buffered_response_is_complete() -> None:
    large_body = b"x" * 500_000
    begun = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            assert begun.wait(HANG_S)
            connection.sendall(response(b"body of /plain/slow"))
        else:
            # More than is buffered; the rest is sent after the earlier response.
            begun.set()
            connection.sendall(response(large_body))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/large")
        )
    assert received.endswith(large_body)
    assert received.index(b"body of /plain/slow") < received.index(b"xxx")


def test_unsafe_request_is_not_started_early() -> None:
    """Guards against running a charge twice.

    A charge is pipelined after a read, and the connection is closed before the response
    to the read. The caller assumes that the charge was not processed and sends it
    again, so that it would run twice if it had been started early.
    """
    charged = threading.Event()
    first_done = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/charge":
            charged.set()
        elif not charged.wait(ABSENCE_S):
            first_done.set()
        connection.sendall(response(b"body of " + path_of(head)))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False)
            + request("POST", "/plain/charge", headers="Content-Length: 0\r\n")
        )
    assert first_done.is_set()
    assert are_in_order(received, b"/plain/slow", b"/plain/charge")


def test_upload_after_a_read_keeps_its_body() -> None:
    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            connection.sendall(response(b"body of /plain/slow"))
            return
        body = head.split(b"\r\n\r\n", 1)[1]
        while len(body) < 5:
            body += connection.recv(100)
        connection.sendall(response(b"body of /plain/upload " + body))

    upload = request("POST", "/plain/upload", headers="Content-Length: 5\r\n")
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + upload + b"hello"
        )
    assert received.endswith(b"/plain/upload hello")


def test_malformed_request_after_another_is_refused_in_order() -> None:
    """Guards against a refusal that is read as the response to an earlier request."""

    def server(connection, head):  # type: ignore[no-untyped-def]
        connection.sendall(response(b"body of /plain/slow"))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False)
            + b"GET /plain/bad HTTP/1.1\r\nHost: x\r\nno colon here\r\n\r\n"
        )
    assert received.startswith(b"HTTP/1.1 200")
    assert b"body of /plain/slow" in received
    assert b"HTTP/1.1 400" in received


def test_truncated_response_does_not_affect_the_one_before_it() -> None:
    """Guards against losing a complete response before a truncated one."""
    cut = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            assert cut.wait(HANG_S)
            connection.sendall(response(b"body of /plain/slow"))
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegun")
        connection.close()
        cut.set()

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/cut")
        )
    first, _, second = received.partition(b"body of /plain/slow")
    assert first.startswith(b"HTTP/1.1 200")
    assert len(second.partition(b"\r\n\r\n")[2]) < 100


@dataclass
class RecordingChannel:
    """A caller's connection that records the calls on it."""

    done: list[str] = field(default_factory=list)

    def writeHeaders(self, *head: object) -> None:  # noqa: N802
        """Record a head."""
        self.done.append("head")

    def write(self, data: bytes) -> None:
        """Record a chunk."""
        self.done.append(data.decode())

    def loseConnection(self) -> None:  # noqa: N802
        """Record a close after buffered data is sent."""
        self.done.append("close")

    def abort(self) -> None:
        """Record a close that discards unsent data."""
        self.done.append("abort")


def test_aborted_buffered_response_is_dropped_and_its_place_closed() -> None:
    """Guards against a truncated response that a closed connection completes."""
    channel = RecordingChannel()
    buffered = BufferedResponse(channel=channel)
    buffered.writeHeaders(b"HTTP/1.1", b"200", b"OK", {})
    buffered.write(b"begun")
    buffered.abort()
    assert channel.done == [], "the earlier responses have not been written"
    buffered.flush()
    assert channel.done == ["close"]


@pytest.mark.parametrize("count", [3, 20])
def test_many_requests_get_their_responses_in_order(count: int) -> None:
    server = slow_until(b"/plain/1", b"/plain/0", b"/plain/2")
    paths = [f"/plain/{number}" for number in range(count)]
    requests = [request(path=path, close=False) for path in paths[:-1]]
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(b"".join(requests) + request(path=paths[-1]))
    assert received.count(b"HTTP/1.1 200") == count
    assert are_in_order(received, *(path.encode() for path in paths))


def test_answer_that_waits_for_the_one_before_it_has_not_stalled() -> None:
    """Guards against an answer cut because an earlier one lasts long."""
    large = b"x" * (40 * MAX_BUFFERED_BYTES)

    def serve(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/large":
            connection.sendall(response(large))
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
        for _ in range(6):
            time.sleep(STALL_S / 2)
            connection.sendall(b"s")

    limits = ConnectionLimits(stall_timeout_s=STALL_S)
    with running_relay([serve], deadline_ms=10_000, limits=limits) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/large")
        )
    assert received.endswith(b"\r\n\r\n" + large)
