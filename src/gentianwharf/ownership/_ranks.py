"""Which hosts do a job, kept for as long as the live hosts stay the same."""

from typing import final

from gentianwharf.placement import rendezvous_rank


@final
class RankCache:
    """Remembers rendezvous orders over one set of live hosts.

    Load pattern: each host asks for each server of its domain, ten times a second,
    whether it is the one to renew its grants. Ranked anew each time, that grows with
    the square of the domain's hosts.

    >>> ranks = RankCache()
    >>> live = ("h1", "h2", "h3")
    >>> ranks.first("ledger", live, count=2)
    ('h1', 'h3')
    >>> ranks.first("ledger", ("h2", "h3"), count=2)
    ('h3', 'h2')
    """

    def __init__(self) -> None:
        self._live: tuple[str, ...] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}

    def first(self, name: str, live: tuple[str, ...], *, count: int) -> tuple[str, ...]:
        """Return the first ``count`` of ``live`` in the order of ``name``."""
        if live is not self._live:
            if live != self._live:
                self._ranked.clear()
            self._live = live
        ranked = self._ranked.get(name)
        if ranked is None or len(ranked) < min(count, len(live)):
            ranked = tuple(rendezvous_rank(name, live)[:count])
            self._ranked[name] = ranked
        return ranked[:count]
