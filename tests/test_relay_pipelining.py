"""Several requests on one connection, sent before the first is answered."""

import threading
from dataclasses import dataclass, field

import pytest

from gentianwharf.relay._pipeline import BufferedResponse
from tests.builders_relay import answer, request, running_relay

LATE_S = 0.2
"""For what must not come: how long it is waited for."""

MEETING_S = 5.0
"""For hangs only: how long requests wait for each other in a server."""


def path_of(head: bytes) -> bytes:
    return head.split(b" ")[1]


def in_order(received: bytes, *paths: bytes) -> bool:
    places = [received.index(b"body of " + path) for path in paths]
    return places == sorted(places)


def slow_until(path: bytes, *slow: bytes):  # type: ignore[no-untyped-def]
    """Return a server that answers the slow paths once it has answered ``path``."""
    answered = threading.Event()

    def serve(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) in slow:
            assert answered.wait(MEETING_S), f"{path!r} waits for {path_of(head)!r}"
        connection.sendall(answer(b"body of " + path_of(head)))
        if path_of(head) == path:
            answered.set()

    return serve


def test_later_requests_do_not_wait_for_the_first() -> None:
    """An archivist's page sends three reads at once, each of which takes a while.

    Served one after another, the third is late before a server has seen it.
    """
    # Each waits until all three are there: one after another they would wait in vain.
    together = threading.Barrier(3, timeout=MEETING_S)

    def server(connection, head):  # type: ignore[no-untyped-def]
        together.wait()
        connection.sendall(answer(b"body of " + path_of(head)))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/a", close=False)
            + request(path="/plain/b", close=False)
            + request(path="/plain/c")
        )
    assert received.count(b"HTTP/1.1 200") == 3
    assert in_order(received, b"/plain/a", b"/plain/b", b"/plain/c")


def test_quick_answer_waits_for_the_slow_one_before_it() -> None:
    server = slow_until(b"/plain/quick", b"/plain/slow")
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/quick")
        )
    assert received.count(b"HTTP/1.1 200") == 2
    assert in_order(received, b"/plain/slow", b"/plain/quick")


def test_large_answer_that_waits_is_whole() -> None:
    large = b"x" * 500_000
    begun = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            assert begun.wait(MEETING_S)
            connection.sendall(answer(b"body of /plain/slow"))
        else:
            # More than may be held: the rest is sent when it is its turn.
            begun.set()
            connection.sendall(answer(large))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + request(path="/plain/large")
        )
    assert received.endswith(large)
    assert received.index(b"body of /plain/slow") < received.index(b"xxx")


def test_what_must_not_repeat_is_not_begun_early() -> None:
    """A charge is sent behind a read; the connection breaks before it is answered.

    Whoever sent it takes it for unread and sends it again: begun early, it runs twice.
    """
    charged = threading.Event()
    first_done = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/charge":
            charged.set()
        elif not charged.wait(LATE_S):
            first_done.set()
        connection.sendall(answer(b"body of " + path_of(head)))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False)
            + request("POST", "/plain/charge", headers="Content-Length: 0\r\n")
        )
    assert first_done.is_set()
    assert in_order(received, b"/plain/slow", b"/plain/charge")


def test_upload_behind_a_read_keeps_its_body() -> None:
    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            connection.sendall(answer(b"body of /plain/slow"))
            return
        body = head.split(b"\r\n\r\n", 1)[1]
        while len(body) < 5:
            body += connection.recv(100)
        connection.sendall(answer(b"body of /plain/upload " + body))

    upload = request("POST", "/plain/upload", headers="Content-Length: 5\r\n")
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False) + upload + b"hello"
        )
    assert received.endswith(b"/plain/upload hello")


def test_malformed_request_behind_another_is_refused_in_its_turn() -> None:
    """A refusal written at once would be taken for the answer to the first request."""

    def server(connection, head):  # type: ignore[no-untyped-def]
        connection.sendall(answer(b"body of /plain/slow"))

    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(
            request(path="/plain/slow", close=False)
            + b"GET /plain/bad HTTP/1.1\r\nHost: x\r\nno colon here\r\n\r\n"
        )
    assert received.startswith(b"HTTP/1.1 200")
    assert b"body of /plain/slow" in received
    assert b"HTTP/1.1 400" in received


def test_broken_answer_costs_the_one_before_it_nothing() -> None:
    """The second answer is cut short; the first, which is whole, has to arrive."""
    cut = threading.Event()

    def server(connection, head):  # type: ignore[no-untyped-def]
        if path_of(head) == b"/plain/slow":
            assert cut.wait(MEETING_S)
            connection.sendall(answer(b"body of /plain/slow"))
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
class Channel:
    """A caller's connection that notes what is done to it."""

    done: list[str] = field(default_factory=list)

    def writeHeaders(self, *head: object) -> None:  # noqa: N802
        """Note a head."""
        self.done.append("head")

    def write(self, data: bytes) -> None:
        """Note a piece."""
        self.done.append(data.decode())

    def loseConnection(self) -> None:  # noqa: N802
        """Note a close that lets everything out first."""
        self.done.append("close")

    def abort(self) -> None:
        """Note a close that throws away what is unsent."""
        self.done.append("abort")


def test_held_answer_that_broke_is_handed_over_before_the_connection_ends() -> None:
    channel = Channel()
    buffered = BufferedResponse(channel=channel)
    buffered.writeHeaders(b"HTTP/1.1", b"200", b"OK", {})
    buffered.write(b"begun")
    buffered.abort()
    assert channel.done == [], "it is not its turn"
    buffered.flush()
    assert channel.done == ["head", "begun", "close"]


@pytest.mark.parametrize("count", [3, 20])
def test_many_requests_are_all_answered_in_order(count: int) -> None:
    server = slow_until(b"/plain/1", b"/plain/0", b"/plain/2")
    paths = [f"/plain/{number}" for number in range(count)]
    requests = [request(path=path, close=False) for path in paths[:-1]]
    with running_relay([server], deadline_ms=10_000) as relay:
        received = relay.send(b"".join(requests) + request(path=paths[-1]))
    assert received.count(b"HTTP/1.1 200") == count
    assert in_order(received, *(path.encode() for path in paths))
