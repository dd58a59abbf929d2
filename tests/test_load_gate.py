"""Tests of the gate: each request gets one final decision, and refusals at once."""

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


def test_request_starts_while_there_is_capacity_and_waits_after_that() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    kinds = [type(gate.submit(build.ticket(str(n)), 0.0)) for n in range(5)]
    assert kinds == [Start, Start, Start, Wait, Wait]


def test_full_queue_refuses_at_once_with_a_retry_time() -> None:
    gate = build.gate(build.service(servers=1, slots=3))
    last = [gate.submit(build.ticket(str(n)), 0.0) for n in range(500)][-1]
    assert isinstance(last, Refuse)
    assert last.reason is RefuseReason.OVERLOAD
    assert last.retry_after_s >= 0.5


def test_hot_caller_leaves_queue_capacity_to_other_callers() -> None:
    """Guards against a hot caller's requests filling the queue.

    One caller sent 500 requests at once. With a FIFO queue these took all places, and
    the single requests of later callers were refused.
    """
    gate = build.gate(build.service(servers=1, slots=3))
    for number in range(500):
        gate.submit(build.ticket(f"hot-{number}", caller="script"), 0.0)
    callers = [f"family-{number}" for number in range(5)]
    decisions = [gate.submit(build.ticket(name, caller=name), 0.0) for name in callers]
    assert [type(item) for item in decisions] == [Start, Start, Start, Wait, Wait]
    followed = [gate.finished(name, build.ok(), 0.01) for name in callers[:3]]
    served = {decision.ticket_id for later in followed for decision in later}
    assert served == {"family-3", "family-4"}


def test_limited_hot_caller_is_still_the_busiest() -> None:
    """Guards against a light caller's request waiting behind those of a hot caller.

    A limited hot caller had one request in flight and the rest waiting. When only
    requests in flight were counted, another caller with one request seemed equally
    busy, and its second request waited 60 ms.
    """
    gate = build.gate(build.service(servers=1, slots=2))
    callers = ["family", *["script"] * 4, "family"]
    tickets = [build.ticket(str(n), caller=name) for n, name in enumerate(callers)]
    kinds = [type(gate.submit(ticket, 0.0)) for ticket in tickets]
    assert kinds == [Start, Start, Start, Wait, Wait, Start]


def test_busiest_caller_leaves_the_last_slots_to_the_others() -> None:
    gate = build.gate(build.service(servers=1, slots=8))
    gate.submit(build.ticket("family", caller="family"), 0.0)
    hot = [gate.submit(build.ticket(str(n), caller="script"), 0.0) for n in range(8)]
    assert sum(isinstance(decision, Start) for decision in hot) == 8 * 0.75 - 1


def test_waiting_request_past_its_deadline_is_refused_and_never_started() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    gate.submit(build.ticket("running"), 0.0)
    gate.submit(build.ticket("late", deadline_s=0.5), 0.0)
    (refused,) = gate.tick(0.6)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.DEADLINE
    assert gate.finished("running", build.ok(), 0.7) == []


def test_expired_waiting_request_is_not_started_when_a_slot_becomes_free() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    gate.submit(build.ticket("running"), 0.0)
    gate.submit(build.ticket("late", deadline_s=0.5), 0.0)
    (refused,) = gate.finished("running", build.ok(), 0.6)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.DEADLINE


def test_cancelled_waiting_request_leaves_the_queue() -> None:
    gate = build.gate(build.service(servers=1, slots=1))
    for name in ("running", "gone", "next"):
        gate.submit(build.ticket(name), 0.0)
    assert gate.cancel("gone", 0.1) == []
    decisions = gate.finished("running", build.ok(), 0.2)
    assert [decision.ticket_id for decision in decisions] == ["next"]


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
def test_only_requests_that_did_not_run_or_may_repeat_are_retried(
    kind: OutcomeKind, repeatable: bool, expected: type
) -> None:
    gate = build.gate()
    ticket = build.ticket("1", repeatable=repeatable)
    started = gate.submit(ticket, 0.0)
    assert isinstance(started, Start)
    gate.finished("1", Outcome(kind=kind, elapsed_s=0.01), 0.01)
    retry = gate.retry(ticket, kind, 0.01, avoid=started.server)
    assert isinstance(retry, expected)
    assert not isinstance(retry, Start) or retry.server != started.server


