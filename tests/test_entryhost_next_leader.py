"""Hosts follow a new leader by its own updates, before they read it from the store."""

from collections.abc import Callable

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost._broadcaster import HEARTBEAT_INTERVAL_S
from gentianwharf.entryhost._membership import (
    INACTIVE_AFTER_S,
    RECONNECT_INTERVAL_S,
    REMOVE_AFTER_S,
)
from gentianwharf.store import Item
from tests.builders_peers import (
    TICK_S,
    RecordingHost,
    Trio,
    leader_item,
    make_trio,
)
from tests.builders_store import LinkNet, events, item

NEXT_TERM = 9


@pytest.fixture
def trio(monkeypatch: pytest.MonkeyPatch) -> Trio:
    clock = Clock()
    clock.advance(100)
    return make_trio(monkeypatch, clock, LinkNet())


def start_next_leader(trio: Trio) -> RecordingHost:
    """Make the second host the leader without changing the store's items elsewhere."""
    _, following, _ = trio.hosts
    following.peers.start_leading(NEXT_TERM)
    return following


def is_followed(host: RecordingHost, leader: RecordingHost) -> bool:
    """Whether a host applies the changes that a leader sends."""
    change = events(40, item("probe", 40))
    leader.peers.broadcast_events(39, change)
    return (39, change) in host.events


def test_next_leader_is_followed_at_once(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = start_next_leader(trio)
    assert is_followed(other, leader)
    assert other.peers.receives_updates()
    assert other.peers.followed_revision == NEXT_TERM


def test_requests_are_reported_to_the_next_leader(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = start_next_leader(trio)
    other.peers.observed.note_request("roster", 4)
    trio.run(0.5)
    assert leader.requests == [("roster", {4: 1})]


def test_new_leader_counts_all_listed_hosts_at_once(trio: Trio) -> None:
    """Guards against hosts that use the servers' full capacity each.

    The limits per host depend on the number of hosts, which a new leader only had after
    the others had reported again.
    """
    leader = start_next_leader(trio)
    assert leader.host_count == 3


def test_previous_leader_stops_on_an_update_of_the_next_one(trio: Trio) -> None:
    """Guards against a previous leader that keeps renewing its lease.

    Its renewals may continue for seconds, while its followers wait for its updates.
    """
    former, _, _ = trio.hosts
    former.peers.on_superseded = former.peers.stop_leading
    leader = start_next_leader(trio)
    assert is_followed(former, leader)
    trio.run(1)
    assert former.peers.leader_silent_s() < 1, "it receives updates as others do"


def test_previous_leader_is_not_followed_again(trio: Trio) -> None:
    former, _, other = trio.hosts
    leader = start_next_leader(trio)
    assert not is_followed(other, former)
    assert is_followed(other, leader)


@pytest.mark.parametrize(
    "stored",
    [
        pytest.param(lambda former: leader_item(former), id="former-item-read-late"),
        pytest.param(lambda former: None, id="former-item-gone"),
    ],
)
def test_older_leader_item_from_the_store_is_ignored(
    trio: Trio, stored: Callable[[RecordingHost], Item | None]
) -> None:
    """Guards against following a previous leader again.

    A host reads the changes of the store one by one, after it received the latest
    leader's update.
    """
    former, _, other = trio.hosts
    leader = start_next_leader(trio)
    other.peers.follow(stored(former))
    assert is_followed(other, leader)


def test_leader_without_its_item_is_not_followed(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = start_next_leader(trio)
    other.peers.follow(leader_item(leader, revision=NEXT_TERM))
    other.peers.follow(None)
    assert not is_followed(other, leader)


def test_leader_that_regained_leadership_is_followed(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = start_next_leader(trio)
    leader.peers.stop_leading()
    other.peers.follow(leader_item(leader, revision=NEXT_TERM))
    other.peers.follow(None)
    leader.peers.start_leading(NEXT_TERM + 3)
    assert is_followed(other, leader)


def test_inactive_host_is_contacted_again(trio: Trio) -> None:
    """Guards against a reconnected host that waits for a previous leader."""
    former, _, other = trio.hosts
    trio.net.cut.add(other.peers.identity.address)
    leader = start_next_leader(trio)
    former.peers.stop_leading()
    # The host still sends reports to the previous leader.
    trio.run(INACTIVE_AFTER_S + 1)
    assert not is_followed(other, leader)
    trio.net.cut.clear()
    trio.run(RECONNECT_INTERVAL_S + HEARTBEAT_INTERVAL_S + 2 * TICK_S)
    assert is_followed(other, leader)


def test_host_that_does_not_return_is_not_contacted_forever(trio: Trio) -> None:
    former, _, other = trio.hosts
    former.peers.on_superseded = former.peers.stop_leading
    trio.net.cut.add(other.peers.identity.address)
    leader = start_next_leader(trio)
    other.peers.stop()
    trio.hosts.remove(other)
    trio.run(REMOVE_AFTER_S + RECONNECT_INTERVAL_S + HEARTBEAT_INTERVAL_S)
    trio.net.cut.clear()
    other.events.clear()
    trio.run(2 * RECONNECT_INTERVAL_S)
    assert other.events == []
    assert leader.host_count == 2
