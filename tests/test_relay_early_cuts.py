"""An early answer without a length, cut within an upload, never looks whole."""

import gc
import json
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any, final

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web._newclient import Response, ResponseDone
from twisted.web.http_headers import Headers

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import RunStatus, ServerConnectionPool
from gentianwharf.relay._caller_body import CallerBody
from gentianwharf.relay._response import has_detectable_end
from gentianwharf.relay._server_connection import ServerConnection
from tests.builders_answers import ok
from tests.builders_answers_fuzz import lead_through_tunnels
from tests.builders_bodies import FakeChannel
from tests.builders_cut_heads import Received
from tests.builders_early_answers import StalledTransport
from tests.builders_early_cuts import (
    FORMS,
    NOT_RUN,
    EarlyCut,
    logged_errors,
    upload,
    upload_head,
)
from tests.builders_processes import wait_until
from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    make_server,
    read_to_end,
    request,
    running_relay,
)
from tests.builders_tunnels import tunneling

DEADLINE_MS = 10_000
READ_AFTER_S = 0.3
SMALL_BUFFER_BYTES = 4_096
HEDGE_AFTER_S = 0.001

GARBLED = [
    pytest.param(b"HTTP/1.1 2xx OK\r\n\r\n", id="odd-status"),
    pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", id="odd-length"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        id="odd-chunk",
    ),
    pytest.param(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: br\r\n\r\nx\r\n", id="odd-coding"
    ),
    pytest.param(b"\x00\r\n\r\n", id="no-answer"),
]

every_form = pytest.mark.parametrize(
    "form", [pytest.param(form, id=name) for name, form in FORMS.items()]
)
every_version = pytest.mark.parametrize(
    ("version", "headers"),
    [("1.1", ""), ("1.0", ""), ("1.0", "Connection: keep-alive\r\n")],
    ids=["1.1", "1.0", "1.0-keep-alive"],
)


@contextmanager
def cutting(form: EarlyCut, **options: object) -> Iterator[RunningRelay]:
    """Run a relay before a server that cuts its early answers."""
    with running_relay([form], deadline_ms=DEADLINE_MS, **options) as relay:  # type: ignore[arg-type]
        yield relay


def arrivals(relay: RunningRelay) -> int:
    """Return how many requests have reached servers.

    What follows the answer to an upload on its connection is no request.
    """
    heads = [head for server in relay.servers for head in server.heads]
    return sum(head.startswith(b"POST") for head in heads)


def assert_own_error(received: Received) -> None:
    """Check that a caller got the router's own error, and nothing of the answer."""
    assert received.is_own_error("POST"), received
    assert b" 200 " not in received.data
    assert b"yyy" not in received.data


@every_version
@every_form
def test_early_cut_is_a_lost_answer(form: EarlyCut, version: str, headers: str) -> None:
    """Guards against a part of a body that a caller takes for the whole."""
    with cutting(form) as relay, relay.connect() as caller:
        assert_own_error(upload(caller, upload_head(headers, version=version)))
        assert arrivals(relay) == 1


@every_form
def test_early_cut_through_another_host_is_a_lost_answer(form: EarlyCut) -> None:
    """Guards against a carrier that turns a reset into an end."""
    with cutting(form) as relay, tunneling() as hosts:
        lead_through_tunnels(relay, hosts)
        wait_until(
            lambda: in_reactor(lambda: hosts.client.usable_peers),
            description="a host that accepts tunnels",
        )
        with relay.connect() as caller:
            assert_own_error(upload(caller, upload_head()))
        assert hosts.carriers[0].opened == arrivals(relay) == 1


@every_form
def test_early_cut_reaches_a_slow_caller_as_a_lost_answer(form: EarlyCut) -> None:
    """Guards against a part that waits in a buffer, and looks whole at its end."""
    with cutting(form) as relay, socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.settimeout(DEADLINE_MS / 1000)
        caller.connect(("127.0.0.1", relay.port))
        head = upload_head()
        assert_own_error(upload(caller, head, read_after_s=READ_AFTER_S))


@every_form
def test_early_cut_behind_another_answer_is_a_lost_answer(form: EarlyCut) -> None:
    """Guards against a held part that is written behind the answer before it."""

    def serve(connection: socket.socket, head: bytes) -> None:
        if head.startswith(b"GET"):
            time.sleep(READ_AFTER_S)
            ok(connection, head)
            return
        form(connection, head)

    with (
        running_relay([serve], deadline_ms=DEADLINE_MS) as relay,
        relay.connect() as caller,
    ):
        first = request(path="/plain/slow", close=False)
        caller.sendall(first)
        received = upload(caller, upload_head())
    answer, _, rest = received.data.partition(b"\r\n\r\nok")
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert_own_error(Received(data=rest, was_reset=received.was_reset))


