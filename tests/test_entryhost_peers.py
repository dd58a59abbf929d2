"""Messages between hosts: reports to the leader, and its updates to all hosts."""

import msgspec

from gentianwharf.entryhost._broadcaster import (
    HEARTBEAT_INTERVAL_S,
    MAX_REPEATED_GRANTS,
)
from gentianwharf.entryhost._grant_pace import MAX_GRANT_INTERVAL_S, grant_interval_s
from gentianwharf.entryhost._peers import CHANGES_VALID_S
from gentianwharf.keyspace import Span
from gentianwharf.store import Events, Removal
from tests.builders_keyspace import span
from tests.builders_peers import (
    TICK_S,
    Trio,
    leader_item,
)
from tests.builders_store import events, item


def test_changes_are_sent_as_the_watch_returned_them(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    returned = events(12, item("a", 11, b"1"), Removal(key="b", revision=12))
    leader.peers.broadcast_events(10, returned)
    assert follower.events[-1] == (10, returned)
    assert follower.peers.receives_changes()
    assert not leader.peers.receives_changes(), "the leader has its own watch"


def test_all_hosts_receive_the_number_of_hosts(trio: Trio) -> None:
    assert [host.host_count for host in trio.hosts] == [3, 3, 3]


def test_update_without_changes_carries_the_current_revision(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    leader.revision = 17
    trio.run(1)
    assert follower.events[-1] == (17, Events(changes=(), revision=17))


def test_silent_leader_counts_as_sending_no_changes(trio: Trio) -> None:
    # A leader that is lost or frozen keeps its lease for another second, in which no
    # host sends the changes of the store.
    _, follower, _ = trio.hosts
    trio.net.cut.add(follower.peers.identity.address)
    trio.run(CHANGES_VALID_S + 2 * TICK_S)
    assert not follower.peers.receives_changes()


def test_leader_without_the_store_counts_as_sending_no_changes(trio: Trio) -> None:
    # The leader is cut off from the store but not from the other hosts, which would
    # keep rules that operators have changed.
    leader, follower, _ = trio.hosts
    leader.revision = None
    trio.run(1)
    assert not follower.peers.receives_changes()
    assert follower.peers.receives_updates(), "notices of moves still arrive"


def test_resigning_leader_sends_a_last_update(trio: Trio) -> None:
    # Without the last update, hosts would notice the missing leader a second later, and
    # no grant would be renewed in that time.
    leader, follower, _ = trio.hosts
    leader.revision = None
    leader.peers.stop_leading()
    assert not follower.peers.receives_changes()


def test_update_of_a_previous_leader_is_ignored(trio: Trio) -> None:
    # The previous leader was frozen while another host replaced it, and then continues
    # with outdated updates.
    leader, follower, other = trio.hosts
    follower.peers.follow(leader_item(other))
    event_count = len(follower.events)
    leader.peers.broadcast_events(10, events(12, item("a", 11)))
    assert len(follower.events) == event_count
    assert not follower.peers.receives_changes()


def test_finished_moves_are_sent(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    moved: Span = span(3, 9, 1, token=7, former_holders=(2,))
    leader.peers.broadcast_grant("roster", moved)
    assert follower.granted == [("roster", 3, 9, 7)]


def test_moves_that_finish_close_together_share_a_message(trio: Trio) -> None:
    """Guards against one message per span when a leader starts.

    A new leader of 85 servers sent 300 grants to 86 hosts one by one. This used its
    whole link and processor for seconds, so that it could renew neither its lease nor
    the grants, and the next leader failed in the same way.
    """
    leader, follower, _ = trio.hosts
    messages: list[int] = []
    listener = trio.net.listeners[follower.peers.identity.address]

    def count(data: bytes) -> None:
        messages.append(len(data))
        listener(data)

    trio.net.listeners[follower.peers.identity.address] = count
    for first in range(300):
        moved = span(first, first, 1, token=7, former_holders=(2,))
        leader.peers.broadcast_grant("roster", moved)
    trio.run(0.2)
    assert len(follower.granted) == 300
    assert len(messages) <= 4


def test_notice_of_a_second_move_comes_soon(trio: Trio) -> None:
    """Guards against keys that are served, while hosts hold their requests for 0.1 s.

    Of 35 moves that a plan began together, each was noticed 69 ms late on average.
    """
    leader, follower, _ = trio.hosts
    for first in (3, 10):
        moved = span(first, first + 6, 1, token=7, former_holders=(2,))
        leader.peers.broadcast_grant("roster", moved)
    assert len(follower.granted) == 1
    trio.clock.advance(0.01)
    assert len(follower.granted) == 2, "without a tick"


def test_notices_to_many_hosts_are_limited_by_the_leaders_link() -> None:
    """Guards against notices that fill the link of a leader with many hosts."""
    slow_s = grant_interval_s(hosts=300, link_bytes_per_s=625_000)
    assert slow_s == MAX_GRANT_INTERVAL_S
    for hosts in (3, 64, 89, 300):
        interval_s = grant_interval_s(hosts=hosts, link_bytes_per_s=25_000_000)
        assert hosts / interval_s <= 3_000
    assert grant_interval_s(hosts=64, link_bytes_per_s=1_250_000) < 0.04


def test_host_that_stopped_leading_sends_no_notices(trio: Trio) -> None:
    """Guards against a timer that sends for a term that has ended."""
    leader, follower, _ = trio.hosts
    for first in (3, 10):
        moved = span(first, first + 6, 1, token=7, former_holders=(2,))
        leader.peers.broadcast_grant("roster", moved)
    leader.peers.stop_leading()
    trio.clock.advance(1)
    assert len(follower.granted) == 1


def test_notice_that_was_lost_is_repeated(trio: Trio) -> None:
    """Guards against keys that a host refuses until the table no longer lists them."""
    leader, follower, _ = trio.hosts
    moved = span(3, 9, 1, token=7, former_holders=(2,))
    trio.net.cut.add(follower.peers.identity.address)
    leader.peers.broadcast_grant("roster", moved)
    leader.peers.granted_moves = lambda: [("roster", moved)]
    trio.net.cut.clear()
    trio.run(HEARTBEAT_INTERVAL_S + TICK_S)
    assert follower.granted == [("roster", 3, 9, 7)]


def test_repeated_notices_are_bounded_and_take_turns(trio: Trio) -> None:
    """Guards against updates that grow with the number of moves of a plan."""
    leader, follower, _ = trio.hosts
    moves = [
        ("roster", span(first, first, 1, token=7, former_holders=(2,)))
        for first in range(3 * MAX_REPEATED_GRANTS - 5)
    ]
    leader.peers.granted_moves = lambda: moves
    counts: list[int] = []
    for _ in range(8):
        trio.run(HEARTBEAT_INTERVAL_S / 2)
        counts.append(len(follower.granted) - sum(counts))
    assert max(counts) <= MAX_REPEATED_GRANTS
    assert {granted[1] for granted in follower.granted} == set(range(len(moves)))


def test_grants_of_unmoved_spans_are_not_sent(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    leader.peers.broadcast_grant("roster", span(3, 9, 1, token=7))
    trio.run(0.2)
    assert follower.granted == []


def test_requests_are_reported(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    follower.peers.observed.note_request("roster", 4)
    follower.peers.observed.note_request("roster", 4)
    trio.run(0.5)
    assert leader.requests == [("roster", {4: 2})]


def test_leader_with_an_unanswered_watch_counts_as_sending_no_changes(
    trio: Trio,
) -> None:
    """Guards against work sent to a leaving server while the leader lacks changes.

    The store does not answer the leader's watch but answers its other calls, so that
    the other hosts do not receive the change of the server's state.
    """
    leader, follower, _ = trio.hosts
    leader.age_s = CHANGES_VALID_S - 0.3
    trio.run(0.45)
    leader.age_s = CHANGES_VALID_S + 0.1
    trio.run(0.45)
    assert not follower.peers.receives_changes()


def test_update_in_another_format_is_not_decoded(trio: Trio) -> None:
    """Guards against misreading updates while hosts are upgraded.

    A leader of another release encodes deltas in another format. A host that cannot
    decode an update watches the store instead.
    """
    _, follower, _ = trio.hosts
    events_before = list(follower.events)
    former = ["news", "h0", 3, [], 0.1, 10, 11, [["t", 11, b"x", 0, 0]]]
    trio.net.listeners[follower.peers.identity.address](msgspec.msgpack.encode(former))
    assert follower.events == events_before
