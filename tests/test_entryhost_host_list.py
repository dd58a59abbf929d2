"""The list of hosts in the store."""

import pytest

from gentianwharf.entryhost._host_list import WRITE_INTERVAL_S
from gentianwharf.entryhost._membership import REMOVE_AFTER_S
from gentianwharf.entryhost._store_keys import HOSTS_KEY
from tests.builders_entryhost import Fleet

HOSTS = 4


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    fleet = Fleet(monkeypatch, hosts=HOSTS)
    fleet.run(4 + 2 * WRITE_INTERVAL_S)
    return fleet


def listed(fleet: Fleet) -> int:
    item = fleet.items.get(HOSTS_KEY)
    assert item is not None
    return item.value.count(b"7200")


def test_leader_lists_all_hosts(fleet: Fleet) -> None:
    assert listed(fleet) == HOSTS


def test_list_is_written_only_when_it_changes(fleet: Fleet) -> None:
    """Guards against needless writes: each is paid for and sent to all hosts."""
    for host in fleet.hosts:
        host.store.calls.clear()
    fleet.run(10 * WRITE_INTERVAL_S)
    assert [host.store.calls.count("change") for host in fleet.hosts] == [0] * HOSTS


def test_host_that_does_not_return_is_removed_from_the_list(fleet: Fleet) -> None:
    removed = fleet.follower()
    removed.coordinator.stop()
    fleet.hosts.remove(removed)
    fleet.net.cut.add(removed.address)
    fleet.run(REMOVE_AFTER_S + 3 * WRITE_INTERVAL_S)
    assert listed(fleet) == HOSTS - 1


@pytest.mark.parametrize("value", [b"", b"{}", b"[[1]]"])
def test_unreadable_list_is_written_again(fleet: Fleet, value: bytes) -> None:
    fleet.write(HOSTS_KEY, value)
    fleet.run(2 * WRITE_INTERVAL_S)
    assert listed(fleet) == HOSTS


def test_restarted_host_reaches_all_others_as_leader(
    fleet: Fleet,
) -> None:
    """Guards against a restarted leader that has no contact with the other hosts.

    Hosts whose calls the store refuses kept waiting for updates of the previous leader.
    """
    former = fleet.leader()
    restarted = fleet.restart(fleet.follower(), refuses_calls=False)
    fleet.run(0.1)
    for host in fleet.hosts:
        host.store.refuses_calls = host is not restarted
    fleet.net.cut.add(former.address)
    fleet.run(4)
    fleet.list_server("i-1")
    fleet.run(2)
    others = [host for host in fleet.hosts if host is not former]
    assert [host.servers() for host in others] == [["i-1"]] * (HOSTS - 1)
