"""The stand-in server checks uploads as they come, and answers some early."""

import socket
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from gentianwharf.platform.standin import (
    UPLOAD_HEADER,
    BodyReport,
    RequestRun,
    ServerSpec,
    StandInServer,
    _server,
    upload_body,
)
from gentianwharf.platform.standin._uploads import BodyCheck, EarlyAnswer
from tests.builders_processes import wait_until
from tests.builders_relay import in_reactor, running_reactor

BODY_BYTES = 70_000
BODY = upload_body("up-1", 0, BODY_BYTES)
HEAD = (
    "POST / HTTP/1.1\r\nHost: uploads.example\r\nAttempt-Id: up-1\r\n"
    f"{UPLOAD_HEADER}: {BODY_BYTES}\r\n"
)
TIMEOUT_S = 5.0


class ListeningServer:
    """A server that listens, with what it reports."""

    def __init__(self) -> None:
        self.bodies: list[BodyReport] = []
        self.runs: list[RequestRun] = []
        self._ports: list[Any] = []
        self.port = in_reactor(self._listen)

    def _listen(self) -> int:
        spec = ServerSpec(
            id="s1",
            service="seats",
            address="127.0.0.1:1",
            domain="a",
            slots=2,
            work_s=0.001,
            born_ms=1,
            early_share=1.0,
        )
        reactor = running_reactor()
        server = StandInServer(spec=spec, reactor=reactor, rng=Random(1))
        server.on_body, server.on_run = self.bodies.append, self.runs.append
        listening = reactor.listenTCP(0, server.site(), interface="127.0.0.1")
        self._ports.append(listening)
        return int(listening.getHost().port)

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        connection.settimeout(TIMEOUT_S)
        return connection

    def stop(self) -> None:
        for port in self._ports:
            in_reactor(port.stopListening)


@pytest.fixture
def server() -> Iterator[ListeningServer]:
    listening = ListeningServer()
    yield listening
    listening.stop()


def set_early_answer(
    monkeypatch: pytest.MonkeyPatch, answer: tuple[EarlyAnswer, int] | None
) -> None:
    monkeypatch.setattr(_server, "draw_early_answer", lambda *_, **__: answer)


@pytest.mark.parametrize(
    ("first", "last"), [(0, 100), (31, 32), (32, 64), (33, 95), (64, 64)]
)
def test_each_part_of_a_body_can_be_made_alone(first: int, last: int) -> None:
    assert upload_body("up-1", first, last) == BODY[first:last]


def test_id_that_fits_into_no_cell_is_rejected() -> None:
    with pytest.raises(ValueError, match="expected an id of 25 bytes at most"):
        upload_body("x" * 26, 0, 1)


@pytest.mark.parametrize(
    ("received", "changed_at_byte"),
    [
        pytest.param(BODY, None, id="whole"),
        pytest.param(BODY[:50], None, id="beginning"),
        pytest.param(BODY[:50] + b"x" + BODY[51:], 50, id="one-byte"),
        pytest.param(BODY[32:], len("up-1:0000"), id="without-its-beginning"),
        pytest.param(BODY + b".", BODY_BYTES, id="too-long"),
        pytest.param(upload_body("up-2", 0, 99), 3, id="another-request"),
    ],
)
@pytest.mark.parametrize("piece_bytes", [1_000, 100_000], ids=["pieces", "at-once"])
def test_first_byte_that_differs_is_found(
    received: bytes, changed_at_byte: int | None, piece_bytes: int
) -> None:
    check = BodyCheck(request_id="up-1", body_bytes=BODY_BYTES)
    for first in range(0, len(received), piece_bytes):
        check.receive(received[first : first + piece_bytes])
    assert check.changed_at_byte == changed_at_byte
    assert check.received_bytes == len(received)


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize(
    ("kind", "status", "runs"),
    [(EarlyAnswer.REFUSE, b"503", 0), (EarlyAnswer.RUN, b"200", 1)],
)
def test_upload_is_answered_within_its_body_and_the_rest_checked(
    server: ListeningServer,
    monkeypatch: pytest.MonkeyPatch,
    kind: EarlyAnswer,
    status: bytes,
    runs: int,
    is_chunked: bool,
) -> None:
    set_early_answer(monkeypatch, (kind, 30_000))
    framing = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 70000"
    with server.connect() as connection:
        connection.sendall(f"{HEAD}{framing}\r\n\r\n".encode())
        if is_chunked:
            connection.sendall(b"%x\r\n" % BODY_BYTES)
        connection.sendall(BODY[:40_000])
        answer = connection.recv(65_536)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert (b"Not-Executed: 1" in answer) is (not runs)
        assert not server.bodies
        connection.sendall(BODY[40_000:])
        if is_chunked:
            connection.sendall(b"\r\n0\r\n\r\n")
        wait_until(lambda: bool(server.bodies), description="a report")
        set_early_answer(monkeypatch, None)
        connection.sendall(f"{HEAD}Content-Length: 70000\r\n\r\n".encode() + BODY)
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
    whole = BodyReport(
        server="s1",
        request_id="up-1",
        body_bytes=BODY_BYTES,
        received_bytes=BODY_BYTES,
        has_ended=True,
        changed_at_byte=None,
    )
    assert server.bodies == [whole, whole]
    assert len(server.runs) == runs + 1


def test_body_whose_connection_ends_is_reported_as_far_as_it_came(
    server: ListeningServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_early_answer(monkeypatch, None)
    with server.connect() as connection:
        connection.sendall(f"{HEAD}Content-Length: 70000\r\n\r\n".encode())
        connection.sendall(BODY[:100])
    wait_until(lambda: bool(server.bodies), description="a report")
    (report,) = server.bodies
    assert (report.received_bytes, report.has_ended) == (100, False)
    assert not server.runs
