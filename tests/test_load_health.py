"""Slow, frozen, cold and leaving servers, found by what requests show."""

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
    """Send requests, some at once, and count which server got how many."""
    seen: dict[str, int] = {}
    for first in range(0, count, at_once):
        names = [f"{now_s}-{first + number}" for number in range(at_once)]
        started = [gate.submit(build.ticket(one, caller=one), now_s) for one in names]
        for one in started:
            assert isinstance(one, Start)
            seen[one.server] = seen.get(one.server, 0) + 1
            elapsed_s = (took_s or {}).get(one.server, USUAL_S)
            kind = (failing or {}).get(one.server, OutcomeKind.OK)
            outcome = Outcome(kind=kind, elapsed_s=elapsed_s)
            gate.finished(one.ticket_id, outcome, now_s + elapsed_s)
    return seen


def make_suspect(gate: Gate, *, now_s: float = 1.0) -> None:
    """Let the first server answer a batch ten times too late."""
    slow = {"inscription-0": 10 * USUAL_S}
    serve(gate, 12, now_s=now_s, took_s=slow, at_once=12)
    assert health_of(gate, "inscription-0") is HealthStatus.SUSPECT


def health_of(gate: Gate, server: str) -> HealthStatus:
    return next(one.health for one in gate.snapshot().servers if one.id == server)


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
    """One server becomes ten times slower; its health endpoint says that all is well.

    Every third family waited for it, for as long as it stayed slow.
    """
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    assert serve(gate, 60, now_s=1.0, took_s=slow).get("inscription-0", 0) <= 4
    assert serve(gate, 60, now_s=1.1, took_s=slow, at_once=6)["inscription-0"] <= 12


def test_server_that_was_slow_once_is_tried_again() -> None:
    """A server answers late twice, and traffic is low: the others have always room.

    It was passed over, had no answers to show that it was well, and stayed unused.
    """
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    serve(gate, 30, now_s=1.0, took_s=slow)
    assert "inscription-0" not in serve(gate, 30, now_s=1.5)
    for tick in range(20):
        gate.tick(2.0 + tick)
    assert "inscription-0" in serve(gate, 30, now_s=22.0)


def test_suspect_is_probed_ever_more_rarely_and_comes_back_slowly() -> None:
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    slow = {"inscription-0": 10 * USUAL_S}
    make_suspect(gate)
    probes = [
        serve(gate, 3, now_s=1.0 + second, took_s=slow).get("inscription-0", 0)
        for second in range(1, 16)
    ]
    assert 3 <= sum(probes) <= 6
    back = [serve(gate, 3, now_s=float(second)) for second in range(20, 40)]
    assert health_of(gate, "inscription-0") is HealthStatus.ACTIVE
    assert sum(one.get("inscription-0", 0) for one in back) > 5


def test_lucky_first_answer_does_not_make_all_servers_suspects() -> None:
    """A host starts, its first answer takes 0.5 ms, every later one the usual 20 ms.

    With that one answer as yardstick all servers looked 40 times too slow; the host
    set all of them apart, refused everything as "no server" and, having no answers,
    never learned better.
    """
    gate = build.gate()
    servers = {f"inscription-{number}": 0.0005 for number in range(3)}
    serve(gate, 1, now_s=0.0, took_s=servers)
    serve(gate, 100, now_s=1.0)
    statuses = {one.health for one in gate.snapshot().servers}
    assert statuses == {HealthStatus.ACTIVE}


def test_work_that_becomes_slower_everywhere_accuses_at_most_half() -> None:
    gate = build.gate(build.service(servers=4))
    serve(gate, 60, now_s=0.0)
    slow = {f"inscription-{number}": 20 * USUAL_S for number in range(4)}
    serve(gate, 40, now_s=1.0, took_s=slow)
    statuses = [one.health for one in gate.snapshot().servers]
    assert statuses.count(HealthStatus.SUSPECT) <= 2


def test_frozen_owner_is_refused_as_not_run_until_a_probe_comes_back() -> None:
    """The owner of a key freezes; its connections stay open and silent.

    Postings kept being sent to it: each one ended as "unknown" after five seconds,
    though the router could have said "not run" at once.
    """
    owner = "calendrier-0"
    gate = build.gate(build.service(name="calendrier", keyed=True))

    def ask(name: str, now_s: float, *, repeatable: bool = False) -> object:
        asked = build.ticket(
            name,
            service="calendrier",
            server=owner,
            key="a",
            caller=name,
            repeatable=repeatable,
        )
        return gate.submit(asked, now_s)

    for number in range(20):
        ask(f"usual-{number}", 0.0)
        gate.finished(f"usual-{number}", build.ok(USUAL_S), 0.1)
    assert isinstance(ask("stuck", 1.0), Start)
    # As often as ticks are due: a longer gap would be the host's own pause.
    for tick in range(56):
        gate.tick(1.0 + tick * 0.02)
    refused = ask("posting", 2.2)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NO_SERVER
    assert isinstance(ask("look-up", 3.0, repeatable=True), Start)
    gate.finished("look-up", build.ok(5 * USUAL_S), 3.1)
    assert isinstance(ask("posting-2", 3.2), Start)


