"""When refused callers are asked to come back.

Load pattern: 10 s of five times the load, whose refused callers all come back. If all
are told the same time they return together and make the next burst; if the time is
too short the servers stay full of returning callers and never get back to normal.

Every refusal books work for later. The answer is the time in which the service, at
the rate that it finishes requests now, gets through what is booked, with a spread.
"""

from random import Random
from typing import final

# Below one second the header Retry-After can't say it.
MIN_RETRY_AFTER_S = 1.0
# Ten seconds at five times the load take nearly two minutes to make up for. With a cap
# of 30 s all of it returned between 30 and 48 s after the burst, and 40 % of the new
# callers were refused then.
MAX_RETRY_AFTER_S = 120.0
# Returning callers get this share of the service: what usual traffic leaves free.
RETRY_SHARE = 0.4
JITTER_LOW, JITTER_HIGH = 0.8, 1.3


@final
class RetrySchedule:
    """A leaky bucket of refused requests that drains at the service's own rate.

    >>> book = RetrySchedule(rng=Random(1))
    >>> first = book.retry_after_s(backlog=0, rate_per_s=100.0, now_s=0.0)
    >>> for _ in range(500):
    ...     later = book.retry_after_s(backlog=0, rate_per_s=100.0, now_s=0.0)
    >>> first < 2.0 < 6.0 < later
    True
    """

    __slots__ = ("_rng", "_scheduled", "_updated_s")

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._scheduled = 0.0
        self._updated_s = 0.0

    def retry_after_s(self, *, backlog: int, rate_per_s: float, now_s: float) -> float:
        """Book one refused request and return when it should come back.

        ``backlog`` is what waits at the router, ``rate_per_s`` what is finished.
        """
        rate = max(rate_per_s * RETRY_SHARE, 1.0)
        gone = max(0.0, now_s - self._updated_s) * rate
        self._updated_s = now_s
        most = MAX_RETRY_AFTER_S * rate
        self._scheduled = min(most, max(0.0, self._scheduled - gone) + 1.0)
        wait_s = (self._scheduled + backlog) / rate
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return wait_s * self._rng.uniform(JITTER_LOW, JITTER_HIGH)
