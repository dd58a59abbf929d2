"""Detection of pauses of this host, from timers that fire late.

On a host that was paused, or whose event loop was blocked, all timeouts expire at once,
while answers that have arrived are waiting unread in its sockets. Without a correction
all servers would be considered slow or lost, and every request in flight would have an
unknown outcome, although nothing is wrong.
"""

from collections.abc import Callable
from typing import Any, final

PAUSE_THRESHOLD_S = 0.15
"""A timer later than this means that the host was paused. Ticks are due every 10 to
100 ms, and a busy event loop is some tens of ms late; a pause of a virtual machine is
longer."""

GRACE_S = 0.1
"""Upper bound of the time to read the answers waiting in the sockets after a pause."""


@final
class PauseDetector:
    """Detects pauses of this host from the time between ticks.

    >>> detector = PauseDetector()
    >>> [detector.record_tick(now_s) for now_s in (0.0, 0.02, 1.02)]
    [0.0, 0.0, 1.0]
    """

    def __init__(self) -> None:
        self._last_tick_s: float | None = None

    def record_tick(self, now_s: float) -> float:
        """Return how long this host was paused since the last tick, 0 if it was not."""
        gap_s = now_s - self._last_tick_s if self._last_tick_s is not None else 0.0
        self._last_tick_s = now_s
        return gap_s if gap_s > PAUSE_THRESHOLD_S else 0.0


@final
class Timeout:
    """A timeout that takes pauses of this host into account.

    ``clock`` is the event loop's. ``expire`` is called when the timeout has passed: at
    once if the timer fired in time, and ``GRACE_S`` later if a pause delayed it, so
    that the answers waiting in the sockets are read first.
    """

    def __init__(
        self, *, clock: Any, delay_s: float, expire: Callable[[], object]
    ) -> None:
        self.expired = False
        self._clock = clock
        self._expire = expire
        self._due_s = clock.seconds() + delay_s
        self._call = clock.callLater(delay_s, self._on_timer)

    def stop(self) -> None:
        """Cancel the timeout."""
        if self._call.active():
            self._call.cancel()

    def _on_timer(self) -> None:
        if self._clock.seconds() - self._due_s > PAUSE_THRESHOLD_S:
            self._call = self._clock.callLater(GRACE_S, self._finish)
            return
        self._finish()

    def _finish(self) -> None:
        self.expired = True
        self._expire()


TICK_INTERVAL_S = 0.05


@final
class UnpausedTimeout:
    """A timeout that excludes the time in which this host was paused.

    For exchanges of several messages: after a pause, the remaining messages still have
    the rest of the time. ``clock`` is the event loop's.
    """

    def __init__(
        self, *, clock: Any, delay_s: float, expire: Callable[[], object]
    ) -> None:
        self.expired = False
        self.paused_s = 0.0
        """Total duration of this host's pauses since the start."""
        self._clock = clock
        self._expire = expire
        self._left_s = delay_s
        self._pauses = PauseDetector()
        self._ticked_s = clock.seconds()
        self._pauses.record_tick(self._ticked_s)
        self._wait()

    def stop(self) -> None:
        """Cancel the timeout."""
        if self._call.active():
            self._call.cancel()

    def _wait(self) -> None:
        delay_s = min(TICK_INTERVAL_S, max(0.0, self._left_s))
        self._call = self._clock.callLater(delay_s, self._tick)

    def _tick(self) -> None:
        now_s = self._clock.seconds()
        paused_s = self._pauses.record_tick(now_s)
        self.paused_s += paused_s
        self._left_s -= now_s - self._ticked_s - paused_s
        self._ticked_s = now_s
        if self._left_s > 0 or paused_s:
            self._wait()
            return
        self.expired = True
        self._expire()
