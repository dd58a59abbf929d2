"""How late this host's own loop runs, so that its lateness is not held against others.

A host whose loop is busy or was paused finds every timeout over at once, while the
answers wait unread in its sockets. Taken as evidence, that would say that all servers
are lost; the moves that follow would make the loop busier still.
"""

from typing import final

from ._timing import TICK_S

TURNS_PER_CALL = 6
"""Turns of the loop from an order to its answer: connect, write, and each read."""

LAG_FADES = 0.9
"""Part of the lag that is kept from tick to tick: gone after a second of quick ones."""


@final
class LoopLag:
    """Measures by the ticks that should come every ``TICK_S``.

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
        self._ticked_s: float | None = None
        self._lag_s = 0.0

    def note_tick(self, now_s: float) -> None:
        """Note a tick."""
        if self._ticked_s is not None:
            late_s = max(0.0, now_s - self._ticked_s - TICK_S)
            self._lag_s = max(late_s, self._lag_s * LAG_FADES)
        self._ticked_s = now_s

    def timeout_s(self, timeout_s: float) -> float:
        """Return how long to wait for an answer that should take ``timeout_s``."""
        return timeout_s + TURNS_PER_CALL * self._lag_s

    @staticmethod
    def was_paused(*, begun_s: float, timeout_s: float, now_s: float) -> bool:
        """Whether a timeout that is over ran out while this host stood still."""
        return now_s - begun_s > timeout_s + TICK_S
