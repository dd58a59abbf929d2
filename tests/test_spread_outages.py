"""Rules stay in force and never go back while the store, domains or hosts fail."""

from collections.abc import Iterator

import pytest

from gentianwharf.infra import Fault, FaultKind, StoreOperation
from gentianwharf.spread._overlay import WATCHERS

from .builders_spread import (
    DOMAINS,
    WITHIN_S,
    Cluster,
    assert_monotonic,
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


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    yield from checked_cluster()


def test_outage_of_an_hour_and_back() -> None:
    """During an hour without the store, hosts keep their rules and make few calls."""
    cluster = running(Cluster(tick_s=0.5))
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
    assert_reaches_all(cluster, limit_s=WITHIN_S + 1)
    cluster.run(30)
    assert all(len(watchers_of(cluster, domain)) == WATCHERS for domain in DOMAINS)


def test_domain_cut_off_and_rejoined(cluster: Cluster) -> None:
    """A failure domain is cut off from the platform and the others for five minutes.

    It continues with the rules that it holds. When it reconnects, it receives the
    newest rules and does not spread its old ones.
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
    assert_reaches_all(cluster)


def test_domain_cut_off_from_the_platform_alone_receives_changes(
    cluster: Cluster,
) -> None:
    """One failure domain loses the platform; watchers of the others send it changes."""
    cluster.fault_all(DOWN, domain="lac")
    cluster.run(WATCH_ENDS_S)
    assert_reaches_all(cluster, limit_s=0.01)


def _outage(cluster: Cluster) -> None:
    cluster.fault_all(DOWN)
    cluster.run(WATCH_ENDS_S)


def _leave_behind(cluster: Cluster, host_id: str) -> None:
    """Let one host miss a change, then stop the store."""
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
    """A host is replaced while the store is down, and one peer holds old rules.

    Accepting the first answer could put the old rules back in force.
    """
    _leave_behind(cluster, "lac-2")
    cluster.cut_hosts = set()
    fresh = cluster.start("lac-1", [DOWN])
    cluster.run_until(lambda: fresh.spread.ready, limit_s=5)
    assert fresh.spread.ready
    assert fresh.revision() == 2


def test_empty_host_that_reaches_only_an_old_peer_is_not_ready(
    cluster: Cluster,
) -> None:
    """A host starts in an outage and reaches only one peer, whose rules are old.

    If it became ready, it would use rules that were replaced everywhere else.
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

    A majority of the domain is empty; the hosts of the other domains hold the rules.
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
    """All hosts are replaced at once while the store is down, so that all are empty.

    If empty hosts counted as agreeing, they would serve without rules.
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
    """A host starts alone, and its first watch reports none of the existing values."""
    cluster = Cluster(per_domain=1, domains=["lac"])
    cluster.write(b"first")
    lone = cluster.start("lac-1", [SILENT])
    cluster.run(10)
    assert lone.spread.ready
    assert lone.revision() == 1


@pytest.mark.parametrize("seed", range(8))
def test_any_mixture_of_failures_ends_with_the_newest_everywhere(seed: int) -> None:
    """Random partitions, losses, restarts, outages and changes, often two at once."""
    cluster = running(Cluster(seed=seed + 1))
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
                assert_monotonic(cluster.members[host_id])
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
        assert_monotonic(member)
