"""How long a host waits between two requests to an owner that can't keep up.

Load pattern: the only server of some keys becomes five times slower. Each of ten hosts
keeps one request there, the least that a limit of requests in flight allows. Each then
waits in the server's queue for longer than its host does, and all that the server runs
is run for nobody: of 20 requests a second, of which it could answer six, none is.

A host that is owed an answer lets as much time pass between two requests as it waited
in vain, and more with each that follows; answers of a server without a long queue
shorten the time again. What comes meanwhile is refused at once.

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
"""Of the time waited in vain. Ten hosts at a server with three slots then send what it
can run of work that takes six tenths of that time."""

GAP_INCREASE = 1.5
GAP_DECREASE = 0.85
"""By answer. With halving instead, all hosts came back at once and filled it anew."""

MAX_GAP_S = 5.0
"""A server that is well again is found out by every host within this time."""

MAX_GAP_FACTOR = 4.0
"""Times as long as an answer took: an owner that answers quickly again is soon asked as
often as before."""

TIMEOUTS_BEFORE_PACING = 2
"""Answers owed in a row that begin a gap: a single one may be lost, or its owner have
stood still for a moment."""

MIN_GAP_FACTOR = 1.5
"""Times as long as the answer took: so short a gap holds nothing back any more."""


@final
class Pacer:
    """The time between two requests of this host to one owner; 0 while all is well."""

    __slots__ = ("_started_s", "_timeouts", "gap_s")

    def __init__(self) -> None:
        self.gap_s = 0.0
        self._timeouts = 0
        self._started_s = float("-inf")

    def may_start(self, now_s: float) -> bool:
        """Whether the next request may start."""
        return now_s >= self._started_s + self.gap_s

    def remaining_s(self, now_s: float) -> float:
        """Return for how long the next request may not start."""
        return max(0.0, self._started_s + self.gap_s - now_s)

    def record_start(self, now_s: float) -> None:
        """Note that a request was sent."""
        self._started_s = now_s

    def record_timeout(self, waited_s: float) -> None:
        """Send less: an answer is owed for too long."""
        self._timeouts += 1
        if self._timeouts < TIMEOUTS_BEFORE_PACING:
            return
        longer_s = max(self.gap_s * GAP_INCREASE, waited_s * TIMEOUT_FACTOR)
        self.gap_s = min(MAX_GAP_S, longer_s)

    def record_answer(self, *, elapsed_s: float, has_queue: bool) -> None:
        """Follow an answer; ``has_queue``: much more waits at the server."""
        self._timeouts = 0
        if not self.gap_s:
            return
        if has_queue:
            self.gap_s = min(MAX_GAP_S, self.gap_s * GAP_INCREASE)
            return
        self.gap_s = min(self.gap_s * GAP_DECREASE, elapsed_s * MAX_GAP_FACTOR)
        if self.gap_s < elapsed_s * MIN_GAP_FACTOR:
            self.gap_s = 0.0
