"""A host finds out that it has lost its links to all servers, and when they return."""

from dataclasses import replace

import pytest

from gentianwharf.relay import ConnectFailure
from gentianwharf.relay._link_monitor import (
    MAX_LATE_S,
    OVERDUE_S,
    PROBE_TIMEOUT_S,
    PROBES,
    RECENTLY_OPENED_S,
    RESTORED_PROBE_INTERVAL_S,
    SILENCE_S,
)
from tests.builders_links import Links
from tests.builders_platform import result_of

FAILURES = [
    pytest.param(ConnectFailure.REFUSED, id="refused"),
    pytest.param(ConnectFailure.TIMED_OUT, id="hanging"),
    pytest.param(ConnectFailure.OTHER, id="no-route"),
]
DETECTED_S = 0.5


def cut_off(failure: ConnectFailure = ConnectFailure.TIMED_OUT) -> Links:
    links = Links()
    links.fail(failure)
    links.confirm()
    links.run(PROBE_TIMEOUT_S + 0.02)
    assert links.monitor.is_cut_off
    return links


@pytest.mark.parametrize("failure", FAILURES)
def test_host_is_cut_off_if_no_server_can_be_reached(failure: ConnectFailure) -> None:
    """Guards against a host that refuses requests while others reach the servers."""
    links = Links()
    links.fail(failure)
    verdicts = [links.confirm() for _ in range(5)]
    links.run(PROBE_TIMEOUT_S + 0.02)
    assert [result_of(verdict) for verdict in verdicts] == [True] * 5
    assert len(links.probed) == len(set(links.probed)) == PROBES
    assert links.reachability.cut_offs == 1


@pytest.mark.parametrize("failure", FAILURES)
def test_servers_that_are_down_are_no_lost_links(failure: ConnectFailure) -> None:
    """Guards against tunnels on a host that reaches every server that is up.

    Servers to which connections failed are not asked again for this purpose.
    """
    for seed in range(50):
        links = Links(seed=seed)
        links.fail(failure, except_for=3)
        for pool in links.pools[3:]:
            links.reachability.note_failed(pool.server.id, failure)
        verdict = links.confirm()
        links.run(PROBE_TIMEOUT_S + 0.02)
        assert result_of(verdict) is False
        assert set(links.probed) == {"s0", "s1", "s2"}


def test_host_that_reaches_the_servers_beside_it_is_not_cut_off() -> None:
    """Guards against tunnels on hosts whose failure domain is cut off from the others.

    The hosts beside them reach no other servers either.
    """
    for seed in range(50):
        links = Links(servers=9, seed=seed, domain="ariana")
        for number, pool in enumerate(links.pools):
            domain = ("lac", "charguia", "ariana")[number % 3]
            pool.server = replace(pool.server, domain=domain)
            if domain != "ariana":
                links.failures[pool.server.id] = ConnectFailure.TIMED_OUT
        verdict = links.confirm()
        links.run(PROBE_TIMEOUT_S + 0.02)
        assert result_of(verdict) is False


def test_probes_of_a_host_that_was_busy_are_no_evidence() -> None:
    """Guards against timeouts that fire before open connections are noticed."""
    links = Links()
    links.fail(ConnectFailure.TIMED_OUT)
    verdict = links.confirm()
    links.clock.advance(PROBE_TIMEOUT_S + 2 * MAX_LATE_S)
    assert result_of(verdict) is False
    assert not links.monitor.is_cut_off
    links.confirm()
    links.run(PROBE_TIMEOUT_S + 0.02)
    assert links.monitor.is_cut_off


def test_rest_of_a_round_with_a_reached_server_is_no_evidence() -> None:
    """Guards against a verdict from the probes that failed after one was opened."""
    links = Links(servers=3)
    links.fail(ConnectFailure.TIMED_OUT, except_for=1)
    first = links.confirm()
    links.run(0.02)
    assert result_of(first) is False
    second = links.monitor.verify()
    links.run(PROBE_TIMEOUT_S + 0.02)
    assert result_of(second) is False
    assert not links.monitor.is_cut_off


def test_one_server_alone_is_no_evidence() -> None:
    links = Links(servers=1)
    links.fail(ConnectFailure.REFUSED)
    assert result_of(links.confirm()) is False
    assert not links.probed


def test_connection_that_was_just_opened_is_evidence_enough() -> None:
    """Guards against probes for every connection to a server that is down."""
    links = Links()
    links.reachability.note_opened("s0")
    assert result_of(links.confirm()) is False
    links.run(RECENTLY_OPENED_S + 0.02, answered=True)
    assert not links.probed
    links.confirm()
    assert len(links.probed) == PROBES


