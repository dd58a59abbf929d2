"""Counts of good and bad answers over time, in bounded memory.

Burn rates need windows from 5 minutes to 3 days. Buckets of 30 seconds are kept for an
hour, buckets of 5 minutes for 6 hours and buckets of an hour for 3 days, so that every
window is read from about a hundred buckets at most. Reading blocks the event loop that
serves callers; 3 days of 5-minute buckets took 50 ms with all label sets in use.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, final

HOUR_S = 3_600.0
# Width and span of the buckets. A window is read from the first resolution whose span
# covers it.
RESOLUTIONS_S = ((30.0, HOUR_S), (300.0, 6 * HOUR_S), (HOUR_S, 72 * HOUR_S))
# Label sets counted separately in a bucket; further ones are merged into ``OTHER``. The
# examples have fewer than 100 label sets (rule, domain, server).
MAX_LABEL_SETS = 128
OTHER = "(other)"


class AnswerLabels(NamedTuple):
    """The labels that answers are counted by, to attribute bad answers."""

    request_class: str
    service: str
    rule: int
    domain: str
    server: str


@final
@dataclass(kw_only=True, slots=True)
class Tally:
    """The number of answers, and how many of them were bad."""

    total: int = 0
    bad: int = 0

    def add(self, total: int, bad: int) -> None:
        """Add the counts of further answers."""
        self.total += total
        self.bad += bad


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class WindowCount:
    """The answers with these labels in the last ``window_s`` seconds.

    Counts of several hosts can be added up.
    """

    window_s: float
    request_class: str
    service: str
    rule: int
    domain: str
    server: str
    total: int
    bad: int


Tallies = dict[AnswerLabels, Tally]


@final
class _Buckets:
    """Tallies of consecutive time spans of equal width; the oldest are dropped."""

    def __init__(self, *, width_s: float, span_s: float) -> None:
        self._width_s = width_s
        self._buckets: deque[tuple[float, Tallies]] = deque(
            maxlen=int(span_s / width_s) + 1
        )

    def add(self, tallies: Tallies, *, now_s: float) -> None:
        start_s = now_s - now_s % self._width_s
        if not self._buckets or self._buckets[-1][0] != start_s:
            self._buckets.append((start_s, {}))
        bucket = self._buckets[-1][1]
        for labels, tally in tallies.items():
            _tally_for(bucket, labels).add(tally.total, tally.bad)

    def since(self, from_s: float) -> Iterable[Tallies]:
        return (tallies for start_s, tallies in self._buckets if start_s >= from_s)


def _tally_for(bucket: Tallies, labels: AnswerLabels) -> Tally:
    tally = bucket.get(labels)
    if tally is not None:
        return tally
    if len(bucket) >= MAX_LABEL_SETS:
        labels = AnswerLabels(labels.request_class, labels.service, 0, OTHER, OTHER)
        tally = bucket.get(labels)
    if tally is None:
        tally = bucket[labels] = Tally()
    return tally


@final
class BurnWindows:
    """Good and bad answers of the last 3 days, by label set."""

    def __init__(self) -> None:
        self._resolutions = [
            (span_s, _Buckets(width_s=width_s, span_s=span_s))
            for width_s, span_s in RESOLUTIONS_S
        ]

    def add(self, tallies: Tallies, *, now_s: float) -> None:
        """Add the answers since the last call."""
        for _, buckets in self._resolutions:
            buckets.add(tallies, now_s=now_s)

    def counts(self, *, window_s: float, now_s: float) -> list[WindowCount]:
        """Return the counts of the window that ends now."""
        buckets = next(
            (buckets for span_s, buckets in self._resolutions if window_s <= span_s),
            self._resolutions[-1][1],
        )
        sums: Tallies = {}
        for tallies in buckets.since(now_s - window_s):
            for labels, tally in tallies.items():
                sums.setdefault(labels, Tally()).add(tally.total, tally.bad)
        return [
            WindowCount(
                window_s=window_s, total=tally.total, bad=tally.bad, **labels._asdict()
            )
            for labels, tally in sums.items()
        ]
