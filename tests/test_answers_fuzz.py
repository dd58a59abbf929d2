"""Each caller gets its own whole answer, or sees that it has ended."""

import threading
import time
from itertools import count
from random import Random
from typing import Any, cast

import pytest

from tests.builders_answers_callers import Caller, Findings, draw_batch
from tests.builders_answers_fuzz import AnsweringServer, Arrivals, lead_through_tunnels
from tests.builders_processes import wait_until
from tests.builders_relay import REACTOR, RunningRelay, in_reactor, running_relay
from tests.builders_tunnels import tunneling

PLAY_S = 4.0
CALLERS = 10
DEADLINE_S = 3.0
MAX_LATE_S = 1.0
HEDGE_AFTER_S = 0.1


def play(relay: RunningRelay, arrivals: Arrivals, *, seed: int) -> Findings:
    """Let callers send for ``PLAY_S``, and return what they saw."""
    found = Findings()
    numbers = count(1)
    end_s = time.monotonic() + PLAY_S

    def run(rng: Random) -> None:
        caller = Caller(
            port=relay.port,
            arrivals=arrivals,
            found=found,
            answer_within_s=DEADLINE_S + MAX_LATE_S,
        )
        while time.monotonic() < end_s:
            caller.send(draw_batch(rng, numbers))
        caller.close()

    threads = [
        threading.Thread(target=run, args=(Random(seed * 100 + each),), daemon=True)
        for each in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def left_behind(relay: RunningRelay) -> list[str]:
    """Return requests, callers' and servers' connections that nobody uses."""
    found = [f"a request in flight: {each}" for each in relay.app.in_flight]
    found += [f"a caller's connection: {each}" for each in relay.site.channels]
    readers = set(REACTOR.getReaders())
    for pool in relay.app.connections.values():
        idle = pool.idle()
        found += [f"not idle: {each}" for each in pool._open if each not in idle]
        found += [f"unread: {each}" for each in idle if each.transport not in readers]
    return found


@pytest.mark.parametrize(
    ("seed", "hedged", "tunneled"),
    [
        pytest.param(1, False, False, id="plain"),
        pytest.param(2, True, False, id="hedged"),
        pytest.param(3, True, True, id="tunneled"),
    ],
)
def test_each_caller_gets_its_own_whole_answer_or_a_break(
    seed: int, hedged: bool, tunneled: bool
) -> None:
    """Guards against answers that are mixed, cut unseen or never delivered."""
    arrivals = Arrivals(rng=Random(seed))
    script: Any = AnsweringServer(arrivals)
    with (
        running_relay(
            [script], [script], [script], deadline_ms=int(DEADLINE_S * 1000)
        ) as relay,
        tunneling(carriers=2) as hosts,
    ):
        relay.admission.hedge_after_s = HEDGE_AFTER_S if hedged else None
        if tunneled:
            lead_through_tunnels(relay, hosts)
        found = play(relay, arrivals, seed=seed)
        assert found.faults == []
        assert found.statuses["200"] > CALLERS
        assert bool(sum(each.opened for each in hosts.carriers)) is tunneled
        wait_until(
            lambda: not cast(list[str], in_reactor(lambda: left_behind(relay))),
            description="the end of all requests",
            timeout_s=DEADLINE_S + MAX_LATE_S,
        )
