"""Passing values on: time until a change is everywhere, and bytes, by hosts.

Real ``SpreadSystem``s on a virtual clock with 0.2 ms one way within a failure domain;
their store answers at once.
"""

from collections.abc import Iterator
from random import Random

from tests.builders_spread import Cluster

from ._figure import Figure

SEED = 1
# One failure domain of the larger sizes: the tree of a domain is what grows.
SIZES = ((12, 3), (36, 3), (150, 1), (500, 1))
NAMES = ("lac", "charguia", "ariana")
# Bytes that can't be compressed: the worst case of a rule document.
RULES_BYTES = 20_000
SETTLE_S = 3.0
IDLE_S = 2.0
LIMIT_S = 20.0


def _sent_bytes(cluster: Cluster) -> dict[str, int]:
    return {
        name: member.spread.counts.sent_bytes
        for name, member in cluster.members.items()
    }


def figures() -> Iterator[Figure]:
    """Yield time, bytes and messages at each size."""
    for hosts_a_domain, domains in SIZES:
        cluster = Cluster(per_domain=hosts_a_domain, seed=SEED, domains=NAMES[:domains])
        size = {"hosts_a_domain": hosts_a_domain, "domains": domains}
        hosts = hosts_a_domain * domains
        cluster.run(SETTLE_S)
        before = _sent_bytes(cluster)
        messages = cluster.messages
        cluster.run(IDLE_S)
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
    written = cluster.write(Random(SEED).randbytes(RULES_BYTES))
    spent_s = cluster.run_until(
        lambda: cluster.all_at(written.revision), limit_s=LIMIT_S
    )
    cluster.run(1.0)
    after = _sent_bytes(cluster)
    sent = [after[name] - before[name] for name in after]
    figures_of_change = (
        ("spread_change_time", spent_s * 1_000, "ms"),
        ("spread_change_sent", sum(sent) / len(sent) / RULES_BYTES, "copies/host"),
        ("spread_change_sent_most", max(sent) / RULES_BYTES, "copies"),
    )
    for name, value, unit in figures_of_change:
        yield Figure(name=name, value=value, unit=unit, size=size, seed=SEED)
