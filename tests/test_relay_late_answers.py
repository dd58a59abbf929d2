"""An answer counts only for the send that it was made for."""

import socket
import threading

import pytest

from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.relay import Outcome, _server_connection
from tests.builders_late_answers import (
    Answer,
    LateCopies,
    accepted,
    accepted_without_id,
    misdirected,
    refused,
    too_many,
)
from tests.builders_relay import (
    RunningRelay,
    in_reactor,
    request,
    response,
    running_relay,
)

RETRY_DELAY_S = 0.02
"""Longer than it takes to return a connection to its pool."""

WAIT_S = 5.0


def post(relay: RunningRelay, number: int, *, path: str = "/plain/1") -> bytes:
    headers = f"Attempt-Id: attempt-{number}\r\n"
    return relay.send(request("POST", path, headers=headers, body=b"x"))


def status_of(received: bytes) -> int:
    return int(received.split(b" ", 2)[1])


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize(
    ("refusal", "path"),
    [
        pytest.param(refused, "/plain/1", id="503"),
        pytest.param(too_many, "/plain/1", id="429"),
        pytest.param(misdirected, "/keyed/1", id="421"),
    ],
)
def test_late_copy_of_a_refusal_does_not_answer_the_next_send(
    refusal: Answer, path: str, copies: int
) -> None:
    """Guards against a second run after a refusal of the first send came again.

    The server refuses the request, and runs it when it is sent there again.
    """
    server = LateCopies(answers=[refusal, accepted], copies=copies)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        relay.admission.retry_delay_s = RETRY_DELAY_S
        relay.ownership.keeps_owner = True
        received = post(relay, 1, path=path)
    assert status_of(received) == 200
    assert server.runs == ["attempt-1"]


def test_request_that_was_refused_as_a_hedge_is_not_sent_there_again() -> None:
    """Guards against a hedge's refusal that is read as that of a later send.

    The hedge is refused at once, the first send is lost, and the retry goes to the
    server that refused the hedge, which now runs it.
    """
    hedged = LateCopies(answers=[refused, accepted])
    has_refused = threading.Event()

    def closing_after_the_hedge(connection: socket.socket, head: bytes) -> None:
        assert has_refused.wait(WAIT_S)
        connection.shutdown(socket.SHUT_RDWR)

    codec = PlatformHeaderCodec()
    with running_relay(
        [closing_after_the_hedge], [hedged], codec=codec, deadline_ms=5_000
    ) as relay:
        relay.admission.hedge_after_s = 0.02
        relay.admission.outcome_events = {Outcome.SHED: has_refused}
        relay.admission.retry_delay_s = RETRY_DELAY_S
        received = relay.send(request(headers="Attempt-Id: look-up\r\n"))
    assert status_of(received) == 200
    assert len(hedged.runs) == 1
    assert hedged.copies_sent == 0


def test_id_that_a_caller_uses_twice_goes_on_two_connections() -> None:
    """Guards against the answer to a caller's former request with the same id."""
    server = LateCopies(answers=[accepted], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        for number in (1, 2, 1):
            assert status_of(post(relay, number)) == 200
        assert relay.servers[0].connections == 2


def test_full_pool_replaces_a_connection_that_has_carried_the_request() -> None:
    """Guards against a request that is refused although a connection is idle."""
    server = LateCopies(answers=[refused, accepted])
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        relay.admission.retry_delay_s = RETRY_DELAY_S
        pool = relay.app.connections["s0"]
        pool.max_connections = 1
        assert status_of(post(relay, 1)) == 200
        assert relay.servers[0].connections == 2
        assert len(pool) == 1
    assert server.runs == ["attempt-1"]


def test_retries_go_on_other_idle_connections_first() -> None:
    """Guards against a new connection for each retry while servers are full."""
    server = LateCopies(answers=[accepted, accepted, refused, accepted], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        relay.admission.retry_delay_s = RETRY_DELAY_S
        pool = relay.app.connections["s0"]
        assert status_of(post(relay, 1)) == 200
        assert status_of(post(relay, 1)) == 200
        assert len(pool) == 2
        assert status_of(post(relay, 2)) == 200
        assert relay.servers[0].connections == 2


def test_connection_is_closed_after_its_last_send(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ids that fill the memory on a connection that lasts."""
    monkeypatch.setattr(_server_connection, "MAX_SENDS", 3)
    server = LateCopies(answers=[accepted], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        for number in range(7):
            assert status_of(post(relay, number)) == 200
        assert relay.servers[0].connections == 3


def test_answer_without_an_id_does_not_answer_a_request() -> None:
    """Guards against a success that belongs to a query for the server's load.

    The request was sent and may have run, so that its outcome is unknown.
    """
    server = LateCopies(answers=[accepted_without_id], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        received = post(relay, 1)
        assert status_of(received) == 502
        assert b"else's" not in received
        assert relay.admission.notices == []


def test_load_of_another_answer_is_not_recorded() -> None:
    """Guards against decisions on the load in an answer that belongs to no request."""

    def leaving(head: bytes) -> bytes:
        return response(extra="Attempt-Id: other\r\nServer-Leaving: 1\r\n")

    server = LateCopies(answers=[leaving], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        assert status_of(post(relay, 1)) == 502
        assert relay.admission.notices == []


def test_connection_is_not_reused_after_an_answer_without_an_id() -> None:
    """Guards against a late copy that nothing tells from the next answer.

    Servers of the router's own dialect may answer some requests without an id.
    """
    server = LateCopies(answers=[accepted_without_id])
    with running_relay([server]) as relay:
        for _ in range(3):
            assert status_of(relay.send(request("POST", body=b"x"))) == 200
        assert relay.servers[0].connections == 3
    assert server.copies_sent == 0


def test_connection_that_received_bytes_while_idle_is_not_used() -> None:
    """Guards against a request on a connection that the loop has yet to close."""
    server = LateCopies(answers=[accepted], copies=0)
    with running_relay([server], codec=PlatformHeaderCodec()) as relay:
        assert status_of(post(relay, 1)) == 200
        pool = relay.app.connections["s0"]

        def receive_early() -> int:
            (connection,) = pool.idle()
            connection.dataReceived(response(extra="Attempt-Id: attempt-1\r\n"))
            return len(pool.idle())

        assert in_reactor(receive_early) == 0
        assert status_of(post(relay, 2)) == 200
        assert relay.servers[0].connections == 2
