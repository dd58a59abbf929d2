"""Requests that may end their servers, on real sockets."""

import json
import socket
import threading
from dataclasses import dataclass, field
from functools import partial

import pytest

from gentianwharf.relay import GuardedRun, Problem, RecallableExchange, RunStatus
from gentianwharf.topology import BackendServer
from tests.builders_odd_statuses import OddServer
from tests.builders_processes import wait_until
from tests.builders_relay import (
    REACTOR,
    request,
    request_id_header,
    response,
    running_relay,
)

long_deadline_relay = partial(running_relay, deadline_ms=60_000)
WAIT_S = 10.0
BODY_BYTES = 40_000


@dataclass
class FakeGuard:
    """A guard that records what it is told; the test sets what it says."""

    told: list[str] = field(default_factory=list)
    refusals: list[Problem] = field(default_factory=list)
    """Raised by the first calls of ``admit``."""
    may_send_answers: list[bool] = field(default_factory=list)
    """Returned by the first calls of ``may_send``; True after that."""
    stops_after_loss: bool = False
    exchanges: list[RecallableExchange] = field(default_factory=list)
    sends: list[str] = field(default_factory=list)
    """What became of each send, in order."""

    def watch(self, exchange: RecallableExchange) -> GuardedRun:
        """Return this object."""
        self.exchanges.append(exchange)
        return self

    async def admit(self) -> None:
        """Record the call, or refuse."""
        self.told.append("admit")
        if self.refusals:
            raise self.refusals.pop(0)

    def may_send(self) -> bool:
        """Return the next answer."""
        return self.may_send_answers.pop(0) if self.may_send_answers else True

    def note_written(self, server: BackendServer) -> None:
        """Record the call."""
        self.sends.append(f"written to {server.id}")

    def note_unwritten(self) -> None:
        """Record the call."""
        self.sends.append("unwritten")

    def note_refused(self) -> None:
        """Record the call."""
        self.sends.append("refused")

    def note_abandoned(self, server: BackendServer) -> None:
        """Record the call."""
        self.sends.append(f"abandoned at {server.id}")

    def note_lost(self, server: BackendServer) -> None:
        """Record the call."""
        self.told.append(f"lost at {server.id}")

    async def settle(self) -> bool:
        """Record the call, and return whether a loss was recorded."""
        self.told.append("settle")
        return self.stops_after_loss

    def note_answered(self, server: BackendServer) -> None:
        """Record the call."""
        self.told.append("answered")

    def finish(self) -> None:
        """Record the call."""
        self.told.append("finish")


def end(connection: socket.socket, head: bytes) -> None:
    """Close a connection without an answer, as a process does that ends."""
    connection.close()


def answer(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response(extra=request_id_header(head)))


def truncate(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response(b"x" * 10, extra=request_id_header(head))[:-5])


def status_of(answered: bytes) -> int:
    return int(answered.split()[1])


@pytest.mark.parametrize("status", ["000 OK", "+200 OK", "2xx OK"])
def test_odd_status_is_no_end_of_a_server(status: str) -> None:
    """Guards against a quarantine of requests whose servers live on."""
    guard = FakeGuard()
    with long_deadline_relay([OddServer(status)], run_guard=guard) as relay:
        relay.send(request("POST"))
    assert guard.sends == ["written to s0", "abandoned at s0"]
    assert "lost at s0" not in guard.told
    assert "answered" not in guard.told


