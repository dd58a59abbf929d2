"""Rules reach every host and never go back, under each failure that we know of.

Every host's ``seen`` is what it would have put in force; ``monotonic`` checks that no
revision there ever fell.
"""

from collections.abc import Iterator

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import ConflictError
from gentianwharf.platform import Fault, FaultKind, StoreOperation, VersionedValue
from gentianwharf.spread._messages import Have, Push, Vector, encode
from gentianwharf.spread._packing import pack
from gentianwharf.spread._places import WATCHERS

from .builders_spread import DOMAINS, PREFIX, RULES, Cluster, Member

DOWN = Fault(kind=FaultKind.DOWN)
SILENT = Fault(kind=FaultKind.SILENT_WATCH)
HANGS = Fault(kind=FaultKind.HANGS, operations=frozenset({StoreOperation.WATCH}))
WITHIN_S = 2.0
WATCH_ENDS_S = 6.0
"""A watch that waits already is not touched by a fault; by then it has ended."""

HEARTBEAT_S = 0.6
"""The longest pause between two digests."""


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    made = _running(Cluster())
    yield made
    for member in made.members.values():
        _assert_monotonic(member)


def _running(cluster: Cluster) -> Cluster:
    cluster.write(b"first")
    cluster.run(2)
    assert cluster.all_at(1)
    assert len(cluster.ready()) == len(cluster.hosts)
    return cluster


def _assert_monotonic(member: Member) -> None:
    revisions = [value.revision for value in member.seen if value.key == RULES]
    assert revisions == sorted(set(revisions))


def _watchers(cluster: Cluster, domain: str) -> list[Member]:
    return [one for one in cluster.in_domain(domain) if one.spread.state().watching]


def _assert_reaches_all(cluster: Cluster, *, limit_s: float = WITHIN_S) -> None:
    revision = cluster.write(b"next").revision
    took_s = cluster.run_until(lambda: cluster.all_at(revision), limit_s=limit_s)
    assert took_s < limit_s


def test_change_reaches_every_host(cluster: Cluster) -> None:
    _assert_reaches_all(cluster)


def test_other_keys_of_the_store_are_not_passed_on(cluster: Cluster) -> None:
    cluster.write(b"holder", key=PREFIX + "control/calendrier")
    cluster.write(b"chunk", key=PREFIX + "table/calendrier/0")
    cluster.write(b"former", key=PREFIX + "rules-history/1")
    cluster.run(2)
    assert {one.spread.state().keys for one in cluster.members.values()} == {2}


def test_write_of_its_own_is_passed_on_at_once(cluster: Cluster) -> None:
    """A control holder confirms a move; with every watch silent it still gets about."""
    cluster.fault_all(HANGS)
    cluster.run(8)
    writer = cluster.members["ariana-3"]
    writer.spread.publish(cluster.write(b"moved"))
    assert cluster.run_until(lambda: cluster.all_at(2), limit_s=WITHIN_S) < WITHIN_S


@pytest.mark.parametrize("fault", [SILENT, HANGS], ids=["silent", "hangs"])
@pytest.mark.parametrize("watchers", [1, 2], ids=["one", "both"])
def test_watch_gone_silent(cluster: Cluster, fault: Fault, watchers: int) -> None:
    """Watches of a failure domain report nothing more, or never answer.

    Its hosts would keep the old rules; the other watcher, or the other failure
    domains' watchers, bring them the new ones.
    """
    for member in _watchers(cluster, "lac")[:watchers]:
        member.store.faults.append(fault)
    cluster.run(8)
    _assert_reaches_all(cluster)


def test_every_watch_gone_silent_is_made_anew(cluster: Cluster) -> None:
    """Something between hosts and store loses track of all their connections.

    Every waiting watch hangs while new ones work. Each is given up two seconds after
    its wait, so a change is late by at most that.
    """
    cluster.fault_all(HANGS)
    cluster.run(6)
    cluster.fault_all()
    _assert_reaches_all(cluster, limit_s=8)


def test_answer_that_arrives_late_does_not_go_back(cluster: Cluster) -> None:
    """A watcher's answer is held up for 20 s, and newer rules overtake it."""
    late = _watchers(cluster, "lac")[0]
    cluster.run(6)
    late.store.faults.append(Fault(kind=FaultKind.ANSWER_LATE, delay_s=1.5))
    cluster.run(6)
    for number in range(4):
        _assert_reaches_all(cluster)
        cluster.run(0.3 * number)
    cluster.run(10)
    assert late.spread.state().counts.dropped_older > 0
    assert cluster.all_at(5)


