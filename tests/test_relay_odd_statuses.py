"""An answer whose status isn't one of HTTP's never reaches a caller."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import logbook
import pytest

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import Outcome, RunStatus
from tests.builders_answers import ok
from tests.builders_answers_fuzz import lead_through_tunnels
from tests.builders_cut_heads import HINTS
from tests.builders_early_answers import CHUNKED
from tests.builders_odd_statuses import BODY, ODD_STATUSES, OddServer
from tests.builders_processes import wait_until
from tests.builders_relay import (
    RunningRelay,
    Script,
    in_reactor,
    read_to_end,
    request,
    request_id_header,
    response,
    running_relay,
)
from tests.builders_tunnels import tunneling

DEADLINE_MS = 10_000
AT_ONCE_S = 5.0
UPLOAD_BYTES = 3_000_000
HEDGE_AFTER_S = 0.05

every_status = pytest.mark.parametrize("status", ODD_STATUSES)
every_request = pytest.mark.parametrize(
    "data",
    [
        pytest.param(request(), id="get"),
        pytest.param(request("HEAD"), id="head"),
        pytest.param(request("POST"), id="post"),
        pytest.param(request("POST", body=b"x" * 100), id="post-body"),
        pytest.param(request().replace(b"/1.1", b"/1.0"), id="get-1.0"),
    ],
)


@contextmanager
def odd_relay(
    server: Script, *others: Script, **options: object
) -> Iterator[RunningRelay]:
    """Run a relay that sends each request once, to a server with odd answers."""
    scripts: list[list[Script]] = [[server], *([other] for other in others)]
    with running_relay(*scripts, deadline_ms=DEADLINE_MS, **options) as relay:  # type: ignore[arg-type]
        relay.admission.retries_allowed = 0
        yield relay


def assert_lost(relay: RunningRelay, received: bytes, *, begun_s: float) -> None:
    """Check that a caller got the router's own answer, at once, and nothing else."""
    assert received.startswith((b"HTTP/1.1 502 ", b"HTTP/1.0 502 ")), received
    assert received.count(b"HTTP/1.") == 1
    assert BODY not in received
    assert time.monotonic() - begun_s < AT_ONCE_S
    (record,) = relay.records.responses
    assert (record.status, record.run) == (502, RunStatus.UNKNOWN)
    assert record.reason == "the server's answer has no valid status"
    assert (record.step, record.peer) == (
        "answer",
        relay.admission.servers[0].address,
    )


@every_status
@every_request
def test_odd_status_is_a_lost_answer(data: bytes, status: str) -> None:
    """Guards against a status that callers can't read, or that stands for another."""
    server = OddServer(status)
    with odd_relay(server) as relay:
        begun_s = time.monotonic()
        received = relay.send(data)
        assert_lost(relay, received, begun_s=begun_s)
        assert relay.admission.outcomes[0] is Outcome.LOST
        wait_until(lambda: server.ended, description="the end of the connection")
        assert len(relay.servers[0].heads) == 1


@every_status
def test_odd_status_in_pieces_is_a_lost_answer(status: str) -> None:
    """Guards against a check that sees only a part of the line."""
    with odd_relay(OddServer(status, by_bytes=True)) as relay:
        begun_s = time.monotonic()
        assert_lost(relay, relay.send(request()), begun_s=begun_s)


@every_status
def test_odd_status_after_hints_is_a_lost_answer(status: str) -> None:
    """Guards against a check of the first status line alone."""
    with odd_relay(OddServer(status, first=HINTS)) as relay:
        begun_s = time.monotonic()
        assert_lost(relay, relay.send(request()), begun_s=begun_s)


@every_status
def test_odd_status_before_the_answer_is_a_lost_answer(status: str) -> None:
    """Guards against an odd informational answer that is skipped."""

    def odd_first(connection: socket.socket, head: bytes) -> None:
        connection.sendall(f"HTTP/1.1 {status}\r\n\r\n".encode())
        ok(connection, head)
        read_to_end(connection)

    with odd_relay(odd_first) as relay:
        begun_s = time.monotonic()
        assert_lost(relay, relay.send(request()), begun_s=begun_s)


@pytest.mark.parametrize("framing", ["length", "chunked"])
@every_status
def test_odd_status_within_an_upload_is_a_lost_answer(
    status: str, framing: str
) -> None:
    """Guards against an error that Twisted reports only after the upload."""
    server = OddServer(status)
    upload = request("POST", body=b"x" * UPLOAD_BYTES)[: 1 - UPLOAD_BYTES]
    if framing == "chunked":
        upload = request("POST", headers=CHUNKED) + b"1\r\nx\r\n"
    with odd_relay(server) as relay, relay.connect() as caller:
        begun_s = time.monotonic()
        caller.sendall(upload)
        assert_lost(relay, read_to_end(caller), begun_s=begun_s)
        wait_until(lambda: server.ended, description="the end of the connection")


