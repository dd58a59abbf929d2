"""Requests among servers on shared machines, beside one queue that knows them all."""

from collections.abc import Sequence
from itertools import pairwise

import pytest

from gentianwharf.load import (
    Decision,
    Gate,
    Outcome,
    OutcomeKind,
    QueryLoad,
    Refuse,
    RefuseReason,
    Start,
    Wait,
)
from tests import builders_load as build
from tests.builders_shared_machines import (
    ARCHIVE_READS,
    CONSULTATIONS,
    Clock,
    Hosts,
    MakeRouter,
    OneQueue,
    Router,
    SharedMachineServer,
    Workload,
    share_in_time,
)

SEED = 1


def one_queue(
    clock: Clock, servers: Sequence[SharedMachineServer], seed: int
) -> Router:
    return OneQueue(clock, servers)


def hosts(
    number: int,
    *,
    reports_slowdown: bool = True,
    workload: Workload = CONSULTATIONS,
) -> MakeRouter:
    def make(clock: Clock, servers: Sequence[SharedMachineServer], seed: int) -> Router:
        return Hosts(
            clock,
            servers,
            hosts=number,
            seed=seed,
            reports_slowdown=reports_slowdown,
            workload=workload,
        )

    return make


@pytest.mark.parametrize(
    ("number", "load", "gap"),
    [
        pytest.param(12, 0.72, 0.02, id="12-hosts-usual-load"),
        pytest.param(84, 0.72, 0.02, id="84-hosts-usual-load"),
        pytest.param(300, 0.72, 0.02, id="300-hosts-usual-load"),
        pytest.param(84, 0.9, 0.02, id="84-hosts-high-load"),
        pytest.param(84, 1.2, 0.05, id="84-hosts-overload"),
        pytest.param(84, 1.7, 0.05, id="84-hosts-burst"),
    ],
)
def test_hosts_are_nearly_as_good_as_one_queue(
    number: int, load: float, gap: float
) -> None:
    """Guards against many hosts that place requests by outdated reports."""
    best = share_in_time(one_queue, load=load, seed=SEED)
    assert share_in_time(hosts(number), load=load, seed=SEED) >= best - gap


def queried_gate(servers: int = 4) -> Gate:
    gate = build.gate(build.service(servers=servers, slots=2), daemons=84)
    report(gate, 0, running=0, now_s=0.0)
    return gate


def report(
    gate: Gate,
    number: int,
    *,
    running: int,
    waiting: int = 0,
    slowdown: float = 1.0,
    now_s: float,
) -> None:
    gate.note_load(
        build.server(number).id,
        running=running,
        waiting=waiting,
        slots=2,
        slowdown=slowdown,
        now_s=now_s,
    )


def decide(gate: Gate, *, waiting: int) -> tuple[Decision, float]:
    """Return the decision on a request that comes at 10 s, and its time.

    All slots are busy, and ``waiting`` requests wait at each server.
    """
    now_s = 10.0
    decision = gate.submit(build.ticket("1"), now_s)
    while isinstance(decision, QueryLoad):
        now_s += decision.delay_s
        for number in range(4):
            report(gate, number, running=2, waiting=waiting, now_s=now_s)
        decision = gate.place("1", now_s)
    return decision, now_s


def test_slower_machine_is_avoided() -> None:
    gate = queried_gate()
    query = gate.submit(build.ticket("1"), 10.0)
    assert isinstance(query, QueryLoad)
    best = query.servers[-1]
    for number in range(4):
        slowdown = 1.0 if build.server(number).id == best else 3.0
        report(gate, number, running=0, slowdown=slowdown, now_s=10.0)
    assert gate.place("1", 10.0) == Start(ticket_id="1", server=best)


def test_request_is_held_briefly_while_no_slot_is_free() -> None:
    """Guards against queueing at one server while others have free slots."""
    decision, now_s = decide(queried_gate(), waiting=0)
    assert isinstance(decision, Start)
    assert 10.0 < now_s < 10.0 + build.CONSULTATION.max_wait_ms / 1000


def test_request_that_would_wait_too_long_is_refused() -> None:
    """Guards against holding a request that can't be answered in time."""
    decision, _ = decide(queried_gate(), waiting=8)
    assert isinstance(decision, Refuse)


def test_servers_that_report_no_slowdown_are_not_queried() -> None:
    """Guards against queries that wait for a slot like requests."""
    gate = build.gate()
    gate.note_load(
        build.server(0).id, running=1, waiting=0, slots=6, slowdown=None, now_s=0.0
    )
    assert isinstance(gate.submit(build.ticket("1"), 1.0), Start | Wait)


def test_request_is_served_although_no_query_is_answered() -> None:
    """Guards against refusing everything when the health paths don't answer."""
    gate = queried_gate()
    decision = gate.submit(build.ticket("1"), 10.0)
    rounds = 0
    while isinstance(decision, QueryLoad):
        rounds += 1
        for server in decision.servers:
            gate.note_unreachable(server, 10.0)
        decision = gate.place("1", 10.0)
    assert isinstance(decision, Start)
    assert 0 < rounds <= 3