def test_peer_with_an_old_version_is_mended_and_changes_nothing(
    cluster: Cluster,
) -> None:
    """A host comes back from a cut with old rules and passes them on as news."""
    _assert_reaches_all(cluster)
    cluster.run(1)
    old = Push(key=RULES, packed=pack(b"first"), revision=1, root="lac-1")
    stale = cluster.members["lac-1"]
    target = cluster.members["ariana-1"]
    before = target.spread.state().counts.dropped_older
    target.spread.received("lac-1", encode(old))
    target.spread.received("lac-1", encode(Have(versions=[(RULES, 1)])))
    target.spread.received(
        "lac-1", encode(Vector(versions=[], store_age_ms=0, ready=True))
    )
    cluster.run(1)
    assert cluster.all_at(2)
    assert target.spread.state().counts.dropped_older == before + 1
    assert stale.spread.state().counts.malformed == 0


def test_malformed_message_is_counted_and_dropped(cluster: Cluster) -> None:
    member = cluster.members["lac-1"]
    bad = Push(key=RULES, packed=b"\x01no-deflate", revision=9, root="lac-2")
    for message in (b"\x09nonsense", encode(bad)):
        member.spread.received("lac-2", message)
    assert member.spread.state().counts.malformed == 2
    assert member.revision() == 1
    _assert_reaches_all(cluster)


def test_hosts_whose_lists_differ_do_not_pass_on_in_circles() -> None:
    """The platform's list lags differently on each host, so their trees differ.

    Were a host its own grandchild, one change would go round for good and fill every
    link. Children come after their parent in the order of hashes, which is the same
    in every list.
    """
    cluster = _running(Cluster(per_domain=40, domains=["lac"]))
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


def test_watcher_in_the_tree_of_another_passes_its_bodies_on() -> None:
    """The second watcher has the value already when the first one's body comes.

    If it kept the body for itself, hosts below it would have to ask for theirs.
    """
    large = _running(Cluster(per_domain=12))
    pulled = sum(one.spread.counts.pulled for one in large.members.values())
    for _ in range(5):
        _assert_reaches_all(large)
        large.run(1)
    after = sum(one.spread.counts.pulled for one in large.members.values())
    assert after == pulled


