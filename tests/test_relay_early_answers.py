"""Answers that begin before the caller has sent its whole request."""

import socket
import time
from contextlib import suppress

import pytest

from gentianwharf.relay import _caller_site
from tests.builders_processes import wait_until
from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    read_head,
    read_to_end,
    request_id_header,
    response,
    running_relay,
)
from tests.builders_uploads import body_of

ANSWER = body_of(1, 1_000_000)
BODY_BYTES = 1_500_000
SMALL_BUFFER_BYTES = 16_384
SEND_S = 1.0
PAUSE_S = 0.3


def answering_early(connection: socket.socket, head: bytes) -> None:
    """Answer at once, and read on."""
    connection.sendall(response(ANSWER, extra=request_id_header(head)))
    read_to_end(connection)


def refusing_early(connection: socket.socket, head: bytes) -> None:
    """Answer at once with a few bytes, and read on."""
    connection.sendall(response(extra=request_id_header(head)))
    read_to_end(connection)


def start_upload(relay: RunningRelay, length: int = BODY_BYTES) -> socket.socket:
    """Send a request's head on a connection that takes few bytes at a time."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.connect(("127.0.0.1", relay.port))
    caller.sendall(
        b"POST /plain/1 HTTP/1.1\r\nHost: gateway\r\nContent-Length: %d\r\n\r\n"
        % length
    )
    caller.settimeout(SEND_S)
    return caller


def callers(relay: RunningRelay) -> int:
    return int(in_reactor(lambda: len(relay.site.channels)))


@pytest.mark.parametrize("sent_bytes", [0, 300_000, BODY_BYTES])
def test_answer_within_an_upload_reaches_a_slow_caller(sent_bytes: int) -> None:
    """Guards against answers lost with the part of an upload that is not read."""
    with (
        running_relay([answering_early], deadline_ms=5_000) as relay,
        start_upload(relay) as caller,
    ):
        with suppress(OSError):
            caller.sendall(b"x" * sent_bytes)
        time.sleep(PAUSE_S)
        head, _, body = read_to_end(caller).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert body == ANSWER
    wait_until(lambda: not callers(relay), description="the end of the connection")


def test_caller_that_sends_on_after_its_answer_is_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reading an upload without end that nobody wants."""
    monkeypatch.setattr(_caller_site, "MAX_DISCARDED_BYTES", BODY_BYTES)
    with (
        running_relay([refusing_early]) as relay,
        start_upload(relay, 100 * BODY_BYTES) as caller,
    ):
        read_head(caller)
        with pytest.raises(ConnectionError):
            caller.sendall(b"x" * (20 * BODY_BYTES))
        assert not callers(relay)


def test_caller_that_stays_after_its_answer_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections kept for callers who never close."""
    monkeypatch.setattr(_caller_site, "LINGER_TIMEOUT_S", PAUSE_S)
    with running_relay([refusing_early]) as relay, start_upload(relay) as caller:
        read_to_end(caller)
        wait_until(lambda: not callers(relay), description="the connection's end")
