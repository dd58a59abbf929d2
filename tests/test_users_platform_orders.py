"""Orders to backend servers over HTTP: the requests, and the meaning of responses."""

import json
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.internet.threads import blockingCallFromThread

from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import Grant, Holder, HolderEndedError, Release
from gentianwharf.platform import ServerOrders, _order_connections
from tests.builders_keyspace import may_always_send
from tests.builders_late_answers import Answer, LateCopies
from tests.builders_relay import ScriptedServer as KeepingServer
from tests.builders_relay import in_reactor, read_head, response, running_reactor


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


IDLE_S = 0.1
GRANT = Grant(first=3, last=9, token=12, duration_s=2.5, handover="5c0e")


def send_grant(address: str, *, timeout_s: float = 2.0) -> None:
    reactor = running_reactor()

    def send() -> Any:
        orders = ServerOrders(reactor=reactor)
        grant = orders.grant(
            holder_at(address), GRANT, timeout_s=timeout_s, may_send=may_always_send
        )
        return Deferred.fromCoroutine(grant)

    blockingCallFromThread(reactor, send)


def answer(status: str, extra: str = "") -> Answer:
    """Return an answer to an order; it contains no id."""
    return lambda head: response(b"", status=status, extra=extra)


def send_orders(address: str, orders: Sequence[Grant | Release]) -> list[Any]:
    """Return the results of orders that are sent in turn, errors included."""
    reactor = running_reactor()
    client = ServerOrders(reactor=reactor)

    def send(order: Grant | Release) -> Any:
        holder = holder_at(address)
        sent: Deferred[Any]
        if isinstance(order, Grant):
            sent = Deferred.fromCoroutine(
                client.grant(holder, order, timeout_s=2.0, may_send=may_always_send)
            )
        else:
            sent = Deferred.fromCoroutine(
                client.release(holder, order, timeout_s=2.0, may_send=may_always_send)
            )
        return sent.addErrback(lambda failure: failure.value)

    return [
        blockingCallFromThread(reactor, lambda order=order: send(order))
        for order in orders
    ]


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
        releasing = orders.release(
            holder_at(server.address), release, timeout_s=2.0, may_send=may_always_send
        )
        return Deferred.fromCoroutine(releasing)

    assert blockingCallFromThread(reactor, send) == "77"
    assert b"Expected-Instance: i-1" in server.requests[0]


RELEASE = Release(first=3, last=9, token=13)


@contextmanager
def late_copies(*answers: Answer) -> Iterator[tuple[str, LateCopies]]:
    """Run a server that sends each answer again where the next one is expected."""
    copies = LateCopies(answers=answers)
    scripted = KeepingServer(scripts=[copies])
    port = scripted.start()
    yield f"127.0.0.1:{port}", copies
    scripted.stop()


def test_late_copy_of_a_grants_answer_does_not_answer_a_release() -> None:
    """Guards against keys that move while their former holder still works on them.

    The release is sent again on a new connection.
    """
    granted, released = answer("200 OK"), answer("200 OK", "Handover: 77\r\n")
    with late_copies(granted, released) as (address, copies):
        results = send_orders(address, [GRANT, RELEASE])
    assert results == [None, "77"]
    assert copies.copies_sent == 1


@pytest.mark.parametrize(
    "refusal",
    [
        pytest.param("409 Conflict", id="higher-token"),
        pytest.param("421 Misdirected Request", id="another-server"),
    ],
)
def test_late_copy_of_a_refused_grant_does_not_answer_the_next(refusal: str) -> None:
    """Guards against keys that count as free although their grant was accepted."""
    with late_copies(answer(refusal), answer("200 OK")) as (address, _):
        refused, accepted = send_orders(address, [GRANT, GRANT])
    assert isinstance(refused, (RefusedError, HolderEndedError))
    assert accepted is None


def test_late_copy_of_a_release_does_not_answer_the_next() -> None:
    """Guards against a handover that belongs to other keys."""
    first, second = (answer("200 OK", f"Handover: {each}\r\n") for each in (77, 78))
    with late_copies(first, second) as (address, _):
        results = send_orders(address, [RELEASE, RELEASE])
    assert results == ["77", "78"]


def test_late_copy_of_a_release_does_not_answer_a_grant() -> None:
    """Guards against a grant that looks accepted although it is refused."""
    released, refused = answer("200 OK", "Handover: 77\r\n"), answer("409 Conflict")
    with late_copies(released, refused) as (address, _):
        results = send_orders(address, [RELEASE, GRANT])
    assert results[0] == "77"
    assert isinstance(results[1], RefusedError)


