"""How hosts find out that servers ended, tell each other, and take permits."""

import logbook
import pytest
from twisted.internet.defer import Deferred

from gentianwharf.entryhost._crashes import PENDING_S
from gentianwharf.quarantine import MAX_CRASHES, UNDECIDED_S
from gentianwharf.relay import ProbeResult

from .builders_quarantine_hosts import (
    ADMITTED_S,
    FATES,
    SETTLED_S,
    Fate,
    QuarantineHosts,
    make_hosts,
)

FREE = ["free"] * 3
SUSPECTED = ["one-at-a-time"] * 3
REFUSED = ["refused"] * 3
LEADER, FOLLOWER, OTHER = 0, 1, 2
NEWS_S = 0.2
"""Time after which all hosts know of a try."""

PROOF_DELAY_S = 4.0
"""Time from a loss until the entry of a server behind a proxy has expired."""


@pytest.fixture
def hosts(monkeypatch: pytest.MonkeyPatch) -> QuarantineHosts:
    return make_hosts(monkeypatch)


@pytest.mark.parametrize("host", [LEADER, FOLLOWER], ids=["leader", "follower"])
def test_all_hosts_know_an_end_before_its_caller_has_an_answer(
    hosts: QuarantineHosts, host: int
) -> None:
    """Guards against a caller who comes to a host that knows nothing yet."""
    call = hosts.call(host)
    settled = hosts.lose(call, hosts.server("s1"))
    assert settled.called
    assert hosts.standings() == SUSPECTED


def test_hosts_tell_each_other_while_the_leader_is_gone(
    hosts: QuarantineHosts,
) -> None:
    """Guards against news that depends on the leader."""
    hosts.net.cut.add(hosts.trio.hosts[LEADER].peers.identity.address)
    for number in range(3):
        hosts.crash(FOLLOWER, f"s{number}")
    hosts.advance(UNDECIDED_S)
    assert hosts.standings()[1:] == REFUSED[1:]
    ends, tries = 3, 2
    assert hosts.quarantines[FOLLOWER].news.sent_directly == ends + tries


@pytest.mark.parametrize("result", [ProbeResult.OPENED, ProbeResult.UNKNOWN], ids=str)
def test_connection_that_ends_is_no_end_of_the_server(
    hosts: QuarantineHosts, result: ProbeResult
) -> None:
    """Guards against resets, lost answers and cut links that count as crashes."""
    call = hosts.call(FOLLOWER)
    assert hosts.lose(call, hosts.server("s1", result)).result is False
    assert hosts.standings() == FREE


@pytest.mark.parametrize(
    ("result", "after_s", "standings"),
    [
        pytest.param(ProbeResult.UNKNOWN, 4.0, SUSPECTED, id="unknown"),
        pytest.param(ProbeResult.UNKNOWN, PENDING_S + 1.0, FREE, id="too-late"),
        pytest.param(ProbeResult.OPENED, 4.0, SUSPECTED, id="behind-a-proxy"),
    ],
)
def test_server_that_starts_again_proves_its_end_afterwards(
    hosts: QuarantineHosts,
    result: ProbeResult,
    after_s: float,
    standings: list[str],
) -> None:
    """Guards against a proxy that accepts connections for a server that has ended."""
    call = hosts.call(FOLLOWER)
    hosts.lose(call, hosts.server("s1", result))
    hosts.advance(after_s)
    hosts.end_entry("s1")
    assert hosts.standings() == standings


@pytest.mark.parametrize("is_abandoned", [False, True], ids=["lost", "abandoned"])
def test_end_that_another_host_proves_counts_for_all_that_were_lost_there(
    hosts: QuarantineHosts, is_abandoned: bool
) -> None:
    """Guards against ends that count only for requests of the host that proved them."""
    call = hosts.call(FOLLOWER)
    server = hosts.server("s1", ProbeResult.OPENED)
    call.run.note_written(server)
    if is_abandoned:
        call.run.note_abandoned(server)
    else:
        hosts.lose(call, server)
    assert hosts.standings() == FREE
    hosts.lose(hosts.call(OTHER, path="/other"), hosts.server("s1"))
    hosts.advance(NEWS_S)
    assert hosts.standings() == SUSPECTED


