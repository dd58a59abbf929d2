"""One class's waiting requests and timings within a pool."""

from dataclasses import dataclass
from random import Random
from typing import final

from ._comeback import ComebackBook
from ._fair_queue import FairQueue
from ._requests import RequestClass

# Before the first answer: the class's longest wait, divided by this, stands for the
# time that a request takes (10 ms for a consultation with a deadline of 2 s).
UNKNOWN_MEAN_DIVISOR = 20.0
MEAN_SMOOTHING = 0.05
# A step of 4 % an answer: the median follows a change to twice the time in some 20
# answers, and one server of eight that is ten times slower moves it by a fifth.
MEDIAN_STEP = 0.04


@final
@dataclass(kw_only=True, slots=True, eq=False)
class ClassState:
    """One row of a pool's table of classes; times in seconds."""

    request_class: RequestClass
    queue: FairQueue
    comeback: ComebackBook
    mean_s: float
    median_s: float = 0.0
    in_flight: int = 0
    virtual_time: float = 0.0
    waiting_since_s: float | None = None

    def note_answer(self, elapsed_s: float) -> float:
        """Learn from an answer; return how it compares with the median before it."""
        self.mean_s += (elapsed_s - self.mean_s) * MEAN_SMOOTHING
        if self.median_s == 0.0:
            self.median_s = elapsed_s
            return 1.0
        ratio = elapsed_s / self.median_s if self.median_s else 1.0
        self.median_s *= 1 + MEDIAN_STEP if ratio > 1.0 else 1 - MEDIAN_STEP
        return ratio


def class_state(request_class: RequestClass, rng: Random) -> ClassState:
    """Return the row of a class that has seen no request yet."""
    return ClassState(
        request_class=request_class,
        queue=FairQueue(discipline=request_class.discipline),
        comeback=ComebackBook(rng=rng),
        mean_s=request_class.max_wait_ms / 1000 / UNKNOWN_MEAN_DIVISOR,
    )
