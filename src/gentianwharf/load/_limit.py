"""How many requests this daemon may have in flight at a pool of servers.

Load pattern: more requests than slots. What the servers cannot run waits inside
them, first come first served, where no deadline, class or fair share is looked at,
and a server that was filled so stays slow for seconds after the burst. Every daemon
sees its own requests only: ten to twelve hosts share servers of three or six slots.

Each daemon always has its fair share (slots divided by daemons, at least one), which
cannot fill the servers even when all use it. Above that it borrows what the others
leave unused, one request more at a time, for as long as answers come nearly as fast
as the best seen; it gives back a part whenever they slow down or a server sheds
(additive increase, multiplicative decrease, as in TCP and in the published gradient
limiters).
"""

from typing import final

# Answers that take this much of the best seen mean that requests wait inside the
# servers: at 1.5, half a service time.
TOLERATED_RATIO = 1.5
# One server in a hundred or a single long job must not end borrowing: a window has
# at least this many answers.
WINDOW_ANSWERS = 16
SLOWER_FACTOR = 0.85
SHED_FACTOR = 0.7
# At the fair share the servers can't be full of ours: if answers stay slow there, the
# work itself has become slower. The best is let up by this part a window.
BEST_DRIFT = 0.05


@final
class AdaptiveLimit:
    """A limit between the fair share and all slots.

    >>> limit = AdaptiveLimit(fair=4.0, most=48.0)
    >>> for _ in range(64):
    ...     limit.note_answer(elapsed_s=0.010, wanted_more=True)
    >>> limit.value
    8.0
    >>> limit.note_shed()
    >>> limit.value
    5.6
    """

    __slots__ = (
        "_answers",
        "_best_s",
        "_sum_s",
        "_wanted_more",
        "fair",
        "most",
        "value",
    )

    def __init__(self, *, fair: float, most: float) -> None:
        self.fair = max(1.0, fair)
        self.most = max(self.fair, most)
        self.value = self.fair
        self._best_s = 0.0
        self._sum_s = 0.0
        self._answers = 0
        self._wanted_more = False

    def resize(self, *, fair: float, most: float) -> None:
        """Follow servers that join or leave."""
        self.fair = max(1.0, fair)
        self.most = max(self.fair, most)
        self.value = min(self.most, max(self.fair, self.value))

    def note_answer(self, *, elapsed_s: float, wanted_more: bool) -> None:
        """Count an answer of a short class; adapt at the end of a window."""
        self._sum_s += elapsed_s
        self._answers += 1
        self._wanted_more = self._wanted_more or wanted_more
        if self._answers >= WINDOW_ANSWERS:
            self._adapt(self._sum_s / self._answers)
            self._sum_s = 0.0
            self._answers = 0
            self._wanted_more = False

    def note_shed(self) -> None:
        """Lower the limit: a server said that it is full."""
        self.value = max(self.fair / 2, 1.0, self.value * SHED_FACTOR)

    def _adapt(self, mean_s: float) -> None:
        if self._best_s == 0.0 or mean_s < self._best_s:
            self._best_s = mean_s
        if mean_s > self._best_s * TOLERATED_RATIO:
            self.value = max(self.fair, self.value * SLOWER_FACTOR)
            if self.value <= self.fair:
                self._best_s += (mean_s - self._best_s) * BEST_DRIFT
        elif self._wanted_more:
            self.value = min(self.most, self.value + 1.0)
