"""How late the updates of the leader arrive."""

from typing import final

WINDOW_S = 10.0
"""The least difference of the clocks is that of the last one to two windows."""


@final
class UpdateDelay:
    """Compares the leader's clock with this host's own.

    The clocks differ by an unknown amount, and each update adds the time that it took.
    What an update took longer than the fastest of the last ones is its delay: a link
    that is always late can't be distinguished from a difference of the clocks.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget the clock of the former leader."""
        self._least_s = float("inf")
        self._former_least_s = float("inf")
        self._window_began_s = float("-inf")

    def note(self, *, sent_s: float, received_s: float) -> float:
        """Return by how much an update was later than others, in seconds."""
        if received_s > self._window_began_s + WINDOW_S:
            self._former_least_s, self._least_s = self._least_s, float("inf")
            self._window_began_s = received_s
        difference_s = received_s - sent_s
        self._least_s = min(self._least_s, difference_s)
        return difference_s - min(self._least_s, self._former_least_s)
