"""Requests that are sent to two servers concurrently."""

import json
import socket
import threading

from gentianwharf.relay import Outcome
from gentianwharf.relay._tries import DEFAULT_MAX_RUNS
from tests.builders_answers import closing, hanging, ok, shedding
from tests.builders_relay import request, running_relay

HANG_S = 5.0


def test_refusal_after_a_lost_hedged_attempt_is_not_reported_as_not_run() -> None:
    """Guards against ignoring a lost attempt when the other one is shed later."""
    hedge_received, leg_lost = threading.Event(), threading.Event()

    def closing_after_hedge(connection, head):  # type: ignore[no-untyped-def]
        assert hedge_received.wait(HANG_S)
        connection.shutdown(socket.SHUT_RDWR)

    def shedding_after_loss(connection, head):  # type: ignore[no-untyped-def]
        hedge_received.set()
        assert leg_lost.wait(HANG_S)
        shedding(connection, head)

    with running_relay(
        [closing_after_hedge, shedding],
        [shedding_after_loss, shedding],
        deadline_ms=10_000,
    ) as relay:
        relay.admission.hedge_after_s = 0.02
        relay.admission.outcome_events = {Outcome.LOST: leg_lost}
        received = relay.send(request())
    assert received.startswith(b"HTTP/1.1 502 ")
    assert json.loads(received.split(b"\r\n\r\n", 1)[1])["run"] == "unknown"


def test_late_response_is_replaced_by_that_of_a_hedge() -> None:
    with running_relay([hanging], [ok]) as relay:
        relay.admission.hedge_after_s = 0.02
        received = relay.send(request())
        assert received.endswith(b"\r\n\r\nok")
        assert sorted(relay.admission.outcomes) == ["answered", "cancelled"]


def test_hedge_of_a_decided_request_counts_as_finished() -> None:
    with running_relay([ok], [ok]) as relay:
        relay.admission.hedge_after_s = 0.0
        relay.send(request())
        assert relay.admission.outcomes.count(Outcome.ANSWERED) == 1


def test_hedges_after_lost_ones_keep_to_the_number_of_runs() -> None:
    """Guards against a request that runs on a server more for each hedge that is lost.

    A lost hedge was counted only after all attempts of the same try had ended.
    """
    with running_relay([hanging], [closing], deadline_ms=600) as relay:
        relay.admission.hedge_after_s = 0.02
        relay.admission.hedges_after_loss = True
        assert relay.send(request()).startswith(b"HTTP/1.1 504 ")
        assert [len(server.heads) for server in relay.servers] == [
            1,
            DEFAULT_MAX_RUNS - 1,
        ]
