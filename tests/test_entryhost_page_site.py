"""Readiness and metrics sites, and the modules that an entry host imports."""

import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from gentianwharf.entryhost._metrics import HostMetrics, metrics_site
from gentianwharf.entryhost._readiness import readiness_site
from tests.builders_relay import (
    REACTOR,
    in_reactor,
    read_to_end,
    request,
    running_reactor,
    running_relay,
)


@contextmanager
def running_site(site: Any) -> Iterator[Callable[[bytes], bytes]]:
    running_reactor()
    port = in_reactor(lambda: REACTOR.listenTCP(0, site, interface="127.0.0.1"))

    def ask(data: bytes) -> bytes:
        address = ("127.0.0.1", port.getHost().port)
        with socket.create_connection(address, 5.0) as connection:
            connection.sendall(data)
            return read_to_end(connection)

    yield ask
    in_reactor(port.stopListening)


@pytest.mark.parametrize(
    ("is_ready", "method", "status", "body"),
    [
        pytest.param(True, "GET", b"200", b"ready\n", id="ready"),
        pytest.param(False, "GET", b"503", b"not ready\n", id="not-ready"),
        pytest.param(True, "HEAD", b"200", b"", id="head"),
        pytest.param(True, "POST", b"405", b"", id="other-method"),
    ],
)
def test_readiness_answers_by_status(
    is_ready: bool, method: str, status: bytes, body: bytes
) -> None:
    site = readiness_site(is_ready=lambda: is_ready, reactor=REACTOR)
    with running_site(site) as ask:
        received = ask(request(method, "/any/path"))
    head, _, received_body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 " + status)
    assert received_body == body


def test_metrics_are_served_as_prometheus_text() -> None:
    metrics = HostMetrics()
    metrics.add_gauge("answer", "What it is", lambda: 42.0)
    with running_site(metrics_site(metrics=metrics, reactor=REACTOR)) as ask:
        received = ask(request(path="/metrics"))
    assert b"Content-Type: text/plain; version=0.0.4" in received
    assert b"gentianwharf_answer 42" in received


def test_error_while_a_page_is_rendered_returns_500() -> None:
    """A gauge that fails must not leave Prometheus without an answer."""
    metrics = HostMetrics()
    metrics.add_gauge("broken", "Fails", lambda: 1 / 0)
    with running_site(metrics_site(metrics=metrics, reactor=REACTOR)) as ask:
        received = ask(request(path="/metrics"))
    assert received.startswith(b"HTTP/1.1 500")


def test_connection_stays_open_for_next_request() -> None:
    site = readiness_site(is_ready=lambda: True, reactor=REACTOR)
    with running_site(site) as ask:
        received = ask(request(close=False) + request())
    assert received.count(b"HTTP/1.1 200") == 2


def test_entry_host_does_not_import_unused_modules() -> None:
    """Guards against slow startup caused by modules that an entry host never uses."""
    code = "import sys, gentianwharf.entryhost._main; print(*sys.modules)"
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(run.stdout.split())
    assert not loaded & {"twisted.web.server", "twisted.spread.pb", "pydantic"}


def test_error_before_exchange_begins_returns_problem() -> None:
    """An exception in rule matching must not leave the caller without a response."""
    with running_relay([], deadline_ms=5_000) as relay:
        relay.app.rules = None
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 500")
    assert b"a fault of the router" in received
    assert relay.records.refusals
