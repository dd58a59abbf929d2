"""Hosts follow the next leader by its own word, whatever the store tells them."""

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
    Told,
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


def next_leads(trio: Trio) -> Told:
    """Let the second host lead, of which the store tells nobody else."""
    _, following, _ = trio.hosts
    following.peers.start_leading(NEXT_TERM)
    return following


def is_followed(host: Told, leader: Told) -> bool:
    """Whether a host takes what a leader tells."""
    change = events(40, item("probe", 40))
    leader.peers.broadcast_events(39, change)
    return (39, change) in host.events


def test_next_leader_is_followed_at_once(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = next_leads(trio)
    assert is_followed(other, leader)
    assert other.peers.receives_updates()
    assert other.peers.followed_revision == NEXT_TERM


def test_requests_are_reported_to_the_next_leader(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = next_leads(trio)
    other.peers.observed.note_request("roster", 4)
    trio.run(0.5)
    assert leader.requests == [("roster", {4: 1})]


def test_all_hosts_count_from_the_first_moment(trio: Trio) -> None:
    """Each host takes all room at the servers until the others have reported again."""
    leader = next_leads(trio)
    assert leader.hosts == 3


def test_host_that_leads_no_more_hears_so_from_the_next_leader(trio: Trio) -> None:
    """Its renewals go on for seconds, and its followers wait for what it tells."""
    former, _, _ = trio.hosts
    former.peers.on_superseded = former.peers.stop_leading
    leader = next_leads(trio)
    assert is_followed(former, leader)
    trio.run(1)
    assert former.peers.leader_silent_s() < 1, "it hears the leader as all others do"


def test_former_leader_is_not_followed_again(trio: Trio) -> None:
    former, _, other = trio.hosts
    leader = next_leads(trio)
    assert not is_followed(other, former)
    assert is_followed(other, leader)


@pytest.mark.parametrize(
    "stored",
    [
        pytest.param(lambda former: leader_item(former), id="former-item-read-late"),
        pytest.param(lambda former: None, id="former-item-gone"),
    ],
)
def test_older_word_of_the_store_changes_nothing(
    trio: Trio, stored: Callable[[Told], Item | None]
) -> None:
    """A host reads the store's changes one by one, after it was told of the last."""
    former, _, other = trio.hosts
    leader = next_leads(trio)
    other.peers.follow(stored(former))
    assert is_followed(other, leader)


def test_leader_whose_item_is_gone_is_followed_no_more(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = next_leads(trio)
    other.peers.follow(leader_item(leader, revision=NEXT_TERM))
    other.peers.follow(None)
    assert not is_followed(other, leader)


def test_leader_that_gained_the_lead_once_more_is_followed(trio: Trio) -> None:
    _, _, other = trio.hosts
    leader = next_leads(trio)
    leader.peers.stop_leading()
    other.peers.follow(leader_item(leader, revision=NEXT_TERM))
    other.peers.follow(None)
    leader.peers.start_leading(NEXT_TERM + 3)
    assert is_followed(other, leader)


def test_host_that_was_away_is_called_again(trio: Trio) -> None:
    """Back, it waits for a former leader; nobody knows that it is there."""
    former, _, other = trio.hosts
    trio.net.cut.add(other.peers.identity.address)
    leader = next_leads(trio)
    former.peers.stop_leading()
    # Its reports still go out, to the former leader.
    trio.run(INACTIVE_AFTER_S + 1)
    assert not is_followed(other, leader)
    trio.net.cut.clear()
    trio.run(RECONNECT_INTERVAL_S + HEARTBEAT_INTERVAL_S + 2 * TICK_S)
    assert is_followed(other, leader)


def test_host_that_is_gone_for_good_is_called_no_more(trio: Trio) -> None:
    former, _, other = trio.hosts
    former.peers.on_superseded = former.peers.stop_leading
    trio.net.cut.add(other.peers.identity.address)
    leader = next_leads(trio)
    other.peers.stop()
    trio.hosts.remove(other)
    trio.run(REMOVE_AFTER_S + RECONNECT_INTERVAL_S + HEARTBEAT_INTERVAL_S)
    trio.net.cut.clear()
    other.events.clear()
    trio.run(2 * RECONNECT_INTERVAL_S)
    assert other.events == []
    assert leader.hosts == 2