def test_late_look_up_at_a_suspect_is_sent_to_a_second_server() -> None:
    gate = build.gate(build.service(servers=4))
    serve(gate, 60, now_s=0.0)
    slow = {f"inscription-{number}": 20 * USUAL_S for number in (0,)}
    started = [
        gate.submit(build.ticket(f"s-{n}", caller=str(n)), 1.0) for n in range(8)
    ]
    stuck = [
        one.ticket_id
        for one in started
        if isinstance(one, Start) and one.server == "inscription-0"
    ]
    for one in started:
        if isinstance(one, Start) and one.server != "inscription-0":
            gate.finished(one.ticket_id, build.ok(USUAL_S), 1.02)
    assert stuck
    serve(gate, 12, now_s=1.05, took_s=slow, at_once=12)
    hedges = [one for one in gate.tick(1.3) if isinstance(one, Start)]
    assert {one.ticket_id for one in hedges} == set(stuck)
    assert all(one.hedge and one.server != "inscription-0" for one in hedges)


def test_server_that_drains_stays_out_while_the_list_still_names_it() -> None:
    """A server says that it is leaving; the platform's list names it for a minute.

    Each reading of the list brought it back, and new work was cut off when it went.
    """
    gate = build.gate()
    gate.apply_server_report("inscription-0", report(draining=True), 0.0)
    servers = [build.server(number) for number in range(3)]
    gate.set_servers("inscription", servers, 1.0)
    assert "inscription-0" not in serve(gate, 30, now_s=2.0)
    gate.apply_server_report("inscription-0", report(), 3.0)
    assert health_of(gate, "inscription-0") is HealthStatus.ACTIVE


def test_server_that_joins_gets_little_at_first() -> None:
    gate = build.gate(build.service(servers=3))
    serve(gate, 60, now_s=0.0)
    servers = [build.server(number) for number in range(4)]
    gate.set_servers("inscription", servers, 1.0)
    started = [gate.submit(build.ticket(str(n), caller=str(n)), 1.0) for n in range(12)]
    joined = [
        one
        for one in started
        if isinstance(one, Start) and one.server == "inscription-3"
    ]
    assert len(joined) <= 2


@pytest.mark.parametrize(
    "kind",
    [
        pytest.param(OutcomeKind.CONNECT_FAILED, id="connect-failed"),
        pytest.param(OutcomeKind.TIMEOUT, id="timeout"),
    ],
)
def test_failing_server_becomes_a_suspect(kind: OutcomeKind) -> None:
    gate = build.gate()
    serve(gate, 60, now_s=0.0)
    serve(gate, 12, now_s=1.0, failing={"inscription-0": kind}, at_once=12)
    assert health_of(gate, "inscription-0") is HealthStatus.SUSPECT


def test_shed_is_believed() -> None:
    gate = build.gate()
    started = gate.submit(build.ticket("1"), 0.0)
    assert isinstance(started, Start)
    shed = Outcome(kind=OutcomeKind.SHED, elapsed_s=0.001, retry_after_s=0.5)
    gate.finished("1", shed, 0.001)
    assert started.server not in serve(gate, 30, now_s=0.1)
    assert started.server in serve(gate, 30, now_s=0.6)


def test_uploads_leave_slots_for_look_ups() -> None:
    """Editors upload issues that take seconds; secretaries look up rosters.

    The uploads held every slot, and each look-up waited for one to end.
    """
    gate = build.gate(build.service(servers=4))
    uploads = [
        gate.submit(build.ticket(f"u-{n}", request_class="upload", caller=str(n)), 0.0)
        for n in range(30)
    ]
    taken = {one.server for one in uploads if isinstance(one, Start)}
    assert 0 < len(taken) <= 2
    looked_up = gate.submit(build.ticket("look-up"), 0.1)
    assert isinstance(looked_up, Start)
    assert looked_up.server not in taken


def test_paused_host_does_not_take_its_servers_for_frozen() -> None:
    """A host refuses everything for want of a server, although all are well.

    It was paused for a second with requests in flight. When it went on, every answer
    was overdue at once, and waited unread in its sockets.
    """
    gate = build.gate(build.service(servers=3, slots=6))
    now_s = 0.0
    for number in range(60):
        now_s += 0.02
        gate.tick(now_s)
        gate.submit(build.ticket(f"warm-{number}"), now_s)
        gate.finished(f"warm-{number}", build.ok(0.01), now_s + 0.01)
    flying = [f"flying-{number}" for number in range(9)]
    for one in flying:
        gate.submit(build.ticket(one), now_s)
    now_s += 1.0
    for _ in range(2):
        gate.tick(now_s)
        now_s += 0.02
    for one in flying:
        gate.finished(one, build.ok(1.04), now_s)
    assert isinstance(gate.submit(build.ticket("after"), now_s), Start)
    statuses = {one.health for one in gate.snapshot().servers}
    assert statuses == {HealthStatus.ACTIVE}