@pytest.mark.parametrize("status", ["000 OK", "+200 OK", "600 Odd", "2xx OK"])
def test_unsafe_request_with_an_odd_status_is_not_repeated(status: str) -> None:
    """Guards against a second run after an answer that says nothing of the first."""
    server = OddServer(status)
    with running_relay(
        [server], deadline_ms=DEADLINE_MS, codec=PlatformHeaderCodec()
    ) as relay:
        headers = "Attempt-Id: a-1\r\n"
        relay.send(request("POST", "/plain/1", headers=headers, body=b"x"))
        assert len(relay.servers[0].heads) == 1


@pytest.mark.parametrize("status", ["000 OK", "+503 Busy", "0421 Other", "6_00"])
@pytest.mark.parametrize("codec", [None, PlatformHeaderCodec()], ids=["daemon", "host"])
def test_odd_refusal_promises_nothing(
    status: str, codec: PlatformHeaderCodec | None
) -> None:
    """Guards against "not run" that is believed of an answer without a status."""

    def refusing(connection: socket.socket, head: bytes) -> None:
        fields = "Not-Executed: 1\r\nGentianwharf-Run: not-run\r\nServer-Leaving: 1\r\n"
        extra = request_id_header(head) + fields
        connection.sendall(response(status=status, extra=extra))
        read_to_end(connection)

    with odd_relay(refusing, codec=codec) as relay:
        begun_s = time.monotonic()
        received = relay.send(request("POST", headers="Attempt-Id: 1\r\n", body=b"x"))
        assert_lost(relay, received, begun_s=begun_s)
        assert relay.admission.notices == []


def test_safe_request_with_an_odd_status_is_sent_again() -> None:
    """Guards against giving up what another server may answer."""
    with running_relay([OddServer("000 OK")], [ok], deadline_ms=DEADLINE_MS) as relay:
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"ok")
    assert relay.admission.outcomes == [Outcome.LOST, Outcome.ANSWERED]


def test_odd_status_on_a_used_connection_closes_it() -> None:
    """Guards against a connection that is used again after an odd answer."""
    odd = OddServer("000 OK")
    with running_relay([ok, odd, ok], deadline_ms=DEADLINE_MS) as relay:
        relay.admission.retries_allowed = 0
        statuses = [relay.send(request())[9:12] for _ in range(3)]
        assert relay.servers[0].connections == 2
    assert statuses == [b"200", b"502", b"200"]


def test_odd_status_of_one_copy_leaves_the_race_to_the_other() -> None:
    """Guards against a race that is won by an answer without a status."""
    sent_again = threading.Event()

    def odd(connection: socket.socket, head: bytes) -> None:
        assert sent_again.wait(AT_ONCE_S)
        OddServer("000 OK")(connection, head)

    def late(connection: socket.socket, head: bytes) -> None:
        sent_again.set()
        time.sleep(HEDGE_AFTER_S)
        ok(connection, head)

    with running_relay([odd], [late], deadline_ms=DEADLINE_MS) as relay:
        relay.admission.hedge_after_s = HEDGE_AFTER_S
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 200 ")


@every_status
def test_odd_status_through_another_host_is_a_lost_answer(status: str) -> None:
    """Guards against a tunnel whose end doesn't check."""
    with odd_relay(OddServer(status)) as relay, tunneling() as hosts:
        lead_through_tunnels(relay, hosts)
        wait_until(
            lambda: in_reactor(lambda: hosts.client.usable_peers),
            description="a host that accepts tunnels",
        )
        begun_s = time.monotonic()
        received = relay.send(request())
        assert hosts.carriers[0].opened
        assert_lost(relay, received, begun_s=begun_s)


def test_log_states_what_was_expected() -> None:
    """Guards against an answer that an operator can't explain."""
    handler = logbook.TestHandler(level="INFO")
    with handler.applicationbound(), odd_relay(OddServer("000 OK")) as relay:
        received = relay.send(request())
        address = relay.admission.servers[0].address
    lines = [
        each for each in handler.records if each.message.startswith("invalid status")
    ]
    (line,) = lines
    assert line.message == (
        "invalid status in an answer: expected three digits from 100 to 599, got"
        " '000'; check what answers at this address"
    )
    assert line.extra["server"] == "s0"
    assert (line.extra["step"], line.extra["peer"]) == ("answer", address)
    assert line.extra["request_id"].encode() in received
    assert b"expected three digits from 100 to 599, got '000'" in received


@pytest.mark.parametrize("status", ["100 Continue", "103 Hints", "199 Odd"])
def test_informational_status_is_skipped(status: str) -> None:
    def hinting(connection: socket.socket, head: bytes) -> None:
        connection.sendall(f"HTTP/1.1 {status}\r\n\r\n".encode())
        ok(connection, head)

    with odd_relay(hinting) as relay:
        assert relay.send(request()).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("status", ["200", "299 Odd", "418 Tea", "599 Odd"])
def test_valid_status_is_passed_on(status: str) -> None:
    def answering(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(status=status, extra=request_id_header(head)))

    with odd_relay(answering) as relay:
        assert relay.send(request()).startswith(f"HTTP/1.1 {status}".encode())
