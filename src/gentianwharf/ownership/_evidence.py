"""Evidence that a backend server is lost, from several hosts.

One host that is cut off sees every server silent. Its word alone must not take a
server's keys away: a majority of the witnesses of the server's domain, each of
which has tried the server itself, has to say so within a short time.
"""

from collections.abc import Iterable
from typing import final

from ._tables import WitnessList
from ._timing import SUSPECT_FRESH_S

UNANSWERED_TO_SUSPECT = 2
"""Unanswered probes or requests in a row before a host suspects a server."""


@final
class OwnEvidence:
    """What this host itself has seen of each server."""

    def __init__(self) -> None:
        self._unanswered: dict[str, int] = {}

    def note(self, server: str, *, answered: bool) -> bool:
        """Note an answer or its lack; returns whether the server is suspect now."""
        if answered:
            self._unanswered.pop(server, None)
            return False
        self._unanswered[server] = self._unanswered.get(server, 0) + 1
        return self.is_suspect(server)

    def is_suspect(self, server: str) -> bool:
        """Whether the last answers of ``server`` were all missing."""
        return self._unanswered.get(server, 0) >= UNANSWERED_TO_SUSPECT


@final
class Suspicions:
    """Suspicions that have come in at the control holder."""

    def __init__(self) -> None:
        self._heard_s: dict[str, dict[str, float]] = {}

    def hear(self, host: str, server: str, now_s: float) -> None:
        """Note that ``host`` suspects ``server``."""
        self._heard_s.setdefault(server, {})[host] = now_s

    def drop(self, server: str) -> None:
        """Forget what was said of ``server``, for it has answered."""
        self._heard_s.pop(server, None)

    def lost(self, server: str, witnesses: WitnessList | None, now_s: float) -> bool:
        """Whether a majority of ``witnesses`` suspects ``server`` at the moment."""
        heard = self._heard_s.get(server)
        return bool(
            heard and witnesses and witnesses.is_majority(self._fresh(heard, now_s))
        )

    @staticmethod
    def _fresh(heard: dict[str, float], now_s: float) -> Iterable[str]:
        return [host for host, at in heard.items() if now_s - at <= SUSPECT_FRESH_S]
