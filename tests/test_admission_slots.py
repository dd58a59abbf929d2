"""Leases of slots: each one is returned exactly once, however the request ends."""

import pytest
from twisted.internet.defer import CancelledError, Deferred

from gentianwharf.dispatch import SlotOutcome
from gentianwharf.load import HealthStatus
from gentianwharf.relay import Outcome, RunStatus, ServerLoad, ServerNotice
from tests import builders_slots as build

OWNER = f"{build.KEYED}-0"
LOAD = ServerLoad(running=3, waiting=2, slots=4)


def granted_host() -> tuple[build.DispatchedHost, build.Admitted]:
    """Return a host with a request that has been granted a slot of its owner."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    host.source.grant(OWNER)
    assert admitted.server is not None
    return host, admitted


def test_demand_states_what_the_dispatcher_needs() -> None:
    """Guards against a dispatcher that orders requests without knowing their rank."""
    host = build.DispatchedHost()
    host.admit(build.request())
    (demand,) = host.source.demands
    assert (demand.service, demand.server, demand.priority) == (build.KEYED, OWNER, 1)
    assert (demand.caller, demand.target_s) == ("famille", 0.3)
    assert (demand.work_s, demand.max_wait_s, demand.deadline_s) == (0.0, 0.15, 2.0)
    assert (demand.request_id, demand.in_flight) == ("1", 0)


def test_request_is_sent_to_the_granted_server() -> None:
    host = build.DispatchedHost()
    admitted = host.admit(build.request(service=build.UNKEYED))
    assert admitted.server is None
    host.source.grant(f"{build.UNKEYED}-2")
    assert admitted.server is not None
    assert admitted.server.id == f"{build.UNKEYED}-2"
    assert host.slots.held == host.in_flight() == 1


def test_service_that_is_not_dispatched_acquires_no_slot() -> None:
    """Guards against a changed path for services that operators did not rank."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request(service="other"))
    assert admitted.server is not None
    assert not host.source.demands
    host.admission.finished(
        build.request(service="other"), admitted.server, Outcome.ANSWERED, 0.1
    )
    assert not host.source.releases


@pytest.mark.parametrize(
    ("outcome", "returned"),
    [
        (Outcome.ANSWERED, SlotOutcome.ANSWERED),
        (Outcome.SHED, SlotOutcome.SHED),
        (Outcome.NOT_OWNER, SlotOutcome.NOT_OWNER),
        (Outcome.CONNECT_FAILED, SlotOutcome.FAILED),
        (Outcome.LOST, SlotOutcome.FAILED),
        (Outcome.TIMED_OUT, SlotOutcome.TIMED_OUT),
        (Outcome.CANCELLED, SlotOutcome.WITHDRAWN),
    ],
)
def test_lease_is_returned_once_when_the_attempt_ends(
    outcome: Outcome, returned: SlotOutcome
) -> None:
    """Guards against slots that stay taken until the request's deadline."""
    host, admitted = granted_host()
    assert admitted.server is not None
    host.admission.finished(build.request(), admitted.server, outcome, 0.2)
    host.admission.finished(build.request(), admitted.server, outcome, 0.2)
    host.admission.discard(build.request())
    assert host.source.outcomes() == [returned]
    work_s = 0.2 if outcome is Outcome.ANSWERED else None
    assert host.source.releases[0].work_s == work_s
    assert host.slots.held == host.in_flight() == 0


def test_lease_is_returned_with_the_load_of_this_answer() -> None:
    """Guards against returns with the load that another answer of the server named."""
    host, admitted = granted_host()
    assert admitted.server is not None
    other = build.request("2")
    host.admission.note_load(
        admitted.server, ServerLoad(running=1, waiting=0, slots=4), 0.1, other
    )
    host.admission.note_load(admitted.server, LOAD, 0.15, build.request())
    host.admission.finished(build.request(), admitted.server, Outcome.ANSWERED, 0.9)
    (release,) = host.source.releases
    assert (release.running, release.waiting) == (2, 2)
    assert release.work_s == 0.15


def test_answered_request_does_not_count_as_running_at_its_server() -> None:
    """Guards against a slot of each server that the dispatcher takes for occupied."""
    host, admitted = granted_host()
    assert admitted.server is not None
    alone = ServerLoad(running=1, waiting=0, slots=4)
    host.admission.note_load(admitted.server, alone, 0.15, build.request())
    host.admission.finished(build.request(), admitted.server, Outcome.ANSWERED, 0.9)
    assert host.source.releases[0].running == 0


def test_outdated_load_is_not_returned() -> None:
    """Guards against loads from before a long answer that count as the present ones."""
    host, admitted = granted_host()
    assert admitted.server is not None
    host.admission.note_load(admitted.server, LOAD, 0.15, build.request())
    host.clock.advance(0.4)
    host.admission.finished(build.request(), admitted.server, Outcome.ANSWERED, 0.55)
    (release,) = host.source.releases
    assert (release.running, release.waiting) == (None, None)
    assert (release.outcome, release.work_s) == (SlotOutcome.ANSWERED, 0.15)


