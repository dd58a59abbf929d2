"""Requests that reached no server are answered as not run, with 503."""

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.testing import MemoryReactorClock
from twisted.web._newclient import RequestNotSent
from twisted.web.http_headers import Headers

from gentianwharf.relay import Outcome, RunStatus, ServerConnectionPool
from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    make_server,
    read_to_end,
    request,
    request_id_header,
    response,
    running_relay,
)

HANG_S = 10.0
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def ok(connection: socket.socket, head: bytes) -> None:
    connection.sendall(response())


def document(received: bytes) -> Any:
    return json.loads(received.split(b"\r\n\r\n", 1)[1])


@contextmanager
def full_listener() -> Iterator[int]:
    """Yield a port whose connections are neither accepted nor refused."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    port = int(listener.getsockname()[1])
    fillers = []
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(("127.0.0.1", port))
        fillers.append(filler)
    yield port
    for filler in fillers:
        filler.close()
    listener.close()


def point_to(relay: RunningRelay, port: int) -> None:
    """Move the relay's server to another port."""
    in_reactor(lambda: relay.app.connections["s0"].update_server(make_server(0, port)))


@pytest.mark.parametrize(
    ("deadline_ms", "outcome"),
    [
        pytest.param(50, Outcome.CANCELLED, id="hardly-any-time"),
        pytest.param(300, Outcome.CONNECT_FAILED, id="time-to-connect"),
    ],
)
def test_connection_that_can_not_be_opened_by_the_deadline_is_not_run(
    deadline_ms: int, outcome: Outcome
) -> None:
    """Guards against a refusal that comes after the deadline.

    Connecting took up to half a second, also with a tenth of it left. The server is to
    blame only if there was time to connect.
    """
    with (
        running_relay([ok], deadline_ms=deadline_ms) as relay,
        full_listener() as port,
    ):
        point_to(relay, port)
        received = relay.send(request("POST", headers="Content-Length: 0\r\n"))
        assert received.startswith(b"HTTP/1.1 503 ")
        assert document(received)["run"] == "not-run"
        assert b"Retry-After" in received
        assert relay.admission.outcomes == [outcome]
        assert not relay.servers[0].heads


def test_opening_a_connection_is_limited_by_the_time_left() -> None:
    """Guards against connecting for longer than the caller waits."""
    reactor = MemoryReactorClock()
    pool = ServerConnectionPool(server=make_server(0, 9200), reactor=reactor)
    for timeout_s in (0.2, 60.0):
        Deferred.fromCoroutine(pool.acquire(timeout_s=timeout_s))
    assert [client[3] for client in reactor.tcpClients] == [0.2, 0.5]


def test_cancelled_connecting_is_not_a_failure_of_the_server() -> None:
    """Guards against servers that become suspect because callers leave.

    It would also be reported to the dispatcher as a failed use of the slot.
    """
    reactor = MemoryReactorClock()
    pool = ServerConnectionPool(server=make_server(0, 9200), reactor=reactor)
    done = Deferred.fromCoroutine(pool.acquire())
    errors: list[type[BaseException] | None] = []
    done.addErrback(lambda failure: errors.append(failure.type))
    done.cancel()
    assert errors == [CancelledError]
    assert ConnectingCancelledError not in errors


def test_request_on_a_connection_that_was_reset_is_known_as_not_sent() -> None:
    """Guards against 502 for requests of which the kernel refused the first byte.

    A server that is killed resets its idle connections; the event loop may not have
    noticed when the next request is to be written.
    """
    reset = threading.Event()

    def answer_and_reset(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(extra=request_id_header(head)))
        reset.wait(HANG_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    with running_relay([answer_and_reset]) as relay:
        assert relay.send(request()).startswith(b"HTTP/1.1 200 ")
        failures: list[type[BaseException] | None] = []

        def send_after_reset() -> None:
            (connection,) = relay.app.connections["s0"].idle()
            reset.set()
            _wait_for_reset(connection.transport)
            sent = connection.send_request(
                method=b"GET", uri=b"/", headers=Headers({b"Host": [b"a"]}), body=None
            )
            sent.addErrback(lambda failure: failures.append(failure.type))

        in_reactor(send_after_reset)
        in_reactor(lambda: None)
    assert failures == [RequestNotSent]


def _wait_for_reset(transport: Any) -> None:
    """Block the event loop until the kernel knows that the connection is lost."""
    closed_states = {7}  # TCP_CLOSE
    for _ in range(1000):
        info = transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if info[0] in closed_states:
            return
        threading.Event().wait(0.005)
    raise AssertionError("the connection was not reset")


def test_target_that_can_not_be_sent_is_refused_and_keeps_the_connection() -> None:
    """Guards against an unknown outcome, and against a leak of connections.

    Each such request kept a connection of its server in use for ever.
    """
    with running_relay([ok]) as relay:
        for _ in range(2):
            received = relay.send(request(path="/plain/a\x7f"))
            assert received.startswith(b"HTTP/1.1 400 ")
            assert document(received)["run"] == "not-run"
        assert len(relay.app.connections["s0"].idle()) == 1
        assert not relay.servers[0].heads


def test_wait_that_is_cut_off_inside_the_host_is_answered_as_not_run() -> None:
    """Guards against callers that get no answer at all."""

    async def cut_off(*_: object) -> None:
        raise CancelledError

    with running_relay([ok]) as relay:
        relay.admission.admit = cut_off
        received = relay.send(request())
        assert received.startswith(b"HTTP/1.1 503 ")
        assert document(received)["run"] == "not-run"
        assert relay.records.responses[-1].run is RunStatus.NOT_RUN


def test_wait_for_an_answer_that_is_cut_off_is_not_reported_as_not_run() -> None:
    """Guards against a second run of a request that a server has received."""
    begun, release = threading.Event(), threading.Event()

    def silent(connection: socket.socket, head: bytes) -> None:
        begun.set()
        release.wait(HANG_S)

    with running_relay([silent], deadline_ms=60_000) as relay:
        with relay.connect() as connection:
            connection.sendall(request("POST", headers="Content-Length: 0\r\n"))
            assert begun.wait(HANG_S)
            (exchange,) = relay.app.in_flight
            assert exchange._done is not None
            in_reactor(exchange._done.cancel)
            received = read_to_end(connection)
        release.set()
    assert received.startswith(b"HTTP/1.1 502 ")
    assert document(received)["run"] == "unknown"


@pytest.mark.parametrize("is_sent", [False, True])
def test_caller_that_left_may_repeat_a_request_that_was_not_sent(
    is_sent: bool,
) -> None:
    """Guards against 409 for a key whose request reached no server.

    The repeat of a request that was sent must not run again.
    """
    waiting = threading.Event()

    def silent(connection: socket.socket, head: bytes) -> None:
        waiting.set()
        read_to_end(connection)

    async def wait(*_: object) -> None:
        waiting.set()
        await Deferred()

    headers = "Idempotency-Key: dues-7\r\nContent-Length: 0\r\n"
    post = request("POST", headers=headers)
    with running_relay([silent, ok], deadline_ms=60_000) as relay:
        admit = relay.admission.admit
        if not is_sent:
            relay.servers[0].scripts = [ok]
            relay.admission.admit = wait
        with relay.connect() as caller:
            caller.sendall(post)
            assert waiting.wait(HANG_S)
        while relay.app.in_flight:
            threading.Event().wait(0.005)
        relay.admission.admit = admit
        received = relay.send(post)
    assert received.startswith(b"HTTP/1.1 409 " if is_sent else b"HTTP/1.1 200 ")
