"""Orders over HTTP that may no longer be sent when they are about to be written."""

import socket
from collections.abc import Sequence
from functools import partial
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import GentianwharfError, OutcomeUnknownError
from gentianwharf.keyspace import Grant, Holder, MaySend, OrderWithheldError
from gentianwharf.platform import ServerOrders
from tests.builders_keyspace import may_always_send
from tests.builders_late_answers import Answer, LateCopies
from tests.builders_relay import ScriptedServer, in_reactor, running_reactor

GRANT = Grant(first=3, last=9, token=12, duration_s=2.5)
TIMEOUT_S = 2.0


class NewConnectionLimit:
    """Allows orders until more than ``max_checks`` checks were for a new connection."""

    def __init__(self, *, max_checks: int) -> None:
        self._checks_left = max_checks

    def __call__(self, *, on_new_connection: bool) -> bool:
        self._checks_left -= on_new_connection
        return self._checks_left >= 0


def may_never_send(*, on_new_connection: bool) -> bool:
    """Allow no order."""
    return False


def answer(status: str) -> Answer:
    """Return an answer with an empty body."""
    return lambda head: f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode()


def send_grants(
    server: ScriptedServer, checks: Sequence[MaySend]
) -> list[GentianwharfError | None]:
    """Send a grant for each check, by one client; return the results."""
    holder = Holder(server_id="i-1", born_ms=1, address=f"127.0.0.1:{server.start()}")
    orders = ServerOrders(reactor=running_reactor())

    def send(may_send: MaySend) -> Any:
        grant = orders.grant(holder, GRANT, timeout_s=TIMEOUT_S, may_send=may_send)
        sent: Deferred[Any] = Deferred.fromCoroutine(grant)
        return sent.addErrback(lambda failure: failure.value)

    results = [in_reactor(partial(send, each)) for each in checks]
    server.stop()
    return results


@pytest.mark.parametrize(
    ("max_checks", "max_connections"),
    [(0, 0), (1, 1)],
    ids=["before-connecting", "while-connecting"],
)
def test_order_that_may_not_be_sent_on_a_new_connection_is_withheld(
    max_checks: int, max_connections: int
) -> None:
    """Guards against orders to a server that was restarted under its id."""
    copies = LateCopies(answers=[answer("200 OK")], copies=0)
    server = ScriptedServer(scripts=[copies])
    may_send = NewConnectionLimit(max_checks=max_checks)
    (result,) = send_grants(server, [may_send])
    assert isinstance(result, OrderWithheldError)
    assert server.heads == []
    assert server.connections <= max_connections


def test_connection_on_which_an_order_is_withheld_is_closed() -> None:
    """Guards against leaking connections that are not in the pool."""
    orders = ServerOrders(reactor=running_reactor())
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        holder = Holder(server_id="i-1", born_ms=1, address=address)
        may_send = NewConnectionLimit(max_checks=1)

        def send() -> Any:
            grant = orders.grant(holder, GRANT, timeout_s=TIMEOUT_S, may_send=may_send)
            sent: Deferred[Any] = Deferred.fromCoroutine(grant)
            return sent.addErrback(lambda failure: failure.value)

        assert isinstance(in_reactor(send), OrderWithheldError)
        connection, _ = listener.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            with pytest.raises(ConnectionResetError):
                connection.recv(1)


def test_order_is_sent_on_an_existing_connection() -> None:
    """Guards against keys that are not renewed while the store is unavailable."""
    copies = LateCopies(answers=[answer("200 OK")] * 2, copies=0)
    server = ScriptedServer(scripts=[copies])
    results = send_grants(server, [may_always_send, NewConnectionLimit(max_checks=0)])
    assert results == [None, None]
    assert server.connections == 1


def test_withheld_order_leaves_the_connection_open() -> None:
    """Guards against closing a connection on which no order was sent."""
    copies = LateCopies(answers=[answer("200 OK")] * 2, copies=0)
    server = ScriptedServer(scripts=[copies])
    results = send_grants(server, [may_always_send, may_never_send, may_always_send])
    assert results[0] is results[2] is None
    assert isinstance(results[1], OrderWithheldError)
    assert server.connections == 1


def test_outcome_of_an_unconfirmed_refusal_is_unknown() -> None:
    """Guards against a copied refusal that makes keys count as free."""
    copies = LateCopies(answers=[answer("200 OK"), answer("409 Conflict")], copies=0)
    server = ScriptedServer(scripts=[copies])
    results = send_grants(server, [may_always_send, NewConnectionLimit(max_checks=0)])
    assert results[0] is None
    assert isinstance(results[1], OutcomeUnknownError)
    assert server.connections == 1
