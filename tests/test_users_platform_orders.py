"""Orders to backend servers over HTTP: the requests, and the meaning of responses."""

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread

from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import Grant, Holder, HolderEndedError, Release
from gentianwharf.platform import ServerOrders
from tests.builders_relay import read_head, running_reactor


class ScriptedServer:
    """Sends the same response to every order, and records the requests.

    With the status ``000`` it sends no response.
    """

    def __init__(self, status: str, extra: str = "") -> None:
        self.response = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n{extra}\r\n"
        self.requests: list[bytes] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with suppress(OSError), connection:
                self.requests.append(read_head(connection))
                if self.response.startswith("HTTP/1.1 000"):
                    connection.recv(1)
                else:
                    connection.sendall(self.response.encode())

    def close(self) -> None:
        self._listener.close()


def holder_at(address: str) -> Holder:
    return Holder(server_id="i-1", born_ms=1, address=address)


GRANT = Grant(first=3, last=9, token=12, duration_s=2.5, handover="5c0e")


def send_grant(address: str, *, timeout_s: float = 2.0) -> None:
    reactor = running_reactor()

    def send() -> Any:
        orders = ServerOrders(reactor=reactor)
        grant = orders.grant(holder_at(address), GRANT, timeout_s=timeout_s)
        return Deferred.fromCoroutine(grant)

    blockingCallFromThread(reactor, send)


@pytest.fixture
def server(request: pytest.FixtureRequest) -> Iterator[ScriptedServer]:
    server = ScriptedServer(*request.param)
    yield server
    server.close()


@pytest.mark.parametrize("server", [("200 OK",)], indirect=True)
def test_grant_contains_keys_token_duration_and_expected_server(
    server: ScriptedServer,
) -> None:
    send_grant(server.address)
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.startswith(b"POST /v1/grant HTTP/1.1")
    assert b"Expected-Instance: i-1" in head
    assert json.loads(body) == {
        "from": 3,
        "target": 9,
        "fence": 12,
        "hold_time": "2500ms",
        "handover": "5c0e",
    }


@pytest.mark.parametrize(
    ("server", "error"),
    [
        pytest.param(("409 Conflict",), RefusedError, id="higher-token"),
        pytest.param(("421 Misdirected",), HolderEndedError, id="another-server"),
        pytest.param(("400 Bad Request",), PeerMismatchError, id="not-understood"),
        pytest.param(("000",), OutcomeUnknownError, id="no-answer"),
    ],
    indirect=["server"],
)
def test_error_of_a_grant_follows_from_the_response(
    server: ScriptedServer, error: type[GentianwharfError]
) -> None:
    with pytest.raises(error):
        send_grant(server.address, timeout_s=0.5)


def test_unreachable_server_raises_peer_unavailable() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    with pytest.raises(PeerUnavailableError):
        send_grant(address)


@pytest.mark.parametrize("server", [("200 OK", "Handover: 77\r\n")], indirect=True)
def test_release_returns_the_handover(server: ScriptedServer) -> None:
    reactor = running_reactor()

    def send() -> Any:
        orders = ServerOrders(reactor=reactor)
        release = Release(first=3, last=9, token=13)
        releasing = orders.release(holder_at(server.address), release, timeout_s=2.0)
        return Deferred.fromCoroutine(releasing)

    assert blockingCallFromThread(reactor, send) == "77"
    assert b"Expected-Instance: i-1" in server.requests[0]