def test_host_whose_servers_answer_sends_nothing_to_find_out() -> None:
    """Guards against a price that hosts with all their links pay."""
    links = Links()
    links.send(0, unacknowledged=100, age_s=5.0)
    links.run(10.0, answered=True)
    assert not links.probed


def test_slow_servers_are_no_lost_links() -> None:
    """Guards against probes while servers work: their kernels acknowledge requests."""
    links = Links()
    for server in range(2):
        links.send(server, unacknowledged=0, age_s=0.0)
    links.run(10.0)
    assert not links.probed


def test_bytes_that_stay_unacknowledged_raise_a_suspicion() -> None:
    links = Links()
    links.fail(ConnectFailure.TIMED_OUT)
    links.send(0, unacknowledged=229)
    links.run(DETECTED_S)
    assert links.monitor.is_cut_off
    assert all("direct" in pool.retired for pool in links.pools)


def test_upload_whose_bytes_are_acknowledged_in_turn_raises_no_suspicion() -> None:
    links = Links()
    upload = links.send(0, unacknowledged=1)
    for _ in range(100):
        upload.unacknowledged += 1
        links.run(0.02)
    assert not links.probed


def test_silence_of_several_servers_raises_a_suspicion() -> None:
    """Guards against links on which something between acknowledges what is lost."""
    links = Links()
    links.fail(ConnectFailure.TIMED_OUT)
    for server in (0, 1, 1):
        links.send(server)
    links.run(SILENCE_S - 0.02)
    assert not links.probed
    links.run(DETECTED_S)
    assert links.monitor.is_cut_off


@pytest.mark.parametrize(
    ("servers", "suspected"),
    [
        pytest.param(["s0", "s0", "s0"], False, id="one-server-restarts"),
        pytest.param(["s0", "s1"], True, id="several-at-once"),
    ],
)
def test_resets_of_several_servers_at_once_raise_a_suspicion(
    servers: list[str], suspected: bool
) -> None:
    links = Links()
    for server in servers:
        links.monitor.note_reset(server)
    assert bool(links.probed) is suspected


def test_connections_that_still_work_are_kept() -> None:
    """Guards against closing what works while only new connections are refused."""
    links = Links()
    links.fail(ConnectFailure.REFUSED)
    links.run(1.0, answered=True)
    links.confirm()
    links.run(0.1, answered=True)
    assert links.monitor.is_cut_off
    assert not any(pool.retired for pool in links.pools)
    links.send(0, unacknowledged=100)
    links.run(OVERDUE_S + DETECTED_S)
    assert all("direct" in pool.retired for pool in links.pools)


@pytest.mark.parametrize(
    ("failure", "are_retired"),
    [
        pytest.param(ConnectFailure.REFUSED, False, id="refused"),
        pytest.param(ConnectFailure.TIMED_OUT, True, id="hanging"),
    ],
)
def test_connections_of_a_quiet_host_are_closed_only_if_new_ones_hang(
    failure: ConnectFailure, are_retired: bool
) -> None:
    """Guards against requests that are given up on connections that live on."""
    links = Links()
    links.fail(failure)
    links.run(1.0)
    links.confirm()
    links.run(PROBE_TIMEOUT_S - 0.02)
    links.send(0)
    links.run(0.04)
    assert links.monitor.is_cut_off
    assert [bool(pool.retired) for pool in links.pools] == [are_retired] * 6


def test_links_are_restored_once_two_servers_are_reached() -> None:
    links = cut_off()
    links.fail(ConnectFailure.TIMED_OUT, except_for=1)
    links.run(40 * RESTORED_PROBE_INTERVAL_S)
    assert links.monitor.is_cut_off
    links.failures.clear()
    links.run(10 * RESTORED_PROBE_INTERVAL_S)
    assert not links.monitor.is_cut_off
    assert all(pool.retired[-1] == "tunnels" for pool in links.pools)
    probed = len(links.probed)
    links.run(5.0)
    assert len(links.probed) == probed


def test_second_cut_is_found_like_the_first() -> None:
    links = cut_off()
    links.failures.clear()
    links.run(10 * RESTORED_PROBE_INTERVAL_S)
    links.fail(ConnectFailure.TIMED_OUT)
    links.run(RECENTLY_OPENED_S)
    links.send(0, unacknowledged=229)
    links.run(DETECTED_S)
    assert links.reachability.cut_offs == 2


def test_connections_being_opened_are_given_up_with_the_links() -> None:
    """Guards against requests that wait for a connection until its timeout."""
    links = Links()
    given_up: list[bool] = []
    links.monitor.add_connecting(lambda: given_up.append(True))
    links.fail(ConnectFailure.TIMED_OUT)
    links.monitor.note_slow_connect()
    links.run(PROBE_TIMEOUT_S + 0.02)
    assert given_up == [True]
