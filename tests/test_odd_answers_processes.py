"""Answers that no caller may get, through an entry host as a process."""

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from gentianwharf.platform.standin import ADDED, CALLERS_PORT, UPLOADS

from .builders_cut_heads import ENDS, receive
from .builders_early_cuts import PART_BYTES, EarlyCut, upload, upload_head
from .builders_odd_statuses import BODY, odd_answer
from .builders_processes import wait_until
from .builders_relay import (
    ScriptedServer,
    body_length,
    read_body,
    request,
    request_id_header,
    response,
)
from .builders_repeats import SAFE_PATH, RepeatsDeployment, repeats_deployment

TIMEOUT_S = 10.0
STATUSES = ("000 OK", "099 OK", "+200 OK", "2_00 OK", "600 Odd", "2xx OK")
ROUNDS = 5
BODY_BYTES = 900_000
"""Within the limit of the stand-in's configuration."""


class Backend:
    """Answers a host's own calls, and requests with ``answer``."""

    def __init__(self) -> None:
        self.status = ""
        self.cut = EarlyCut()
        self.requests = 0

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Answer one request."""
        if b"Attempt-Id" not in head and b"attempt-id" not in head:
            if body_length(head):
                read_body(connection, head)
            connection.sendall(response(b"", extra="Instance-Id: server-1\r\n"))
            return
        self.requests += 1
        if self.status:
            echo = request_id_header(head).encode()
            connection.sendall(odd_answer(self.status, echo))
            return
        self.cut(connection, head)


@contextmanager
def host_before(backend: Backend, directory: Path) -> Iterator[RepeatsDeployment]:
    """Run a host, of which the backend is the only server of its service."""
    scripted = ScriptedServer(scripts=[backend])
    address = f"127.0.0.1:{scripted.start()}"
    with repeats_deployment(directory, lost_share=0.0, servers=1) as deployment:
        deployment.server_options = ("--listed-as", address)
        deployment.start_server(1)
        deployment.start_host(0)
        deployment.wait_until_ready([0])
        wait_until(
            lambda: deployment.metric(0, "servers") >= 2, description="both servers"
        )
        try:
            yield deployment
        finally:
            scripted.stop()


def connect(deployment: RepeatsDeployment) -> socket.socket:
    return socket.create_connection((deployment.ip(0), CALLERS_PORT), TIMEOUT_S)


def test_odd_status_through_a_host_is_a_lost_answer(tmp_path: Path) -> None:
    """Guards against a check that the program's own wiring leaves out."""
    backend = Backend()
    with host_before(backend, tmp_path) as deployment:
        for number, status in enumerate(STATUSES):
            backend.status = status
            begun_s = time.monotonic()
            with connect(deployment) as caller:
                headers = f"Attempt-Id: a{number}\r\nDeadline-Ms: 8000\r\n"
                data = request(path=SAFE_PATH, headers=headers)
                caller.sendall(data.replace(b"gateway", ADDED.encode()))
                received = receive(caller)
            assert received.is_own_error("GET"), received
            assert BODY not in received.data
            assert time.monotonic() - begun_s < TIMEOUT_S / 2
        assert "invalid status in an answer: expected" in deployment.log("host-0")
    assert backend.requests


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_early_cut_through_a_host_is_a_lost_answer(tmp_path: Path, end: object) -> None:
    """Guards against a part of a body that a host delivers as the whole."""
    backend = Backend()
    with host_before(backend, tmp_path) as deployment:
        for number in range(ROUNDS):
            for part_bytes in (10, PART_BYTES):
                backend.cut = EarlyCut(
                    end=end,  # type: ignore[arg-type]
                    part_bytes=part_bytes,
                    delay_s=0.01 * number,
                )
                headers = f"Attempt-Id: u{number}-{part_bytes}\r\nDeadline-Ms: 8000\r\n"
                head = upload_head(headers, body_bytes=BODY_BYTES)
                head = head.replace(b"Host: gateway", f"Host: {UPLOADS}".encode())
                with connect(deployment) as caller:
                    received = upload(caller, head)
                # A server that accepts a connection late gets its host's 504.
                status = received.data.split(b" ", 2)[1]
                assert status in (b"502", b"504"), received
                assert b"application/problem+json" in received.data
                assert received.looks_whole("POST")
                assert b"yyy" not in received.data
    assert backend.requests == 2 * ROUNDS
