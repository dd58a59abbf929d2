"""Tests of passive health checks: slow, frozen, cold and leaving servers."""

import pytest

from gentianwharf.infra import ServerReport
from gentianwharf.load import (
    Gate,
    HealthStatus,
    Outcome,
    OutcomeKind,
    Refuse,
    RefuseReason,
    Start,
)

from . import builders_load as build

USUAL_S = 0.02


def serve(
    gate: Gate,
    count: int,
    *,
    now_s: float,
    took_s: dict[str, float] | None = None,
    failing: dict[str, OutcomeKind] | None = None,
    at_once: int = 1,
) -> dict[str, int]:
    """Send requests in batches of ``at_once``; return the counts by server."""
    counts: dict[str, int] = {}
    for first in range(0, count, at_once):
        names = [f"{now_s}-{first + number}" for number in range(at_once)]
        started = [
            gate.submit(build.ticket(name, caller=name), now_s) for name in names
        ]
        for start in started:
            assert isinstance(start, Start)
            counts[start.server] = counts.get(start.server, 0) + 1
            elapsed_s = (took_s or {}).get(start.server, USUAL_S)
            kind = (failing or {}).get(start.server, OutcomeKind.OK)
            outcome = Outcome(kind=kind, elapsed_s=elapsed_s)
            gate.finished(start.ticket_id, outcome, now_s + elapsed_s)
    return counts


def make_suspect(gate: Gate, *, now_s: float = 1.0) -> None:
    """Make the first server suspect by answers that take ten times as long."""
    slow = {"inscription-0": 10 * USUAL_S}
    serve(gate, 12, now_s=now_s, took_s=slow, at_once=12)
    assert health_of(gate, "inscription-0") is HealthStatus.SUSPECT


def health_of(gate: Gate, server: str) -> HealthStatus:
    return next(row.health for row in gate.snapshot().servers if row.id == server)


def report(*, draining: bool = False, healthy: bool = True) -> ServerReport:
    return ServerReport(
        server="inscription-0",
        stamp_s=0.0,
        healthy=healthy,
        draining=draining,
        cold=False,
        load=0.0,
        held={},
    )


def test_slow_server_gets_no_work_after_a_few_requests() -> None:
    """Guards against sending requests to a server that has become ten times slower.

    Its health endpoint still reports that it is healthy. Every third request waited for
    it for as long as it stayed slow.
    """
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    assert serve(gate, 60, now_s=1.0, took_s=slow).get("inscription-0", 0) <= 4
    assert serve(gate, 60, now_s=1.1, took_s=slow, at_once=6)["inscription-0"] <= 12


def test_server_that_was_slow_once_is_tried_again() -> None:
    """Guards against a server staying unused after a few slow answers at low load.

    The other servers always had capacity, so it was never chosen and had no answers to
    show that it had recovered.
    """
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    serve(gate, 30, now_s=1.0, took_s=slow)
    assert "inscription-0" not in serve(gate, 30, now_s=1.5)
    for tick in range(20):
        gate.tick(2.0 + tick)
    assert "inscription-0" in serve(gate, 30, now_s=22.0)


def test_suspect_is_probed_at_growing_intervals_and_recovers_gradually() -> None:
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    make_suspect(gate)
    probes = [
        serve(gate, 3, now_s=1.0 + second, took_s=slow).get("inscription-0", 0)
        for second in range(1, 16)
    ]
    assert 3 <= sum(probes) <= 6
    counts = [serve(gate, 3, now_s=float(second)) for second in range(20, 40)]
    assert health_of(gate, "inscription-0") is HealthStatus.ACTIVE
    assert sum(count.get("inscription-0", 0) for count in counts) > 5


def test_quick_first_answer_does_not_make_all_servers_suspect() -> None:
    """Guards against a host that refuses everything as "no server" after its start.

    Its first answer took 0.5 ms and all later ones 20 ms. Compared with the first
    answer, all servers seemed 40 times too slow and became suspect, and without
    further answers the host could not correct this.
    """
    gate = build.gate()
    took_s = {f"inscription-{number}": 0.0005 for number in range(3)}
    serve(gate, 1, now_s=0.0, took_s=took_s)
    serve(gate, 100, now_s=1.0)
    statuses = {row.health for row in gate.snapshot().servers}
    assert statuses == {HealthStatus.ACTIVE}


