"""How long moves of keys take, as observed on this host."""

from collections import deque
from collections.abc import Sequence
from statistics import median
from typing import final

MAX_ORDINARY_S = 2.0
"""A longer move had to wait until the grant of a lost server expired."""

LOST_HOLDER_S = 3.0
"""How long the move of a lost server's keys takes: until the grant has expired, and the
next holder has received its own."""

MIN_REST_S = 0.3
"""Shortest rest of a move that has taken longer than expected."""

SAMPLES = 64

INITIAL_S = (0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0)
"""Assumed durations of moves until some have been observed."""

MIN_LONGER_SHARE = 0.1
"""A move that lasts longer than all but this share of moves is not expected to finish
soon: its former holder is probably lost."""


@final
class MoveDurations:
    """The durations of recent ordinary moves, from the table to the notice.

    >>> durations = MoveDurations()
    >>> durations.is_likely(lasted_s=0.0, within_s=0.5)
    True
    >>> durations.is_likely(lasted_s=1.2, within_s=0.5)
    False
    >>> durations.expected_rest_s(0.0), durations.expected_rest_s(1.2)
    (0.35, 1.8)
    """

    def __init__(self) -> None:
        self._durations_s = deque(INITIAL_S, maxlen=SAMPLES)

    def record(self, duration_s: float) -> None:
        """Record a finished move; one that waited for a lost server is left out."""
        if duration_s <= MAX_ORDINARY_S:
            self._durations_s.append(duration_s)

    def is_likely(self, *, lasted_s: float, within_s: float) -> bool:
        """Whether a move that has lasted ``lasted_s`` ends ``within_s`` from now."""
        longer = self._longer(lasted_s)
        in_time = [taken for taken in longer if taken <= lasted_s + within_s]
        return bool(longer) and len(in_time) * 2 >= len(longer)

    def expected_rest_s(self, lasted_s: float) -> float:
        """Return how much longer a move is expected to take."""
        longer = self._longer(lasted_s)
        expected_s = median(longer) if longer else LOST_HOLDER_S
        return max(MIN_REST_S, expected_s - lasted_s)

    def _longer(self, lasted_s: float) -> Sequence[float]:
        """Return the longer durations, none if they are exceptions."""
        longer = [taken for taken in self._durations_s if taken > lasted_s]
        is_usual = len(longer) >= len(self._durations_s) * MIN_LONGER_SHARE
        return longer if is_usual else ()
