"""Requests through a relay on real sockets: each granted slot is returned once."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, cast

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianwharf.admission import GateAdmission, SlotAdmission
from gentianwharf.dispatch import SlotOutcome
from gentianwharf.load import Gate, RequestClass
from gentianwharf.platform import PlatformHeaderCodec
from gentianwharf.topology import Service
from tests.builders_late_answers import LateCopies, accepted, refused
from tests.builders_load import RUN_S
from tests.builders_relay import (
    RunningRelay,
    Script,
    in_reactor,
    read_to_end,
    request,
    request_id_header,
    response,
    running_relay,
)
from tests.builders_slots import FakeSlotObserver, FakeSlotSource

HANG_S = 10.0
SERVER = "s0"
CLASS = RequestClass(name="consultation", deadline_ms=400, max_wait_ms=200.0)


def ok(connection: socket.socket, head: bytes) -> None:
    extra = "Server-Load: 3,2,4\r\n"
    connection.sendall(response(extra=request_id_header(head) + extra))


def shedding(connection: socket.socket, head: bytes) -> None:
    extra = "Not-Executed: 1\r\nRetry-After: 0.1\r\n" + request_id_header(head)
    connection.sendall(response(b"", status="503 Full", extra=extra))


def closing(connection: socket.socket, head: bytes) -> None:
    connection.shutdown(socket.SHUT_RDWR)


def silent(connection: socket.socket, head: bytes) -> None:
    read_to_end(connection)


@contextmanager
def dispatched_relay(
    script: Script, *, grants: bool = True, grant_delay_s: float = 0.0, **options: Any
) -> Iterator[tuple[RunningRelay, FakeSlotSource, threading.Event]]:
    """Run a relay whose service is dispatched, with slots granted after a delay.

    The event is set when a slot has been asked for.
    """
    source, asked = FakeSlotSource(), threading.Event()
    with running_relay([script], codec=PlatformHeaderCodec(), **options) as relay:
        server = relay.app.connections[SERVER].server
        service = Service(name="plain", keyed=False, shards=0, servers=(server,))
        gate = Gate(
            services=[service],
            classes=[CLASS],
            domain="lac",
            rng=Random(1),
            daemons=1,
        )
        gate.set_dispatched({"plain"})
        reactor = relay.app._reactor
        admission = GateAdmission(
            gate=gate,
            servers={SERVER: server},
            now_s=reactor.seconds,
            on_server_outcome=lambda server, answered, busy_s: None,
        )
        slots = SlotAdmission(
            gate=gate,
            source=source,
            observer=FakeSlotObserver(),
            domain="lac",
            reactor=reactor,
        )
        admission.set_slots(slots)
        relay.app._admission = admission

        def answer(acquire: Callable[..., Any]) -> Callable[..., Any]:
            async def acquire_and_grant(demand: Any) -> Any:
                acquired = Deferred.fromCoroutine(acquire(demand))
                asked.set()
                if grant_delay_s:
                    await deferLater(reactor, grant_delay_s)
                if grants:
                    source.grant(SERVER)
                return await acquired

            return acquire_and_grant

        source.acquire = answer(source.acquire)  # type: ignore[method-assign]
        yield relay, source, asked
        wait_until(lambda: not relay.app.in_flight)
        assert source.is_balanced()
        assert slots.held == 0
        assert not slots._arrived_s
        assert sum(item.in_flight for item in gate.snapshot().servers) == 0


def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(2000):
        if condition():
            return
        threading.Event().wait(0.005)
    raise AssertionError("the condition was not met")


@pytest.mark.parametrize(
    ("script", "status", "outcome"),
    [
        pytest.param(ok, 200, SlotOutcome.ANSWERED, id="answered"),
        pytest.param(shedding, 503, SlotOutcome.SHED, id="shed"),
        pytest.param(closing, 502, SlotOutcome.FAILED, id="lost"),
        pytest.param(silent, 504, SlotOutcome.TIMED_OUT, id="silent"),
    ],
)
def test_slot_is_returned_with_the_outcome(
    script: Script, status: int, outcome: SlotOutcome
) -> None:
    """Guards against slots that are lost on one of the ways a request ends."""
    with dispatched_relay(script) as (relay, source, _):
        received = relay.send(request("POST", headers="Content-Length: 0\r\n"))
        assert received.startswith(b"HTTP/1.1 %d " % status)
        wait_until(lambda: bool(source.releases))
        assert source.outcomes()[0] is outcome


def test_repeats_with_slots_take_retries() -> None:
    """Guards against repeats that are not counted since a dispatcher grants them."""
    with dispatched_relay(closing) as (relay, _, _):
        retries = cast(GateAdmission, relay.app._admission)._gate.retries
        retries.budgets(relay.app._reactor.seconds() - RUN_S)
        relay.send(request())
        (budget,) = retries.budgets(relay.app._reactor.seconds())
        assert len(relay.servers[0].heads) == 1 + budget.taken
        assert budget.taken == 2


def test_late_copy_of_a_refusal_does_not_answer_a_send_with_another_slot() -> None:
    """Guards against a second run after a refusal of the first send came again."""
    server = LateCopies(answers=[refused, accepted])
    with dispatched_relay(server, grant_delay_s=0.02) as (relay, _, _):
        retries = cast(GateAdmission, relay.app._admission)._gate.retries
        retries.budgets(relay.app._reactor.seconds() - RUN_S)
        received = relay.send(request("POST", headers="Content-Length: 0\r\n"))
        assert received.startswith(b"HTTP/1.1 200 ")
    assert len(server.runs) == 1


def test_slot_is_returned_with_the_reported_load() -> None:
    """Guards against a report that doesn't reach the dispatcher."""
    with dispatched_relay(ok) as (relay, source, _):
        relay.send(request())
        (release,) = source.releases
        assert (release.running, release.waiting) == (2, 2)
        assert release.work_s is not None


