"""Bounds of the times after which refused callers may come back."""

MIN_RETRY_AFTER_S = 0.25
"""Within this time hosts find another dispatcher, or notice that a server that had no
room has some again."""

MAX_SHARE = 1 / 3
"""Part of its remaining time after which a refused caller comes back at the latest."""


def within_time_left(retry_after_s: float, *, left_s: float) -> float:
    """Return a Retry-After that leaves a caller time for its next attempt.

    >>> within_time_left(0.25, left_s=3.0), within_time_left(0.25, left_s=0.3)
    (0.25, 0.09999999999999999)
    >>> within_time_left(0.25, left_s=-1.0)
    0.0
    """
    return max(0.0, min(retry_after_s, left_s * MAX_SHARE))
