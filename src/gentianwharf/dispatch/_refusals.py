"""Which requests are refused, and when their callers may come back."""

from enum import StrEnum
from random import Random
from typing import final

from gentianwharf.retry_after import MIN_RETRY_AFTER_S, within_time_left

MAX_RETRY_AFTER_S = 10.0
RETRY_JITTER = 0.25
"""Part by which a Retry-After is lengthened or shortened at random, so that callers
that were refused together do not come back together."""

SHARE_WINDOW = 64.0
"""Requests over which the share that is granted is averaged."""

SHARE_MARGIN = 0.02
"""Lead in its share of grants that a less urgent priority may have."""

SHARE_RECOVERY_S = 2.0
"""Time constant with which the share of a priority without requests returns to 1."""


class RefusalReason(StrEnum):
    """Why no slot is granted."""

    NO_SERVER = "no-server"
    BUSY = "busy"
    WAIT = "wait-too-long"
    DEADLINE = "deadline"
    MORE_URGENT = "more-urgent-refused"
    QUEUE_FULL = "queue-full"
    MOVED = "moved"


OVERLOADS = (RefusalReason.WAIT, RefusalReason.QUEUE_FULL, RefusalReason.MORE_URGENT)
"""Reasons that count as load; the others don't depend on it or are repetitions."""


@final
class GrantedShares:
    """The share of requests that each priority was granted recently.

    The turns of lower priorities must not serve them better than more urgent ones: when
    the most urgent kind alone exceeds the capacity, an eighth of the slots may be all
    that a rare lower priority needs.

    >>> shares = GrantedShares()
    >>> for _ in range(50):
    ...     shares.record(0, granted=False, now_s=1.0)
    >>> shares.favours(1, 1.0), shares.favours(0, 1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._shares: dict[int, tuple[float, float]] = {}

    def record(self, priority: int, *, granted: bool, now_s: float) -> None:
        """Record the decision on a request."""
        share = self._share(priority, now_s)
        share += (float(granted) - share) / SHARE_WINDOW
        self._shares[priority] = share, now_s

    def favours(self, priority: int, now_s: float) -> bool:
        """Whether a priority is granted a larger share than a more urgent one."""
        urgent = (self._share(key, now_s) for key in self._shares if key < priority)
        return self._share(priority, now_s) > min(urgent, default=1.0) + SHARE_MARGIN

    def _share(self, priority: int, now_s: float) -> float:
        share, at_s = self._shares.get(priority, (1.0, now_s))
        recovered = min(1.0, (now_s - at_s) / SHARE_RECOVERY_S)
        return share + (1.0 - share) * recovered


@final
class RetryBacklog:
    """The work of refused requests, whose callers come back, by priority."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._work_s: dict[int, float] = {}
        self._updated_s = 0.0

    def refuse(
        self,
        priority: int,
        *,
        work_s: float,
        waiting_s: float,
        capacity: float,
        deadline_s: float,
        now_s: float,
    ) -> float:
        """Add a refused request and return its Retry-After in seconds.

        ``waiting_s`` is the work of the waiting requests of this and higher priorities,
        ``capacity`` the work that the subject's servers do in a second.
        """
        self._drain((now_s - self._updated_s) * capacity)
        self._updated_s = now_s
        refused_s = self._work_s.get(priority, 0.0) + work_s
        self._work_s[priority] = min(refused_s, MAX_RETRY_AFTER_S * capacity)
        ahead_s = sum(value for key, value in self._work_s.items() if key <= priority)
        delay_s = (ahead_s + waiting_s) / max(capacity, 1e-3)
        return retry_after_s(delay_s, deadline_s=deadline_s, rng=self._rng)

    def _drain(self, work_s: float) -> None:
        """Work off refused requests, the most urgent first."""
        for priority in sorted(self._work_s):
            done_s = min(work_s, self._work_s[priority])
            self._work_s[priority] -= done_s
            work_s -= done_s


def retry_after_s(delay_s: float, *, deadline_s: float, rng: Random) -> float:
    """Return a Retry-After near ``delay_s`` that leaves time for the next attempt."""
    jitter = rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
    delay_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, delay_s) * jitter)
    if delay_s == MIN_RETRY_AFTER_S:
        # Callers with the minimum must not come back together either.
        delay_s *= rng.uniform(1.0, 1.0 + RETRY_JITTER)
    return within_time_left(delay_s, left_s=deadline_s)
