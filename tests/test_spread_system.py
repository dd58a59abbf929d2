"""Rules reach every host and never go back, under each known failure.

The ``seen`` list of a host contains the values that it would have put in force;
``assert_monotonic`` checks that their revisions never decrease.
"""

from collections.abc import Iterator

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import ConflictError
from gentianwharf.infra import Fault, FaultKind, StoreOperation, VersionedValue
from gentianwharf.spread._messages import Have, Push, Vector, encode
from gentianwharf.spread._overlay import WATCHERS
from gentianwharf.spread._packing import pack

from .builders_spread import (
    DOMAINS,
    PREFIX,
    RULES,
    WITHIN_S,
    Cluster,
    assert_reaches_all,
    checked_cluster,
    running,
    watchers_of,
)

DOWN = Fault(kind=FaultKind.DOWN)
SILENT = Fault(kind=FaultKind.SILENT_WATCH)
HANGS = Fault(kind=FaultKind.HANGS, operations=frozenset({StoreOperation.WATCH}))
WATCH_ENDS_S = 6.0
"""A fault does not affect a watch that is already waiting; it has ended by then."""

HEARTBEAT_S = 0.6
"""The longest pause between two digests."""


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    yield from checked_cluster()


def test_change_reaches_every_host(cluster: Cluster) -> None:
    assert_reaches_all(cluster)


def test_other_keys_of_the_store_are_not_replicated(cluster: Cluster) -> None:
    cluster.write(b"holder", key=PREFIX + "control/calendrier")
    cluster.write(b"chunk", key=PREFIX + "table/calendrier/0")
    cluster.write(b"former", key=PREFIX + "rules-history/1")
    cluster.run(2)
    assert {one.spread.state().keys for one in cluster.members.values()} == {2}


def test_published_value_is_forwarded_at_once(cluster: Cluster) -> None:
    """A control holder confirms a move; it reaches all hosts while all watches hang."""
    cluster.fault_all(HANGS)
    cluster.run(8)
    writer = cluster.members["ariana-3"]
    writer.spread.publish(cluster.write(b"moved"))
    assert cluster.run_until(lambda: cluster.all_at(2), limit_s=WITHIN_S) < WITHIN_S


@pytest.mark.parametrize("fault", [SILENT, HANGS], ids=["silent", "hangs"])
@pytest.mark.parametrize("watchers", [1, 2], ids=["one", "both"])
def test_watches_that_stop_reporting(
    cluster: Cluster, fault: Fault, watchers: int
) -> None:
    """Watches of a failure domain report no more changes, or never answer.

    Its hosts would keep the old rules. They receive the new ones from the other watcher
    or from the watchers of other failure domains.
    """
    for member in watchers_of(cluster, "lac")[:watchers]:
        member.store.faults.append(fault)
    cluster.run(8)
    assert_reaches_all(cluster)


def test_hanging_watches_are_replaced(cluster: Cluster) -> None:
    """A middlebox loses the state of all connections between hosts and the store.

    Every waiting watch hangs while new ones work. Each is cancelled two seconds after
    its wait, which bounds the delay of a change.
    """
    cluster.fault_all(HANGS)
    cluster.run(6)
    cluster.fault_all()
    assert_reaches_all(cluster, limit_s=8)


def test_answer_that_arrives_late_does_not_go_back(cluster: Cluster) -> None:
    """A watcher's answers are delayed, and newer rules arrive before them."""
    late = watchers_of(cluster, "lac")[0]
    cluster.run(6)
    late.store.faults.append(Fault(kind=FaultKind.ANSWER_LATE, delay_s=1.5))
    cluster.run(6)
    for number in range(4):
        assert_reaches_all(cluster)
        cluster.run(0.3 * number)
    cluster.run(10)
    assert late.spread.state().counts.stale_dropped > 0
    assert cluster.all_at(5)


def test_peer_with_an_old_version_is_updated_and_changes_nothing(
    cluster: Cluster,
) -> None:
    """A host reconnects with old rules and forwards them as if they were new."""
    assert_reaches_all(cluster)
    cluster.run(1)
    old = Push(key=RULES, packed=pack(b"first"), revision=1, root="lac-1")
    stale = cluster.members["lac-1"]
    target = cluster.members["ariana-1"]
    before = target.spread.state().counts.stale_dropped
    target.spread.received("lac-1", encode(old))
    target.spread.received("lac-1", encode(Have(versions=[(RULES, 1)])))
    target.spread.received(
        "lac-1", encode(Vector(versions=[], store_age_ms=0, ready=True))
    )
    cluster.run(1)
    assert cluster.all_at(2)
    assert target.spread.state().counts.stale_dropped == before + 1
    assert stale.spread.state().counts.malformed == 0


