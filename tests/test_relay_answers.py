"""Each caller gets the whole answer to its own request, or sees that it is broken."""

import json
import socket
import threading
from typing import Any

import pytest

from gentianwharf.relay import Outcome
from tests.builders_answers import (
    chunked,
    closing,
    hanging,
    not_owner,
    ok,
    one_byte_pieces,
    resetting,
    shedding,
    truncated,
    truncated_chunked,
    unterminated,
    wrong_request_id,
)
from tests.builders_relay import (
    DEADLINE_MS,
    Script,
    answer,
    read_head,
    request,
    running_reactor,
    running_relay,
)


def body_of(received: bytes) -> Any:
    return json.loads(received.split(b"\r\n\r\n", 1)[1])


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        pytest.param(ok, b"\r\n\r\nok", id="whole"),
        pytest.param(one_byte_pieces, b"\r\n\r\nin pieces", id="one-byte-pieces"),
        pytest.param(chunked, b"0\r\n\r\n", id="chunked"),
    ],
)
def test_whole_answer_is_handed_on(script: Script, expected: bytes) -> None:
    with running_relay([script]) as relay:
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 200 OK")
    assert received.endswith(expected)


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(truncated, id="length"),
        pytest.param(truncated_chunked, id="chunked"),
    ],
)
def test_short_answer_never_looks_whole(script: Script) -> None:
    """A family sees half a schedule as if it were all of it.

    The server breaks off in the middle of an answer; a router that ended its own
    answer in good order would hide it.
    """
    with running_relay([script]) as relay:
        received = relay.send(request())
    head, _, body = received.partition(b"\r\n\r\n")
    assert not received.endswith(b"0\r\n\r\n")
    assert b"Content-Length: 10" in head or b"chunked" in head or not received
    assert len(body) < 10


def test_answer_s_headers_are_the_server_s() -> None:
    """A rosters' file without a type is shown as a page, by a type the router made up.

    Twisted's server names its own type and product where an answer has none.
    """

    def bare(connection: socket.socket, head: bytes) -> None:
        connection.sendall(answer(extra='ETag: "a"\r\nX-Two: 1\r\nX-Two: 2\r\n'))

    with running_relay([bare]) as relay:
        lines = relay.send(request()).partition(b"\r\n\r\n")[0].split(b"\r\n")
    names = sorted(line.partition(b":")[0] for line in lines[1:])
    assert names == [
        b"Connection",
        b"Content-Length",
        b"Date",
        b"ETag",
        b"Gentianwharf-Request-Id",
        b"X-Two",
        b"X-Two",
    ]


# Each row: what the server does, the method, the status and ``run`` that the caller
# gets, how many requests servers saw, and the first attempt's outcome.
@pytest.mark.parametrize(
    ("scripts", "method", "status", "run", "requests", "outcome"),
    [
        pytest.param(
            [wrong_request_id],
            "POST",
            502,
            "unknown",
            1,
            Outcome.LOST,
            id="crossed-post",
        ),
        pytest.param(
            [closing], "POST", 502, "unknown", 1, Outcome.LOST, id="closed-post"
        ),
        pytest.param(
            [resetting], "POST", 502, "unknown", 1, Outcome.LOST, id="reset-post"
        ),
        pytest.param(
            [hanging], "POST", 504, "unknown", 1, Outcome.TIMED_OUT, id="silent-post"
        ),
        pytest.param(
            [unterminated], "GET", 502, "run", 1, Outcome.LOST, id="no-provable-end"
        ),
        pytest.param([closing, ok], "GET", 200, None, 2, Outcome.LOST, id="closed-get"),
        pytest.param(
            [wrong_request_id, ok], "GET", 200, None, 2, Outcome.LOST, id="crossed-get"
        ),
        pytest.param(
            [shedding, ok], "POST", 200, None, 2, Outcome.SHED, id="shed-post"
        ),
        pytest.param(
            [shedding], "POST", 503, "not-run", 3, Outcome.SHED, id="always-shed"
        ),
    ],
)
def test_failed_attempt_is_answered_by_what_is_known(
    scripts: list[Script],
    method: str,
    status: int,
    run: str | None,
    requests: int,
    outcome: Outcome,
) -> None:
    """A dues posting is sent again although the first one may have run.

    The server took the request, then its answer was lost, late or another's. Only
    what may repeat, or what the server says it did not run, is sent once more.
    """
    with running_relay(list(scripts)) as relay:
        received = relay.send(request(method, body=b"x" if method == "POST" else b""))
        assert received.startswith(f"HTTP/1.1 {status} ".encode())
        if run is not None:
            assert body_of(received)["run"] == run
        assert len(relay.servers[0].heads) == requests
        assert relay.admission.outcomes[0] is outcome
        assert relay.records.answers[-1].status == status


