"""The gate: every request gets one final decision, at once where it is a refusal."""

import pytest

from gentianwharf.load import (
    Gate,
    Outcome,
    OutcomeKind,
    Refuse,
    RefuseReason,
    Start,
    Wait,
)

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


def test_held_back_hot_caller_is_still_the_busiest() -> None:
    """Beside a script that asks without end, a family's second request waits 60 ms.

    Held back, the script had one request in flight and the rest waiting. By what was
    in flight the family, with one, was as busy, and got in line behind it.
    """
    gate = build.gate(build.service(servers=1, slots=2))
    callers = ["family", *["script"] * 4, "family"]
    tickets = [build.ticket(str(n), caller=one) for n, one in enumerate(callers)]
    kinds = [type(gate.submit(one, 0.0)) for one in tickets]
    assert kinds == [Start, Start, Start, Wait, Wait, Start]


def test_busiest_caller_leaves_the_last_slots_to_the_others() -> None:
    gate = build.gate(build.service(servers=1, slots=8))
    gate.submit(build.ticket("family", caller="family"), 0.0)
    hot = [gate.submit(build.ticket(str(n), caller="script"), 0.0) for n in range(8)]
    assert sum(isinstance(one, Start) for one in hot) == 8 * 0.75 - 1


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


def test_what_an_owner_shed_is_refused_at_once() -> None:
    """An owner full of long jobs sheds a look-up; its caller is told 700 ms later.

    The look-up waited at the host, was sent again, was shed again, and was refused at
    last for want of retry budget, though nobody but the owner could have run it.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True))
    asked = build.owned("1")
    assert isinstance(gate.submit(asked, 0.0), Start)
    shed = Outcome(kind=OutcomeKind.SHED, elapsed_s=0.002)
    gate.finished("1", shed, 0.002)
    refused = gate.retry(asked, OutcomeKind.SHED, 0.002, avoid=build.OWNER)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.OVERLOAD


@pytest.mark.parametrize(
    ("since_s", "expected"),
    [pytest.param(0.05, Wait, id="busy"), pytest.param(0.2, Refuse, id="stuck")],
)
def test_nobody_begins_to_wait_for_an_owner_that_is_stuck(
    since_s: float, expected: type
) -> None:
    """Long jobs hold all slots of an owner; whoever waits for it is refused late.

    Requests queued behind look-ups that the owner had owed for 200 ms. How long those
    take nobody knows, so their callers are told at once.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True), daemons=12)
    owed = [gate.submit(build.owned(f"owed-{n}", caller="a"), 0.0) for n in range(3)]
    assert {type(one) for one in owed} == {Start}
    asked = build.owned("late", caller="a")
    assert type(gate.submit(asked, since_s)) is expected


@pytest.mark.parametrize(
    ("took_s", "started"),
    [pytest.param(0.01, True, id="quick"), pytest.param(0.05, False, id="slow")],
)
def test_long_job_starts_at_an_owner_after_quick_answers_only(
    took_s: float, started: bool
) -> None:
    """Twelve hosts send one upload each to an owner of six slots.

    No host sees the others' uploads; the look-ups' p99 was 714 ms. Their answers show
    it: while they are slow, an upload waits.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True))
    now_s = 0.0
    for number, elapsed_s in enumerate([0.01] * 9 + [took_s] * 2):
        now_s += elapsed_s
        gate.submit(build.owned(f"look-up-{number}"), now_s - elapsed_s)
        gate.finished(f"look-up-{number}", build.ok(elapsed_s), now_s)
    upload = build.owned("upload", request_class="upload")
    assert isinstance(gate.submit(upload, now_s), Start) is started
    quiet = gate.tick(now_s + 2.0)
    assert [one.ticket_id for one in quiet] == ([] if started else ["upload"])


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
    assert count_started(gate) == started


def test_hosts_of_the_list_share_a_server_also_unheard_and_leaving() -> None:
    """A server refuses everybody once it is out of connections.

    A host cut off from its peers hears none of them, and one that leaves still has
    requests in flight: counted as gone, their shares are taken while they use them.
    """
    names = ("lac-1", "lac-2", "charguia-1", "charguia-2")
    hosts, gate = build.host_table(), build.gate(build.service(servers=1, slots=1_000))
    shares = []
    for leaving, gone in [((), 0), (names[3:], 0), (names[3:], 1)]:
        listed = build.listed_hosts(names[: len(names) - gone], leaving=leaving)
        assert hosts.take(listed)
        assert not hosts.is_live(names[1])
        gate.set_daemons(hosts.daemons)
        shares.append(count_started(gate))
    assert shares == [130 // 4, 130 // 4, 130 // 3]


def count_started(gate: Gate) -> int:
    names = [str(number) for number in range(100)]
    started = [
        one.ticket_id
        for one in (gate.submit(build.ticket(name), 0.0) for name in names)
        if isinstance(one, Start)
    ]
    for name in names:
        gate.cancel(name, 0.0)
    return len(started)
