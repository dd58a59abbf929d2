"""Hosts follow the store together while the store or a link fails for one of them."""

from random import Random

import pytest

from tests.builders_entryhost import Fleet


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(4)
    # This change ends the watches that were started before there was a leader.
    fleet.list_server("i-1")
    fleet.run(1)
    return fleet


def test_hosts_receive_a_change_from_the_leader_alone(fleet: Fleet) -> None:
    follower = fleet.follower()
    follower.store.calls.clear()
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert [host.servers() for host in fleet.hosts] == [["i-1", "i-2"]] * 3
    assert follower.store.calls == []


def test_host_refused_by_the_store_catches_up(fleet: Fleet) -> None:
    """Guards against a host that misses changes for as long as the store refuses it.

    An update of the leader is lost, and all later updates depend on it.
    """
    follower = fleet.follower()
    follower.store.refuses_calls = True
    fleet.net.cut.add(follower.address)
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert fleet.leader().servers() == ["i-1", "i-2"]
    fleet.net.cut.clear()
    fleet.run(3)
    assert follower.servers() == ["i-1", "i-2"]
    fleet.list_server("i-3")
    fleet.run(0.5)
    assert follower.servers() == ["i-1", "i-2", "i-3"], "updates are applied again"


def test_host_whose_watch_was_lost_catches_up(fleet: Fleet) -> None:
    """Guards against a host that waits for a lost watch after it has reconnected.

    The host was cut off from the leader, and its own watch was not answered. It kept
    its former state for 21 s, until the watch timed out.
    """
    follower = fleet.follower()
    fleet.net.cut.add(follower.address)
    follower.store.loses_watches = True
    fleet.run(3)
    fleet.list_server("i-2")
    fleet.run(0.5)
    follower.store.loses_watches = False
    fleet.net.cut.clear()
    fleet.run(1.5)
    assert follower.servers() == ["i-1", "i-2"]


def test_hosts_without_missing_changes_request_none(fleet: Fleet) -> None:
    # Missing changes are sent over the leader's link, which must not happen unless some
    # are missing.
    for number in range(2, 40):
        fleet.list_server(f"i-{number}")
        fleet.run(0.25)
    assert all(len(host.servers()) == 39 for host in fleet.hosts)
    assert all(host.coordinator.mirror.behind_s() == 0 for host in fleet.hosts)


@pytest.mark.parametrize(
    "value", [b"", b'{"state": "draining"}', b'{"newer": ' + b"[" * 10_000]
)
def test_invalid_entry_does_not_block_other_entries(fleet: Fleet, value: bytes) -> None:
    """Guards against an entry that stops the hosts' copies of the store.

    A server wrote an entry that made the decoder raise an unexpected error. The copies
    ended, and all hosts kept the servers of that moment.
    """
    fleet.write("servers/i-1", value)
    fleet.run(0.5)
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert [host.servers() for host in fleet.hosts] == [["i-2"]] * 3


def test_host_that_lacks_a_large_value_catches_up(fleet: Fleet) -> None:
    """Guards against a large value that blocks all later changes for one host.

    The store refuses the host's calls. A value that is too large for an update to all
    hosts was also too large to be sent to one host, and later changes depend on it.
    """
    follower = fleet.follower()
    follower.store.refuses_calls = True
    fleet.write("tables/large", Random(1).randbytes(260_000))
    fleet.run(0.5)
    fleet.list_server("i-2")
    fleet.run(10)
    assert follower.servers() == ["i-1", "i-2"]
    assert "tables/large" in follower.coordinator.mirror.items