def test_port_that_outlives_its_connections_is_probed_again(
    hosts: QuarantineHosts,
) -> None:
    """Guards against ends that stay unknown since a process takes long to exit."""
    call = hosts.call(FOLLOWER)
    call.run.note_lost(hosts.server("s1", ProbeResult.OPENED))
    settled = Deferred.fromCoroutine(call.run.settle())
    hosts.advance(0.05)
    assert settled.called, "the caller does not wait for the second probe"
    hosts.server("s1", ProbeResult.REFUSED)
    hosts.advance(NEWS_S)
    assert hosts.standings() == SUSPECTED
    assert hosts.pools["s1"].probes == 2


def test_server_that_answers_after_a_loss_has_not_ended(
    hosts: QuarantineHosts,
) -> None:
    """Guards against reset connections that count as ends of servers that leave."""
    hosts.lose(hosts.call(FOLLOWER), hosts.server("s1", ProbeResult.OPENED))
    answered = hosts.call(FOLLOWER, path="/other")
    answered.run.note_written(hosts.server("s1", ProbeResult.OPENED))
    answered.run.note_answered(hosts.server("s1", ProbeResult.OPENED))
    hosts.advance(4.0)
    hosts.end_entry("s1")
    assert hosts.standings() == FREE


@pytest.mark.parametrize("is_listed", [True, False], ids=["listed", "gone"])
def test_request_that_was_abandoned_is_suspected_once_its_server_has_ended(
    hosts: QuarantineHosts, is_listed: bool
) -> None:
    """Guards against servers that go silent, and callers who leave before the end."""
    call, server = hosts.call(FOLLOWER), hosts.server("s1")
    call.run.note_written(server)
    if not is_listed:
        hosts.end_entry("s1")
    call.run.note_abandoned(server)
    assert hosts.standings() == (FREE if is_listed else SUSPECTED)
    if is_listed:
        hosts.advance(2.6)
        hosts.end_entry("s1")
    assert hosts.standings() == SUSPECTED


def test_server_that_ends_again_counts_again_before_its_entry_says_so(
    hosts: QuarantineHosts,
) -> None:
    """Guards against two ends of a server that count as one while entries are late."""
    for _ in range(3):
        hosts.crash(FOLLOWER, "s1")
        hosts.advance(4.0)
    assert hosts.standings() == REFUSED


def test_one_probe_serves_all_requests_that_were_lost_with_a_server(
    hosts: QuarantineHosts,
) -> None:
    server = hosts.server("s1")
    calls = [hosts.call(FOLLOWER, path=f"/{number}") for number in range(5)]
    for call in calls:
        call.run.note_lost(server)
    hosts.advance(0.1)
    assert hosts.pools["s1"].probes == 1
    assert hosts.standings(path="/4") == SUSPECTED


def test_suspected_request_runs_at_one_host_at_a_time(hosts: QuarantineHosts) -> None:
    """Guards against copies of a request that each end a server at the same time."""
    hosts.crash(FOLLOWER, "s1")
    first, second = hosts.call(FOLLOWER), hosts.call(OTHER)
    admitted = first.admit()
    hosts.advance(NEWS_S)
    assert admitted.called
    waiting = second.admit()
    hosts.advance(1.0)
    assert not waiting.called
    first.run.finish()
    hosts.advance(0.2 + NEWS_S)
    assert waiting.called
    assert not second.problems


def test_request_that_waits_too_long_for_its_turn_is_refused(
    hosts: QuarantineHosts,
) -> None:
    hosts.crash(FOLLOWER, "s1")
    first, second = hosts.call(FOLLOWER), hosts.call(OTHER)
    first.admit()
    second.admit()
    hosts.advance(2.1)
    (problem,) = second.problems
    assert (problem.status, str(problem.run)) == (503, "not-run")


def test_turn_ends_with_the_deadline_of_its_request(hosts: QuarantineHosts) -> None:
    """Guards against a host that dies with the permit of a request."""
    hosts.crash(FOLLOWER, "s1")
    hosts.call(FOLLOWER).admit()
    hosts.advance(7.0)
    later = hosts.call(OTHER)
    admitted = later.admit()
    hosts.advance(NEWS_S)
    assert admitted.called
    assert not later.problems


def test_turns_need_no_host_that_is_gone(hosts: QuarantineHosts) -> None:
    hosts.crash(FOLLOWER, "s1")
    for host in (LEADER, OTHER):
        hosts.net.cut.add(hosts.trio.hosts[host].peers.identity.address)
    call = hosts.call(FOLLOWER)
    admitted = call.admit()
    hosts.advance(1.0)
    assert admitted.called
    assert not call.problems


