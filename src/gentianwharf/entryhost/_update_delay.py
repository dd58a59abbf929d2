"""Estimates the network delay of the leader's updates."""

from collections import OrderedDict
from typing import final

from ._peer_messages import HostIdentity

WINDOW_S = 10.0
"""The minimum clock difference is taken over the current and the previous window."""

MAX_LEADERS = 100
"""Maximum number of processes whose delays are known."""


@final
class UpdateDelay:
    """Compares the leader's send times with this host's clock.

    The difference is the unknown clock offset plus the transfer time of the update. The
    delay of an update is its excess over the minimum of recent differences. A constant
    delay can't be distinguished from a clock offset.
    """

    def __init__(self) -> None:
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


@final
class UpdateDelays:
    """The delays of each process that has led: their clocks are unrelated.

    A process that leads again, over a link that has become slow in the meantime, is
    compared with its earlier updates.
    """

    def __init__(self) -> None:
        self._delays: OrderedDict[tuple[str, int], UpdateDelay] = OrderedDict()

    def of(self, leader: HostIdentity) -> UpdateDelay:
        """Return the delay of a leader's updates."""
        process = (leader.address, leader.incarnation)
        delay = self._delays.setdefault(process, UpdateDelay())
        self._delays.move_to_end(process)
        if len(self._delays) > MAX_LEADERS:
            self._delays.popitem(last=False)
        return delay