def test_silent_server_is_not_queried_for_a_while() -> None:
    gate = queried_gate()
    silent = build.server(0).id
    gate.note_unreachable(silent, 10.0)
    for number in range(20):
        query = gate.submit(build.ticket(str(number)), 10.0 + number / 100)
        assert isinstance(query, QueryLoad) and silent not in query.servers
    assert any(
        silent in query.servers
        for number in range(20, 40)
        if isinstance(query := gate.submit(build.ticket(str(number)), 12.5), QueryLoad)
    )


def test_cancelled_request_is_forgotten_while_servers_are_queried() -> None:
    gate = queried_gate()
    assert isinstance(gate.submit(build.ticket("1"), 10.0), QueryLoad)
    assert gate.cancel("1", 10.0) == []
    assert gate.snapshot().started == 0


def test_retry_queries_other_servers() -> None:
    gate = queried_gate(servers=3)
    failed = build.server(0).id
    decision = gate.retry(build.ticket("1"), OutcomeKind.SHED, 10.0, avoid=failed)
    assert isinstance(decision, QueryLoad) and failed not in decision.servers


def test_own_failure_domain_is_preferred_among_equal_servers() -> None:
    gate = queried_gate(servers=12)
    local = 0
    for number in range(30):
        query = gate.submit(build.ticket(str(number)), 10.0)
        assert isinstance(query, QueryLoad)
        for server in range(12):
            report(gate, server, running=0, now_s=10.0)
        start = gate.place(str(number), 10.0)
        assert isinstance(start, Start)
        local += int(start.server.rpartition("-")[2]) % 3 == 0
        gate.finished(str(number), build.ok(), 10.0)
    assert local == 30


@pytest.mark.parametrize(
    "load", [pytest.param(1.2, id="overload"), pytest.param(1.7, id="burst")]
)
def test_full_owners_serve_more_in_time_when_they_are_queried(load: float) -> None:
    """Guards against filling the queues of owners until every answer is late."""
    shares = [
        share_in_time(
            hosts(84, workload=ARCHIVE_READS, reports_slowdown=reports_slowdown),
            load=load,
            seed=SEED,
            workload=ARCHIVE_READS,
        )
        for reports_slowdown in (False, True)
    ]
    assert shares[1] > shares[0]


def test_owner_without_an_answer_to_queries_still_gets_requests() -> None:
    """Guards against refusing all requests for the keys of a slow owner."""
    gate = build.gate(build.service(servers=2, slots=2, keyed=True), daemons=84)
    report(gate, 0, running=0, now_s=0.0)
    owner = build.server(0).id
    decision = gate.submit(build.ticket("1", server=owner), 10.0)
    while isinstance(decision, QueryLoad):
        assert decision.servers == (owner,)
        gate.note_unreachable(owner, 10.0)
        decision = gate.place("1", 10.0)
    assert decision == Start(ticket_id="1", server=owner)


def test_server_that_refuses_in_spite_of_a_free_slot_is_avoided() -> None:
    """Guards against a server that refuses quickly and so attracts all requests."""
    gate = queried_gate()
    false = build.server(0).id
    refused_s: list[float] = []
    now_s = 10.0
    for number in range(300):
        now_s += 0.02
        query = gate.submit(build.ticket(str(number)), now_s)
        assert isinstance(query, QueryLoad)
        for server in range(4):
            report(gate, server, running=0, now_s=now_s)
        start = gate.place(str(number), now_s)
        assert isinstance(start, Start)
        kind = OutcomeKind.OK
        if start.server == false:
            kind = OutcomeKind.SHED
            refused_s.append(now_s)
        gate.finished(str(number), Outcome(kind=kind, elapsed_s=0.01), now_s)
    gaps_s = [later - earlier for earlier, later in pairwise(refused_s)]
    assert 2 <= len(refused_s) <= 3
    assert all(gap_s >= 2.0 for gap_s in gaps_s)


def test_request_whose_owner_leaves_while_it_is_queried_is_refused() -> None:
    """Guards against an internal error that reports an unknown outcome."""
    gate = build.gate(build.service(servers=2, slots=2, keyed=True), daemons=84)
    report(gate, 0, running=0, now_s=0.0)
    owner = build.server(0).id
    assert isinstance(gate.submit(build.ticket("1", server=owner), 10.0), QueryLoad)
    gate.set_servers("inscription", [build.server(1)], 10.0)
    gate.tick(10.0)
    decision = gate.place("1", 10.0)
    assert isinstance(decision, Refuse)
    assert decision.reason is RefuseReason.NO_SERVER


def test_request_is_not_sent_to_a_server_that_leaves_while_it_is_queried() -> None:
    """Guards against sending work to a server that is draining."""
    gate = queried_gate(servers=4)
    query = gate.submit(build.ticket("1"), 10.0)
    assert isinstance(query, QueryLoad)
    for number in range(4):
        report(gate, number, running=0, now_s=10.0)
    staying = [
        build.server(number)
        for number in range(4)
        if build.server(number).id not in query.servers
    ]
    gate.set_servers("inscription", staying, 10.0)
    decision = gate.place("1", 10.0)
    assert isinstance(decision, QueryLoad)
    assert not set(decision.servers) & set(query.servers)
