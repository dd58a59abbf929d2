"""An adaptive concurrency limit: requests in flight of this daemon at a pool.

Load pattern: more requests than slots. Requests that the servers cannot run wait inside
them in FIFO order, regardless of deadline, class or fair share, and a server that was
filled this way stays slow for seconds after the burst. Each daemon sees only its own
requests: ten to twelve hosts share servers of three or six slots.

Each daemon always has its fair share (slots divided by daemons, at least one), which
cannot fill the servers even when all daemons use it. Above that it borrows what the
others leave unused, raising its limit step by step for as long as its quickest answers
stay quick, and lowering it by a factor when they slow down or a server sheds (additive
increase, multiplicative decrease, as in TCP Vegas).

The quickest tenth of the answers is used rather than the mean. Work differs from
request to request, so the mean of a few answers is noisy and its minimum is a matter of
chance. A queue inside a server delays every request, so the quickest answers show it
first. With the mean of 16 answers, daemons in the bench lowered their limit at 70 %
load, and callers waited at the router while slots were free.
"""

from typing import final

# Waiting inside the servers for a fifth of a service time keeps all slots busy during
# the network round trips.
TOLERATED_WAIT = 0.2
# With 16 answers the quickest tenth seemed slow by chance: limits stayed at the fair
# share, and two busy hosts of twelve refused 30 % while slots were free.
WINDOW_ANSWERS = 48
# A single owner gives a host fewer answers, and the limit at a hot owner must not stay
# raised for seconds. Owners therefore have a smaller window, no smoothing over windows
# and no slow start.
OWNER_WINDOW_ANSWERS = 24
# This quantile is averaged with that of the window before: the minimum of single
# windows is a matter of chance too, and kept the limit of two busy hosts at two thirds
# of what they needed.
QUICK_QUANTILE = 0.1
SLOWDOWN_FACTOR = 0.85
SHED_FACTOR = 0.7
LONG_QUEUE_RATIO = 0.67
"""Waiting requests per slot above which the limit is lowered. A queue of two thirds of
the slots delays a new request by two thirds of a service time, which leaves a third of
the time that callers expect for the work itself."""

QUEUE_FACTOR = 0.85
QUEUE_GROWTH = 0.25
"""Added for each answer. With this and ``QUEUE_FACTOR``, ten hosts with a few answers a
second each from one server halve what they send within half a second, and recover
within two seconds."""

GROWTH = 0.1
# Until answers become slow the limit doubles with each window (slow start, as in TCP).
# With growth by a tenth, two busy hosts of twelve refused requests for a second.
SLOW_START_GROWTH = 1.0
# At the fair share this daemon's requests cannot fill the servers: if answers stay
# slow, the work itself has become slower. The references then move by this part a
# window.
REFERENCE_DRIFT = 0.05


@final
class AdaptiveLimit:
    """A limit between the fair share and the number of all slots.

    For servers that report their queue length with each answer, ``record_queue`` adapts
    the limit within a few answers, without an estimate from answer times.

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
        """Update the bounds when servers join or leave."""
        self.fair_share = max(1.0, fair_share)
        self.maximum = max(self.fair_share, maximum)
        self.value = min(self.maximum, max(self.fair_share, self.value))

    def raise_to(self, value: float) -> None:
        """Raise the limit to ``value``, at most to the maximum."""
        self.value = min(self.maximum, max(self.value, value))

    def record_answer(self, *, elapsed_s: float, has_backlog: bool) -> None:
        """Record an answer of a short class; adapt the limit after a full window."""
        self._window.append(elapsed_s)
        self._had_backlog = self._had_backlog or has_backlog
        if len(self._window) >= self._window_answers:
            self._adapt()
            self._window.clear()
            self._had_backlog = False

    def record_queue(self, *, waiting: int, slots: int, has_backlog: bool) -> None:
        """Adapt the limit to a server's reported queue length.

        Once more than ``LONG_QUEUE_RATIO`` times its slots are waiting, a request sent
        now waits for about one service time, and the server soon sheds requests.
        """
        if waiting > slots * LONG_QUEUE_RATIO:
            self._growth = GROWTH
            self.value = max(1.0, self.value * QUEUE_FACTOR)
        elif not waiting and has_backlog:
            self.value = min(self.maximum, self.value + QUEUE_GROWTH)

    def record_shed(self) -> None:
        """Lower the limit after a server has shed a request."""
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
