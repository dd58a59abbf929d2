"""Estimates of a server's speed, from the time that granted requests take there.

A speed is relative to the usual service times that the requests state: a server of
speed 0.5 takes twice as long as usual.

Service times deviate from their mean by about as much as the mean, and some requests
take many times as long. The mean of their logarithms is much less noisy than their own
mean. How the two means differ depends on the work only, so it is learned from all
servers of a service together.

>>> speed = SpeedEstimate(spread=ServiceTimeSpread())
>>> for _ in range(100):
...     speed.record(usual_s=0.2, took_s=0.4)
>>> round(speed.value, 1)
0.5
"""

from math import exp, log
from typing import final

PRIOR_ANSWERS = 2.0
"""Weight of the assumption that a server has the mean speed."""

MAX_ANSWERS = 128.0
"""Answers that an estimate remembers."""

MAX_DEVIATION = 1.5
"""Bound of the logarithm by which a single answer deviates from the estimate."""

MAX_RATIO = 4.0
MIN_RATIO = 0.25
SLOW_ANSWERS_TO_RESTART = 4
FAST_ANSWERS_TO_RESTART = 6
"""Consecutive answers outside of the ratios to the expected time after which an
estimate starts anew, because the server's speed has changed. Short answers are more
frequent by chance than long ones."""

MIN_SPEED = 0.02
MAX_SPEED = 20.0

SPREAD_PRIOR_ANSWERS = 20.0
SPREAD_PRIOR = 1.35
"""Ratio of the mean to the geometric mean that is assumed at first."""

SPREAD_ANSWERS = 2000.0
MAX_SPREAD_RATIO = 12.0


@final
class ServiceTimeSpread:
    """By how much the mean of a service's times exceeds their geometric mean."""

    __slots__ = ("_answers", "_logs", "_ratios", "log_ratio")

    def __init__(self) -> None:
        self._answers = SPREAD_PRIOR_ANSWERS
        self._ratios = SPREAD_PRIOR_ANSWERS * SPREAD_PRIOR
        self._logs = 0.0
        self.log_ratio = log(SPREAD_PRIOR)

    def record(self, deviation: float) -> None:
        """Record the logarithm of an answer's time relative to its server's others."""
        keep = min(1.0, (SPREAD_ANSWERS - 1.0) / self._answers)
        self._answers = self._answers * keep + 1.0
        self._ratios = self._ratios * keep + min(MAX_SPREAD_RATIO, exp(deviation))
        self._logs = self._logs * keep + deviation
        log_mean = log(self._ratios / self._answers)
        self.log_ratio = max(0.0, log_mean - self._logs / self._answers)


@final
class SpeedEstimate:
    """The speed of one server; 1 until answers are recorded."""

    __slots__ = ("_answers", "_fast", "_log", "_slow", "_spread", "value")

    def __init__(self, *, spread: ServiceTimeSpread) -> None:
        self.value = 1.0
        self._spread = spread
        self._answers = PRIOR_ANSWERS
        self._log = -spread.log_ratio
        self._slow: list[float] = []
        self._fast: list[float] = []

    def record(self, *, usual_s: float, took_s: float) -> None:
        """Record that a request with the usual time ``usual_s`` took ``took_s``."""
        if usual_s <= 0.0 or took_s <= 0.0:
            return
        log_time = log(took_s / usual_s)
        ratio = took_s / usual_s * self.value
        self._slow = [*self._slow, log_time] if ratio > MAX_RATIO else []
        self._fast = [*self._fast, log_time] if ratio < MIN_RATIO else []
        if len(self._slow) >= SLOW_ANSWERS_TO_RESTART:
            self._restart(self._slow)
        elif len(self._fast) >= FAST_ANSWERS_TO_RESTART:
            self._restart(self._fast)
        else:
            deviation = log_time - self._log
            self._spread.record(deviation)
            deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
            self._answers = min(MAX_ANSWERS, self._answers + 1.0)
            self._log += deviation / self._answers
        speed = exp(-self._log - self._spread.log_ratio)
        self.value = min(MAX_SPEED, max(MIN_SPEED, speed))

    def _restart(self, log_times: list[float]) -> None:
        self._log = sum(log_times) / len(log_times)
        self._answers = PRIOR_ANSWERS + len(log_times)
        self._slow, self._fast = [], []