def test_third_end_is_the_last_at_every_host(hosts: QuarantineHosts) -> None:
    for number in range(3):
        hosts.crash(number, f"s{number}")
    early = hosts.call(FOLLOWER)
    assert not early.admit().called
    hosts.advance(UNDECIDED_S)
    assert hosts.standings() == REFUSED
    for host in range(3):
        call = hosts.call(host)
        call.admit()
        (problem,) = call.problems
        assert problem.status == 503
        assert str(problem.run) == "not-run"
        assert problem.retry_after_s


def test_own_retry_ends_with_the_second_server(hosts: QuarantineHosts) -> None:
    """Guards against a router that takes three servers with one caller's request."""
    call = hosts.call(FOLLOWER)
    assert hosts.lose(call, hosts.server("s1")).result is False
    assert hosts.lose(call, hosts.server("s2")).result is True


@pytest.mark.parametrize(
    ("ends", "repeatable", "recalls"),
    [
        pytest.param(1, True, 1, id="repeatable"),
        pytest.param(1, False, 0, id="unsafe"),
        pytest.param(3, False, 1, id="unsafe-once-refused"),
    ],
)
def test_copies_in_flight_are_stopped(
    hosts: QuarantineHosts, ends: int, repeatable: bool, recalls: int
) -> None:
    """Guards against copies that were sent before the request was suspected."""
    copy = hosts.call(OTHER, repeatable=repeatable)
    assert copy.run.may_send()
    for number in range(ends):
        hosts.crash(FOLLOWER, f"s{number}")
    assert min(1, copy.exchange.recalls) == recalls
    assert not copy.run.may_send()


def test_whole_run_clears_a_request_everywhere(hosts: QuarantineHosts) -> None:
    """Guards against innocents that stay suspected."""
    hosts.crash(FOLLOWER, "s1")
    hosts.crash(OTHER, "s2")
    call = hosts.call(FOLLOWER)
    call.admit()
    call.run.note_answered(hosts.server("s3"))
    hosts.advance(0.1)
    assert hosts.standings() == FREE


def test_whole_run_is_known_elsewhere_before_the_next_tick(
    hosts: QuarantineHosts,
) -> None:
    """Guards against an innocent whose caller is faster than the news of its run."""
    hosts.crash(LEADER, "s1")
    call, server = hosts.call(LEADER), hosts.server("s2")
    call.admit()
    hosts.advance(ADMITTED_S)
    call.run.note_written(server)
    call.run.note_answered(server)
    assert hosts.standings() == FREE


@pytest.mark.parametrize(
    ("news_after_s", "statuses"),
    [(0.05, []), (0.5, [503])],
    ids=["soon", "late"],
)
def test_request_waits_for_news_of_a_whole_run(
    hosts: QuarantineHosts, news_after_s: float, statuses: list[int]
) -> None:
    """Guards against an innocent refused since its caller is faster than the news."""
    hosts.crash_beside_others(2)
    ran, server = hosts.call(FOLLOWER), hosts.server("s9")
    ran.admit()
    hosts.advance(ADMITTED_S)
    ran.run.note_written(server)
    address = hosts.trio.hosts[OTHER].peers.identity.address
    hosts.net.cut.add(address)
    ran.run.note_answered(server)
    ran.run.finish()
    again = hosts.call(OTHER, deadline_s=1.0)
    admitted = again.admit()
    hosts.advance(news_after_s)
    assert admitted.called is bool(statuses)
    (record,) = hosts.quarantines[OTHER].records
    hosts.quarantines[OTHER].records.note_cleared(record.digest, record.evidence_ids())
    hosts.advance(NEWS_S)
    assert admitted.called
    assert [problem.status for problem in again.problems] == statuses


@pytest.mark.parametrize("deadline_s", [0.05, 1.0], ids=["short", "long"])
def test_request_that_has_to_wait_is_told_for_how_long(
    hosts: QuarantineHosts, deadline_s: float
) -> None:
    """Guards against callers with short deadlines who come back too soon."""
    hosts.crash_beside_others(MAX_CRASHES)
    call = hosts.call(FOLLOWER, deadline_s=deadline_s)
    call.admit()
    hosts.advance(NEWS_S)
    (problem,) = call.problems
    assert problem.retry_after_s is not None
    assert problem.retry_after_s > 1.0