def test_malformed_message_is_counted_and_dropped(cluster: Cluster) -> None:
    member = cluster.members["lac-1"]
    bad = Push(key=RULES, packed=b"\x01no-deflate", revision=9, root="lac-2")
    for message in (b"\x09nonsense", encode(bad)):
        member.spread.received("lac-2", message)
    assert member.spread.state().counts.malformed == 2
    assert member.revision() == 1
    assert_reaches_all(cluster)


def test_messages_do_not_loop_when_host_lists_differ() -> None:
    """The platform's list lags differently on each host, so their trees differ.

    If a host were its own descendant, a change would circulate forever and fill every
    link. Children come after their parent in the order of hashes, which is the same
    in every list.
    """
    cluster = running(Cluster(per_domain=40, domains=["lac"]))
    for member in cluster.members.values():
        member.spread.set_hosts(cluster.rng.sample(cluster.hosts, 25))
    cluster.run(6)
    cluster.messages = 0
    cluster.run(2)
    idle = cluster.messages
    cluster.messages = 0
    revision = cluster.write(b"next").revision
    cluster.run(2)
    assert cluster.all_at(revision)
    assert cluster.messages - idle < 10 * len(cluster.hosts)


def test_watcher_forwards_bodies_in_the_tree_of_another() -> None:
    """The second watcher already has the value when the body from the first arrives.

    If it did not forward the body, the hosts below it would have to pull it.
    """
    large = running(Cluster(per_domain=12))
    pulled = sum(one.spread.counts.pulled for one in large.members.values())
    for _ in range(5):
        assert_reaches_all(large)
        large.run(1)
    after = sum(one.spread.counts.pulled for one in large.members.values())
    assert after == pulled


def test_two_operators_at_once_end_in_one_list_everywhere(cluster: Cluster) -> None:
    """Two operators edit revision 1 at the same time; the store accepts one edit.

    All hosts must end with the same list, whichever edit was first.
    """
    outcomes: list[object] = []
    for value in (b"one operator", b"the other"):
        write = Deferred.fromCoroutine(
            cluster.store.compare_and_swap(RULES, value, expected_revision=1)
        )
        write.addCallbacks(outcomes.append, lambda failure: outcomes.append(failure))
    cluster.run(WITHIN_S)
    won, lost = outcomes
    assert isinstance(won, VersionedValue)
    assert lost.check(ConflictError)  # type: ignore[attr-defined]
    held = {one.spread.value(RULES) for one in cluster.members.values()}
    assert held == {won}


def test_many_changes_in_a_row_end_in_the_last(cluster: Cluster) -> None:
    for _ in range(50):
        revision = cluster.write(b"x").revision
        cluster.run(cluster.rng.uniform(0, 0.01))
    assert (
        cluster.run_until(lambda: cluster.all_at(revision), limit_s=WITHIN_S) < WITHIN_S
    )


@pytest.mark.parametrize("lost", ["lac-1", "lac-2", "ariana-3", "charguia-4"])
def test_lost_messages_to_one_host_are_recovered_by_the_next_digest(
    cluster: Cluster, lost: str
) -> None:
    """All messages of a change to one host are lost."""
    cluster.members[lost].store.faults[:] = [DOWN]
    cluster.run(WATCH_ENDS_S)
    cluster.cut_hosts = {lost}
    revision = cluster.write(b"next").revision
    cluster.run(0.01)
    cluster.cut_hosts = set()
    took_s = cluster.run_until(lambda: cluster.all_at(revision), limit_s=WITHIN_S)
    assert took_s <= HEARTBEAT_S


def test_lost_messages_are_recovered_by_digests(cluster: Cluster) -> None:
    """30 % of all messages are lost, so that every change misses some hosts."""
    cluster.loss = 0.3
    for _ in range(20):
        assert_reaches_all(cluster, limit_s=4 * HEARTBEAT_S)
        cluster.run(0.5)


def test_standby_watchers_replace_dead_ones(cluster: Cluster) -> None:
    """Both watchers of the only reachable failure domain die but stay listed."""
    cluster.cut_domains = set(DOMAINS)
    for member in watchers_of(cluster, "lac"):
        cluster.stop(member.host.id)
    cluster.run(20)
    assert_reaches_all(cluster)
    cluster.start(
        next(one.id for one in cluster.hosts if one.id not in cluster.members)
    )
    cluster.run(20)
    assert len(watchers_of(cluster, "lac")) <= WATCHERS + 1