def test_unreachable_server_is_said_not_to_have_run_anything() -> None:
    with running_relay([ok], servers_up=False) as relay:
        received = relay.send(request("POST", body=b"x"))
    assert received.startswith(b"HTTP/1.1 503 ")
    assert body_of(received)["run"] == "not-run"
    assert b"Retry-After: " in received


def test_shed_answer_carries_the_server_s_retry_after() -> None:
    with running_relay([shedding]) as relay:
        received = relay.send(request())
        assert relay.admission.retry_after_s == [3.0] * 3
    assert b"Retry-After: 3\r\n" in received


def test_refusal_by_a_former_owner_goes_to_the_next() -> None:
    """A key has just moved and this host has not heard.

    The old owner refuses the request without running it, so it may go elsewhere.
    """
    with running_relay([not_owner], [ok]) as relay:
        received = relay.send(request("POST", "/keyed/fst", body=b"x"))
        assert received.startswith(b"HTTP/1.1 200 ")
        assert relay.ownership.refused == 1


def test_late_answer_is_never_taken_for_another_request_s() -> None:
    """A caller gets the page of the caller before.

    The first request times out; its answer arrives on the kept connection after
    the second request was sent on it. Connections that timed out are not reused.
    """
    release = threading.Event()

    def late(connection: socket.socket, head: bytes) -> None:
        release.wait(5)
        connection.sendall(answer(b"late"))

    with running_relay([late, ok]) as relay:
        first = relay.send(request("POST", body=b"x"))
        release.set()
        second = relay.send(request("POST", body=b"x"))
        assert first.startswith(b"HTTP/1.1 504 ")
        assert second.endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2


def test_connection_is_kept_after_a_whole_answer() -> None:
    with running_relay([ok]) as relay:
        for _ in range(3):
            assert relay.send(request()).startswith(b"HTTP/1.1 200 ")
        assert relay.servers[0].connections == 1


def test_answer_before_the_end_of_the_upload_is_handed_on() -> None:
    """An editor uploads for minutes what the server refused at once.

    The server answers 413 after the head and never reads the body.
    """

    def early(connection: socket.socket, head: bytes) -> None:
        connection.sendall(answer(b"too big", status="413 Too Large"))
        read_head(connection)

    raw = request("POST", headers="Content-Length: 50000000\r\n")
    with running_relay([early]) as relay, relay.connect() as connection:
        connection.sendall(raw + b"x" * 1000)
        received = b""
        while piece := connection.recv(65_536):
            received += piece
    assert received.startswith(b"HTTP/1.1 413 ")
    assert received.endswith(b"too big")


def test_reset_during_the_upload_is_unknown() -> None:
    def reset_later(connection: socket.socket, head: bytes) -> None:
        connection.recv(1000)
        resetting(connection, head)

    raw = request("POST", headers="Content-Length: 1000000\r\n")
    with running_relay([reset_later]) as relay:
        received = relay.send(raw + b"x" * 500_000)
        assert len(relay.servers[0].heads) == 1
    if received:
        assert body_of(received)["run"] == "unknown"


@pytest.mark.parametrize(
    ("method", "status"),
    [
        pytest.param("HEAD", "200 OK", id="head"),
        pytest.param("GET", "204 No Content", id="no-content"),
        pytest.param("GET", "304 Not Modified", id="not-modified"),
    ],
)
def test_answer_without_a_body_ends_with_its_head(method: str, status: str) -> None:
    def bodiless(connection: socket.socket, head: bytes) -> None:
        length = "Content-Length: 10\r\n" if method == "HEAD" else ""
        connection.sendall(f"HTTP/1.1 {status}\r\n{length}\r\n".encode())

    with running_relay([bodiless]) as relay:
        received = relay.send(request(method))
    assert received.startswith(f"HTTP/1.1 {status}".encode())
    assert received.endswith(b"\r\n\r\n")
    assert (b"Content-Length: 10" in received) is (method == "HEAD")