@pytest.mark.parametrize("host", [FOLLOWER, OTHER], ids=["there", "elsewhere"])
def test_request_that_has_just_run_wholly_is_not_suspected(
    hosts: QuarantineHosts, host: int
) -> None:
    """Guards against callers who send the same request often, beside a mass loss."""
    answered = hosts.call(host)
    answered.run.note_answered(hosts.server("s0"))
    answered.run.finish()
    copies = [hosts.call(FOLLOWER) for _ in range(4)]
    for number, copy in enumerate(copies):
        copy.run.note_lost(hosts.server(f"s{number}"))
    hosts.advance(SETTLED_S)
    assert hosts.standings() == FREE


def test_whole_run_excuses_no_end_long_after_it(hosts: QuarantineHosts) -> None:
    """Guards against a request that begins to end servers, and is let go for long."""
    answered = hosts.call(FOLLOWER)
    answered.run.note_answered(hosts.server("s0"))
    answered.run.finish()
    excused = 1
    assert hosts.send_often(FATES["server-ends"]) <= MAX_CRASHES + excused
    assert hosts.standings() == REFUSED


@pytest.mark.parametrize("host", [FOLLOWER, OTHER], ids=["there", "elsewhere"])
@pytest.mark.parametrize(
    ("run_after_loss_s", "standings"),
    [
        pytest.param(1.0, FREE, id="run-after-the-loss"),
        pytest.param(-1.0, FREE, id="run-shortly-before"),
        pytest.param(-3.0, SUSPECTED, id="run-long-before"),
    ],
)
def test_whole_run_excuses_an_end_that_is_proved_late(
    hosts: QuarantineHosts, host: int, run_after_loss_s: float, standings: list[str]
) -> None:
    """Guards against suspecting a request of an end that preceded its whole run."""

    def complete_call() -> None:
        call, server = hosts.call(host), hosts.server("s2")
        call.run.note_written(server)
        call.run.note_answered(server)
        call.run.finish()

    if run_after_loss_s < 0:
        complete_call()
        hosts.advance(-run_after_loss_s)
    hosts.lose(hosts.call(FOLLOWER), hosts.server("s1", ProbeResult.OPENED))
    if run_after_loss_s > 0:
        hosts.advance(run_after_loss_s)
        complete_call()
    hosts.advance(PROOF_DELAY_S)
    hosts.end_entry("s1")
    hosts.advance(NEWS_S)
    assert hosts.standings() == standings


def test_leader_passes_on_no_more_news_than_its_link_bears(
    hosts: QuarantineHosts,
) -> None:
    """Guards against a mass loss whose news keeps grants off the leader's uplink."""
    calls = [hosts.call(FOLLOWER, path=f"/{number}") for number in range(400)]
    for number, call in enumerate(calls):
        call.run.note_lost(hosts.server(f"s{number}"))
    hosts.advance(0.4)
    assert hosts.quarantines[FOLLOWER].news.sent_directly > 200
    assert hosts.standings(path="/399") == SUSPECTED


def test_leader_repeats_news_for_hosts_that_stood_still(
    hosts: QuarantineHosts,
) -> None:
    """Guards against a host that missed the only message."""
    address = hosts.trio.hosts[OTHER].peers.identity.address
    hosts.net.cut.add(address)
    hosts.crash(FOLLOWER, "s1")
    hosts.net.cut.remove(address)
    assert hosts.standings() == ["one-at-a-time", "one-at-a-time", "free"]
    hosts.advance(2.1)
    assert hosts.standings() == SUSPECTED


def test_host_that_starts_asks_others_what_they_know(hosts: QuarantineHosts) -> None:
    """Guards against a host that starts while nobody leads, and serves at once."""
    for number in range(3):
        hosts.crash(FOLLOWER, f"s{number}")
    hosts.add(hosts.trio.hosts[OTHER])
    assert not hosts.quarantines[-1].exchange.is_current
    hosts.advance(0.05)
    assert hosts.quarantines[-1].exchange.is_current
    hosts.advance(UNDECIDED_S)
    assert hosts.standings()[-1] == "refused"


def test_request_waits_for_what_its_host_missed_while_it_stood_still(
    hosts: QuarantineHosts,
) -> None:
    """Guards against a host that wakes up and serves before it reads the news."""
    hosts.paused.add(OTHER)
    address = hosts.trio.hosts[OTHER].peers.identity.address
    hosts.net.cut.add(address)
    for number in range(3):
        hosts.crash(FOLLOWER, f"s{number}")
    hosts.net.cut.remove(address)
    call = hosts.call(OTHER)
    admitting = call.admit()
    hosts.advance(0.05)
    assert not admitting.called
    hosts.advance(UNDECIDED_S)
    (problem,) = call.problems
    assert problem.status == 503


