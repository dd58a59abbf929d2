"""An answer counts only for its own send, whatever else arrives on a connection."""

import json
import threading
from collections import Counter
from functools import partial
from random import Random
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import (
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.infra import GrantOutcome, HttpBackendControl
from gentianwharf.keyspace import Grant, Holder, HolderEndedError, Release
from gentianwharf.platform import PlatformHeaderCodec, ServerOrders
from gentianwharf.relay import LoadClient
from tests.builders_faulty_answers import FAULTS, FaultyAnswers
from tests.builders_keyspace import may_always_send
from tests.builders_relay import (
    REACTOR,
    RunningRelay,
    ScriptedServer,
    in_reactor,
    make_server,
    request,
    request_id_header,
    response,
    running_reactor,
    running_relay,
)

UNKNOWN = (OutcomeUnknownError, PeerMismatchError, PeerUnavailableError)
"""Errors after which an order or a call may have been carried out, or not."""

SEEDS = range(1, 5)
CALLERS, REQUESTS_PER_CALLER = 4, 40
ORDERS = 120


class RunningServers:
    """Counts the runs of requests over several servers."""

    def __init__(self, rng: Random) -> None:
        self.runs: Counter[str] = Counter()
        self._rng = rng

    def answer(self, head: bytes, body: bytes) -> bytes:
        """Run a request, refuse it, or answer a query for the load."""
        echo = request_id_header(head)
        if b"GET /health" in head:
            return response(b"", extra="Instance-Id: s0\r\nServer-Load: 1,0,4\r\n")
        request_id = echo.partition(":")[2].strip()
        if self._rng.random() < 0.4:
            status = self._rng.choice(["503 Full", "429 Too Many", "421 Misdirected"])
            return response(b"", status=status, extra=f"Not-Executed: 1\r\n{echo}")
        self.runs[request_id] += 1
        return response(request_id.encode(), extra=echo)


def send_all(relay: RunningRelay, caller: int, answers: dict[str, bytes]) -> None:
    for number in range(REQUESTS_PER_CALLER):
        request_id = f"{caller}-{number}"
        body = b"x" * (300 if number % 3 else 40_000)
        raw = request("POST", headers=f"Attempt-Id: {request_id}\r\n", body=body)
        answers[request_id] = relay.send(raw)


@pytest.mark.parametrize("seed", SEEDS)
def test_unsafe_requests_get_their_own_answers_and_run_once(seed: int) -> None:
    """Guards against answers that are read as those to other sends or requests.

    Requests, their repeats after refusals, and queries for the load share connections.
    """
    servers = RunningServers(Random(seed))
    script = FaultyAnswers(answer=servers.answer, rng=Random(seed))
    codec = PlatformHeaderCodec()
    answers: dict[str, bytes] = {}
    with running_relay([script], [script], codec=codec, deadline_ms=5_000) as relay:
        relay.admission.retry_delay_s = 0.005
        pools = relay.app.connections
        client = LoadClient(
            connections=pools, paths={"plain": "/health"}, codec=codec, reactor=REACTOR
        )
        callers = [
            threading.Thread(target=send_all, args=(relay, caller, answers))
            for caller in range(CALLERS)
        ]
        for thread in callers:
            thread.start()
        while any(thread.is_alive() for thread in callers):
            query = client.query(pools["s0"].server)
            in_reactor(partial(Deferred.fromCoroutine, query))
        for thread in callers:
            thread.join()
    assert len(answers) == CALLERS * REQUESTS_PER_CALLER
    for request_id, received in answers.items():
        runs, status = servers.runs[request_id], received[9:12]
        assert runs <= 1, request_id
        if status == b"200":
            assert received.endswith(b"\r\n\r\n" + request_id.encode()), request_id
            assert runs == 1, request_id
        elif status == b"503":
            assert runs == 0, request_id
        else:
            assert status in (b"502", b""), (request_id, received)
    assert script.played == set(FAULTS)


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_never_free_keys_that_a_server_holds(seed: int) -> None:
    """Guards against the answer to one order that is read as that to another."""
    rng = Random(seed)
    given: dict[int, int] = {}

    def answer(head: bytes, body: bytes) -> bytes:
        token = int(json.loads(body)["fence"])
        if b"/v1/release" in head:
            return response(b"", extra=f"Handover: {token}\r\n")
        status = given.setdefault(token, rng.choice([200, 200, 200, 400, 409, 421]))
        return response(b"", status=f"{status} x")

    script = FaultyAnswers(answer=answer, rng=Random(seed))
    scripted = ScriptedServer(scripts=[script])
    running_reactor()
    holder = Holder(server_id="i-1", born_ms=1, address=f"127.0.0.1:{scripted.start()}")
    orders = ServerOrders(reactor=REACTOR)
    for token in range(1, ORDERS):
        if rng.random() < 0.4:
            release = Release(first=3, last=9, token=token)
            result = result_of(
                orders.release(holder, release, timeout_s=2.0, may_send=may_always_send)
            )
            assert result == str(token) or isinstance(result, UNKNOWN), (token, result)
            continue
        grant = Grant(first=3, last=9, token=token, duration_s=2.5, handover=None)
        result = result_of(
            orders.grant(holder, grant, timeout_s=2.0, may_send=may_always_send)
        )
        if isinstance(result, RefusedError):
            assert given[token] == 409, token
        elif isinstance(result, HolderEndedError):
            assert given[token] == 421, token
    scripted.stop()


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_in_the_routers_own_format_get_their_own_answers(seed: int) -> None:
    """Guards against the answer to one call that is read as that to another."""
    outcomes = [each.value for each in GrantOutcome]

    def answer(head: bytes, body: bytes) -> bytes:
        token = int(json.loads(body)["tokens"]["3"])
        content = json.dumps({"outcome": outcomes[token % len(outcomes)]}).encode()
        return response(content, extra=request_id_header(head))

    script = FaultyAnswers(answer=answer, rng=Random(seed))
    scripted = ScriptedServer(scripts=[script])
    running_reactor()
    server = make_server(0, scripted.start())
    control = HttpBackendControl(reactor=REACTOR, release_timeout_s=2.0)
    for token in range(1, ORDERS):
        result = result_of(control.release(server, "ledger", {3: token}))
        expected = outcomes[token % len(outcomes)]
        assert result == expected or isinstance(result, UNKNOWN), (token, result)
    in_reactor(partial(Deferred.fromCoroutine, control.close()))
    scripted.stop()


def result_of(coroutine: Any) -> Any:
    """Return the result of a coroutine in the reactor, or its error."""
    return in_reactor(
        lambda: Deferred.fromCoroutine(coroutine).addErrback(lambda each: each.value)
    )
