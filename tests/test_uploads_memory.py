"""The memory for one request's body is bounded, whatever its servers do."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import nullcontext
from dataclasses import dataclass
from typing import Any, final

import pytest
from twisted.internet.task import deferLater

from gentianwharf.relay._caller_body import MAX_REPLAY_BYTES, CallerBody
from tests.builders_processes import wait_until
from tests.builders_relay import (
    REACTOR,
    RunningRelay,
    Script,
    response,
    running_relay,
)
from tests.builders_upload_play import detour_of
from tests.builders_uploads import Caller, Framing, Upload, Uploads

TRANSPORT_READ_BYTES = 65_536
LARGE_BYTES = 24_000_000
"""More than the kernel buffers on loopback for all connections of one request."""

DEADLINE_MS = 800
ANSWER_WITHIN_S = 1.8
WAIT_S = 0.3
NOT_RUN = "Gentianwharf-Run: not-run\r\n"
READ_BYTES = 1_000


@final
@dataclass
class HeldBodies:
    """The largest sizes that bodies had in memory, and how much of them had come."""

    peak_bytes: int = 0
    received_bytes: int = 0


@pytest.fixture
def held(monkeypatch: pytest.MonkeyPatch) -> HeldBodies:
    """Measure each body before and after each part that arrives."""
    held = HeldBodies()
    original = CallerBody.received

    def received(body: CallerBody, data: bytes) -> int:
        before = body.held_bytes + len(data)
        total = original(body, data)
        held.peak_bytes = max(held.peak_bytes, before, body.held_bytes)
        held.received_bytes = max(held.received_bytes, total)
        return total

    monkeypatch.setattr(CallerBody, "received", received)
    return held


@pytest.fixture
def is_over() -> Iterator[threading.Event]:
    """Let the servers of a test end with it."""
    event = threading.Event()
    yield event
    event.set()


def make_idle(is_over: threading.Event) -> Script:
    def idle(connection: socket.socket, head: bytes) -> None:
        is_over.wait(ANSWER_WITHIN_S)
        raise OSError("over")

    return idle


def make_early(is_over: threading.Event) -> Script:
    def answer_and_idle(connection: socket.socket, head: bytes) -> None:
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        connection.sendall(start)
        is_over.wait(ANSWER_WITHIN_S)
        raise OSError("over")

    return answer_and_idle


def make_refusing(is_over: threading.Event) -> Script:
    def refuse(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(status="503 Full", extra=NOT_RUN))
        is_over.wait(ANSWER_WITHIN_S)
        raise OSError("over")

    return refuse


def make_refusing_within(is_over: threading.Event) -> Script:
    refuse = make_refusing(is_over)

    def read_and_refuse(connection: socket.socket, head: bytes) -> None:
        connection.recv(READ_BYTES)
        refuse(connection, head)

    return read_and_refuse


def upload_large(relay: RunningRelay, framing: Framing, pause_s: float) -> str:
    """Send a large body, with a pause within the part that is kept for repeats."""
    uploads = Uploads()
    caller = Caller(port=relay.port, uploads=uploads, answer_within_s=ANSWER_WITHIN_S)
    first_bytes = MAX_REPLAY_BYTES // 2
    upload = Upload(
        number=1,
        length=LARGE_BYTES,
        framing=framing,
        pieces=((first_bytes, 0.0), (LARGE_BYTES - first_bytes, pause_s)),
    )
    status = caller.send(upload)
    caller.close()
    return status


@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("pause_s", [0.0, 0.1], ids=["at-once", "in-two-parts"])
@pytest.mark.parametrize("through_tunnel", [False, True], ids=["direct", "tunnel"])
@pytest.mark.parametrize(
    ("make_script", "waits_first", "status"),
    [
        pytest.param(make_idle, False, "504", id="server-does-not-read"),
        pytest.param(make_early, False, "cut", id="server-answers-and-does-not-read"),
        pytest.param(make_refusing, False, "503", id="between-attempts"),
        pytest.param(make_refusing_within, False, "503", id="refused-within"),
        pytest.param(make_idle, True, "504", id="request-waits"),
    ],
)
def test_memory_for_a_body_is_bounded(
    framing: Framing,
    pause_s: float,
    through_tunnel: bool,
    make_script: Callable[[threading.Event], Script],
    waits_first: bool,
    status: str,
    held: HeldBodies,
    is_over: threading.Event,
) -> None:
    """Guards against hosts whose memory fills with bodies that no server reads."""
    script = make_script(is_over)
    with (
        running_relay([script], [script], deadline_ms=DEADLINE_MS) as relay,
        detour_of(relay) if through_tunnel else nullcontext(),
    ):
        relay.admission.retry_delay_s = WAIT_S / 2
        if waits_first:
            let_requests_wait(relay)
        assert upload_large(relay, framing, pause_s) == status
        wait_until(lambda: bool(relay.records.responses), description="the end")
        is_over.set()
    assert held.received_bytes < LARGE_BYTES
    assert 0 < held.peak_bytes <= MAX_REPLAY_BYTES + TRANSPORT_READ_BYTES


def let_requests_wait(relay: RunningRelay) -> None:
    admit = relay.admission.admit

    async def admit_later(*args: Any) -> Any:
        await deferLater(REACTOR, WAIT_S)
        return await admit(*args)

    relay.admission.admit = admit_later  # type: ignore[method-assign,assignment]
