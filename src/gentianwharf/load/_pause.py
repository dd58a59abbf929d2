"""Pauses of the host itself, seen by the ticks that did not come."""

from typing import final

# Ticks are due every 10 to 50 ms: a longer gap is this host's own, paused or busy.
PAUSE_S = 0.15


@final
class TickGap:
    """Measures the time between ticks.

    >>> gap = TickGap()
    >>> gap.note_tick(0.0), gap.note_tick(0.02), gap.note_tick(1.02)
    (0.0, 0.0, 1.0)
    """

    def __init__(self) -> None:
        self._ticked_s: float | None = None

    def note_tick(self, now_s: float) -> float:
        """Return for how long this host stood still since the last tick."""
        gap_s = now_s - self._ticked_s if self._ticked_s is not None else 0.0
        self._ticked_s = now_s
        return gap_s if gap_s > PAUSE_S else 0.0
