"""Retry-After times of refused requests.

Load pattern: five times the load for 10 s, after which all refused callers retry. With
the same retry time for all, they return together and cause the next burst; with a time
that is too short, the servers stay overloaded by retries and never recover.

Every refusal schedules a later request. Its retry time is the time that the service
needs for all scheduled requests at its present rate, with jitter.
"""

from random import Random
from typing import final

# The header Retry-After has a resolution of one second.
MIN_RETRY_AFTER_S = 1.0
# The requests refused in ten seconds of five times the load take nearly two minutes to
# serve. With a bound of 30 s all of them returned between 30 and 48 s after the burst,
# and 40 % of the new callers were refused then.
MAX_RETRY_AFTER_S = 120.0
# The share of the service rate for retries, which normal traffic leaves unused.
RETRY_SHARE = 0.4
JITTER_LOW, JITTER_HIGH = 0.8, 1.3


@final
class RetrySchedule:
    """A leaky bucket of refused requests that drains at the service's rate.

    >>> schedule = RetrySchedule(rng=Random(1))
    >>> first = schedule.retry_after_s(backlog=0, rate_per_s=100.0, now_s=0.0)
    >>> for _ in range(500):
    ...     later = schedule.retry_after_s(backlog=0, rate_per_s=100.0, now_s=0.0)
    >>> first < 2.0 < 6.0 < later
    True
    """

    __slots__ = ("_rng", "_scheduled", "_updated_s")

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._scheduled = 0.0
        self._updated_s = 0.0

    def retry_after_s(self, *, backlog: int, rate_per_s: float, now_s: float) -> float:
        """Schedule one refused request and return the time until its retry.

        ``backlog`` is the number of requests waiting at the router, ``rate_per_s`` the
        rate at which requests are finished.
        """
        rate = max(rate_per_s * RETRY_SHARE, 1.0)
        drained = max(0.0, now_s - self._updated_s) * rate
        self._updated_s = now_s
        maximum = MAX_RETRY_AFTER_S * rate
        self._scheduled = min(maximum, max(0.0, self._scheduled - drained) + 1.0)
        wait_s = (self._scheduled + backlog) / rate
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return wait_s * self._rng.uniform(JITTER_LOW, JITTER_HIGH)
