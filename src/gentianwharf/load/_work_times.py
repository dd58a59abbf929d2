"""Usual service times of request classes on the mean server of a service.

A host rarely sends to a given one of hundreds of owners, and a dispatcher compares the
times of one server with the usual ones to learn its speed. The times of all servers of
a service are therefore averaged together.

>>> times = WorkTimes()
>>> for _ in range(4):
...     times.record("ledger", "look-up", 0.2)
>>> times.usual_s("ledger", "look-up")
0.0
>>> times.record("ledger", "look-up", 0.7)
>>> round(times.usual_s("ledger", "look-up"), 3)
0.3
"""

from dataclasses import dataclass
from typing import final

MIN_SAMPLES = 5
"""Answers before which the usual time is unknown: one of a hundred requests takes
several times as long as the others."""

MAX_SAMPLES = 100
"""The mean of the first answers, then a moving average over about this many."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _WorkTime:
    mean_s: float = 0.0
    samples: int = 0


@final
class WorkTimes:
    """Averages the service times of answers by service and request class."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _WorkTime] = {}

    def record(self, service: str, request_class: str, work_s: float) -> None:
        """Record the service time of an answer."""
        time = self._times.setdefault((service, request_class), _WorkTime())
        time.samples = min(time.samples + 1, MAX_SAMPLES)
        time.mean_s += (work_s - time.mean_s) / time.samples

    def usual_s(self, service: str, request_class: str) -> float:
        """Return the usual service time, 0 if it is unknown."""
        time = self._times.get((service, request_class))
        if time is None or time.samples < MIN_SAMPLES:
            return 0.0
        return time.mean_s
