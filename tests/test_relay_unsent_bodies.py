"""Connections to servers that respond before they have received the whole body."""

import gc
import socket
import threading
import time
from typing import Any, cast

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.logger import LogEvent, globalLogPublisher
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from gentianwharf.relay import ServerConnectionPool
from gentianwharf.relay._caller_body import CallerBody
from gentianwharf.relay._server_connection import DRAIN_TIMEOUT_S, ServerConnection
from tests.builders_answers import ok
from tests.builders_bodies import FakeChannel
from tests.builders_early_answers import (
    PIECE_BYTES,
    StalledTransport,
    block_reactor,
    bodies_in_flight,
    upload_until_send_stalls,
    use_small_receive_buffer,
    warm_up,
)
from tests.builders_processes import wait_until
from tests.builders_relay import (
    make_server,
    read_head,
    read_to_end,
    request,
    request_id_header,
    response,
    running_relay,
)
from tests.builders_uploads import body_of

LARGE_BYTES = 400_000
READ_BYTES = 65_536
DEADLINE_MS = 3_000
NOT_RUN = "Gentianwharf-Run: not-run\r\n"


def test_connection_aborted_for_a_wrong_request_id_is_not_reused() -> None:
    """Guards against sending a request on a connection that is being aborted."""
    is_received, may_respond, has_responded = (threading.Event() for _ in range(3))

    def respond_with_another_id(connection: socket.socket, head: bytes) -> None:
        is_received.set()
        may_respond.wait(5.0)
        connection.sendall(response(b"", extra="Gentianwharf-Request-Id: other\r\n"))
        has_responded.set()

    with (
        running_relay([respond_with_another_id, ok], deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as first,
        relay.connect() as second,
    ):
        warm_up(relay)
        first.sendall(request("POST", body=b"body"))
        assert is_received.wait(5.0)
        may_resume = threading.Event()
        blocking = block_reactor(may_resume)
        may_respond.set()
        assert has_responded.wait(5.0)
        time.sleep(0.05)
        second.sendall(request("POST", body=b"body"))
        time.sleep(0.05)
        may_resume.set()
        blocking.join()
        assert read_to_end(first).startswith(b"HTTP/1.1 502 ")
        assert read_to_end(second).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "extra",
    ["", "Connection: Close\r\n", "Connection: close\r\n"],
    ids=["no-id", "capital-close", "close"],
)
def test_server_that_responds_early_gets_the_rest_of_a_sent_body(extra: str) -> None:
    """Guards against a truncated body after the caller got a success response."""
    received: list[int] = []
    may_respond = threading.Event()

    def respond_early(connection: socket.socket, head: bytes) -> None:
        may_respond.wait(5.0)
        size = len(head.partition(b"\r\n\r\n")[2])
        echo = request_id_header(head) if extra else ""
        connection.sendall(response(b"done", extra=extra + echo))
        time.sleep(0.3)
        try:
            while size < LARGE_BYTES and (piece := connection.recv(READ_BYTES)):
                size += len(piece)
        finally:
            received.append(size)

    with running_relay([respond_early], deadline_ms=DEADLINE_MS) as relay:
        use_small_receive_buffer(relay)
        with relay.connect() as caller:
            caller.sendall(request("POST", body=body_of(1, LARGE_BYTES), close=False))
            wait_until(
                lambda: any(body.complete for body in bodies_in_flight(relay)),
                description="the body at the host",
            )
            may_respond.set()
            assert read_head(caller).startswith(b"HTTP/1.1 200 ")
            wait_until(lambda: bool(received), description="the end of the body")
            (record,) = relay.records.responses
    assert record.attempts[0].body is not None
    assert record.attempts[0].body.ended
    assert received == [LARGE_BYTES]


