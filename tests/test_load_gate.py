"""The gate: every request gets one final decision, at once where it is a refusal."""

import pytest

from gentianwharf.load import Outcome, OutcomeKind, Refuse, RefuseReason, Start, Wait

from . import builders_load as build


def test_request_starts_while_there_is_room_and_waits_after_that() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    kinds = [type(gate.submit(build.ticket(str(n)), 0.0)) for n in range(5)]
    assert kinds == [Start, Start, Start, Wait, Wait]


def test_full_queue_refuses_at_once_with_a_time_to_come_back() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    last = [gate.submit(build.ticket(str(n)), 0.0) for n in range(500)][-1]
    assert isinstance(last, Refuse)
    assert last.reason is RefuseReason.OVERLOAD
    assert last.retry_after_s >= 0.5


def test_place_is_left_for_another_caller_than_the_hot_one() -> None:
    """A faculty's script asks 500 times at once; a family's only request is refused.

    The queue was full of the script's requests, and whoever came later found no
    place: first come, first served.
    """
    gate = build.gate(build.service(servers=1, slots=3))
    for number in range(500):
        gate.submit(build.ticket(f"hot-{number}", caller="script"), 0.0)
    callers = [f"family-{number}" for number in range(5)]
    decisions = [gate.submit(build.ticket(one, caller=one), 0.0) for one in callers]
    assert [type(one) for one in decisions] == [Start, Start, Start, Wait, Wait]
    ended = [gate.finished(one, build.ok(), 0.01) for one in callers[:3]]
    served = {one.ticket_id for decisions in ended for one in decisions}
    assert served == {"family-3", "family-4"}


def test_waiter_that_cannot_meet_its_deadline_is_refused_and_never_started() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    gate.submit(build.ticket("running"), 0.0)
    gate.submit(build.ticket("late", deadline_s=0.5), 0.0)
    (refused,) = gate.tick(0.6)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.DEADLINE
    assert gate.finished("running", build.ok(), 0.7) == []


def test_late_waiter_is_not_started_when_a_slot_becomes_free() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    gate.submit(build.ticket("running"), 0.0)
    gate.submit(build.ticket("late", deadline_s=0.5), 0.0)
    (refused,) = gate.finished("running", build.ok(), 0.6)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.DEADLINE


def test_cancelled_waiter_leaves_its_place() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    for name in ("running", "gone", "next"):
        gate.submit(build.ticket(name), 0.0)
    assert gate.cancel("gone", 0.1) == []
    decisions = gate.finished("running", build.ok(), 0.2)
    assert [one.ticket_id for one in decisions] == ["next"]


def test_request_bound_to_an_owner_goes_only_there() -> None:
    gate = build.gate(build.service(name="calendrier", keyed=True))
    owner = "calendrier-2"
    bound = build.ticket("1", service="calendrier", key="a", server=owner)
    started = gate.submit(bound, 0.0)
    assert started == Start(ticket_id="1", server=owner)


@pytest.mark.parametrize(
    ("kind", "repeatable", "expected"),
    [
        pytest.param(OutcomeKind.SHED, False, Start, id="shed-was-not-run"),
        pytest.param(OutcomeKind.TIMEOUT, True, Start, id="timeout-of-a-repeatable"),
        pytest.param(OutcomeKind.TIMEOUT, False, Refuse, id="timeout-may-have-run"),
    ],
)
def test_retry_only_of_what_did_not_run_or_may_repeat(
    kind: OutcomeKind, repeatable: bool, expected: type
) -> None:
    gate = build.gate()
    asked = build.ticket("1", repeatable=repeatable)
    started = gate.submit(asked, 0.0)
    assert isinstance(started, Start)
    gate.finished("1", Outcome(kind=kind, elapsed_s=0.01), 0.01)
    again = gate.retry(asked, kind, 0.01, avoid=started.server)
    assert isinstance(again, expected)
    assert not isinstance(again, Start) or again.server != started.server


def test_retry_budget_bounds_the_load_that_failures_add() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    asked = build.ticket("1")
    kinds = []
    for number in range(20):
        decision = gate.retry(asked, OutcomeKind.SHED, float(number))
        gate.finished("1", build.ok(), float(number))
        kinds.append(type(decision))
    assert kinds == [Start] * 10 + [Refuse] * 10


def test_server_that_left_gets_no_new_work() -> None:
    gate = build.gate()
    left = build.server(0)
    gate.set_servers("inscription", [build.server(1), build.server(2)], 0.0)
    started = [gate.submit(build.ticket(str(n)), 1.0) for n in range(6)]
    assert left.id not in {one.server for one in started if isinstance(one, Start)}
    assert len(gate.snapshot().servers) == 2


@pytest.mark.parametrize(
    ("daemons", "started"),
    [pytest.param(13, 10, id="thirteen"), pytest.param(5, 26, id="five")],
)
def test_daemons_together_stay_within_a_server_s_connections(
    daemons: int, started: int
) -> None:
    """A server refuses everybody once it is out of connections.

    Thirteen daemons each opened as many as the server accepts from all of them,
    since the number of daemons was taken from the start and not from the host list.
    """
    gate = build.gate(build.service(servers=1, slots=1_000))
    gate.set_daemons(daemons)
    decisions = [gate.submit(build.ticket(str(n)), 0.0) for n in range(100)]
    assert sum(isinstance(one, Start) for one in decisions) == started
