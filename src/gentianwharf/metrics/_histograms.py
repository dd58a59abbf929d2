"""Latency histograms per service and class, of a window and since the start."""

from dataclasses import dataclass
from typing import final

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
# From 1 µs to 10 minutes, beyond the longest deadline of the examples (60 s), with
# two digits: 1% is finer than any limit that an operator sets, and a histogram
# takes 25 kB instead of 172 kB with three digits.
LOWEST_US = 1
HIGHEST_US = 600 * MICROSECONDS
DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds; any two can be merged."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def record_s(histogram: HdrHistogram, value_s: float) -> None:
    """Record a time in seconds; one beyond the range counts as the longest."""
    value_us = int(value_s * MICROSECONDS)
    if not histogram.record_value(value_us if value_us > 0 else 0):
        histogram.record_value(HIGHEST_US)


def percentile_s(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in seconds."""
    return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS


def merge_histograms(encoded: list[bytes]) -> HdrHistogram:
    """Add up encoded histograms of several hosts.

    Percentiles of hosts can't be averaged into one of the fleet: only the counts
    can be added.

    >>> one, other = new_histogram(), new_histogram()
    >>> record_s(one, 0.001)
    >>> record_s(other, 0.1)
    >>> merge_histograms([one.encode(), other.encode()]).get_total_count()
    2
    """
    whole = new_histogram()
    for part in encoded:
        whole.decode_and_add(part)
    return whole


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
    """A histogram of the last whole window, the running one, and the sum of all.

    Values go into the running window alone, which is added to the sum when the
    window turns: recording twice would cost 2 µs more for every answer.
    """

    def __init__(self) -> None:
        self.current = new_histogram()
        self.previous = new_histogram()
        self._before = new_histogram()

    def rotate(self) -> None:
        """End the running window."""
        self._before.add(self.current)
        self.previous = self.current
        self.current = new_histogram()

    def total(self) -> HdrHistogram:
        """Return all values since the start."""
        whole = new_histogram()
        whole.add(self._before)
        whole.add(self.current)
        return whole