def test_request_that_an_owner_shed_is_refused_at_once() -> None:
    """Guards against refusals that come 700 ms late.

    An owner full of long jobs shed a look-up, which waited at the host, was sent and
    shed again, and was refused only when the retry budget was used up, although no
    other server could run it.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True))
    ticket = build.owned("1")
    assert isinstance(gate.submit(ticket, 0.0), Start)
    shed = Outcome(kind=OutcomeKind.SHED, elapsed_s=0.002)
    gate.finished("1", shed, 0.002)
    refused = gate.retry(ticket, OutcomeKind.SHED, 0.002, avoid=build.OWNER)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.OVERLOAD


def test_answer_of_a_server_that_left_the_list_while_a_request_waited_counts() -> None:
    """Guards against a fault of the router in place of an answer that is there."""
    gate = build.gate(build.service(name="calendrier", keyed=True, slots=1))
    assert isinstance(gate.submit(build.owned("1"), 0.0), Start)
    assert isinstance(gate.submit(build.owned("2"), 0.0), Wait)
    gate.set_servers("calendrier", [], 0.01)
    started = gate.finished("1", build.ok(), 0.02)
    assert started == [Start(ticket_id="2", server=build.OWNER)]
    assert gate.finished("2", build.ok(), 0.03) == []
    assert gate.snapshot().servers == ()


@pytest.mark.parametrize(
    ("since_s", "expected"),
    [pytest.param(0.05, Wait, id="busy"), pytest.param(0.2, Refuse, id="stuck")],
)
def test_no_request_is_queued_for_a_stuck_owner(since_s: float, expected: type) -> None:
    """Guards against late refusals while long jobs hold all slots of an owner.

    Requests were queued behind look-ups that the owner had not answered for 200 ms.
    Since the time to wait is unknown, they have to be refused at once.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True), daemons=12)
    pending = [
        gate.submit(build.owned(f"pending-{n}", caller="a"), 0.0) for n in range(3)
    ]
    assert {type(decision) for decision in pending} == {Start}
    ticket = build.owned("late", caller="a")
    assert type(gate.submit(ticket, since_s)) is expected


@pytest.mark.parametrize(
    ("took_s", "started"),
    [pytest.param(0.01, True, id="quick"), pytest.param(0.05, False, id="slow")],
)
def test_long_job_starts_at_an_owner_after_quick_answers_only(
    took_s: float, started: bool
) -> None:
    """Guards against look-ups waiting behind uploads of several hosts.

    Twelve hosts sent one upload each to an owner with six slots, and the look-ups' p99
    was 714 ms. A host cannot see the uploads of others, but look-ups are answered
    slowly meanwhile; an upload has to wait until they are quick.
    """
    gate = build.gate(build.service(name="calendrier", keyed=True))
    now_s = 0.0
    for number, elapsed_s in enumerate([0.01] * 9 + [took_s] * 2):
        now_s += elapsed_s
        gate.submit(build.owned(f"look-up-{number}"), now_s - elapsed_s)
        gate.finished(f"look-up-{number}", build.ok(elapsed_s), now_s)
    upload = build.owned("upload", request_class="upload")
    assert isinstance(gate.submit(upload, now_s), Start) is started
    decisions = gate.tick(now_s + 2.0)
    assert [item.ticket_id for item in decisions] == ([] if started else ["upload"])


def test_unlisted_server_gets_no_new_requests() -> None:
    gate = build.gate()
    removed = build.server(0)
    gate.set_servers("inscription", [build.server(1), build.server(2)], 0.0)
    started = [gate.submit(build.ticket(str(n)), 1.0) for n in range(6)]
    assert removed.id not in {
        decision.server for decision in started if isinstance(decision, Start)
    }
    assert len(gate.snapshot().servers) == 2


@pytest.mark.parametrize(
    ("daemons", "started"),
    [pytest.param(13, 10, id="thirteen"), pytest.param(5, 26, id="five")],
)
def test_daemons_together_stay_within_a_server_s_connections(
    daemons: int, started: int
) -> None:
    """Guards against using up a server's connections, after which it refuses all.

    Thirteen daemons each opened as many connections as the server accepts in total,
    since the number of daemons was taken from the time of the start and not from the
    host list.
    """
    gate = build.gate(build.service(servers=1, slots=1_000))
    gate.set_daemons(daemons)
    assert count_started(gate) == started


def test_unreachable_and_leaving_hosts_keep_their_share_of_connections() -> None:
    """Guards against using up a server's connections, after which it refuses all.

    A host that is cut off from its peers receives nothing from them, and a leaving host
    still has requests in flight. If such hosts were not counted, others would use their
    shares of the connections as well.
    """
    names = ("lac-1", "lac-2", "charguia-1", "charguia-2")
    hosts, gate = build.host_table(), build.gate(build.service(servers=1, slots=1_000))
    shares = []
    for leaving, removed in [((), 0), (names[3:], 0), (names[3:], 1)]:
        listed = build.listed_hosts(names[: len(names) - removed], leaving=leaving)
        assert hosts.apply_list(listed)
        assert not hosts.is_live(names[1])
        gate.set_daemons(hosts.daemon_count)
        shares.append(count_started(gate))
    assert shares == [130 // 4, 130 // 4, 130 // 3]


def count_started(gate: Gate) -> int:
    names = [str(number) for number in range(100)]
    started = [
        decision.ticket_id
        for decision in (gate.submit(build.ticket(name), 0.0) for name in names)
        if isinstance(decision, Start)
    ]
    for name in names:
        gate.cancel(name, 0.0)
    return len(started)
