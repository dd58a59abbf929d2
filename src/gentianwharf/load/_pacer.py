"""Request pacing for an owner that cannot keep up.

Load pattern: the only server of some keys becomes five times slower. Each of ten hosts
keeps one request in flight there, the minimum that a concurrency limit allows. Each of
these requests waits in the server's queue for longer than its host's timeout, and the
server only does work whose result is discarded: it could answer six of 20 requests a
second, but answers none in time.

After requests to an owner time out, a host leaves a gap between its requests that is a
multiple of the time it waited, and that grows with each further time-out. Answers of a
server without a long queue shorten the gap. Requests that cannot be sent within their
class's maximum wait are refused at once.

>>> pacer = Pacer()
>>> pacer.record_timeout(1.2)
>>> pacer.record_timeout(1.2)
>>> pacer.record_start(10.0)
>>> pacer.may_start(11.0), pacer.may_start(12.5)
(False, True)
>>> pacer.record_answer(elapsed_s=0.6, has_queue=False)
>>> round(pacer.gap_s, 2)
2.04
"""

from typing import final

TIMEOUT_FACTOR = 2.0
"""The gap after a time-out, as a multiple of the time waited. Ten hosts then send to a
server with three slots as much as it can run of work that takes 0.6 of that time."""

GAP_INCREASE = 1.5
GAP_DECREASE = 0.85
"""Applied for each answer. With halving, all hosts sent more at the same time and
filled the server again."""

MAX_GAP_S = 5.0
"""Within this time every host sends a request and can detect a recovered server."""

MAX_GAP_FACTOR = 4.0
"""Bound of the gap as a multiple of the latest answer's time, so that an owner that
answers quickly again soon gets as many requests as before."""

TIMEOUTS_BEFORE_PACING = 2
"""Consecutive time-outs after which a gap is left. A single answer may be lost, or its
owner may have been paused for a moment."""

MIN_GAP_FACTOR = 1.5
"""Gaps shorter than this multiple of the answer's time have no effect and end."""


@final
class Pacer:
    """The gap between requests of this host to one owner; 0 without time-outs."""

    __slots__ = ("_started_s", "_timeouts", "gap_s")

    def __init__(self) -> None:
        self.gap_s = 0.0
        self._timeouts = 0
        self._started_s = float("-inf")

    def may_start(self, now_s: float) -> bool:
        """Whether the next request may start."""
        return now_s >= self._started_s + self.gap_s

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the next request may start."""
        return max(0.0, self._started_s + self.gap_s - now_s)

    def record_start(self, now_s: float) -> None:
        """Record that a request was sent."""
        self._started_s = now_s

    def record_timeout(self, waited_s: float) -> None:
        """Lengthen the gap after a request that was not answered in time."""
        self._timeouts += 1
        if self._timeouts < TIMEOUTS_BEFORE_PACING:
            return
        gap_s = max(self.gap_s * GAP_INCREASE, waited_s * TIMEOUT_FACTOR)
        self.gap_s = min(MAX_GAP_S, gap_s)

    def record_answer(self, *, elapsed_s: float, has_queue: bool) -> None:
        """Adapt the gap to an answer of a server with or without a long queue."""
        self._timeouts = 0
        if not self.gap_s:
            return
        if has_queue:
            self.gap_s = min(MAX_GAP_S, self.gap_s * GAP_INCREASE)
            return
        self.gap_s = min(self.gap_s * GAP_DECREASE, elapsed_s * MAX_GAP_FACTOR)
        if self.gap_s < elapsed_s * MIN_GAP_FACTOR:
            self.gap_s = 0.0
