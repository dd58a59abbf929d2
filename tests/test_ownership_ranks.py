"""Caches of live hosts and of their rendezvous ranking."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import cast

import pytest

from gentianwharf.ownership import _ranks
from gentianwharf.ownership._protocols import PeerLink
from gentianwharf.ownership._ranks import LIVE_REFRESH_INTERVAL_S, LiveHosts, RankCache
from gentianwharf.placement import rendezvous_rank

HOSTS = tuple(f"host-{number}" for number in range(40))
JOBS = tuple(f"server-{number}" for number in range(20))


@pytest.mark.parametrize("count", [1, 2, 100])
def test_orders_that_are_kept_up_are_those_ranked_anew(count: int) -> None:
    """With different rankings after changes, two hosts would both renew, or neither."""
    rng, ranks = Random(count), RankCache()
    for _ in range(60):
        live = tuple(sorted(rng.sample(HOSTS, rng.randrange(len(HOSTS) + 1))))
        for job in rng.sample(JOBS, 10):
            expected = tuple(rendezvous_rank(job, live)[:count])
            assert ranks.first(job, live, count=count) == expected


def test_one_host_more_or_less_is_not_ranked_against_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When one of thousands of hosts restarted, the event loops of all others blocked.

    Each host had to rank all hosts again for each server of the domain.
    """
    scored = 0

    def counting_rank(name: str, choices: Iterable[str]) -> list[str]:
        nonlocal scored
        known = list(choices)
        scored += len(known)
        return rendezvous_rank(name, known)

    ranks = RankCache()
    for job in JOBS:
        ranks.first(job, HOSTS, count=2)
    monkeypatch.setattr(_ranks, "rendezvous_rank", counting_rank)
    last = ranks.first(JOBS[0], HOSTS, count=2)
    uncached = next(host for host in HOSTS if host not in last)
    without = tuple(host for host in HOSTS if host != uncached)
    for live in (without, HOSTS):
        for job in JOBS[:1]:
            ranks.first(job, live, count=2)
    assert scored <= 3 * len(JOBS)


class Peers:
    """Peer link with three hosts, of which two are live at first."""

    def __init__(self) -> None:
        self.live = {"h1", "h2"}

    def hosts_of(self, domain: str) -> Sequence[str]:
        return ["h1", "h2", "h3"]

    def is_live(self, host: str) -> bool:
        return host in self.live


def test_live_hosts_are_looked_up_anew_after_a_while() -> None:
    peers = Peers()
    live = LiveHosts(peers=cast("PeerLink", peers))
    first = live.of("lac", 10.0)
    assert first == ("h1", "h2")
    peers.live = {"h1", "h2", "h3"}
    assert live.of("lac", 10.0 + LIVE_REFRESH_INTERVAL_S / 2) is first
    assert live.of("lac", 10.0 + LIVE_REFRESH_INTERVAL_S) == ("h1", "h2", "h3")
    assert live.of("lac", 10.0 + 3 * LIVE_REFRESH_INTERVAL_S) is live.of("lac", 10.9)