def test_refusal_that_a_late_copy_displaced_does_not_answer_the_next_grant() -> None:
    """Guards against keys that count as free although their grant was accepted.

    A late copy is read as the answer to the second grant, whose refusal arrives in
    place of the answer to the third.
    """
    granted, refused = answer("200 OK"), answer("409 Conflict")

    def displaced(connection: socket.socket, head: bytes) -> None:
        orders.append(head)
        if len(orders) == 2:
            connection.sendall(granted(head))
            return
        if len(orders) == 3:
            connection.sendall(refused(head))
        connection.sendall(granted(head))

    orders: list[bytes] = []
    scripted = KeepingServer(scripts=[displaced])
    address = f"127.0.0.1:{scripted.start()}"
    results = send_orders(address, [GRANT, GRANT, GRANT])
    scripted.stop()
    assert results == [None, None, None]
    assert len(orders) == 4


def test_order_whose_second_connection_fails_may_have_been_carried_out() -> None:
    """Guards against an order that counts as never sent after its first send."""
    granted = answer("200 OK")

    def closing(connection: socket.socket, head: bytes) -> None:
        if b"/v1/release" in head:
            scripted.stop()
        connection.sendall(granted(head))

    scripted = KeepingServer(scripts=[closing])
    address = f"127.0.0.1:{scripted.start()}"
    results = send_orders(address, [GRANT, RELEASE])
    assert results[0] is None
    assert isinstance(results[1], OutcomeUnknownError)


def test_orders_share_a_connection_until_keys_count_as_free() -> None:
    """Guards against a new connection for each order; full servers reset them."""
    granted, refused = answer("200 OK"), answer("409 Conflict")
    not_understood = answer("400 Bad Request")
    first, second = (answer("200 OK", f"Handover: {each}\r\n") for each in (77, 78))
    # A refusal is confirmed on a new connection.
    answers = [granted, first, not_understood, second, granted]
    answers += [refused, refused, granted]
    scripted = KeepingServer(scripts=[LateCopies(answers=answers, copies=0)])
    address = f"127.0.0.1:{scripted.start()}"
    orders: list[Grant | Release]
    orders = [GRANT, RELEASE, GRANT, RELEASE, GRANT, GRANT, GRANT]
    results = send_orders(address, orders)
    scripted.stop()
    assert results[:2] == [None, "77"]
    assert isinstance(results[2], PeerMismatchError)
    assert results[3:5] == ["78", None]
    assert isinstance(results[5], RefusedError)
    assert results[6] is None
    assert scripted.connections == 3


def test_connection_that_received_bytes_while_idle_gets_no_order() -> None:
    """Guards against an order on a connection that is about to be closed."""

    def answer_twice(connection: socket.socket, head: bytes) -> None:
        connection.sendall(response(b""))
        connection.sendall(response(b""))

    scripted = KeepingServer(scripts=[answer_twice])
    address = f"127.0.0.1:{scripted.start()}"
    results = send_orders(address, [GRANT, GRANT])
    scripted.stop()
    assert results == [None, None]


def test_connection_for_orders_is_closed_after_many_releases(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against handovers that fill the memory on a connection that lasts."""
    monkeypatch.setattr(_order_connections, "MAX_HANDOVERS", 2)
    answers = [answer("200 OK", f"Handover: {each}\r\n") for each in range(5)]
    scripted = KeepingServer(scripts=[LateCopies(answers=answers, copies=0)])
    address = f"127.0.0.1:{scripted.start()}"
    results = send_orders(address, [RELEASE] * 5)
    scripted.stop()
    assert results == ["0", "1", "2", "3", "4"]
    assert scripted.connections == 3


def test_order_is_not_sent_on_a_connection_whose_idle_time_just_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order lost on a connection that is being closed."""
    monkeypatch.setattr(_order_connections, "IDLE_TIMEOUT_S", IDLE_S)
    reactor = running_reactor()
    client = ServerOrders(reactor=reactor)
    scripted = KeepingServer(scripts=[LateCopies(answers=[answer("200 OK")], copies=0)])
    holder = holder_at(f"127.0.0.1:{scripted.start()}")

    async def send_twice() -> None:
        await client.grant(holder, GRANT, timeout_s=2.0, may_send=may_always_send)
        idle_ended: Deferred[None] = deferLater(reactor, IDLE_S)
        # Both timers are due when the loop runs again.
        time.sleep(2 * IDLE_S)
        await idle_ended
        await client.grant(holder, GRANT, timeout_s=2.0, may_send=may_always_send)

    in_reactor(lambda: Deferred.fromCoroutine(send_twice()))
    scripted.stop()
    assert (len(scripted.heads), scripted.connections) == (2, 2)