def test_load_of_a_refusal_is_returned_without_a_service_time() -> None:
    """Guards against a speed that is learnt from requests that were not run."""
    host, admitted = granted_host()
    assert admitted.server is not None
    host.admission.note_load(admitted.server, LOAD, None, build.request())
    host.admission.finished(build.request(), admitted.server, Outcome.SHED, 0.01)
    (release,) = host.source.releases
    assert (release.running, release.work_s) == (3, None)


def test_caller_that_leaves_during_the_answer_counts_as_answered() -> None:
    """Guards against service times that are lost when callers close early."""
    host, admitted = granted_host()
    assert admitted.server is not None
    host.admission.note_load(admitted.server, LOAD, 0.15, build.request())
    host.admission.finished(build.request(), admitted.server, Outcome.CANCELLED, 0.2)
    (release,) = host.source.releases
    assert (release.outcome, release.work_s) == (SlotOutcome.ANSWERED, 0.15)


def test_caller_that_leaves_while_waiting_withdraws_the_request() -> None:
    """Guards against grants for callers that are gone."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    admitted.done.cancel()
    host.admission.discard(build.request())
    assert isinstance(admitted.error, CancelledError)
    assert host.source.cancelled == 1
    with pytest.raises(KeyError):
        host.gate.place_granted("1", OWNER, 0.0)
    assert not host.clock.getDelayedCalls()


def test_refusal_of_the_dispatcher_is_the_final_answer() -> None:
    """Guards against a refused request that the gate goes on to hold."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    host.source.refuse(retry_after_s=0.4)
    problem = admitted.problem
    assert (problem.status, problem.run) == (503, RunStatus.NOT_RUN)
    assert problem.retry_after_s == 0.4
    assert host.slots.held == host.in_flight() == 0


def test_wait_beyond_the_deadline_is_refused_as_not_run() -> None:
    """Guards against requests that wait for ever for a dispatcher that has died."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request(deadline_s=1.0))
    host.clock.advance(0.99)
    assert admitted.error is None
    host.clock.advance(0.02)
    assert (admitted.problem.status, admitted.problem.run) == (503, RunStatus.NOT_RUN)
    assert host.source.cancelled == 1


def test_refusal_after_a_wait_leaves_time_for_the_next_attempt() -> None:
    """Guards against callers that come back when their time has run out."""
    host = build.DispatchedHost()
    build.answer_requests(host.gate, count=5, work_s=0.3)
    admitted = host.admit(build.request(deadline_s=1.0))
    host.clock.advance(0.71)
    retry_after_s = admitted.problem.retry_after_s
    assert retry_after_s is not None
    assert retry_after_s <= (1.0 - 0.71) / 3


def test_lease_is_returned_if_the_owner_has_left_meanwhile() -> None:
    """Guards against a leaked slot when the grant comes too late to be used."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    host.remove_server(build.KEYED, 0)
    host.source.grant(OWNER)
    assert admitted.problem.status == 503
    assert host.source.outcomes() == [SlotOutcome.WITHDRAWN]
    assert host.source.is_balanced()
    assert host.slots.held == 0


def test_lease_is_returned_if_the_owner_has_asked_for_rest_meanwhile() -> None:
    """Guards against sending to a server that has just asked for rest."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    host.admission.note_notice(host.servers[OWNER], ServerNotice(rest_s=1.0))
    host.source.grant(OWNER)
    assert admitted.problem.status == 503
    assert host.source.outcomes() == [SlotOutcome.WITHDRAWN]


def test_another_slot_is_acquired_if_the_granted_server_rests() -> None:
    """Guards against a refusal while other servers of the service have free slots.

    The first lease is kept until the second grant: the dispatcher would otherwise grant
    the free slot of the resting server again.
    """
    host = build.DispatchedHost()
    admitted = host.admit(build.request(service=build.UNKEYED))
    resting = host.servers[f"{build.UNKEYED}-1"]
    host.admission.note_notice(resting, ServerNotice(rest_s=1.0))
    host.source.grant(resting.id)
    assert len(host.source.demands) == 2
    assert not host.source.releases
    host.source.grant(f"{build.UNKEYED}-2")
    assert host.source.outcomes() == [SlotOutcome.WITHDRAWN]
    assert host.source.releases[0].lease.server == resting.id
    assert admitted.server is not None
    host.admission.finished(
        build.request(service=build.UNKEYED), admitted.server, Outcome.ANSWERED, 0.1
    )
    assert host.source.is_balanced()


def test_unusable_lease_is_returned_if_the_caller_leaves_during_the_next_wait() -> None:
    """Guards against a leak of the first slot while a second one is acquired."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request(service=build.UNKEYED))
    resting = host.servers[f"{build.UNKEYED}-1"]
    host.admission.note_notice(resting, ServerNotice(rest_s=1.0))
    host.source.grant(resting.id)
    admitted.done.cancel()
    assert host.source.is_balanced()
    assert host.source.outcomes() == [SlotOutcome.WITHDRAWN]