def test_slowdown_of_all_servers_makes_at_most_half_of_them_suspect() -> None:
    gate = build.gate(build.service(servers=4))
    serve(gate, 60, now_s=0.0)
    slow = {f"inscription-{number}": 20 * USUAL_S for number in range(4)}
    serve(gate, 40, now_s=1.0, took_s=slow)
    statuses = [row.health for row in gate.snapshot().servers]
    assert statuses.count(HealthStatus.SUSPECT) <= 2


def test_requests_to_a_frozen_owner_are_refused_until_a_probe_is_answered() -> None:
    """Guards against requests with unknown outcome while the owner of a key is frozen.

    Its connections stay open, but it sends nothing. Requests were still sent to it and
    ended as "unknown" after five seconds, although the router could have refused them
    as not run at once.
    """
    owner = "calendrier-0"
    gate = build.gate(build.service(name="calendrier", keyed=True))

    def submit(name: str, now_s: float, *, repeatable: bool = False) -> object:
        ticket = build.ticket(
            name,
            service="calendrier",
            server=owner,
            key="a",
            caller=name,
            repeatable=repeatable,
        )
        return gate.submit(ticket, now_s)

    for number in range(20):
        submit(f"usual-{number}", 0.0)
        gate.finished(f"usual-{number}", build.ok(USUAL_S), 0.1)
    assert isinstance(submit("stuck", 1.0), Start)
    # A longer interval between ticks would be taken for a pause of this host.
    for tick in range(56):
        gate.tick(1.0 + tick * 0.02)
    refused = submit("posting", 2.2)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NO_SERVER
    assert isinstance(submit("look-up", 3.0, repeatable=True), Start)
    gate.finished("look-up", build.ok(5 * USUAL_S), 3.1)
    assert isinstance(submit("posting-2", 3.2), Start)


def hedged(gate: Gate) -> tuple[list[str], list[Start]]:
    """Let requests wait at a slow server; return them and their hedges at 1.3 s."""
    serve(gate, 60, now_s=0.0)
    slow = {f"inscription-{number}": 20 * USUAL_S for number in (0,)}
    started = [
        gate.submit(build.ticket(f"s-{n}", caller=str(n)), 1.0) for n in range(8)
    ]
    stuck = [
        start.ticket_id
        for start in started
        if isinstance(start, Start) and start.server == "inscription-0"
    ]
    for start in started:
        if isinstance(start, Start) and start.server != "inscription-0":
            gate.finished(start.ticket_id, build.ok(USUAL_S), 1.02)
    assert stuck
    serve(gate, 12, now_s=1.05, took_s=slow, at_once=12)
    return stuck, [start for start in gate.tick(1.3) if isinstance(start, Start)]


def test_late_look_up_at_a_suspect_is_sent_to_a_second_server() -> None:
    stuck, hedges = hedged(build.gate(build.service(servers=4)))
    assert {hedge.ticket_id for hedge in hedges} == set(stuck)
    assert all(hedge.hedge and hedge.server != "inscription-0" for hedge in hedges)


@pytest.mark.parametrize(
    ("kind", "is_hedged_again"),
    [
        pytest.param(OutcomeKind.TIMEOUT, False, id="lost"),
        pytest.param(OutcomeKind.SHED, False, id="refused"),
        pytest.param(OutcomeKind.CONNECT_FAILED, True, id="not-connected"),
    ],
)
def test_look_up_is_sent_to_a_second_server_once(
    kind: OutcomeKind, is_hedged_again: bool
) -> None:
    """Guards against a hedge in each tick while the first server doesn't answer."""
    gate = build.gate(build.service(servers=4))
    _, hedges = hedged(gate)
    for hedge in hedges:
        ended = Outcome(kind=kind, elapsed_s=0.01)
        gate.finished(hedge.ticket_id, ended, 1.31, hedge.server)
    again = [start for start in gate.tick(1.32) if isinstance(start, Start)]
    assert bool(again) is is_hedged_again


