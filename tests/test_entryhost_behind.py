"""Hosts receive changes of the store in time, whoever leads and whatever fails."""

from collections.abc import Callable

import pytest

from gentianwharf.store import FORWARDING_PACE
from tests.builders_entryhost import TICK_S, Fleet, Host

HOSTS = 5
IN_FORCE_S = 2.0
"""A change is in force at every host this long after the store accepted it."""

STABLE_S = 3.0
"""Maximum time for a host to reconnect to a store that was unavailable."""


def _resign(fleet: Fleet, leader: Host) -> None:
    leader.coordinator.resign(4.0)


def _remove(fleet: Fleet, leader: Host) -> None:
    leader.coordinator.stop()
    fleet.hosts.remove(leader)
    fleet.net.cut.add(leader.address)


def _cut_off(fleet: Fleet, leader: Host) -> None:
    fleet.net.cut.add(leader.address)


def _keep_leader(fleet: Fleet, leader: Host) -> None:
    pass


LeaderChange = Callable[[Fleet, Host], None]
Stores = Callable[[Fleet], list[Host]]


def _all(fleet: Fleet) -> list[Host]:
    return list(fleet.hosts)


def _all_but_one(fleet: Fleet) -> list[Host]:
    return fleet.hosts[1:]


def _leader(fleet: Fleet) -> list[Host]:
    return [fleet.leader()]


LEADERS = [
    pytest.param(_keep_leader, id="leader-stays"),
    pytest.param(_resign, id="leader-resigns"),
    pytest.param(_remove, id="leader-lost"),
    pytest.param(_cut_off, id="leader-cut-off"),
]
STORES = [
    pytest.param(_all, id="all"),
    pytest.param(_all_but_one, id="all-but-one"),
    pytest.param(_leader, id="leader"),
]


@pytest.mark.parametrize("kind", ["is_silent", "loses_watches"])
@pytest.mark.parametrize("away_s", [1.0, 3.0, 9.0])
@pytest.mark.parametrize("stores", STORES)
@pytest.mark.parametrize("change_leader", LEADERS)
def test_all_hosts_have_changes_once_the_store_has_recovered(
    monkeypatch: pytest.MonkeyPatch,
    *,
    change_leader: LeaderChange,
    stores: Stores,
    away_s: float,
    kind: str,
) -> None:
    """Guards against hosts that keep old rules after the store has recovered.

    The store leaves calls unanswered while the leader is replaced. The other hosts wait
    for watches that are never answered, and report to the previous leader, so that the
    new one does not send them updates: five of nine hosts served by old rules for 14 s.
    """
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4)
    fleet.list_server("i-1")
    fleet.run(1)
    leader = fleet.leader()
    silent = [host.store for host in stores(fleet)]
    for store in silent:
        setattr(store, kind, True)
    fleet.run(away_s / 2)
    change_leader(fleet, leader)
    fleet.run(away_s / 2)
    fleet.list_server("i-2")
    for store in silent:
        setattr(store, kind, False)
    fleet.run(STABLE_S)
    assert [host.servers() for host in fleet.hosts] == [["i-1", "i-2"]] * len(
        fleet.hosts
    )
    fleet.list_server("i-3")
    fleet.run(IN_FORCE_S)
    assert {len(host.servers()) for host in fleet.hosts} == {3}


@pytest.mark.parametrize("change_leader", LEADERS)
def test_hosts_follow_changes_while_the_leader_changes(
    monkeypatch: pytest.MonkeyPatch, change_leader: LeaderChange
) -> None:
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4)
    leader = fleet.leader()
    change_leader(fleet, leader)
    fleet.list_server("i-1")
    fleet.run(IN_FORCE_S)
    assert {len(host.servers()) for host in fleet.hosts} == {1}


def test_view_age_grows_before_the_watch_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that serves by old rules while its metrics look normal.

    As long as its watch may still be answered, a host does not count the store as lost.
    Old rules went unnoticed for 14 s.
    """
    fleet = Fleet(monkeypatch, hosts=1)
    fleet.run(4)
    (host,) = fleet.hosts
    assert host.coordinator.mirror.age_s() < IN_FORCE_S
    host.store.is_silent = True
    fleet.run(1.7)
    assert host.coordinator.mirror.silent_s() == 0
    # The watch in progress may be answered at the end of its wait.
    assert host.coordinator.mirror.age_s() > 1.7 - FORWARDING_PACE.wait_s - 2 * TICK_S
    host.store.is_silent = False
    fleet.run(STABLE_S)
    assert host.coordinator.mirror.age_s() < IN_FORCE_S


def test_host_reports_its_leader_and_the_age_of_its_last_update(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that waits unnoticed for updates of a previous leader."""
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(4)
    item = fleet.items.with_prefix("gentianwharf/leader")[0]
    assert {host.coordinator.peers.followed_revision for host in fleet.hosts} == {
        item.revision
    }
    follower, leader = fleet.follower(), fleet.leader()
    fleet.net.cut.add(follower.address)
    fleet.run(3)
    assert follower.coordinator.peers.leader_silent_s() > 2.0
    assert leader.coordinator.peers.leader_silent_s() == 0.0
