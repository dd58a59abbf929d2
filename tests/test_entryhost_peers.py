"""What hosts tell each other: reports to the leader, and its news to all."""

from random import Random

import msgspec
import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost._messages import HostAddress, Report
from gentianwharf.entryhost._peers import FED_S
from gentianwharf.keyspace import Span
from gentianwharf.store import Events, Removal
from tests.builders_keyspace import span
from tests.builders_peers import TICK_S, Trio, host_of, leader_item, make_trio
from tests.builders_store import LinkNet, UplinkNet, events, item


@pytest.fixture
def trio(monkeypatch: pytest.MonkeyPatch) -> Trio:
    clock = Clock()
    clock.advance(100)
    return make_trio(monkeypatch, clock, LinkNet())


def test_changes_are_told_as_the_watch_brought_them(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    brought = events(12, item("a", 11, b"1"), Removal(key="b", revision=12))
    leader.peers.tell_events(10, brought)
    assert follower.events[-1] == (10, brought)
    assert follower.peers.is_fed()
    assert not leader.peers.is_fed(), "the leader watches"


def test_all_know_how_many_hosts_there_are(trio: Trio) -> None:
    assert [one.hosts for one in trio.hosts] == [3, 3, 3]


def test_news_at_rest_tell_up_to_where_nothing_changed(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    leader.revision = 17
    trio.run(1)
    assert follower.events[-1] == (17, Events(changes=(), revision=17))


def test_a_silent_leader_feeds_nobody(trio: Trio) -> None:
    # The leader is lost or frozen: its lease runs on for a second, and until somebody
    # else leads nobody tells what changes in the store.
    _, follower, _ = trio.hosts
    trio.net.cut.add(follower.peers.name.address)
    trio.run(FED_S + 2 * TICK_S)
    assert not follower.peers.is_fed()


def test_a_leader_that_does_not_hear_the_store_feeds_nobody(trio: Trio) -> None:
    # A cut between the leader and the store, but not between it and the others: they
    # would go on by rules that the operators have changed.
    leader, follower, _ = trio.hosts
    leader.revision = None
    trio.run(1)
    assert not follower.peers.is_fed()
    assert follower.peers.hears_leader(), "what it says of moves still holds"


def test_a_leader_that_resigns_says_so(trio: Trio) -> None:
    # Nobody would see the leader's place empty until its silence is noticed, a second
    # in which no grant is renewed.
    leader, follower, _ = trio.hosts
    leader.revision = None
    leader.peers.cease_to_lead()
    assert not follower.peers.is_fed()


def test_news_of_a_former_leader_count_for_nothing(trio: Trio) -> None:
    # It was frozen while another host took its place, and wakes with old news.
    leader, follower, other = trio.hosts
    follower.peers.follow(leader_item(other))
    told = len(follower.events)
    leader.peers.tell_events(10, events(12, item("a", 11)))
    assert len(follower.events) == told
    assert not follower.peers.is_fed()


def test_moves_that_are_done_are_told(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    moved: Span = span(3, 9, 1, token=7, former_holders=(2,))
    leader.peers.tell_granted("roster", moved)
    assert follower.granted == [("roster", 3, 9, 7)]


def test_moves_that_end_close_together_are_told_together(trio: Trio) -> None:
    """A new leader of 85 servers told 86 hosts of 300 spans one by one.

    Its link and its processor were full for seconds, it could renew neither its lease
    nor the grants, and the next leader did the same.
    """
    leader, follower, _ = trio.hosts
    messages: list[int] = []
    listener = trio.net.listeners[follower.peers.name.address]

    def count(data: bytes) -> None:
        messages.append(len(data))
        listener(data)

    trio.net.listeners[follower.peers.name.address] = count
    for first in range(300):
        moved = span(first, first, 1, token=7, former_holders=(2,))
        leader.peers.tell_granted("roster", moved)
    trio.run(0.2)
    assert len(follower.granted) == 300
    assert len(messages) <= 4


def test_spans_that_did_not_move_are_not_told(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    leader.peers.tell_granted("roster", span(3, 9, 1, token=7))
    trio.run(0.2)
    assert follower.granted == []


def test_requests_are_reported(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    follower.peers.seen.note_request("roster", 4)
    follower.peers.seen.note_request("roster", 4)
    trio.run(0.5)
    assert leader.requests == [("roster", {4: 2})]


def test_a_leader_whose_watch_has_no_answer_feeds_nobody(trio: Trio) -> None:
    """The store leaves the leader's watch without an answer and takes its other calls.

    A server leaves meanwhile. Nobody is told of it, and work goes on to a server that
    is about to end.
    """
    leader, follower, _ = trio.hosts
    leader.age_s = FED_S - 0.3
    trio.run(0.45)
    leader.age_s = FED_S + 0.1
    trio.run(0.45)
    assert not follower.peers.is_fed()


def test_large_values_are_told_by_what_changed_in_them(trio: Trio) -> None:
    """Tables of 15 kB for 86 hosts fill a link of 5 Mbit/s for two seconds.

    What else the leader tells, a server that leaves, waits behind them.
    """
    leader, follower, _ = trio.hosts
    first = item("t", 11, bytes(range(256)) * 40)
    second = item("t", 12, first.value[:500] + b"changed" + first.value[507:])
    sizes: list[int] = []
    listener = trio.net.listeners[follower.peers.name.address]

    def measure(data: bytes) -> None:
        sizes.append(len(data))
        listener(data)

    trio.net.listeners[follower.peers.name.address] = measure
    leader.peers.tell_events(10, events(11, first))
    follower.items["t"] = first
    leader.peers.tell_events(11, events(12, second))
    assert follower.events[-1] == (11, events(12, second))
    assert sizes[-1] < 200


def test_change_of_a_value_that_a_host_lacks_is_fetched(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    large = bytes(range(256)) * 40
    leader.peers.tell_events(10, events(11, item("t", 11, large)))
    leader.peers.tell_events(11, events(12, item("t", 12, large + b"more")))
    assert follower.events[-1] == (12, Events(changes=(), revision=12))


def test_next_leader_tells_whole_values_first(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    large = bytes(range(256)) * 40
    leader.peers.tell_events(10, events(11, item("t", 11, large)))
    leader.peers.cease_to_lead()
    leader.peers.begin_to_lead(5)
    leader.peers.tell_events(11, events(12, item("t", 12, large + b"more")))
    assert follower.events[-1] == (11, events(12, item("t", 12, large + b"more")))


def random_bytes(size: int) -> bytes:
    return Random(1).randbytes(size)


def test_change_that_is_too_large_to_be_told_is_fetched_at_once(trio: Trio) -> None:
    """Hosts learn of new rules up to 0.4 s later than they could.

    The rules' message is larger than a host takes; it is dropped and the link made
    anew. The news at rest are the first to tell that there was one.
    """
    leader, follower, _ = trio.hosts
    large = events(12, item("rules", 12, random_bytes(1_040_000)))
    leader.peers.tell_events(10, large)
    assert follower.events[-1] == (12, Events(changes=(), revision=12))


def test_change_that_no_host_would_read_is_fetched_however_fast_the_link(
    trio: Trio,
) -> None:
    """A leader with a fast link sent what is larger than a host takes."""
    former, follower, _ = trio.hosts
    leader = host_of(trio.clock, 0, link_bytes_per_s=125_000_000)
    leader.peers.roster.note_listed([HostAddress("h1", follower.peers.name.address)])
    leader.peers.begin_to_lead(7)
    large = events(12, item("rules", 12, random_bytes(1_040_000)))
    leader.peers.tell_events(10, large)
    assert follower.events[-1] == (12, Events(changes=(), revision=12))


def test_large_change_does_not_hold_up_what_is_told_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers are sent to a server that said seconds ago that it leaves.

    86 hosts are told of 3,500 new rules, 5 MB over the leader's link of 5 Mbit/s. What
    it tells next waits behind them, and takes the age that it had at its sending: so
    hosts think that they know all, and don't watch the store.
    """
    clock = Clock()
    clock.advance(100)
    net = UplinkNet(clock=clock, bytes_per_s=625_000)
    trio = make_trio(monkeypatch, clock, net)
    leader, follower, _ = trio.hosts
    others = [
        Report(f"other{number}", f"10.0.1.{number}:90", {}, {}) for number in range(83)
    ]
    for one in others:
        net.listeners[one.address] = lambda data: None
        net.listeners[leader.peers.name.address](msgspec.msgpack.encode(one))
    leader.revision = 12
    leader.peers.tell_events(10, events(12, item("rules", 12, random_bytes(60_000))))
    leader.revision = 13
    leader.peers.tell_events(12, events(13, item("servers/i-1", 13, b"leaving")))
    trio.run(1)
    assert follower.events[-1][1].revision == 13


def test_change_that_a_host_has_already_needs_no_former_value(trio: Trio) -> None:
    """A host pays for a watch, and is late with all that came in the same message.

    Its own watch brought the table's change before the leader told it. The change is
    told against the value of before, which the host no longer has.
    """
    leader, follower, _ = trio.hosts
    large = bytes(range(256)) * 40
    leader.peers.tell_events(10, events(11, item("t", 11, large)))
    brought = events(13, item("t", 12, large + b"more"), item("a", 13, b"1"))
    follower.items["t"] = item("t", 12, large + b"more")
    leader.peers.tell_events(11, brought)
    assert follower.events[-1] == (11, brought)


def test_change_older_than_what_a_host_has_brings_nothing_back(trio: Trio) -> None:
    leader, follower, _ = trio.hosts
    large = bytes(range(256)) * 40
    leader.peers.tell_events(10, events(11, item("t", 11, large)))
    newest = item("t", 14, large + b"newest")
    follower.items["t"] = newest
    leader.peers.tell_events(11, events(12, item("t", 12, large + b"more")))
    assert follower.events[-1] == (11, events(12, newest))


def test_news_of_a_release_that_packs_otherwise_are_not_read(trio: Trio) -> None:
    """During an update of the hosts some take garbage for the newest rules.

    A leader of another release tells what changed in a value in another form. It must
    not be read as one that this release knows: a host that can't read its leader's news
    watches the store.
    """
    _, follower, _ = trio.hosts
    known = list(follower.events)
    former = ["news", "h0", 3, [], 0.1, 10, 11, [["t", 11, b"x", 0, 0]]]
    trio.net.listeners[follower.peers.name.address](msgspec.msgpack.encode(former))
    assert follower.events == known