def test_caller_that_stops_reading_stops_the_server_s_sending() -> None:
    """One caller that stops reading fills a host's memory.

    The server sends faster than the caller reads; without back-pressure the rest
    of the answer would wait in the router.
    """
    total = 64 * 1024 * 1024
    sent: list[int] = []

    def big(connection: socket.socket, head: bytes) -> None:
        connection.settimeout(1.0)
        connection.sendall(
            f"HTTP/1.1 200 OK\r\nContent-Length: {total}\r\n\r\n".encode()
        )
        try:
            while sum(sent) < total:
                sent.append(connection.send(b"x" * 65_536))
        except TimeoutError:
            stopped.set()

    stopped = threading.Event()
    with running_relay([big]) as relay, relay.connect() as connection:
        connection.sendall(request())
        assert connection.recv(1000)
        assert stopped.wait(10)
    assert sum(sent) < total / 2


def test_refusal_after_a_lost_try_is_not_called_not_run() -> None:
    """A consultation's first try is lost and its second one is shed.

    The last word was "not run", but the first try may have run. A 503 would be taken
    for a promise that nothing ran.
    """
    with running_relay([closing, shedding, shedding]) as relay:
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 502 ")
    assert body_of(received)["run"] == "unknown"


def test_silent_connection_is_overtaken_on_a_new_one_and_all_old_ones_dropped() -> None:
    """A family's page hangs on every tenth request, until the daemon restarts.

    A middlebox has lost track of the kept connections to a server: what is sent on
    them is never answered, while new connections work.
    """
    with running_relay([ok, hanging, ok]) as relay:
        relay.send(request())
        relay.admission.hedge_after_s = 0.02
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        assert relay.servers[0].connections == 2
        relay.admission.hedge_after_s = None
        assert relay.send(request()).endswith(b"\r\n\r\nok")
        pools = relay.app.connections["s0"]
        assert len(pools) == 1


def test_fault_of_the_router_is_a_problem_document_of_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A family sees a page of HTML from the router's framework."""
    with running_relay([ok]) as relay:
        monkeypatch.setattr(relay.admission, "admit", None)
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 500 ")
    assert body_of(received)["run"] == "unknown"


def test_fault_before_a_request_is_decided_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller waits for ever after a fault in the rules' matching."""
    with running_relay([ok]) as relay:
        monkeypatch.setattr(relay.app, "rules", None)
        received = relay.send(request())
        assert received.startswith(b"HTTP/1.1 500 ")
        assert relay.servers[0].connections == 0


def test_idle_connection_is_probed() -> None:
    with running_relay([ok]) as relay:
        relay.send(request())
        (connection,) = relay.app.connections["s0"].idle()
        handle = connection.transport.getHandle()
        assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 4


def test_answer_that_came_while_the_host_stood_still_is_handed_on() -> None:
    """A treasurer is told that a posting's outcome is unknown, though it was answered.

    The host is paused; the answer arrives in its socket meanwhile. When the host goes
    on, the deadline has passed, and it is looked at before the socket is read.
    """
    paused, answered = threading.Event(), threading.Event()

    def while_paused(connection: socket.socket, head: bytes) -> None:
        paused.wait(5)
        connection.sendall(answer(b"in time"))
        answered.set()

    def pause() -> None:
        paused.set()
        answered.wait(5)
        threading.Event().wait(3 * DEADLINE_MS / 1000)

    with running_relay([while_paused]) as relay, relay.connect() as connection:
        connection.sendall(request("POST", body=b"x"))
        while not relay.servers[0].heads:
            threading.Event().wait(0.005)
        running_reactor().callFromThread(pause)
        received = connection.recv(65_536)
    assert received.startswith(b"HTTP/1.1 200 ")
