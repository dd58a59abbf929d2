"""When a host knows enough to act on the values that it holds.

Guards against a host that starts empty, takes the first old value that it is sent, and
puts in force what was replaced long ago. Operators would see one host follow an older
rule list. The guard holds because news of the store from after the host's start covers
all that it can have known before, and because without the store a value that was in
force everywhere is held by some host of any majority.
"""

from collections.abc import Iterable
from typing import final


@final
class Readiness:
    """What a host has heard since its start of the store and of its peers.

    A host is ready when it heard the store since its start; or holds all that a host
    does which heard the store after that moment, itself or by another; or, with the
    store out of reach, holds all that a majority of its failure domain's hosts or of
    all hosts does. Hosts that aren't ready themselves don't count: they may be empty.

    >>> readiness = Readiness(started_s=100.0)
    >>> everyone = {"lac-1", "lac-2", "lac-3", "lac-4"}
    >>> for peer in ("lac-2", "lac-3", "lac-4"):
    ...     readiness.agreed(peer, store_heard_s=None, ready=True)
    ...     readiness.judge(everyone, everyone)
    False
    False
    True
    """

    def __init__(self, *, started_s: float) -> None:
        self._started_s = started_s
        self._agreeing: set[str] = set()
        self.ready = False
        self.store_heard_s: float | None = None

    def heard_store(self, at_s: float) -> None:
        """Note that the store was heard at a moment, by this host or another."""
        if self.store_heard_s is None or at_s > self.store_heard_s:
            self.store_heard_s = at_s

    def agreed(self, host_id: str, *, store_heard_s: float | None, ready: bool) -> None:
        """Note that this host holds all that ``host_id`` does.

        Only then is the other's news of the store ours.
        """
        if store_heard_s is not None:
            self.heard_store(store_heard_s)
        if ready:
            self._agreeing.add(host_id)

    def has_agreed(self, host_id: str) -> bool:
        """Say whether a host's agreement counts already."""
        return host_id in self._agreeing

    def judge(self, domain: Iterable[str], everyone: Iterable[str]) -> bool:
        """Work out whether the host is ready; once ready it stays so."""
        if not self.ready:
            self.ready = (
                self._store_heard_since_start()
                or self._has_majority(set(domain))
                or self._has_majority(set(everyone))
            )
        return self.ready

    def _store_heard_since_start(self) -> bool:
        # News from before the start is not enough: the host may have had, and acted
        # on, a newer version in its former life.
        heard_s = self.store_heard_s
        return heard_s is not None and heard_s >= self._started_s

    def _has_majority(self, hosts: set[str]) -> bool:
        return 2 * len(self._agreeing & hosts) > len(hosts)