def test_draining_server_gets_no_work_while_it_is_still_listed() -> None:
    """Guards against sending work to a draining server because it is still listed.

    The platform's list contained the server for a minute after it reported that it was
    draining. Each update of the list made it active again, and new requests were cut
    off when it stopped.
    """
    gate = build.gate()
    gate.apply_server_report("inscription-0", report(draining=True), 0.0)
    servers = [build.server(number) for number in range(3)]
    gate.set_servers("inscription", servers, 1.0)
    assert "inscription-0" not in serve(gate, 30, now_s=2.0)
    gate.apply_server_report("inscription-0", report(), 3.0)
    assert health_of(gate, "inscription-0") is HealthStatus.ACTIVE


def test_new_server_gets_few_requests_at_first() -> None:
    gate = build.gate(build.service(servers=3))
    serve(gate, 60, now_s=0.0)
    servers = [build.server(number) for number in range(4)]
    gate.set_servers("inscription", servers, 1.0)
    started = [gate.submit(build.ticket(str(n), caller=str(n)), 1.0) for n in range(12)]
    joined = [
        start
        for start in started
        if isinstance(start, Start) and start.server == "inscription-3"
    ]
    assert len(joined) <= 2


@pytest.mark.parametrize(
    "kind",
    [
        pytest.param(OutcomeKind.CONNECT_FAILED, id="connect-failed"),
        pytest.param(OutcomeKind.TIMEOUT, id="timeout"),
    ],
)
def test_failing_server_becomes_suspect(kind: OutcomeKind) -> None:
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    serve(gate, 12, now_s=1.0, failing={"inscription-0": kind}, at_once=12)
    assert health_of(gate, "inscription-0") is HealthStatus.SUSPECT


def test_server_that_sheds_gets_no_requests_for_the_time_it_gave() -> None:
    gate = build.gate()
    started = gate.submit(build.ticket("1"), 0.0)
    assert isinstance(started, Start)
    shed = Outcome(kind=OutcomeKind.SHED, elapsed_s=0.001, retry_after_s=0.5)
    gate.finished("1", shed, 0.001)
    assert started.server not in serve(gate, 30, now_s=0.1)
    assert started.server in serve(gate, 30, now_s=0.6)


def test_uploads_leave_slots_for_look_ups() -> None:
    """Guards against uploads of several seconds that hold every slot.

    Each look-up then waited for an upload to end.
    """
    gate = build.gate(build.service(servers=4))
    uploads = [
        gate.submit(build.ticket(f"u-{n}", request_class="upload", caller=str(n)), 0.0)
        for n in range(30)
    ]
    used = {start.server for start in uploads if isinstance(start, Start)}
    assert 0 < len(used) <= 2
    look_up = gate.submit(build.ticket("look-up"), 0.1)
    assert isinstance(look_up, Start)
    assert look_up.server not in used


def test_pause_of_the_host_does_not_make_its_servers_suspect() -> None:
    """Guards against a host that refuses everything although all servers are healthy.

    The host was paused for a second with requests in flight. When it resumed, every
    answer was overdue at once, while the answers waited unread in its sockets.
    """
    gate = build.gate(build.service(servers=3, slots=6))
    now_s = 0.0
    for number in range(60):
        now_s += 0.02
        gate.tick(now_s)
        gate.submit(build.ticket(f"warm-{number}"), now_s)
        gate.finished(f"warm-{number}", build.ok(0.01), now_s + 0.01)
    in_flight = [f"flying-{number}" for number in range(9)]
    for name in in_flight:
        gate.submit(build.ticket(name), now_s)
    now_s += 1.0
    for _ in range(2):
        gate.tick(now_s)
        now_s += 0.02
    for name in in_flight:
        gate.finished(name, build.ok(1.04), now_s)
    assert isinstance(gate.submit(build.ticket("after"), now_s), Start)
    statuses = {row.health for row in gate.snapshot().servers}
    assert statuses == {HealthStatus.ACTIVE}
