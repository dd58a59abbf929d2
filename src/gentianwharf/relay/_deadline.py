"""Converts a deadline on the loop's clock to the wall clock, for backend servers."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RemainingTime:
    """The time until a request's deadline, and that deadline on the wall clock."""

    duration_s: float
    deadline_unix_s: float

    @property
    def deadline_unix_ms(self) -> int:
        """Return the deadline in whole milliseconds, rounded down."""
        return int(self.deadline_unix_s * 1000)


def remaining_time(
    deadline_s: float, *, now_s: Clock, unix_s: Clock = time.time
) -> RemainingTime:
    """Return the time until ``deadline_s`` on the clock ``now_s``.

    The wall clock is read first. If the host is paused between the two readings, which
    can take seconds, the server then gets an earlier deadline. In the other order it
    would get a later one, and could still be running the request when the shard has a
    new owner.

    >>> remaining = remaining_time(12.0, now_s=lambda: 10.0, unix_s=lambda: 1_000.0)
    >>> remaining.deadline_unix_ms
    1002000
    """
    unix_now_s = unix_s()
    duration_s = deadline_s - now_s()
    return RemainingTime(duration_s=duration_s, deadline_unix_s=unix_now_s + duration_s)