@every_form
def test_early_cut_wins_no_race(form: EarlyCut) -> None:
    """Guards against a copy of an upload, of which a part would win."""
    with running_relay([form], [form], deadline_ms=DEADLINE_MS) as relay:
        relay.admission.hedge_after_s = HEDGE_AFTER_S
        with relay.connect() as caller:
            assert_own_error(upload(caller, upload_head()))
        assert arrivals(relay) == 1


@every_form
def test_early_refusal_that_is_cut_stays_a_refusal(form: EarlyCut) -> None:
    """Guards against a refusal whose cut body is forwarded, or that counts as run."""
    refusal = replace(form, status="503 Full", fields=form.fields + NOT_RUN)
    with cutting(refusal, codec=PlatformHeaderCodec()) as relay:
        relay.admission.retries_allowed = 0
        with relay.connect() as caller:
            received = upload(caller, upload_head("Attempt-Id: 1\r\n"))
        (record,) = relay.records.responses
    assert (record.status, record.run) == (503, RunStatus.NOT_RUN)
    head, _, body = received.data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert json.loads(body)["run"] == "not-run"


@every_form
def test_early_cut_logs_no_trace(form: EarlyCut) -> None:
    """Guards against a traceback in the log for each such upload."""
    with logged_errors() as errors, cutting(form) as relay:
        for _ in range(5):
            with relay.connect() as caller:
                upload(caller, upload_head())
        (pool,) = relay.app.connections.values()
        wait_until(lambda: not len(pool), description="the end of the connections")
    assert errors == []


@pytest.mark.parametrize("data", GARBLED)
def test_early_answer_that_cannot_be_parsed_logs_no_trace(data: bytes) -> None:
    """Guards against a connection whose end Twisted can't handle within an upload."""

    def garble(connection: socket.socket, head: bytes) -> None:
        connection.sendall(data)
        read_to_end(connection)

    with (
        logged_errors() as errors,
        running_relay([garble], deadline_ms=DEADLINE_MS) as relay,
    ):
        with relay.connect() as caller:
            received = upload(caller, upload_head())
        (pool,) = relay.app.connections.values()
        wait_until(lambda: not len(pool), description="the end of the connections")
    assert not received.looks_whole("POST") or received.is_own_error("POST")
    assert errors == []


class Ending(Protocol):
    """Records how a body has ended."""

    was_whole: bool | None = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record the end."""
        self.was_whole = reason.check(ResponseDone) is not None


@final
class StartedUpload:
    """An upload of which a connection has sent a part, without sockets."""

    def __init__(self) -> None:
        pool = ServerConnectionPool(server=make_server(0, 1), reactor=Clock())
        self.connection = ServerConnection(pool=pool)
        self.connection.makeConnection(StalledTransport())
        self.body = CallerBody(length=100, channel=FakeChannel())
        self.upload = self.body.open_upload(on_abort=self.connection.abort_now)
        self.results: list[Any] = []
        self.connection.send_request(
            method=b"POST",
            uri=b"/",
            headers=Headers({b"Host": [b"a"]}),
            body=self.upload,
        ).addBoth(self.results.append)
        self.body.received(b"x")

    def lose(self, reason: type[Exception]) -> None:
        """Let the connection end."""
        self.connection.connectionLost(Failure(reason()))
        assert self.connection.state == "CONNECTION_LOST"


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_body_without_a_length_is_cut_by_the_end_of_an_upload(
    version: str, reason: type[Exception]
) -> None:
    """Guards against a body that ends neither whole nor cut."""
    started = StartedUpload()
    started.connection.dataReceived(f"HTTP/{version} 200 OK\r\n\r\nab".encode())
    ending = Ending()
    started.results[0].deliverBody(ending)
    with logged_errors() as errors:
        started.lose(reason)
    assert ending.was_whole is False
    assert errors == []


@pytest.mark.parametrize("data", GARBLED)
@pytest.mark.parametrize("ends", [False, True], ids=["going-on", "ended"])
def test_connection_ends_after_an_answer_that_cannot_be_parsed(
    data: bytes, ends: bool
) -> None:
    """Guards against an end that leaves a connection's state as it was."""
    started = StartedUpload()
    with logged_errors() as errors:
        started.connection.dataReceived(data)
        if ends:
            started.body.received(b"x" * 99)
            started.body.end()
        started.lose(ConnectionLost)
        gc.collect()
    assert len(started.results) == 1
    assert errors == []


@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_body_without_a_length_has_no_end_where_its_parser_is_gone(
    method: bytes,
) -> None:
    """Guards against a default that takes every cut body for a whole one."""
    pool = ServerConnectionPool(server=make_server(0, 1), reactor=Clock())
    connection = ServerConnection(pool=pool)
    connection.makeConnection(StalledTransport())
    responses: list[Response] = []
    connection.send_request(
        method=method, uri=b"/", headers=Headers({b"Host": [b"a"]}), body=None
    ).addCallback(responses.append)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nab")
    assert not has_detectable_end(connection, responses[0])
    connection.connectionLost(Failure(ConnectionDone()))
    assert not has_detectable_end(connection, responses[0])
