"""The number of store calls per failure domain is independent of its host count."""

import pytest

from gentianwharf.infra import Fault, FaultKind, StoreOperation

from .builders_spread import (
    DOMAINS,
    Cluster,
    running,
)

DOWN = Fault(kind=FaultKind.DOWN)
HANGS = Fault(kind=FaultKind.HANGS, operations=frozenset({StoreOperation.WATCH}))


IDLE_S = 60.0
# For each of two watchers per failure domain: at most 13 watches of 5 s overlap a
# minute, one watch follows a change, and a start takes one read and one watch.
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
    cluster = running(Cluster(per_domain=per_domain, domains=domains, tick_s=0.4))
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
    """The platform's host list is unreachable when a host starts: it has no peers."""
    cluster = Cluster(per_domain=1, domains=["lac"])
    cluster.write(b"first")
    lone = cluster.start("lac-1")
    lone.spread._has_host_list = False
    cluster.run(0.9)
    assert not lone.spread.ready
    cluster.run(0.3)
    assert lone.spread.ready
    assert lone.revision() == 1
