"""Tracks the newest known revision of the rules, and how long it has been missing."""

from collections import deque
from collections.abc import Callable
from typing import final

STATED_VALID_S = 5.0
"""How long a stated revision is expected unless it is stated again. The leader states
it with each update."""

MAX_MISSING_REVISIONS = 1_000
"""Maximum number of missing revisions that are tracked."""


@final
class NewestRules:
    """The newest received revision of the rules, and newer ones that hosts have stated.

    Messages that state a revision are small, and arrive long before a large list of
    rules.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.received_revision = 0
        """Revision of the newest rules that this host has received."""
        self._now_s = now_s
        self._stated_s = float("-inf")
        self._missing: deque[tuple[int, float]] = deque()
        """Revisions that this host lacks, and when each became known, in order."""

    @property
    def revision(self) -> int:
        """The newest revision that is known to exist."""
        self._expire()
        return self._missing[-1][0] if self._missing else self.received_revision

    def note_received(self, revision: int) -> None:
        """Record that this host has received the rules of a revision."""
        self.received_revision = max(self.received_revision, revision)
        while self._missing and self._missing[0][0] <= self.received_revision:
            self._missing.popleft()

    def note_stated(self, revision: int) -> None:
        """Record that another host or the store has the rules of a revision."""
        newest = self.revision
        if revision < newest or revision <= self.received_revision:
            return
        self._stated_s = self._now_s()
        if revision > newest and len(self._missing) < MAX_MISSING_REVISIONS:
            self._missing.append((revision, self._stated_s))

    def lacking_s(self) -> float:
        """Return for how long this host has lacked rules that are known to exist."""
        self._expire()
        return self._now_s() - self._missing[0][1] if self._missing else 0.0

    def _expire(self) -> None:
        if self._missing and self._now_s() > self._stated_s + STATED_VALID_S:
            self._missing.clear()
