"""Which hosts are live and which of them do a job, kept while nothing changes."""

from typing import final

from gentianwharf.placement import rendezvous_rank

from ._protocols import PeerLink

LIVE_EVERY_S = 0.2
"""How often it is looked up anew who is live.

A host counts as live for 1.5 s after it was last heard, so that a fifth of a second
more is not felt; looked up at each use it would be most of what a large domain costs.
"""


@final
class LiveHosts:
    """Remembers which hosts of each domain are live, for ``LIVE_EVERY_S``."""

    def __init__(self, *, peers: PeerLink) -> None:
        self._peers = peers
        self._until_s: dict[str, float] = {}
        self._live: dict[str, tuple[str, ...]] = {}

    def of(self, domain: str, now_s: float) -> tuple[str, ...]:
        """Return the live hosts of ``domain``; the same object while they stay."""
        if now_s >= self._until_s.get(domain, float("-inf")):
            self._until_s[domain] = now_s + LIVE_EVERY_S
            listed = self._peers.hosts_of(domain)
            live = tuple(one for one in listed if self._peers.is_live(one))
            if live != self._live.get(domain):
                self._live[domain] = live
        return self._live.get(domain, ())


@final
class RankCache:
    """Remembers the first hosts of rendezvous orders over one set of live hosts.

    Load pattern: each host asks for each server of its domain, ten times a second,
    whether it is the one to renew its grants. Ranked anew each time, that grows with
    the square of the domain's hosts. Ranked anew whenever one of thousands of hosts
    comes or goes, it would hold the loop up for about a second: a host that comes is
    compared with those kept, and one that goes matters only where it was kept.

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
        """Return the first ``count`` of ``live`` in the order of ``name``."""
        if live is not self._live:
            self._change(live)
        ranked = self._ranked.get((name, count))
        if ranked is None:
            ranked = tuple(rendezvous_rank(name, live)[:count])
            self._ranked[name, count] = ranked
        return ranked

    def _change(self, live: tuple[str, ...]) -> None:
        earlier, now = set(self._live), set(live)
        gone, come = earlier - now, now - earlier
        self._live = live
        if gone:
            self._ranked = {
                which: ranked
                for which, ranked in self._ranked.items()
                if gone.isdisjoint(ranked)
            }
        if come:
            # Whoever was not among the first before is not now that others came.
            for (name, count), ranked in self._ranked.items():
                better = rendezvous_rank(name, (*ranked, *come))[:count]
                self._ranked[name, count] = tuple(better)
