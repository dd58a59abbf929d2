"""No host stays behind the store for long, whoever leads and whatever was lost."""

from collections.abc import Callable

import pytest

from gentianwharf.store import FORWARDING_PACE
from tests.builders_entryhost import TICK_S, Fleet, Host

HOSTS = 5
IN_FORCE_S = 2.0
"""After the store took a change it is in force at every host."""

STABLE_S = 3.0
"""A host may take so long to find the store again after it was away."""


def _resigns(fleet: Fleet, leader: Host) -> None:
    leader.control.resign(4.0)


def _is_lost(fleet: Fleet, leader: Host) -> None:
    leader.control.stop()
    fleet.hosts.remove(leader)
    fleet.net.cut.add(leader.address)


def _is_cut_off(fleet: Fleet, leader: Host) -> None:
    fleet.net.cut.add(leader.address)


def _stays(fleet: Fleet, leader: Host) -> None:
    pass


Change = Callable[[Fleet, Host], None]
Ways = Callable[[Fleet], list[Host]]


def _all(fleet: Fleet) -> list[Host]:
    return list(fleet.hosts)


def _all_but_one(fleet: Fleet) -> list[Host]:
    return fleet.hosts[1:]


def _leader(fleet: Fleet) -> list[Host]:
    return [fleet.leader()]


LEADERS = [
    pytest.param(_stays, id="leader-stays"),
    pytest.param(_resigns, id="leader-resigns"),
    pytest.param(_is_lost, id="leader-lost"),
    pytest.param(_is_cut_off, id="leader-cut-off"),
]
WAYS = [
    pytest.param(_all, id="all"),
    pytest.param(_all_but_one, id="all-but-one"),
    pytest.param(_leader, id="leader"),
]


@pytest.mark.parametrize("kind", ["is_silent", "loses_watches"])
@pytest.mark.parametrize("away_s", [1.0, 3.0, 9.0])
@pytest.mark.parametrize("ways", WAYS)
@pytest.mark.parametrize("change_leader", LEADERS)
def test_all_hosts_have_what_changed_once_the_store_is_well(
    monkeypatch: pytest.MonkeyPatch,
    *,
    change_leader: Change,
    ways: Ways,
    away_s: float,
    kind: str,
) -> None:
    """Five of nine hosts serve by old rules for 14 s after the store was silent.

    The store leaves calls without an answer, and the leader is gone meanwhile. Each
    other host watches by itself, and waits for an answer that never comes. The store is
    well again and another host leads, of which those that wait can't know: they report
    to the former one, and nobody tells them anything.
    """
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4)
    fleet.list_server("i-1")
    fleet.run(1)
    leader = fleet.leader()
    silent = [one.way for one in ways(fleet)]
    for way in silent:
        setattr(way, kind, True)
    fleet.run(away_s / 2)
    change_leader(fleet, leader)
    fleet.run(away_s / 2)
    fleet.list_server("i-2")
    for way in silent:
        setattr(way, kind, False)
    fleet.run(STABLE_S)
    assert [one.servers() for one in fleet.hosts] == [["i-1", "i-2"]] * len(fleet.hosts)
    fleet.list_server("i-3")
    fleet.run(IN_FORCE_S)
    assert {len(one.servers()) for one in fleet.hosts} == {3}


@pytest.mark.parametrize("change_leader", LEADERS)
def test_hosts_follow_changes_while_the_leader_changes(
    monkeypatch: pytest.MonkeyPatch, change_leader: Change
) -> None:
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4)
    leader = fleet.leader()
    change_leader(fleet, leader)
    fleet.list_server("i-1")
    fleet.run(IN_FORCE_S)
    assert {len(one.servers()) for one in fleet.hosts} == {1}


def test_host_tells_how_old_its_view_is_before_its_watch_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing shows for 14 s that a host serves by old rules.

    Its watch may still be answered, so the store is not lost to it.
    """
    fleet = Fleet(monkeypatch, hosts=1)
    fleet.run(4)
    (host,) = fleet.hosts
    assert host.control.mirror.age_s() < IN_FORCE_S
    host.way.is_silent = True
    fleet.run(1.7)
    assert host.control.mirror.silent_s() == 0
    # The watch that was on its way may have been answered after its whole wait.
    assert host.control.mirror.age_s() > 1.7 - FORWARDING_PACE.wait_s - 2 * TICK_S
    host.way.is_silent = False
    fleet.run(STABLE_S)
    assert host.control.mirror.age_s() < IN_FORCE_S


def test_host_tells_which_leader_it_follows_and_how_old_its_news_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing shows that a host waits for news of a leader that leads no more."""
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(4)
    item = fleet.items.below("gentianwharf/leader")[0]
    assert {one.control.peers.followed_revision for one in fleet.hosts} == {
        item.revision
    }
    follower, leader = fleet.follower(), fleet.leader()
    fleet.net.cut.add(follower.address)
    fleet.run(3)
    assert follower.control.peers.leader_silent_s() > 2.0
    assert leader.control.peers.leader_silent_s() == 0.0