def test_slot_of_an_unreachable_server_is_returned() -> None:
    """Guards against a leak if no connection can be opened."""
    with dispatched_relay(ok, servers_up=False) as (relay, source, _):
        received = relay.send(request("POST", headers="Content-Length: 0\r\n"))
        assert received.startswith(b"HTTP/1.1 503 ")
        assert set(source.outcomes()) == {SlotOutcome.FAILED}


def test_caller_that_leaves_in_the_queue_withdraws_its_request() -> None:
    """Guards against requests of callers that are gone in the dispatcher's queue."""
    with dispatched_relay(ok, grants=False, deadline_ms=60_000) as running:
        relay, source, asked = running
        with relay.connect() as caller:
            caller.sendall(request())
            assert asked.wait(HANG_S)
        wait_until(lambda: source.cancelled == 1)
        assert not relay.servers[0].heads


def test_caller_that_leaves_before_the_answer_returns_the_slot() -> None:
    """Guards against a leak if the attempt is aborted."""
    with dispatched_relay(silent, deadline_ms=60_000) as (relay, source, _):
        with relay.connect() as caller:
            caller.sendall(request())
            wait_until(lambda: bool(relay.servers[0].heads))
        wait_until(lambda: bool(source.releases))
        assert source.outcomes() == [SlotOutcome.WITHDRAWN]


def test_request_that_waits_for_a_slot_is_not_run_when_the_host_stops() -> None:
    """Guards against an unknown outcome of requests that were never sent."""
    with dispatched_relay(ok, grants=False, deadline_ms=60_000) as running:
        relay, source, asked = running
        with relay.connect() as caller:
            caller.sendall(request("POST", headers="Content-Length: 0\r\n"))
            assert asked.wait(HANG_S)
            in_reactor(relay.app.answer_in_flight)
            received = read_to_end(caller)
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b'"run": "not-run"' in received
        assert source.cancelled == 1


def test_wait_for_a_slot_until_the_deadline_is_refused_as_not_run() -> None:
    """Guards against 504 for a request that was never sent."""
    with dispatched_relay(ok, grants=False, deadline_ms=100) as (relay, source, _):
        received = relay.send(request("POST", headers="Content-Length: 0\r\n"))
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b'"run": "not-run"' in received
        assert source.cancelled == 1


def test_slot_is_returned_if_no_connection_is_known_for_its_server() -> None:
    """Guards against a leak if an internal error prevents the attempt."""
    with dispatched_relay(ok) as (relay, source, _):
        pool = relay.app.connections.pop(SERVER)
        assert relay.send(request()).startswith(b"HTTP/1.1 500 ")
        assert source.outcomes() == [SlotOutcome.WITHDRAWN]
        relay.app.connections[SERVER] = pool
