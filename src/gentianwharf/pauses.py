"""Pauses of this host itself, seen by what came too late.

A host that was paused, or whose loop was held up, finds every timeout over at once,
while the answers that came meanwhile wait unread in its sockets. Judged by that, all
servers are slow or lost and every request in flight has an unknown outcome, though all
is well.
"""

from collections.abc import Callable
from typing import Any, final

PAUSE_THRESHOLD_S = 0.15
"""A timer this late is this host's own doing. Ticks are due every 10 to 100 ms, and a
busy loop runs some tens of ms late; a pause of a virtual machine is longer."""

GRACE_S = 0.1
"""What reading the answers that wait in the sockets takes at most after a pause."""


@final
class PauseDetector:
    """Measures the time between ticks.

    >>> gap = PauseDetector()
    >>> gap.record_tick(0.0), gap.record_tick(0.02), gap.record_tick(1.02)
    (0.0, 0.0, 1.0)
    """

    def __init__(self) -> None:
        self._ticked_s: float | None = None

    def record_tick(self, now_s: float) -> float:
        """Return for how long this host stood still since the last tick."""
        gap_s = now_s - self._ticked_s if self._ticked_s is not None else 0.0
        self._ticked_s = now_s
        return gap_s if gap_s > PAUSE_THRESHOLD_S else 0.0


@final
class Timeout:
    """A deadline that is not taken for missed while this host stood still.

    ``clock`` is the loop's. ``expire`` is called once the deadline has passed: at once
    when its timer came in time, and ``GRACE_S`` later when a pause held the timer up,
    so that the answers that wait in the sockets are read first.
    """

    def __init__(
        self, *, clock: Any, delay_s: float, expire: Callable[[], object]
    ) -> None:
        self.expired = False
        self._clock = clock
        self._expire = expire
        self._due_s = clock.seconds() + delay_s
        self._call = clock.callLater(delay_s, self._is_due)

    def stop(self) -> None:
        """Let it not expire any more."""
        if self._call.active():
            self._call.cancel()

    def _is_due(self) -> None:
        if self._clock.seconds() - self._due_s > PAUSE_THRESHOLD_S:
            self._call = self._clock.callLater(GRACE_S, self._end)
            return
        self._end()

    def _end(self) -> None:
        self.expired = True
        self._expire()
