"""The requests of a service at one host within a window, for budgets.

Load pattern: what callers send waits at a link that is cut or a host that stands still,
and is then read at once. The window of such a burst has more requests than were sent in
it, which a mean over several windows shows.

>>> history = RequestHistory(window_s=10.0)
>>> history.note_time(0.0)
>>> for second in range(60):
...     history.record(float(second))
>>> for _ in range(60):
...     history.record(59.9)
>>> history.in_window(60.0)
20.0
"""

from collections import deque
from math import sqrt
from typing import final

SLICE_S = 0.5
WINDOWS = 6
"""Number of windows over which the mean is taken."""

DEVIATIONS = 2.0
"""Standard deviations by which requests at random may fall short of their mean."""


@final
class RequestHistory:
    """Counts requests in slices of time; ``note_time`` states when it begins."""

    def __init__(self, *, window_s: float) -> None:
        self._window_s = window_s
        self._since_s: float | None = None
        self._counted: tuple[int, float] = (-1, 0.0)
        """The last slice in which the requests were added up, and their sum."""
        self._slices: deque[tuple[int, int]] = deque()
        """Number of a slice of time, and its requests."""

    def note_time(self, now_s: float) -> None:
        """Note from when on requests are counted."""
        if self._since_s is None:
            self._since_s = now_s

    def record(self, now_s: float) -> None:
        """Count a request."""
        self.note_time(now_s)
        number = int(now_s / SLICE_S)
        if self._slices and self._slices[-1][0] == number:
            self._slices[-1] = (number, self._slices[-1][1] + 1)
            return
        self._slices.append((number, 1))
        oldest = number - int(WINDOWS * self._window_s / SLICE_S)
        while self._slices[0][0] < oldest:
            self._slices.popleft()

    def in_window(self, now_s: float) -> float:
        """Return how many requests a window has, without those of a burst.

        It is the mean over the last windows, or over the time since the begin, but not
        much more than the requests of the last window.
        """
        if self._since_s is None:
            return 0.0
        number = int(now_s / SLICE_S)
        if self._counted[0] != number:
            self._counted = (number, self._count(now_s, now_s - self._since_s))
        return self._counted[1]

    def _count(self, now_s: float, age_s: float) -> float:
        span_s = min(WINDOWS * self._window_s, age_s)
        windows = max(1.0, span_s / self._window_s)
        last = self._count_since(now_s - self._window_s)
        mean = self._count_since(now_s - span_s) / windows
        return min(mean, last + DEVIATIONS * sqrt(last))

    def _count_since(self, since_s: float) -> int:
        number = int(since_s / SLICE_S + 0.5)
        return sum(count for at, count in self._slices if at >= number)
