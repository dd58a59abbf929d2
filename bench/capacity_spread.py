"""Passing values on: time until a change is everywhere, and bytes, by hosts.

Real ``SpreadSystem``s on a virtual clock with 0.2 ms one way within a failure domain;
their store answers at once.
"""

from collections.abc import Iterator

from tests.builders_spread import Cluster

from gentianwharf.spread import SpreadSystem

from ._figure import Figure

SEED = 1
# One failure domain of the larger sizes: the tree of a domain is what grows.
SIZES = ((12, 3), (36, 3), (150, 1), (500, 1))
NAMES = ("lac", "charguia", "ariana")
RULES_BYTES = 20_000
STEP_S = 0.001
SETTLE_S = 3.0
IDLE_S = 2.0
LIMIT_S = 20.0


def _run(cluster: Cluster, duration_s: float) -> None:
    for _ in range(round(duration_s / STEP_S)):
        cluster.clock.advance(STEP_S)


def _sent_bytes(cluster: Cluster) -> dict[str, int]:
    return {
        name: member.spread.counts.sent_bytes
        for name, member in cluster.members.items()
    }


def _until_everywhere_s(cluster: Cluster, revision: int) -> float:
    spent_s = 0.0
    while not cluster.all_at(revision) and spent_s < LIMIT_S:
        cluster.clock.advance(STEP_S)
        spent_s += STEP_S
    return spent_s


def _state(cluster: Cluster) -> SpreadSystem:
    return next(iter(cluster.members.values())).spread


def figures() -> Iterator[Figure]:
    """Yield time, bytes and messages at each size."""
    for hosts_a_domain, domains in SIZES:
        cluster = Cluster(per_domain=hosts_a_domain, seed=SEED, domains=NAMES[:domains])
        size = {"hosts_a_domain": hosts_a_domain, "domains": domains}
        hosts = hosts_a_domain * domains
        _run(cluster, SETTLE_S)
        before = _sent_bytes(cluster)
        messages = cluster.messages
        _run(cluster, IDLE_S)
        after = _sent_bytes(cluster)
        idle = [after[name] - before[name] for name in after]
        rates = (
            ("spread_idle_messages", (cluster.messages - messages) / hosts, "1/s"),
            ("spread_idle_sent", sum(idle) / hosts, "bytes/s"),
            ("spread_idle_sent_most", max(idle), "bytes/s"),
        )
        for name, counted, unit in rates:
            yield Figure(
                name=name, value=counted / IDLE_S, unit=unit, size=size, seed=SEED
            )
        yield from _change_figures(cluster, size)


def _change_figures(cluster: Cluster, size: dict[str, int]) -> Iterator[Figure]:
    before = _sent_bytes(cluster)
    written = cluster.write(bytes(RULES_BYTES))
    spent_s = _until_everywhere_s(cluster, written.revision)
    _run(cluster, 1.0)
    after = _sent_bytes(cluster)
    sent = [after[name] - before[name] for name in after]
    figures_of_change = (
        ("spread_change_time", spent_s * 1_000, "ms"),
        ("spread_change_sent", sum(sent) / len(sent) / RULES_BYTES, "copies/host"),
        ("spread_change_sent_most", max(sent) / RULES_BYTES, "copies"),
    )
    for name, value, unit in figures_of_change:
        yield Figure(name=name, value=value, unit=unit, size=size, seed=SEED)
