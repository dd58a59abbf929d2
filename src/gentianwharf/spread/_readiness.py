"""When the values that a host holds are current enough to act on.

This guards against a host that starts empty, accepts the first value that it receives,
and puts an old version in force: operators would see one host follow an older list.
A store contact after the host's start covers all versions that the host can have held
before. Without the store, a value that was in force everywhere is held by at least one
host of any majority.
"""

from collections.abc import Iterable
from typing import final


@final
class Readiness:
    """Tracks store contacts and agreements with peers since the start of a host.

    A host is ready when one of these holds:

    - it has had contact with the store since its start;
    - it holds all versions of a host that has had such a contact since then, directly
      or through another host;
    - it holds all versions of a majority of the hosts of its failure domain or of all
      hosts, which serves when the store is unreachable. Hosts that aren't ready
      themselves don't count, since they may be empty.

    >>> readiness = Readiness(started_s=100.0)
    >>> everyone = {"lac-1", "lac-2", "lac-3", "lac-4"}
    >>> for peer in ("lac-2", "lac-3", "lac-4"):
    ...     readiness.record_agreement(peer, last_contact_s=None, ready=True)
    ...     readiness.evaluate(everyone, everyone)
    False
    False
    True
    """

    def __init__(self, *, started_s: float) -> None:
        self._started_s = started_s
        self._agreeing: set[str] = set()
        self.ready = False
        self.last_contact_s: float | None = None

    def record_contact(self, at_s: float) -> None:
        """Record the time of a store contact, by this host or another."""
        if self.last_contact_s is None or at_s > self.last_contact_s:
            self.last_contact_s = at_s

    def record_agreement(
        self, host_id: str, *, last_contact_s: float | None, ready: bool
    ) -> None:
        """Record that this host holds all versions that ``host_id`` holds.

        Only then does the store contact of the other host count for this one.
        """
        if last_contact_s is not None:
            self.record_contact(last_contact_s)
        if ready:
            self._agreeing.add(host_id)

    def has_agreed(self, host_id: str) -> bool:
        """Return whether the agreement of a host is recorded."""
        return host_id in self._agreeing

    def evaluate(self, domain: Iterable[str], everyone: Iterable[str]) -> bool:
        """Return whether the host is ready; once ready, it stays ready."""
        if not self.ready:
            self.ready = (
                self._had_contact_since_start()
                or self._has_majority(set(domain))
                or self._has_majority(set(everyone))
            )
        return self.ready

    def _had_contact_since_start(self) -> bool:
        # A contact before the start is not enough: before its restart, the host may
        # have held a newer version and acted on it.
        contact_s = self.last_contact_s
        return contact_s is not None and contact_s >= self._started_s

    def _has_majority(self, hosts: set[str]) -> bool:
        return 2 * len(self._agreeing & hosts) > len(hosts)
