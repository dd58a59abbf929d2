"""Which revision of the rules other hosts have, and for how long this one lacks it."""

from collections import deque
from collections.abc import Callable
from typing import final

STATED_VALID_S = 5.0
"""Without another statement within this time, a revision is no longer expected. The
leader repeats its statement with each update."""

MAX_LACKING = 1_000
"""Revisions of which it is remembered when they became known."""


@final
class NewestRules:
    """The revision of the rules on this host, and newer ones that others have stated.

    A statement takes a few bytes, and arrives long before a large list of rules does.
    """

    def __init__(self, *, now_s: Callable[[], float]) -> None:
        self.received_revision = 0
        """Revision of the newest rules that this host has received."""
        self._now_s = now_s
        self._stated_s = float("-inf")
        self._lacking: deque[tuple[int, float]] = deque()
        """Revisions that this host lacks, and when each became known, in order."""

    @property
    def revision(self) -> int:
        """The newest revision that is known to exist."""
        self._expire()
        return self._lacking[-1][0] if self._lacking else self.received_revision

    def note_received(self, revision: int) -> None:
        """Record that this host has received the rules of a revision."""
        self.received_revision = max(self.received_revision, revision)
        while self._lacking and self._lacking[0][0] <= self.received_revision:
            self._lacking.popleft()

    def note_stated(self, revision: int) -> None:
        """Record that another host has the rules of a revision, or the store has."""
        newest = self.revision
        if revision < newest or revision <= self.received_revision:
            return
        self._stated_s = self._now_s()
        if revision > newest and len(self._lacking) < MAX_LACKING:
            self._lacking.append((revision, self._stated_s))

    def lacking_s(self) -> float:
        """Return for how long this host has lacked rules that are known to exist."""
        self._expire()
        return self._now_s() - self._lacking[0][1] if self._lacking else 0.0

    def _expire(self) -> None:
        if self._lacking and self._now_s() > self._stated_s + STATED_VALID_S:
            self._lacking.clear()
