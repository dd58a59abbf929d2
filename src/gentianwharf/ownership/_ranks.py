"""Caches of live hosts and of their rendezvous ranking."""

from typing import final

from gentianwharf.placement import rendezvous_rank

from ._protocols import PeerLink

LIVE_REFRESH_INTERVAL_S = 0.2
"""Maximum age of the cached live hosts.

A host counts as live for 1.5 s after the last message from it, so another 0.2 s makes
no difference. A look-up on every use would be most of the cost of a large domain.
"""


@final
class LiveHosts:
    """Caches the live hosts of each domain for ``LIVE_REFRESH_INTERVAL_S``."""

    def __init__(self, *, peers: PeerLink) -> None:
        self._peers = peers
        self._until_s: dict[str, float] = {}
        self._live: dict[str, tuple[str, ...]] = {}

    def of(self, domain: str, now_s: float) -> tuple[str, ...]:
        """Return the live hosts of ``domain``; the same object until they change."""
        if now_s >= self._until_s.get(domain, float("-inf")):
            self._until_s[domain] = now_s + LIVE_REFRESH_INTERVAL_S
            listed = self._peers.hosts_of(domain)
            live = tuple(host for host in listed if self._peers.is_live(host))
            if live != self._live.get(domain):
                self._live[domain] = live
        return self._live.get(domain, ())


@final
class RankCache:
    """Caches the first hosts of rendezvous rankings over one set of live hosts.

    Load pattern: each host determines ten times a second, for each server of its
    domain, whether it has to renew the server's grants. Ranking all hosts each time
    would cost the square of the domain's hosts. Ranking them again whenever one of
    thousands of hosts joins or leaves would block the event loop for about a second.
    A host that joins is therefore compared only with the cached hosts, and one that
    leaves invalidates only the rankings that contain it.

    >>> ranks = RankCache()
    >>> live = ("h1", "h2", "h3")
    >>> ranks.first("ledger", live, count=2)
    ('h1', 'h3')
    >>> ranks.first("ledger", ("h2", "h3"), count=2)
    ('h3', 'h2')
    """

    def __init__(self) -> None:
        self._live: tuple[str, ...] = ()
        self._ranked: dict[tuple[str, int], tuple[str, ...]] = {}

    def first(self, name: str, live: tuple[str, ...], *, count: int) -> tuple[str, ...]:
        """Return the first ``count`` of ``live`` in the ranking for ``name``."""
        if live is not self._live:
            self._update_live(live)
        ranked = self._ranked.get((name, count))
        if ranked is None:
            ranked = tuple(rendezvous_rank(name, live)[:count])
            self._ranked[name, count] = ranked
        return ranked

    def _update_live(self, live: tuple[str, ...]) -> None:
        earlier, now = set(self._live), set(live)
        left, joined = earlier - now, now - earlier
        self._live = live
        if left:
            self._ranked = {
                key: ranked
                for key, ranked in self._ranked.items()
                if left.isdisjoint(ranked)
            }
        if joined:
            # Hosts outside the first ``count`` cannot enter it when others join.
            for (name, count), ranked in self._ranked.items():
                reranked = rendezvous_rank(name, (*ranked, *joined))[:count]
                self._ranked[name, count] = tuple(reranked)