def test_two_operators_at_once_end_in_one_list_everywhere(cluster: Cluster) -> None:
    """Two operators edit revision 1 at the same moment: the store takes one of them.

    Every host has to end with the same list, whichever was first.
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
def test_one_hosts_lost_messages_are_mended_by_the_next_digest(
    cluster: Cluster, lost: str
) -> None:
    """Everything that a change brings to one host is lost: it has missed the news."""
    cluster.members[lost].store.faults[:] = [DOWN]
    cluster.run(WATCH_ENDS_S)
    cluster.cut_hosts = {lost}
    revision = cluster.write(b"next").revision
    cluster.run(0.01)
    cluster.cut_hosts = set()
    took_s = cluster.run_until(lambda: cluster.all_at(revision), limit_s=WITHIN_S)
    assert took_s <= HEARTBEAT_S


def test_lost_messages_are_mended_by_the_heartbeat(cluster: Cluster) -> None:
    """Three in ten messages are lost: trees have holes in every change."""
    cluster.loss = 0.3
    for _ in range(20):
        _assert_reaches_all(cluster, limit_s=4 * HEARTBEAT_S)
        cluster.run(0.5)


def test_dead_watchers_are_stood_in_for(cluster: Cluster) -> None:
    """Both watchers of the only failure domain in reach die, and stay listed."""
    cluster.cut_domains = set(DOMAINS)
    for member in _watchers(cluster, "lac"):
        cluster.stop(member.host.id)
    cluster.run(20)
    _assert_reaches_all(cluster)
    cluster.start(
        next(one.id for one in cluster.hosts if one.id not in cluster.members)
    )
    cluster.run(20)
    assert len(_watchers(cluster, "lac")) <= WATCHERS + 1


def test_outage_of_an_hour_and_back() -> None:
    """The store is down for an hour; hosts keep their rules and its rate stays low."""
    cluster = _running(Cluster(tick_s=0.5))
    cluster.fault_all(DOWN)
    before = {n: one.spread.state().store_calls for n, one in cluster.members.items()}
    cluster.run(3_600)
    assert cluster.all_at(1)
    assert len(cluster.ready()) == 12
    calls = [
        one.spread.state().store_calls - before[name]
        for name, one in cluster.members.items()
    ]
    # One call in 1 to 2 s from each of at most eight hosts of a failure domain.
    assert max(calls) <= 3_700
    cluster.fault_all()
    _assert_reaches_all(cluster, limit_s=WITHIN_S + 1)
    cluster.run(30)
    assert all(len(_watchers(cluster, domain)) == WATCHERS for domain in DOMAINS)


def test_domain_cut_off_and_rejoined(cluster: Cluster) -> None:
    """A failure domain loses the platform and the others for five minutes.

    It goes on with the rules that it has, and takes the newest on its return without
    passing its own on.
    """
    cluster.cut_domains = {"lac"}
    cluster.fault_all(DOWN, domain="lac")
    cluster.run(WATCH_ENDS_S)
    revision = cluster.write(b"while away").revision
    rest = [*cluster.in_domain("charguia"), *cluster.in_domain("ariana")]
    took_s = cluster.run_until(lambda: cluster.all_at(revision, rest), limit_s=5)
    assert took_s < WITHIN_S
    cluster.run(300)
    assert cluster.all_at(1, cluster.in_domain("lac"))
    assert len(cluster.ready()) == 12
    cluster.cut_domains = set()
    assert cluster.run_until(lambda: cluster.all_at(revision), limit_s=5) < 5 * WITHIN_S
    cluster.fault_all()
    cluster.run(5)
    _assert_reaches_all(cluster)


def test_domain_cut_off_from_the_platform_alone_hears_of_changes(
    cluster: Cluster,
) -> None:
    """One failure domain loses the platform; the others' watchers tell it at once."""
    cluster.fault_all(DOWN, domain="lac")
    cluster.run(WATCH_ENDS_S)
    _assert_reaches_all(cluster, limit_s=0.01)


def _outage(cluster: Cluster) -> None:
    cluster.fault_all(DOWN)
    cluster.run(WATCH_ENDS_S)


def _leave_behind(cluster: Cluster, host_id: str) -> None:
    """Let one host miss a change; then the store goes down."""
    cluster.cut_hosts = {host_id}
    cluster.members[host_id].store.faults[:] = [DOWN]
    cluster.run(WATCH_ENDS_S)
    cluster.write(b"newer")
    cluster.run(1)
    assert cluster.members[host_id].revision() == 1
    _outage(cluster)


def test_empty_host_takes_the_newest_of_its_peers_in_an_outage(
    cluster: Cluster,
) -> None:
    """A host is replaced while the store is down, and one peer has old rules.

    Taking the first answer could put the old rules back in force.
    """
    _leave_behind(cluster, "lac-2")
    cluster.cut_hosts = set()
    fresh = cluster.start("lac-1", [DOWN])
    cluster.run_until(lambda: fresh.spread.ready, limit_s=5)
    assert fresh.spread.ready
    assert fresh.revision() == 2


def test_empty_host_that_hears_only_an_old_peer_is_not_ready(
    cluster: Cluster,
) -> None:
    """A host starts in an outage and reaches only one peer, whose rules are old.

    Ready, it would bring back rules that were replaced everywhere else.
    """
    _leave_behind(cluster, "lac-2")
    cluster.cut_hosts = {one.id for one in cluster.hosts} - {"lac-1", "lac-2"}
    fresh = cluster.start("lac-1", [DOWN])
    cluster.run(60)
    assert fresh.revision() == 1
    assert not fresh.spread.ready
    cluster.cut_hosts = set()
    cluster.run(5)
    assert fresh.spread.ready
    assert fresh.revision() == 2


def test_most_of_a_domain_restarts_in_an_outage(cluster: Cluster) -> None:
    """Three of four hosts of a domain are replaced while the store is down.

    No majority of the domain knows anything any more; the other domains' hosts do.
    """
    _outage(cluster)
    for number in (1, 2, 3):
        cluster.start(f"lac-{number}", [DOWN])
    cluster.run(5)
    assert len(cluster.ready()) == 12
    assert cluster.all_at(1)


