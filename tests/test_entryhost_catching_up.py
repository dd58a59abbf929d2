"""The leader sends missing changes to the hosts that lack them."""

from collections.abc import Callable
from random import Random

import msgspec
import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost._peer_messages import Report
from tests.builders_peers import TICK_S, Trio, make_host, make_trio
from tests.builders_store import LinkNet, events, item


@pytest.fixture
def trio(monkeypatch: pytest.MonkeyPatch) -> Trio:
    clock = Clock()
    clock.advance(100)
    return make_trio(monkeypatch, clock, LinkNet())


def random_bytes(size: int) -> bytes:
    return Random(1).randbytes(size)


def test_leader_sends_missing_changes_to_a_host_that_cannot_fetch_them(
    trio: Trio,
) -> None:
    """Guards against a host that keeps old rules while the store refuses its calls.

    A message between the hosts is lost, or was too large to be sent to all of them. The
    host cannot apply later updates without it, and cannot read the store either.
    """
    leader, follower, other = trio.hosts
    missing = events(13, item("rules", 12, random_bytes(60_000)), item("a", 13))
    leader.changes[10] = missing
    leader.revision = 13
    follower.missing_after = 10
    trio.run(0.5)
    assert (10, missing) in follower.events
    assert (10, missing) not in other.events


def test_leader_that_may_lack_changes_sends_none(
    trio: Trio,
) -> None:
    leader, follower, _ = trio.hosts
    leader.changes[10] = events(13, item("a", 13))
    leader.revision = None
    follower.missing_after = 10
    trio.run(1)
    assert (10, leader.changes[10]) not in follower.events


def test_large_missing_changes_are_sent_to_one_host_at_a_time(trio: Trio) -> None:
    """Guards against updates that queue behind missing changes on a slow link."""
    leader, *followers = trio.hosts
    missing = events(12, item("rules", 12, random_bytes(80_000)))
    leader.changes[10] = missing
    leader.revision = 12
    for follower in followers:
        follower.missing_after = 10
    trio.run(0.5)
    received = [follower.events.count((10, missing)) for follower in followers]
    assert sum(received) == 1
    trio.run(1)
    assert sum(follower.events.count((10, missing)) for follower in followers) == 2


def test_leader_with_a_fast_link_sends_missing_changes_to_many_hosts(
    trio: Trio,
) -> None:
    """Guards against hosts that wait for changes although the link has capacity.

    Of 30 hosts whose calls the store refused, half received nothing for 9 s.
    """
    leader = make_host(trio.clock, 0, link_bytes_per_s=25_000_000)
    leader.peers.start_leading(7)
    missing = events(12, item("rules", 12, random_bytes(80_000)))
    leader.changes[10] = missing
    leader.revision = 12
    received: list[str] = []
    for number in range(30):
        address = f"10.0.1.{number}:90"
        trio.net.listeners[address] = lambda data: received.append(
            "lacking" if len(data) > 80_000 else "news"
        )
        report = Report(f"other{number}", address, {}, {}, 10)
        trio.net.listeners[leader.peers.identity.address](
            msgspec.msgpack.encode(report)
        )
        trio.clock.advance(TICK_S)
    assert received.count("lacking") == 30


def test_all_hosts_that_request_changes_together_receive_them(
    trio: Trio,
) -> None:
    """Guards against hosts that are skipped because they request changes too late.

    Hosts report almost simultaneously, and those that came a moment later were skipped.
    """
    leader = trio.hosts[0]
    missing = events(12, item("rules", 12, random_bytes(10_000)))
    leader.changes[10] = missing
    leader.revision = 12
    received: set[str] = set()

    def listener(address: str) -> Callable[[bytes], None]:
        return lambda data: received.add(address) if len(data) > 10_000 else None

    addresses = [f"10.0.1.{number}:90" for number in range(30)]
    for address in addresses:
        trio.net.listeners[address] = listener(address)
    for _ in range(4):
        for address in addresses:
            missing_after = 10 if address not in received else None
            report = Report(address, address, {}, {}, missing_after)
            encoded = msgspec.msgpack.encode(report)
            trio.net.listeners[leader.peers.identity.address](encoded)
        trio.run(0.9)
    assert len(received) == 30


def test_queued_host_with_a_new_address_receives_changes_there(
    trio: Trio,
) -> None:
    """Guards against sending to a closed link, which made the leader's tick fail."""
    leader = trio.hosts[0]
    missing = events(12, item("rules", 12, random_bytes(80_000)))
    leader.changes[10] = missing
    leader.revision = 12
    received: list[str] = []

    def listener(address: str) -> Callable[[bytes], None]:
        return lambda data: received.append(address) if len(data) > 80_000 else None

    for host, address in (("a", "a:1"), ("b", "b:1"), ("b", "b:2")):
        trio.net.listeners[address] = listener(address)
        report = msgspec.msgpack.encode(Report(host, address, {}, {}, 10))
        trio.net.listeners[leader.peers.identity.address](report)
    trio.run(2)
    assert received == ["a:1", "b:2"]


def test_large_missing_changes_are_sent_in_batches(trio: Trio) -> None:
    """Guards against updates to all hosts that are delayed by changes for one host."""
    leader, follower, _ = trio.hosts
    missing = [
        item("a", 11, random_bytes(60_000)),
        item("b", 12, random_bytes(60_000)),
        item("c", 12, random_bytes(60_000)),
    ]
    leader.changes[10] = events(13, *missing)
    leader.changes[11] = events(13, *missing[1:])
    leader.revision = 13
    follower.missing_after = 10
    trio.run(0.5)
    assert (10, events(11, missing[0])) in follower.events
    follower.missing_after = 11
    trio.run(1)
    # The changes of a revision are not divided: a host that had received a part of them
    # could not state up to which revision it is complete.
    assert (11, events(13, *missing[1:])) in follower.events
