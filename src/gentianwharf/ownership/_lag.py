"""Measures the lag of this host's own event loop and extends timeouts by it.

On a host whose loop is busy or was paused, all timeouts expire at once while the
answers are still unread in its sockets. If that counted as evidence, all servers would
appear lost, and the resulting moves would add to the load of the loop.
"""

from typing import final

from ._timing import TICK_S

ITERATIONS_PER_CALL = 6
"""Loop iterations from an order to its answer: connect, write, and each read."""

LAG_DECAY = 0.9
"""Factor by which the lag decays at each tick; it is small after a second on time."""


@final
class LoopLag:
    """Measures the lag by the ticks, which are due every ``TICK_S``.

    >>> lag = LoopLag()
    >>> lag.note_tick(0.0)
    >>> lag.note_tick(0.05)
    >>> lag.timeout_s(0.1)
    0.1
    >>> lag.note_tick(0.15)
    >>> round(lag.timeout_s(0.1), 3)
    0.4
    """

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._lag_s = 0.0

    def note_tick(self, now_s: float) -> None:
        """Record a tick and update the lag."""
        if self._last_tick_s is not None:
            late_s = max(0.0, now_s - self._last_tick_s - TICK_S)
            self._lag_s = max(late_s, self._lag_s * LAG_DECAY)
        self._last_tick_s = now_s

    def timeout_s(self, timeout_s: float) -> float:
        """Return ``timeout_s`` extended by the current lag."""
        return timeout_s + ITERATIONS_PER_CALL * self._lag_s

    @staticmethod
    def was_paused(*, begun_s: float, timeout_s: float, now_s: float) -> bool:
        """Whether a timeout expired while this host was paused."""
        return now_s - begun_s > timeout_s + TICK_S