@pytest.mark.parametrize("is_sent", [True, False], ids=["all-written", "paused"])
def test_connection_with_an_unread_body_is_aborted_after_the_drain_timeout(
    is_sent: bool,
) -> None:
    """Guards against connections that stay open indefinitely."""
    clock = Clock()
    pool = ServerConnectionPool(server=make_server(0, 1), reactor=clock)
    connection = ServerConnection(pool=pool)
    transport = StalledTransport(peerAddress=IPv4Address("TCP", "127.0.0.1", 1))
    connection.makeConnection(transport)
    body = CallerBody(length=PIECE_BYTES, channel=FakeChannel())
    upload = body.open_upload(on_abort=connection.abort_now)
    connection.send_request(
        method=b"POST",
        uri=b"/",
        headers=Headers({b"host": [b"gateway"]}),
        body=upload,
    )
    if not is_sent:
        upload.pauseProducing()
    body.received(b"x" * PIECE_BYTES)
    body.end()
    connection.dataReceived(response(b"", extra="Connection: close\r\n"))
    assert not transport.is_aborted
    clock.advance(DRAIN_TIMEOUT_S)
    assert transport.is_aborted


def test_request_cancelled_during_its_upload_logs_no_error() -> None:
    """Guards against an error in the log for each caller that disconnects."""
    reason = Failure(ConnectionAborted())
    errors: list[LogEvent] = []

    def note_error(event: LogEvent) -> None:
        # Garbage of other tests may log errors of its own.
        failure = event.get("log_failure")
        if failure is not None and reason in getattr(failure.value, "reasons", ()):
            errors.append(event)

    pool = ServerConnectionPool(server=make_server(0, 1), reactor=Clock())
    connection = ServerConnection(pool=pool)
    connection.makeConnection(
        StalledTransport(peerAddress=IPv4Address("TCP", "127.0.0.1", 1))
    )
    body = CallerBody(length=PIECE_BYTES, channel=FakeChannel())
    pending = connection.send_request(
        method=b"POST",
        uri=b"/",
        headers=Headers({b"host": [b"gateway"]}),
        body=body.open_upload(on_abort=connection.abort_now),
    )
    pending.addErrback(lambda failure: None)
    globalLogPublisher.addObserver(cast(Any, note_error))
    try:
        pending.cancel()
        connection.connectionLost(reason)
        del connection, pending, body
        gc.collect()
    finally:
        globalLogPublisher.removeObserver(cast(Any, note_error))
    assert errors == []


@pytest.mark.parametrize("status", ["200 OK", "503 Full"], ids=["answered", "refused"])
def test_connection_with_an_unsent_body_is_not_used_again(status: str) -> None:
    """Guards against a request that is queued behind an unread body."""
    may_respond, may_end = threading.Event(), threading.Event()

    def respond_and_read_nothing(connection: socket.socket, head: bytes) -> None:
        may_respond.wait(60.0)
        extra = request_id_header(head) + (NOT_RUN if status != "200 OK" else "")
        connection.sendall(response(b"", status=status, extra=extra))
        may_end.wait(10.0)

    with running_relay([respond_and_read_nothing, ok], deadline_ms=60_000) as relay:
        use_small_receive_buffer(relay)
        with relay.connect() as caller:
            upload_until_send_stalls(relay, caller)
            may_respond.set()
            assert read_head(caller).startswith(f"HTTP/1.1 {status[:3]} ".encode())
            with relay.connect() as second:
                second.settimeout(2.0)
                second.sendall(request())
                try:
                    received_response = second.recv(READ_BYTES)
                except TimeoutError:
                    received_response = b"none"
        may_end.set()
    assert received_response.startswith(b"HTTP/1.1 200 ")


def test_request_is_not_sent_behind_an_unread_body_that_was_refused() -> None:
    """Guards against losing a request that follows a refused upload."""
    may_refuse = threading.Event()

    def refuse_and_close(connection: socket.socket, head: bytes) -> None:
        may_refuse.wait(5.0)
        extra = NOT_RUN + request_id_header(head)
        connection.sendall(response(b"", status="503 Full", extra=extra))
        time.sleep(0.1)
        connection.close()
        raise OSError("closed")

    with running_relay([refuse_and_close, ok], deadline_ms=DEADLINE_MS) as relay:
        use_small_receive_buffer(relay)
        with relay.connect() as first, relay.connect() as second:
            first.sendall(request("POST", body=body_of(1, LARGE_BYTES), close=False))
            wait_until(
                lambda: any(body.complete for body in bodies_in_flight(relay)),
                description="the body at the host",
            )
            may_refuse.set()
            assert read_head(first).startswith(b"HTTP/1.1 503 ")
            second.sendall(request("POST", body=b"body"))
            received_response = read_to_end(second)
    assert received_response.startswith(b"HTTP/1.1 200 ")
