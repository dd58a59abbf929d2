"""Unit tests of the versions, overlay and messages of the replication."""

from collections import Counter

import pytest

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import VersionedValue
from gentianwharf.spread._messages import (
    MAX_KEYS,
    MAX_MESSAGE_BYTES,
    Digest,
    Have,
    Pull,
    Push,
    Vector,
    VectorRequest,
    decode,
    encode,
)
from gentianwharf.spread._overlay import FAN_OUT, PARTNERS, WATCHERS, Overlay, children
from gentianwharf.spread._versions import VersionTable

from .builders_spread import make_hosts


def _table(*versions: tuple[str, int]) -> VersionTable:
    table = VersionTable()
    for key, revision in versions:
        table.update(VersionedValue(key=key, value=b"", revision=revision))
    return table


@pytest.mark.parametrize(
    ("revision", "taken"),
    [(4, False), (5, False), (6, True)],
    ids=["older", "same", "newer"],
)
def test_only_a_higher_revision_is_taken(revision: int, taken: bool) -> None:
    table = _table(("a", 5))
    offered = VersionedValue(key="a", value=b"x", revision=revision)
    assert table.update(offered) is taken
    assert table.revision("a") == max(5, revision)


def test_checksum_depends_on_versions_not_on_their_order() -> None:
    assert (
        _table(("a", 1), ("b", 2)).checksum() == _table(("b", 2), ("a", 1)).checksum()
    )
    table = _table(("a", 1), ("b", 2))
    before = table.checksum()
    table.update(VersionedValue(key="a", value=b"", revision=3))
    assert table.checksum() != before


def test_differences_are_found_both_ways() -> None:
    table = _table(("a", 5), ("b", 2), ("c", 3))
    theirs = [("a", 4), ("b", 6), ("d", 1)]
    assert table.missing(theirs) == [("b", 6), ("d", 1)]
    assert table.newer_than(theirs) == [("a", 5), ("c", 3)]


@pytest.mark.parametrize("size", [1, 2, 9, 10, 100, 500])
def test_tree_reaches_every_host_once(size: int) -> None:
    members = [f"lac-{number}" for number in range(size)]
    root = members[size // 2]
    reached = [root]
    for host_id in reached:
        reached += children(root, host_id, members, revision=7)
    assert sorted(reached) == sorted(members)


def test_trees_of_different_roots_differ_in_their_middle() -> None:
    members = [f"lac-{number}" for number in range(500)]
    inner = [set(children(root, root, members, revision=7)) for root in members[:2]]
    assert all(len(one) == FAN_OUT for one in inner)
    assert len(inner[0] & inner[1]) <= 1


def test_no_host_is_in_the_middle_of_every_revisions_tree() -> None:
    """With frequent changes, some hosts sent eight times the bytes of each.

    The tree of the first watcher had the same inner nodes for every change.
    """
    members = [f"lac-{number}" for number in range(100)]
    passed_on = Counter(
        host
        for revision in range(50)
        for host in members[1:]
        for _ in children(members[0], host, members, revision=revision)
    )
    mean = sum(passed_on.values()) / len(members)
    assert max(passed_on.values()) < 4 * mean


def _overlays(hosts_per_domain: int) -> dict[str, Overlay]:
    hosts = make_hosts(hosts_per_domain)
    overlays = {host.id: Overlay(host=host) for host in hosts}
    for one in overlays.values():
        one.set_hosts(hosts)
    return overlays


@pytest.mark.parametrize("per_domain", [1, 4, 12, 100])
def test_each_domain_has_few_watchers_and_all_agree_on_them(per_domain: int) -> None:
    overlays = _overlays(per_domain)
    watchers = sorted(
        name for name, one in overlays.items() if one.watch_rank < WATCHERS
    )
    assert len(watchers) == 3 * min(WATCHERS, per_domain)
    for name, one in overlays.items():
        elsewhere = [w for w in watchers if w.split("-")[0] != name.split("-")[0]]
        assert sorted(one.remote_watchers) == elsewhere


def test_host_that_leaves_changes_few_places() -> None:
    hosts = make_hosts(100, ["lac"])
    full = Overlay(host=hosts[0])
    full.set_hosts(hosts)
    gone = full.partners[0]
    smaller = Overlay(host=hosts[0])
    smaller.set_hosts([host for host in hosts if host.id != gone])
    assert set(full.partners) - set(smaller.partners) == {gone}


@pytest.mark.parametrize("size", [12, 100, 500])
def test_partners_connect_the_domain(size: int) -> None:
    """Digests recover a lost message only along a path of partners."""
    hosts = make_hosts(size, ["lac"])
    links: dict[str, set[str]] = {host.id: set() for host in hosts}
    for host in hosts:
        overlay = Overlay(host=host)
        overlay.set_hosts(hosts)
        assert len(overlay.partners) == PARTNERS
        for partner in overlay.partners:
            links[host.id].add(partner)
            links[partner].add(host.id)
    reached = {hosts[0].id}
    queue = [hosts[0].id]
    for one in queue:
        new = links[one] - reached
        reached |= new
        queue += new
    assert len(reached) == size


@pytest.mark.parametrize(
    "message",
    [
        Push(key="rules", packed=b"\x00\xff", revision=7, root="lac-1"),
        Have(versions=[("rules", 7)]),
        Digest(checksum=2**64 - 1, store_age_ms=-1, ready=False),
        VectorRequest(),
        Vector(versions=[("rules", 7), ("table", 3)], store_age_ms=12, ready=True),
        Pull(keys=["rules"]),
    ],
    ids=lambda message: type(message).__name__.lower(),
)
def test_message_comes_back_as_sent(message: Push) -> None:
    assert decode(encode(message), peer="lac-1") == message


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(b"", "got 0", id="empty"),
        pytest.param(b"\x01" * (MAX_MESSAGE_BYTES + 1), "bytes", id="too-large"),
        pytest.param(
            b"\x02" + encode(VectorRequest())[1:], "format 1", id="other-format"
        ),
        pytest.param(b"\x01\xff", "expected a message", id="not-msgpack"),
        pytest.param(
            encode(Have(versions=[("k", 1)] * (MAX_KEYS + 1))), "4096", id="too-many"
        ),
    ],
)
def test_malformed_message_names_its_sender(data: bytes, expected: str) -> None:
    with pytest.raises(PeerMismatchError, match=expected) as caught:
        decode(data, peer="lac-1")
    assert caught.value.peer == "lac-1"
