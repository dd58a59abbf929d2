"""The deadline that a backend server is told, on the wall clock."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RemainingTime:
    """What is left of a request's time, and when that ends on the wall clock."""

    duration_s: float
    deadline_unix_s: float

    @property
    def deadline_unix_ms(self) -> int:
        """Return the end in whole milliseconds, rounded down."""
        return int(self.deadline_unix_s * 1000)


def remaining_time(
    deadline_s: float, *, now_s: Clock, unix_s: Clock = time.time
) -> RemainingTime:
    """Return what is left until ``deadline_s`` of the clock ``now_s``.

    The wall clock is read first. A host that is paused between the two readings, for
    seconds perhaps, then tells the server an earlier deadline; the other way round it
    tells a later one, by which the shard may have a new owner while the server still
    runs the request.

    >>> left = remaining_time(12.0, now_s=lambda: 10.0, unix_s=lambda: 1_000.0)
    >>> left.deadline_unix_ms
    1002000
    """
    unix_now_s = unix_s()
    duration_s = deadline_s - now_s()
    return RemainingTime(duration_s=duration_s, deadline_unix_s=unix_now_s + duration_s)
