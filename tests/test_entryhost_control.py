"""What hosts learn together of the store, when one of its ways fails them."""

from random import Random

import pytest

from tests.builders_entryhost import Fleet


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    fleet = Fleet(monkeypatch, hosts=3)
    fleet.run(4)
    # Ends the watches of before there was a leader.
    fleet.list_server("i-1")
    fleet.run(1)
    return fleet


def test_hosts_learn_of_a_change_by_their_leader_alone(fleet: Fleet) -> None:
    follower = fleet.follower()
    follower.way.calls.clear()
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert [one.servers() for one in fleet.hosts] == [["i-1", "i-2"]] * 3
    assert follower.way.calls == []


def test_host_that_the_store_turns_away_catches_up(fleet: Fleet) -> None:
    """A host's callers miss servers that joined, for as long as the store refuses it.

    One message of the leader is lost meanwhile. All that it tells later goes on after
    that one.
    """
    follower = fleet.follower()
    follower.way.is_turned_away = True
    fleet.net.cut.add(follower.address)
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert fleet.leader().servers() == ["i-1", "i-2"]
    fleet.net.cut.clear()
    fleet.run(3)
    assert follower.servers() == ["i-1", "i-2"]
    fleet.list_server("i-3")
    fleet.run(0.5)
    assert follower.servers() == ["i-1", "i-2", "i-3"], "it is fed again"


def test_host_whose_watch_was_lost_catches_up(fleet: Fleet) -> None:
    """A host is cut off from the leader, and the answer of its own watch is lost.

    Back again, it stayed with what it knew until that watch ran out, 21 s.
    """
    follower = fleet.follower()
    fleet.net.cut.add(follower.address)
    follower.way.loses_watches = True
    fleet.run(3)
    fleet.list_server("i-2")
    fleet.run(0.5)
    follower.way.loses_watches = False
    fleet.net.cut.clear()
    fleet.run(1.5)
    assert follower.servers() == ["i-1", "i-2"]


def test_hosts_that_are_told_everything_are_asked_for_nothing(fleet: Fleet) -> None:
    # Catching up costs the leader's link; a calm fleet must not use it.
    for number in range(2, 40):
        fleet.list_server(f"i-{number}")
        fleet.run(0.25)
    assert all(len(one.servers()) == 39 for one in fleet.hosts)
    assert all(one.control.mirror.behind_s() == 0 for one in fleet.hosts)


@pytest.mark.parametrize(
    "value", [b"", b'{"state": "draining"}', b'{"newer": ' + b"[" * 10_000]
)
def test_odd_entry_costs_no_host_the_others(fleet: Fleet, value: bytes) -> None:
    """Every host keeps to the servers of an earlier moment, for good.

    One server wrote an entry that its reader can't bear, and the hosts' copies of the
    store ended with it.
    """
    fleet.write("servers/i-1", value)
    fleet.run(0.5)
    fleet.list_server("i-2")
    fleet.run(0.5)
    assert [one.servers() for one in fleet.hosts] == [["i-2"]] * 3


def test_host_that_lacks_a_large_value_catches_up(fleet: Fleet) -> None:
    """A host that the store turns away hears of no server that joins or leaves.

    Rules that were too large to be told to all came first. They were too large for one
    host as well, and what came after them is told with them or not at all.
    """
    follower = fleet.follower()
    follower.way.is_turned_away = True
    fleet.write("tables/large", Random(1).randbytes(260_000))
    fleet.run(0.5)
    fleet.list_server("i-2")
    fleet.run(10)
    assert follower.servers() == ["i-1", "i-2"]
    assert "tables/large" in follower.control.mirror.items
