"""Evidence from several hosts that a backend server is lost.

A host that is partitioned from the network gets no answer from any server. Its report
alone must not take a server's keys away: a majority of the witnesses of the server's
domain, each of which has tried the server itself, must suspect it within a short time.
"""

from collections.abc import Iterable
from typing import final

from ._tables import WitnessList
from ._timing import SUSPECT_FRESH_S

UNANSWERED_TO_SUSPECT = 2
"""Consecutive unanswered probes or requests after which a host suspects a server."""


@final
class OwnEvidence:
    """Observations of each server that this host made itself."""

    def __init__(self) -> None:
        self._unanswered: dict[str, int] = {}

    def note(self, server: str, *, answered: bool) -> bool:
        """Record an answer or its absence; return whether the server is now suspect."""
        if answered:
            self._unanswered.pop(server, None)
            return False
        self._unanswered[server] = self._unanswered.get(server, 0) + 1
        return self.is_suspect(server)

    def is_suspect(self, server: str) -> bool:
        """Whether ``server`` left its last probes or requests unanswered."""
        return self._unanswered.get(server, 0) >= UNANSWERED_TO_SUSPECT


@final
class Suspicions:
    """Suspicions received by the control holder."""

    def __init__(self) -> None:
        self._suspected_s: dict[str, dict[str, float]] = {}

    def record(self, host: str, server: str, now_s: float) -> None:
        """Record that ``host`` suspects ``server``."""
        self._suspected_s.setdefault(server, {})[host] = now_s

    def discard(self, server: str) -> None:
        """Discard all suspicions of ``server``, which has answered."""
        self._suspected_s.pop(server, None)

    def lost(self, server: str, witnesses: WitnessList | None, now_s: float) -> bool:
        """Whether a majority of ``witnesses`` currently suspects ``server``."""
        suspected = self._suspected_s.get(server)
        return bool(
            suspected
            and witnesses
            and witnesses.is_majority(self._fresh(suspected, now_s))
        )

    @staticmethod
    def _fresh(suspected: dict[str, float], now_s: float) -> Iterable[str]:
        return [
            host for host, at_s in suspected.items() if now_s - at_s <= SUSPECT_FRESH_S
        ]
