"""Hosts whose calls the store refuses, and hosts that reconnect to the store."""

from collections.abc import Callable
from random import Random

import pytest

from tests.builders_entryhost import FakeStore, Fleet
from tests.builders_users_platform import configuration

HOSTS = 7
IN_FORCE_S = 2.0
"""A change is in force at every reachable host this long after the store accepted
it."""

ELECTION_S = 4.0
"""Time for a leader's lease to expire and for all hosts to follow the next leader."""

STABLE_S = 3.0
"""Maximum time for a host to reconnect to a store that was unavailable."""

SLOW_LINK_BYTES_PER_S = 625_000
TABLE_BYTES = 60_000

Stores = Callable[[Fleet], list[FakeStore]]


def _leader(fleet: Fleet) -> list[FakeStore]:
    return [fleet.leader().store]


def _leader_and_one(fleet: Fleet) -> list[FakeStore]:
    return [fleet.leader().store, fleet.follower().store]


def _all_but_one(fleet: Fleet) -> list[FakeStore]:
    excluded = fleet.follower().store
    return [host.store for host in fleet.hosts if host.store is not excluded]


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4)
    fleet.list_server("i-1")
    fleet.run(1)
    return fleet


@pytest.mark.parametrize("kind", ["refuses_calls", "is_silent"])
@pytest.mark.parametrize(
    "stores",
    [
        pytest.param(_leader, id="leader"),
        pytest.param(_leader_and_one, id="leader-and-one"),
        pytest.param(_all_but_one, id="all-but-one"),
    ],
)
def test_hosts_refused_with_their_leader_receive_changes_from_the_next(
    fleet: Fleet, *, stores: Stores, kind: str
) -> None:
    """Guards against hosts that wait for the previous leader.

    Hosts read only from the store which host leads.
    """
    for store in stores(fleet):
        setattr(store, kind, True)
    fleet.run(ELECTION_S)
    for number in (2, 3):
        fleet.list_server(f"i-{number}")
        fleet.run(IN_FORCE_S)
        assert {len(host.servers()) for host in fleet.hosts} == {number}
    assert max(host.coordinator.mirror.age_s() for host in fleet.hosts) < IN_FORCE_S


def test_reconnected_hosts_have_the_newest_rules_soon(
    fleet: Fleet,
) -> None:
    """Guards against fetching every version of all values over a slow link first."""
    returning = [host for host in fleet.hosts if host is not fleet.leader()][1:]
    for host in returning:
        host.store.bytes_per_s = SLOW_LINK_BYTES_PER_S
        host.store.is_silent = True
        fleet.net.cut.add(host.address)
    rng = Random(1)
    for version in range(1, 51):
        fleet.write("tables/large", rng.randbytes(TABLE_BYTES))
        fleet.write("op/config", configuration(version=f"r{version}"))
        fleet.run(0.2)
    for host in returning:
        host.store.is_silent = False
    fleet.net.cut.clear()
    fleet.run(STABLE_S)
    assert {host.coordinator.rules.version for host in fleet.hosts} == {50}


def test_host_refused_at_its_start_receives_a_snapshot(
    fleet: Fleet,
) -> None:
    """Guards against a host without rules while the store refuses its calls."""
    host = fleet.restart(fleet.follower(), refuses_calls=True)
    fleet.run(STABLE_S)
    assert host.servers() == ["i-1"]
    fleet.list_server("i-2")
    fleet.remove_server("i-1")
    fleet.run(IN_FORCE_S)
    assert host.servers() == ["i-2"]


def test_refused_host_without_history_receives_a_snapshot(
    fleet: Fleet,
) -> None:
    """Guards against a host that can apply no change since it lacks earlier ones."""
    host = fleet.follower()
    fleet.net.cut.add(host.address)
    host.store.history_is_gone = True
    fleet.run(2)
    host.store.refuses_calls = True
    fleet.list_server("i-2")
    fleet.remove_server("i-1")
    fleet.run(1)
    fleet.net.cut.clear()
    fleet.run(STABLE_S)
    assert host.servers() == ["i-2"]


def test_host_behind_the_leaders_history_receives_a_snapshot(
    fleet: Fleet,
) -> None:
    """Guards against removals that a host misses.

    The leader does not have removals from before its own last reading of the store.
    """
    host, leader = fleet.follower(), fleet.leader()
    host.store.refuses_calls = True
    fleet.net.cut.add(host.address)
    fleet.list_server("i-2")
    fleet.remove_server("i-1")
    leader.store.history_is_gone = True
    fleet.run(1)
    leader.store.history_is_gone = False
    fleet.net.cut.clear()
    fleet.run(STABLE_S)
    assert host.servers() == ["i-2"]
