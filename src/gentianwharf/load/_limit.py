"""How many requests this daemon may have in flight at a pool of servers.

Load pattern: more requests than slots. What the servers cannot run waits inside
them, first come first served, where no deadline, class or fair share is looked at,
and a server that was filled so stays slow for seconds after the burst. Every daemon
sees its own requests only: ten to twelve hosts share servers of three or six slots.

Each daemon always has its fair share (slots divided by daemons, at least one), which
cannot fill the servers even when all use it. Above that it borrows what the others
leave unused, a little more at a time, for as long as its quickest answers stay quick;
it gives back a part whenever they slow down or a server sheds (additive increase,
multiplicative decrease, as in TCP Vegas).

Why the quickest tenth of the answers and not the mean: work differs from request to
request, so the mean of a few answers says little, and its best value ever is luck.
A queue inside a server delays every request, so the quickest answers show it first.
Seen in the bench: with the mean of 16 answers, daemons gave back their share at 70 %
load and callers waited at the router while slots were free.
"""

from typing import final

# A fifth of a service time of waiting inside the servers keeps all slots busy while
# answers and requests travel.
TOLERATED_WAIT = 0.2
# With 16 answers chance alone made the quickest tenth look slow: limits stayed at the
# fair share, and two busy hosts of twelve refused 30 % while slots were free.
WINDOW_ANSWERS = 48
# One owner gives a host fewer answers, and a hot one must not keep its borrowed part
# for seconds: fewer answers, no mean of windows and no slow start there.
OWNER_WINDOW_ANSWERS = 24
# The mean with the window before counts: the best of single windows is luck as well,
# and kept the limit of two busy hosts at two thirds of what they needed.
QUICK_QUANTILE = 0.1
SLOWDOWN_FACTOR = 0.85
SHED_FACTOR = 0.7
LONG_QUEUE_RATIO = 0.67
"""A queue of two thirds of the slots is met in two thirds of a service time; a third of
what callers hope for is left for the work itself."""

QUEUE_FACTOR = 0.85
QUEUE_GROWTH = 0.25
"""By answer: ten hosts with a few answers a second each from one server halve what they
send within half a second, and are back within two."""

GROWTH = 0.1
# Until answers become slow the limit may double (slow start, as in TCP): two busy hosts
# of twelve refused some in the second in which they grew by a tenth at a time.
SLOW_START_GROWTH = 1.0
# At the fair share the servers can't be full of ours: if answers stay slow there, the
# work itself has become slower. The references follow by this part a window.
REFERENCE_DRIFT = 0.05


@final
class AdaptiveLimit:
    """A limit between the fair share and all slots.

    Servers that tell their queue with each answer need no guess from how long answers
    take: ``record_queue`` follows them within a few answers.

    >>> limit = AdaptiveLimit(fair_share=4.0, maximum=48.0)
    >>> def answers(count, elapsed_s):
    ...     for _ in range(count):
    ...         limit.record_answer(elapsed_s=elapsed_s, has_backlog=True)
    ...     return round(limit.value, 3)
    >>> answers(48, 0.010), answers(48, 0.010)
    (8.0, 16.0)
    >>> answers(48, 0.030), answers(2 * 48, 0.010)
    (13.6, 9.826)
    """

    __slots__ = (
        "_growth",
        "_owner",
        "_smoothed_quick_s",
        "_reference_quick_s",
        "_reference_mean_s",
        "_had_backlog",
        "_window",
        "_window_answers",
        "fair_share",
        "maximum",
        "value",
    )

    def __init__(
        self, *, fair_share: float, maximum: float, owner: bool = False
    ) -> None:
        self._owner = owner
        self._window_answers = OWNER_WINDOW_ANSWERS if owner else WINDOW_ANSWERS
        self.fair_share = max(1.0, fair_share)
        self.maximum = max(self.fair_share, maximum)
        self.value = self.fair_share
        self._reference_quick_s = 0.0
        self._reference_mean_s = 0.0
        self._window: list[float] = []
        self._had_backlog = False
        self._smoothed_quick_s = 0.0
        self._growth = GROWTH if owner else SLOW_START_GROWTH

    def resize(self, *, fair_share: float, maximum: float) -> None:
        """Follow servers that join or leave."""
        self.fair_share = max(1.0, fair_share)
        self.maximum = max(self.fair_share, maximum)
        self.value = min(self.maximum, max(self.fair_share, self.value))

    def raise_to(self, value: float) -> None:
        """Begin above the fair share, until answers say otherwise."""
        self.value = min(self.maximum, max(self.value, value))

    def record_answer(self, *, elapsed_s: float, has_backlog: bool) -> None:
        """Count an answer of a short class; adapt at the end of a window."""
        self._window.append(elapsed_s)
        self._had_backlog = self._had_backlog or has_backlog
        if len(self._window) >= self._window_answers:
            self._adapt()
            self._window.clear()
            self._had_backlog = False

    def record_queue(self, *, waiting: int, slots: int, has_backlog: bool) -> None:
        """Follow what a server says of its queue.

        Once more than ``LONG_QUEUE_RATIO`` times its slots are waiting, a request sent
        now waits for about one service time, and the server soon sheds requests.
        """
        if waiting > slots * LONG_QUEUE_RATIO:
            self._growth = GROWTH
            self.value = max(1.0, self.value * QUEUE_FACTOR)
        elif not waiting and has_backlog:
            self.value = min(self.maximum, self.value + QUEUE_GROWTH)

    def record_shed(self) -> None:
        """Lower the limit: a server said that it is full."""
        self.value = max(self.fair_share / 2, 1.0, self.value * SHED_FACTOR)

    def _adapt(self) -> None:
        self._window.sort()
        quick_s = self._window[int(len(self._window) * QUICK_QUANTILE)]
        if self._smoothed_quick_s and not self._owner:
            quick_s = (self._smoothed_quick_s + quick_s) / 2
        self._smoothed_quick_s = quick_s
        mean_s = sum(self._window) / len(self._window)
        if not self._reference_mean_s:
            self._reference_quick_s, self._reference_mean_s = quick_s, mean_s
        self._reference_quick_s = min(self._reference_quick_s, quick_s)
        self._reference_mean_s = min(self._reference_mean_s, mean_s)
        waited_s = quick_s - self._reference_quick_s
        if waited_s > self._reference_mean_s * TOLERATED_WAIT:
            self._growth = GROWTH
            self.value = max(self.fair_share, self.value * SLOWDOWN_FACTOR)
            if self.value <= self.fair_share:
                self._reference_quick_s += waited_s * REFERENCE_DRIFT
                self._reference_mean_s += (
                    mean_s - self._reference_mean_s
                ) * REFERENCE_DRIFT
        elif self._had_backlog:
            self.value = min(
                self.maximum, self.value + max(1.0, self.value * self._growth)
            )
