"""Estimates the network delay of the leader's updates."""

from typing import final

WINDOW_S = 10.0
"""The minimum clock difference is taken over the current and the previous window."""


@final
class UpdateDelay:
    """Compares the leader's send times with this host's clock.

    The difference is the unknown clock offset plus the transfer time of the update. The
    delay of an update is its excess over the minimum of recent differences. A constant
    delay can't be distinguished from a clock offset.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Discard all samples; clocks of different leaders are unrelated."""
        self._min_difference_s = float("inf")
        self._previous_min_difference_s = float("inf")
        self._window_start_s = float("-inf")

    def note(self, *, sent_s: float, received_s: float) -> float:
        """Record an update, and return its delay over the fastest recent one."""
        if received_s > self._window_start_s + WINDOW_S:
            self._previous_min_difference_s, self._min_difference_s = (
                self._min_difference_s,
                float("inf"),
            )
            self._window_start_s = received_s
        difference_s = received_s - sent_s
        self._min_difference_s = min(self._min_difference_s, difference_s)
        return difference_s - min(
            self._min_difference_s, self._previous_min_difference_s
        )