def test_request_is_admitted_again_before_its_retry() -> None:
    """Guards against a second server for a request that ended the first one."""
    guard = FakeGuard()
    with long_deadline_relay([end], [answer], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 200
    assert guard.told == [
        *("admit", "lost at s0", "settle"),
        *("admit", "answered", "finish"),
    ]


def test_request_is_not_sent_again_if_the_guard_says_so() -> None:
    guard = FakeGuard(stops_after_loss=True)
    with long_deadline_relay([end], [answer], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 502
    assert guard.told == ["admit", "lost at s0", "settle", "finish"]


def test_refused_request_is_answered_as_not_run() -> None:
    refusal = Problem(
        status=503, title="refused", run=RunStatus.NOT_RUN, retry_after_s=9.0
    )
    guard = FakeGuard(refusals=[refusal])
    with long_deadline_relay([answer], run_guard=guard) as relay:
        answered = relay.send(request())
        assert not relay.servers[0].heads
    assert status_of(answered) == 503
    assert json.loads(answered.partition(b"\r\n\r\n")[2])["run"] == "not-run"


def test_request_that_became_suspected_is_not_written() -> None:
    """Guards against requests that wait for a server while others end."""
    guard = FakeGuard(may_send_answers=[False])
    with long_deadline_relay([answer], [answer], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 200
        assert sum(len(server.heads) for server in relay.servers) == 1
    assert guard.told == ["admit", "settle", "admit", "answered", "finish"]


def test_recalled_send_is_repeated_and_is_no_end_of_its_server() -> None:
    """Guards against copies that stay at servers while one of them has its turn."""
    received, guard = threading.Event(), FakeGuard()

    def hold(connection: socket.socket, head: bytes) -> None:
        received.set()
        connection.recv(1)

    with long_deadline_relay([hold], [answer], run_guard=guard) as relay:

        def recall() -> None:
            assert received.wait(WAIT_S)
            REACTOR.callFromThread(guard.exchanges[0].recall)

        recalling = threading.Thread(target=recall)
        recalling.start()
        assert status_of(relay.send(request())) == 200
        recalling.join()
    assert guard.told == ["admit", "settle", "admit", "answered", "finish"]


def test_truncated_answer_is_a_lost_one() -> None:
    guard = FakeGuard()
    with long_deadline_relay([truncate_and_close], run_guard=guard) as relay:
        relay.send(request())
    assert "lost at s0" in guard.told
    assert "answered" not in guard.told


def truncate_and_close(connection: socket.socket, head: bytes) -> None:
    truncate(connection, head)
    connection.close()


@pytest.mark.parametrize("reads_head_only", [True, False], ids=["early", "whole"])
def test_answer_that_cannot_be_read_is_no_end_of_its_server(
    reads_head_only: bool,
) -> None:
    """Guards against servers that send garbage and count as ended."""

    def garble(connection: socket.socket, head: bytes) -> None:
        connection.sendall(b"no answer\r\n\r\n" if reads_head_only else b"x" * 99_999)
        connection.recv(1)

    guard = FakeGuard()
    with long_deadline_relay([garble], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 502
    assert not [told for told in guard.told if told.startswith("lost")]


def refuse(connection: socket.socket, head: bytes) -> None:
    fields = request_id_header(head) + "Gentianwharf-Run: not-run\r\n"
    connection.sendall(response(status="503 Service Unavailable", extra=fields))


def test_request_is_admitted_again_once_a_server_has_refused_it() -> None:
    """Guards against two servers that get a request by one permit."""
    guard = FakeGuard()
    with long_deadline_relay([refuse], [answer], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 200
    assert guard.told.count("admit") == 2
    assert [sent.split()[0] for sent in guard.sends] == [
        *("written", "refused", "written"),
    ]


def test_request_that_has_no_answer_by_its_deadline_is_abandoned() -> None:
    """Guards against servers that go silent, of whose end nobody looks for a proof."""

    def hold(connection: socket.socket, head: bytes) -> None:
        connection.recv(1)

    guard = FakeGuard()
    with running_relay([hold], deadline_ms=300, run_guard=guard) as relay:
        assert status_of(relay.send(request())) == 504
    assert guard.sends == ["written to s0", "abandoned at s0"]


def test_request_whose_caller_leaves_is_abandoned() -> None:
    """Guards against callers who leave before the end of the server is seen."""
    received, guard = threading.Event(), FakeGuard()

    def hold(connection: socket.socket, head: bytes) -> None:
        received.set()
        connection.recv(1)

    with long_deadline_relay([hold], run_guard=guard) as relay:
        with socket.create_connection(("127.0.0.1", relay.port)) as caller:
            caller.sendall(request())
            assert received.wait(WAIT_S)
        wait_until(
            lambda: "abandoned at s0" in guard.sends, description="the request's end"
        )


@pytest.mark.parametrize(
    "status",
    [
        "500 Internal Server Error",
        "502 Bad Gateway",
        "503 Service Unavailable",
        "504 Gateway Timeout",
        "408 Request Timeout",
        "421 Misdirected Request",
        "429 Too Many Requests",
    ],
)
def test_answer_without_a_run_clears_no_request(status: str) -> None:
    """Guards against proxies and faulty servers that answer and let a culprit go."""

    def fail(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(status=status, extra=request_id_header(head)))

    guard = FakeGuard()
    with long_deadline_relay([fail], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == int(status.split()[0])
    assert "answered" not in guard.told
    assert guard.sends == ["written to s0", "abandoned at s0"]


@pytest.mark.parametrize("status", ["200 OK", "304 Not Modified", "404 Not Found"])
def test_answer_after_a_run_clears_a_request(status: str) -> None:
    def run(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(status=status, extra=request_id_header(head)))

    guard = FakeGuard()
    with long_deadline_relay([run], run_guard=guard) as relay:
        assert status_of(relay.send(request())) == int(status.split()[0])
    assert guard.told == ["admit", "answered", "finish"]
    assert guard.sends == ["written to s0"]
