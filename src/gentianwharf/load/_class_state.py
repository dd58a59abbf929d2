"""The queue and timings of one request class within a pool.

Load pattern: requests take different times, and servers become slower. Compared with
the quickest answer so far, all servers seem slow; compared with the mean, one long job
hides the slow answers after it. Answers are therefore compared with a running median,
which moves by a small step with each answer.

>>> look_up = RequestClass.from_deadline(name="look-up", deadline_ms=2000, weight=8)
>>> state = make_class_state(look_up, Random(1))
>>> for _ in range(9):
...     ratio = state.record_answer(0.02)
>>> state.record_answer(0.2)
10.0
>>> round(state.median_s, 4)
0.0208
"""

from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import final

from ._fair_queue import FairQueue
from ._requests import RequestClass
from ._retry_schedule import RetrySchedule

# Before the first answer the mean is taken as the class's maximum wait divided by this
# (10 ms for a class with a deadline of 2 s).
INITIAL_MEAN_DIVISOR = 10.0
MEAN_SMOOTHING = 0.05
# Averages over about fifty requests, which a host gets in a quarter of a second.
REFUSED_SMOOTHING = 0.02
# With steps of 4 % an answer, the median follows a doubling of the time within about 20
# answers, and one of eight servers being ten times slower raises it by a fifth.
MEDIAN_STEP = 0.04
# The median starts from this many answers, and no server is evaluated before. When it
# started from the first answer, an unusually quick one of 0.5 ms made all servers seem
# slow to one host for seconds.
MEDIAN_WARM_UP_ANSWERS = 9
# The usual time of the work is the mean of the first answers, then a moving average.
MIN_WORK_SAMPLES = 5
MAX_WORK_SAMPLES = 40


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ClassState:
    """The state of one request class within a pool; times in seconds."""

    request_class: RequestClass
    queue: FairQueue
    retry_schedule: RetrySchedule
    max_wait_s: float
    mean_s: float
    median_s: float = 0.0
    in_flight: int = 0
    virtual_time: float = 0.0
    work_s: float = 0.0
    refused_share: float = 0.0
    _work_samples: int = 0
    _first_answers: list[float] = field(default_factory=list)

    def record_decision(self, *, refused: bool) -> None:
        """Update the share of requests that find the queue full."""
        self.refused_share += (refused - self.refused_share) * REFUSED_SMOOTHING

    def record_work(self, elapsed_s: float, work_ratio: float) -> None:
        """Update the usual time of the work from an answer that didn't wait."""
        self._work_samples = min(self._work_samples + 1, MAX_WORK_SAMPLES)
        self.work_s += (elapsed_s / work_ratio - self.work_s) / self._work_samples

    def usual_work_s(self) -> float:
        """Return the usual time of the work, a guess before the first answers."""
        return (
            self.work_s
            if self._work_samples >= MIN_WORK_SAMPLES
            else self.max_wait_s / 2
        )

    def record_answer(self, elapsed_s: float) -> float:
        """Update the timings; return the answer's time in medians before it."""
        self.mean_s += (elapsed_s - self.mean_s) * MEAN_SMOOTHING
        if self.median_s == 0.0:
            self._first_answers.append(elapsed_s)
            if len(self._first_answers) == MEDIAN_WARM_UP_ANSWERS:
                self.median_s = median(self._first_answers)
                self._first_answers.clear()
            return 1.0
        ratio = elapsed_s / self.median_s
        self.median_s *= 1 + MEDIAN_STEP if ratio > 1.0 else 1 - MEDIAN_STEP
        return ratio


def make_class_state(request_class: RequestClass, rng: Random) -> ClassState:
    """Return the state of a class that has had no requests yet."""
    max_wait_s = request_class.max_wait_ms / 1000
    return ClassState(
        request_class=request_class,
        queue=FairQueue(discipline=request_class.discipline),
        retry_schedule=RetrySchedule(rng=rng),
        max_wait_s=max_wait_s,
        mean_s=max_wait_s / INITIAL_MEAN_DIVISOR,
    )