def test_lease_of_a_request_that_was_never_sent_is_returned() -> None:
    """Guards against a leak if an internal error prevents the attempt."""
    host, _ = granted_host()
    host.admission.discard(build.request())
    assert host.source.outcomes() == [SlotOutcome.WITHDRAWN]
    assert host.slots.held == host.in_flight() == 0


def test_error_in_the_gate_after_a_grant_returns_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leak if placing a granted request fails."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    monkeypatch.setattr(host.gate, "place_granted", _fail)
    host.source.grant(OWNER)
    assert isinstance(admitted.error, RuntimeError)
    assert host.source.is_balanced()


def _fail(ticket_id: str, server: str, now_s: float) -> None:
    raise RuntimeError("injected")


def test_error_in_the_source_leads_to_a_decision_without_a_dispatcher() -> None:
    """Guards against an internal error that callers can't take as not run."""
    host = build.DispatchedHost()
    admitted = host.admit(build.request())
    host.source.pending[-1].errback(RuntimeError("injected"))
    assert admitted.server is not None or admitted.problem.status == 503
    assert len(host.observer.undispatched) == 1


def test_request_sent_without_a_dispatcher_returns_no_lease() -> None:
    host = next(
        host
        for host in (build.DispatchedHost(name=name) for name in build.HOSTS)
        if _is_admitted_alone(host)
    )
    host.admission.finished(build.request(), host.servers[OWNER], Outcome.ANSWERED, 0.1)
    assert not host.source.releases
    assert host.in_flight() == 0


def _is_admitted_alone(host: build.DispatchedHost) -> bool:
    admitted = host.admit(build.request())
    host.source.pending[-1].callback(None)
    return admitted.server is not None


def test_retry_acquires_another_slot() -> None:
    """Guards against retries that are sent with a slot that was already returned."""
    host, admitted = granted_host()
    assert admitted.server is not None
    host.admission.finished(
        build.request(), admitted.server, Outcome.CONNECT_FAILED, 0.1
    )
    host.clock.advance(0.1)
    retry = build.Admitted(
        Deferred.fromCoroutine(
            host.admission.admit_retry(
                build.request(),
                admitted.server,
                lambda server: None,
                after=Outcome.CONNECT_FAILED,
                avoid=admitted.server,
                is_repeat=True,
            )
        )
    )
    assert host.source.demands[-1].max_wait_s == pytest.approx(0.05)
    host.source.grant(OWNER)
    assert retry.server is not None
    host.admission.finished(build.request(), retry.server, Outcome.ANSWERED, 0.1)
    assert host.source.is_balanced()


def test_late_request_of_a_dispatched_service_is_not_hedged() -> None:
    """Guards against a second send that occupies a slot nobody granted."""
    host = build.DispatchedHost()
    server = f"{build.UNKEYED}-1"
    for number in range(30):
        ticket = build.request(f"answered-{number}", service=build.UNKEYED)
        host.admit(ticket)
        host.source.grant(server)
        host.admission.finished(ticket, host.servers[server], Outcome.ANSWERED, 0.02)
    host.clock.advance(1.0)
    hedges: list[object] = []
    late = build.request("late", service=build.UNKEYED, deadline_s=60.0)
    Deferred.fromCoroutine(host.admission.admit(late, None, hedges.append))
    host.source.grant(server)
    for _ in range(200):
        host.clock.advance(0.02)
        host.admission.tick()
    health = {item.id: item.health for item in host.gate.snapshot().servers}
    assert health[server] is HealthStatus.SUSPECT
    assert not hedges


def test_records_state_what_happened_and_how_long_it_took() -> None:
    """Guards against logs and metrics that don't tell why a request was refused."""
    host = build.DispatchedHost()
    host.admit(build.request("1"))
    host.clock.advance(0.05)
    host.source.grant(OWNER)
    host.admit(build.request("2"))
    host.source.refuse(reason="overload")
    host.admit(build.request("3", service=build.UNKEYED))
    host.source.pending[-1].callback(None)
    (acquired,), (refused,), (undispatched,) = (
        host.observer.acquired,
        host.observer.refused,
        host.observer.undispatched,
    )
    assert (acquired.subject, acquired.dispatcher) == (OWNER, build.DISPATCHER)
    assert (acquired.waited_s, acquired.priority) == (0.05, 1)
    assert (refused.request_id, refused.reason) == ("2", "overload")
    assert refused.dispatcher == f"dispatcher of {OWNER}"
    assert undispatched.subject == f"{build.UNKEYED}/lac"