def test_all_hosts_restart_in_an_outage_and_wait_for_the_store(
    cluster: Cluster,
) -> None:
    """Every host is replaced at once while the store is down: nobody knows anything.

    Hosts that took each other's emptiness for agreement would serve with no rules.
    """
    for host in cluster.hosts:
        cluster.start(host.id, [DOWN])
    cluster.run(60)
    assert cluster.ready() == []
    cluster.fault_all()
    cluster.run(3)
    assert len(cluster.ready()) == 12
    assert cluster.all_at(1)


def test_host_with_a_silent_watch_from_its_start_has_the_rules() -> None:
    """A host starts alone and its first watch reports nothing though there is much."""
    cluster = Cluster(per_domain=1, domains=["lac"])
    cluster.write(b"first")
    lone = cluster.start("lac-1", [SILENT])
    cluster.run(10)
    assert lone.spread.ready
    assert lone.revision() == 1


@pytest.mark.parametrize("seed", range(8))
def test_any_mixture_of_failures_ends_with_the_newest_everywhere(seed: int) -> None:
    """Cuts, losses, restarts, outages and changes at random, often two at a time."""
    cluster = _running(Cluster(seed=seed + 1))
    rng = cluster.rng
    highest: dict[str, int] = {}
    for _ in range(60):
        match rng.randrange(7):
            case 0:
                cluster.cut_domains = set(rng.sample(DOMAINS, rng.randrange(3)))
            case 1:
                cluster.fault_all(*rng.sample([DOWN, SILENT, HANGS], rng.randrange(2)))
            case 2:
                cluster.loss = rng.choice([0.0, 0.2, 0.5])
            case 3:
                faults = next(iter(cluster.members.values())).store.faults
                host_id = rng.choice(cluster.hosts).id
                _assert_monotonic(cluster.members[host_id])
                cluster.start(host_id, faults)
            case 4:
                cluster.cut_hosts = {rng.choice(cluster.hosts).id}
            case _:
                cluster.write(b"x")
        cluster.run(rng.uniform(0, 3))
        for name, member in cluster.members.items():
            if member.spread.ready:
                highest[name] = max(highest.get(name, 0), member.revision())
    cluster.cut_domains, cluster.cut_hosts, cluster.loss = set(), set(), 0.0
    cluster.fault_all()
    cluster.run(10)
    revision = cluster.write(b"last").revision
    assert cluster.run_until(lambda: cluster.all_at(revision), limit_s=5) < WITHIN_S
    for member in cluster.members.values():
        _assert_monotonic(member)


IDLE_S = 60.0
# Each of two watchers a failure domain: at most 13 watches of 5 s touch a minute; one
# new watch after a change; a read and a watch at the start.
STORE_CALLS = [
    pytest.param(4, DOMAINS, 6 * 13, 6, 12, id="12-hosts"),
    pytest.param(12, DOMAINS, 6 * 13, 6, 12, id="36-hosts"),
    pytest.param(500, DOMAINS[:1], 2 * 13, 2, 4, id="500-hosts-a-domain"),
]


@pytest.mark.parametrize(
    ("per_domain", "domains", "idle", "rule_change", "restart"), STORE_CALLS
)
def test_store_calls_do_not_grow_with_the_hosts(
    per_domain: int, domains: tuple[str, ...], idle: int, rule_change: int, restart: int
) -> None:
    cluster = _running(Cluster(per_domain=per_domain, domains=domains, tick_s=0.4))
    cluster.run(15)

    before = cluster.store.reads()
    cluster.run(IDLE_S)
    assert idle - 12 < cluster.store.reads() - before <= idle

    before = cluster.store.reads()
    cluster.write(b"next")
    cluster.run(0.2)
    assert cluster.store.reads() - before == rule_change
    assert cluster.all_at(2)

    before = cluster.store.reads()
    for host in cluster.hosts:
        cluster.start(host.id)
    cluster.run(3)
    assert cluster.store.reads() - before == restart
    assert len(cluster.ready()) == len(cluster.hosts)
    assert cluster.all_at(2)
    assert cluster.store.writes() == 2


def test_host_without_a_list_reads_the_store_by_itself() -> None:
    """The platform's list is out of reach when a host starts: it knows no peers."""
    cluster = Cluster(per_domain=1, domains=["lac"])
    cluster.write(b"first")
    lone = cluster.start("lac-1")
    lone.spread._listed = False
    cluster.run(0.9)
    assert not lone.spread.ready
    cluster.run(0.3)
    assert lone.spread.ready
    assert lone.revision() == 1
