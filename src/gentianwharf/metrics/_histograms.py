"""Latency histograms, over a time window and since startup."""

from dataclasses import dataclass
from typing import final

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
# The range is 1 µs to 10 minutes, longer than the longest deadline of the examples
# (60 s). Two digits give a precision of 1%, finer than any limit that an operator sets,
# and a histogram takes 25 kB; with three digits it would take 172 kB.
LOWEST_US = 1
HIGHEST_US = 600 * MICROSECONDS
DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds; all such histograms can be merged."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def record_s(histogram: HdrHistogram, value_s: float) -> None:
    """Record a time in seconds; a time beyond the range counts as the longest one."""
    value_us = int(value_s * MICROSECONDS)
    if not histogram.record_value(value_us if value_us > 0 else 0):
        histogram.record_value(HIGHEST_US)


def percentile_s(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in seconds."""
    return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS


def merge_histograms(encoded: list[bytes]) -> HdrHistogram:
    """Add up the encoded histograms of several hosts.

    The percentiles of hosts can't be averaged to those of the fleet; only the counts
    can be added.

    >>> first, second = new_histogram(), new_histogram()
    >>> record_s(first, 0.001)
    >>> record_s(second, 0.1)
    >>> merge_histograms([first.encode(), second.encode()]).get_total_count()
    2
    """
    total = new_histogram()
    for part in encoded:
        total.decode_and_add(part)
    return total


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class EncodedHistogram:
    """A histogram of microseconds in hdrhistogram's V2 base64 encoding."""

    name: str
    service: str
    request_class: str
    encoded: bytes


@final
class WindowedHistogram:
    """Histograms of the current window, of the previous one, and since startup.

    Values are recorded only in the current window, which is added to the total when
    the window is rotated. Recording every value twice would take 2 µs more per answer.
    """

    def __init__(self) -> None:
        self.current = new_histogram()
        self.previous = new_histogram()
        self._rotated = new_histogram()

    def rotate(self) -> None:
        """End the current window and start the next one."""
        self._rotated.add(self.current)
        self.previous = self.current
        self.current = new_histogram()

    def total(self) -> HdrHistogram:
        """Return a histogram of all values since startup."""
        total = new_histogram()
        total.add(self._rotated)
        total.add(self.current)
        return total
