"""Uploads that fail, get a response or are malformed before the end of the body."""

import socket
import threading
import time
from typing import Any

import pytest
from twisted.internet.task import deferLater

from gentianwharf.logs import log
from gentianwharf.relay import ConnectionLimits, Outcome
from gentianwharf.relay._caller_body import MAX_REPLAY_BYTES
from tests.builders_answers import ok
from tests.builders_early_answers import (
    CHUNKED,
    block_reactor,
    bodies_in_flight,
    body_in_flight,
    reset,
    use_small_receive_buffer,
)
from tests.builders_processes import wait_until
from tests.builders_relay import (
    REACTOR,
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


def test_truncated_early_response_is_truncated_for_the_caller() -> None:
    """Guards against a caller that waits although its server disconnected."""

    def begin_and_reset(connection: socket.socket, head: bytes) -> None:
        echo = request_id_header(head)
        whole = response(b"x" * 1_000, extra=echo)
        connection.sendall(whole[:-900])
        time.sleep(0.2)
        reset(connection)
        raise OSError("reset")

    with (
        running_relay([begin_and_reset], deadline_ms=5_000) as relay,
        relay.connect() as caller,
    ):
        caller.sendall(request("POST", headers="Content-Length: 10\r\n") + b"0123")
        started_s = time.monotonic()
        received_response = read_to_end(caller)
        elapsed_s = time.monotonic() - started_s
    assert received_response.startswith(b"HTTP/1.1 200 ")
    assert elapsed_s < 2.0


def test_body_stays_bounded_when_an_early_response_is_read_slowly() -> None:
    """Guards against buffering a body without limit for a slow server."""
    may_end = threading.Event()
    response_bytes = 8_000_000

    def stream_and_read_nothing(connection: socket.socket, head: bytes) -> None:
        echo = request_id_header(head)
        whole = response(b"x" * response_bytes, extra=echo)
        connection.settimeout(10.0)
        connection.sendall(whole[:-100])
        may_end.wait(10.0)

    with running_relay([stream_and_read_nothing], deadline_ms=12_000) as relay:
        use_small_receive_buffer(relay)
        with relay.connect() as caller:
            caller.sendall(request("POST", headers="Content-Length: 60000000\r\n"))
            caller.settimeout(8.0)
            is_sending = threading.Event()

            def upload() -> None:
                is_sending.set()
                try:
                    while not may_end.is_set():
                        caller.sendall(b"x" * READ_BYTES)
                except OSError:
                    return

            sender = threading.Thread(target=upload, daemon=True)
            sender.start()
            time.sleep(1.0)
            body = body_in_flight(relay)
            held_before_bytes = body.held_bytes
            received = 0
            try:
                while received < response_bytes - 100:
                    received += len(caller.recv(READ_BYTES))
            except OSError:
                pass
            time.sleep(1.5)
            held_after_bytes = body.held_bytes
        may_end.set()
    assert max(held_before_bytes, held_after_bytes) <= 2 * READ_BYTES


def test_malformed_body_does_not_add_a_refusal_to_a_started_response() -> None:
    """Guards against a refusal that is read as part of the server's response."""

    def begin(connection: socket.socket, head: bytes) -> None:
        whole = response(b"x" * 1_000, extra=request_id_header(head))
        connection.sendall(whole[:-900])
        time.sleep(1.0)

    with (
        running_relay([begin], deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as caller,
    ):
        caller.sendall(request("POST", headers=CHUNKED) + b"4\r\n0123\r\n")
        received_response = caller.recv(READ_BYTES)
        while b"x" not in received_response:
            received_response += caller.recv(READ_BYTES)
        caller.sendall(b"zz\r\n")
        received_response += read_to_end(caller)
    assert b"HTTP/1.1 400 " not in received_response


def test_malformed_body_is_not_reported_as_not_run_once_it_was_sent() -> None:
    """Guards against a caller that repeats a request that may have run."""
    has_run = threading.Event()

    def run_before_the_end(connection: socket.socket, head: bytes) -> None:
        has_run.set()
        connection.recv(READ_BYTES)

    with (
        running_relay([run_before_the_end], deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as caller,
    ):
        caller.sendall(request("POST", headers=CHUNKED) + b"4\r\n0123\r\n")
        assert has_run.wait(5.0)
        caller.sendall(b"zz\r\n")
        received_response = read_to_end(caller)
    assert received_response.startswith(b"HTTP/1.1 400 ")
    assert b"not-run" not in received_response


def test_body_that_no_server_has_received_is_sent_on_another_connection() -> None:
    """Guards against refusing a request that can still be sent completely."""
    may_reset, is_reset, may_resume = (threading.Event() for _ in range(3))

    def respond_and_reset_later(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(b"ok", extra=request_id_header(head)))
        may_reset.wait(10.0)
        reset(connection)
        is_reset.set()
        raise OSError("reset")

    def run(connection: socket.socket, head: bytes) -> None:
        size = len(head.partition(b"\r\n\r\n")[2])
        while size < READ_BYTES:
            size += len(connection.recv(READ_BYTES))
        ok(connection, head)

    with (
        running_relay([respond_and_reset_later, run], deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as first,
        relay.connect() as second,
    ):
        first.sendall(request(close=False))
        assert read_head(first).startswith(b"HTTP/1.1 200 ")
        (pool,) = relay.app.connections.values()
        wait_until(lambda: len(pool.idle()) == 1, description="an idle connection")
        admit = relay.admission.admit

        async def admit_later(*args: Any) -> Any:
            await deferLater(REACTOR, 0.3)
            return await admit(*args)

        relay.admission.admit = admit_later
        second.sendall(request("POST", body=body_of(1, READ_BYTES)))
        wait_until(
            lambda: any(
                body.held_bytes > MAX_REPLAY_BYTES for body in bodies_in_flight(relay)
            ),
            description="the beginning of the body at the host",
        )
        blocking = block_reactor(may_resume)
        may_reset.set()
        assert is_reset.wait(5.0)
        time.sleep(0.4)
        may_resume.set()
        blocking.join()
        received_response = read_to_end(second)
    outcomes = [each.outcome for each in relay.records.responses[-1].attempts]
    assert outcomes[0] is Outcome.CONNECT_FAILED
    assert received_response.startswith(b"HTTP/1.1 200 ")


def test_caller_that_reads_only_after_its_upload_gets_a_large_early_response() -> None:
    """Guards against a deadlock of an upload and an unread response."""
    size = 30_000_000

    def stream_both_ways(connection: socket.socket, head: bytes) -> None:
        whole = response(b"x" * size, extra=request_id_header(head))
        responding = threading.Thread(target=connection.sendall, args=(whole,))
        responding.start()
        received = len(head.partition(b"\r\n\r\n")[2])
        while received < size:
            received += len(connection.recv(READ_BYTES))
        responding.join()

    with (
        running_relay([stream_both_ways], deadline_ms=5_000) as relay,
        relay.connect() as caller,
    ):
        caller.settimeout(8.0)
        caller.sendall(request("POST", body=b"y" * size))
        received_response = read_to_end(caller)
    assert received_response.startswith(b"HTTP/1.1 200 ")
    assert len(received_response) > size


def test_body_over_the_limit_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one small request that fills the log."""
    logged: list[str] = []
    monkeypatch.setattr(log, "info", lambda message, **_: logged.append(message))
    limits = ConnectionLimits(most_body_bytes=10)

    def read_all(connection: socket.socket, head: bytes) -> None:
        while connection.recv(READ_BYTES):
            pass

    with (
        running_relay([read_all], limits=limits, deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as caller,
    ):
        caller.sendall(request("POST", headers=CHUNKED) + b"1\r\nx\r\n" * 5_000)
        assert read_to_end(caller) == b""
    assert logged.count("request aborted: body too large") == 1