def test_request_without_a_suspicion_sends_nothing(hosts: QuarantineHosts) -> None:
    call = hosts.call(FOLLOWER)
    assert call.admit().called
    assert call.run.may_send()
    server = hosts.server("s1")
    call.run.note_written(server)
    call.run.note_answered(server)
    call.run.finish()
    assert not hosts.quarantines[FOLLOWER].suspicions.runs
    assert not hosts.quarantines[FOLLOWER].detector.probes


@pytest.mark.parametrize("fate", FATES.values(), ids=FATES)
@pytest.mark.parametrize(
    ("ends", "most"), [(2, MAX_CRASHES), (3, 2)], ids=["two-ended", "three-ended"]
)
def test_sends_are_bounded_whatever_becomes_of_them(
    hosts: QuarantineHosts, fate: Fate, ends: int, most: int
) -> None:
    """Guards against tries that cost nothing, since nothing is proved by them."""
    hosts.crash_beside_others(ends)
    assert 0 < hosts.send_often(fate, times=80) <= most
    assert hosts.standings() == REFUSED


def test_request_that_ended_servers_alone_gets_no_further_try(
    hosts: QuarantineHosts,
) -> None:
    for number in range(MAX_CRASHES):
        hosts.crash(number, f"s{number}")
    assert not hosts.send_often(FATES["server-ends"], times=10)


def test_server_that_refuses_before_two_may_have_ended_costs_no_try(
    hosts: QuarantineHosts,
) -> None:
    """Guards against innocents refused for good by servers that are full."""
    hosts.crash(FOLLOWER, "s1")
    assert hosts.send_often(FATES["server-refuses"], times=10) >= 10
    assert hosts.standings() == SUSPECTED


def test_all_hosts_know_of_a_try_before_it_is_written(hosts: QuarantineHosts) -> None:
    """Guards against a host that ends with a try that nobody else has counted."""
    hosts.crash_beside_others(2)
    call = hosts.call(FOLLOWER)
    admitted = call.admit()
    hosts.advance(ADMITTED_S)
    assert admitted.called
    for quarantine in hosts.quarantines:
        (record,) = quarantine.records
        assert len(record.late_tries()) == 1


def test_try_that_is_not_written_counts_for_nothing(hosts: QuarantineHosts) -> None:
    """Guards against innocents refused for good by hosts that have no slot for them."""
    hosts.crash_beside_others(3)
    for _ in range(10):
        call = hosts.call(FOLLOWER)
        admitting = call.admit()
        hosts.advance(ADMITTED_S)
        admitting.cancel()
        call.run.finish()
        hosts.advance(0.1)
    for quarantine in hosts.quarantines:
        (record,) = quarantine.records
        assert len(record.late_tries()) == 1


def test_host_that_hears_no_other_gives_itself_no_last_chance(
    hosts: QuarantineHosts,
) -> None:
    """Guards against hosts that each count for themselves."""
    hosts.crash_beside_others(3)
    hosts.advance(4.0)
    for host in (LEADER, OTHER):
        hosts.net.cut.add(hosts.trio.hosts[host].peers.identity.address)
    hosts.advance(1.0)
    call = hosts.call(FOLLOWER)
    call.admit()
    hosts.advance(2.5)
    assert [problem.status for problem in call.problems] == [503]
    assert not hosts.quarantines[FOLLOWER].tries.last_chances


def test_copy_that_waited_while_its_host_stood_still_is_admitted_again(
    hosts: QuarantineHosts,
) -> None:
    """Guards against a host that wakes up and writes before it reads the news."""
    call = hosts.call(OTHER)
    call.admit()
    hosts.paused.add(OTHER)
    hosts.advance(1.5)
    assert not call.run.may_send()


def test_log_says_who_allowed_a_try_and_by_which_counts(
    hosts: QuarantineHosts,
) -> None:
    """Guards against tries of which no log tells why they took place."""
    with logbook.TestHandler(level="INFO") as handler:
        hosts.crash_beside_others(3)
        hosts.send_often(FATES["server-ends"], times=10)
    sent = [
        record.extra
        for record in handler.records
        if record.message == "suspected request sent"
    ]
    assert [(line["ended"], line["late_tries"]) for line in sent] == [
        *((1, 0), (2, 1), (3, 2)),
    ]
    assert {line["granter"] for line in sent} <= {
        host.peers.identity.host for host in hosts.trio.hosts
    }
    assert len({line["target"] for line in sent}) == 1
