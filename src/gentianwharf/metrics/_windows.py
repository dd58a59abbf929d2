"""Counts of good and bad answers over time, bounded in memory.

Burn rates need windows from 5 minutes to 3 days. Half a minute's counts are kept for
an hour, five minutes' for six and an hour's for three days: every window is then read
from some hundred buckets at most. Reading holds the loop that serves callers; three
days of five minutes took 50 ms when all places were busy.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, final

HOUR_S = 3_600.0
# Width and span of the buckets; a window is read from the first that spans it.
RESOLUTIONS_S = ((30.0, HOUR_S), (300.0, 6 * HOUR_S), (HOUR_S, 72 * HOUR_S))
# Places kept apart in a bucket; the least burdened are put together beyond it. The
# examples have under 100 places (rule, domain, server).
MAX_LABEL_SETS = 128
OTHER = "(other)"


class AnswerLabels(NamedTuple):
    """What can be to blame for a bad answer."""

    request_class: str
    service: str
    rule: int
    domain: str
    server: str


@final
@dataclass(kw_only=True, slots=True)
class Tally:
    """How many answers there were, and how many of them were bad."""

    total: int = 0
    bad: int = 0

    def add(self, total: int, bad: int) -> None:
        """Add other answers."""
        self.total += total
        self.bad += bad


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class WindowCount:
    """The answers of a label set in the ``window_s`` up to now; sums across hosts."""

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
    """Tallies of equal spans of time, the oldest dropped."""

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
            _tally_of(bucket, labels).add(tally.total, tally.bad)

    def since(self, from_s: float) -> Iterable[Tallies]:
        return (tallies for start_s, tallies in self._buckets if start_s >= from_s)


def _tally_of(bucket: Tallies, labels: AnswerLabels) -> Tally:
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
    """Good and bad answers of the last three days, by label set."""

    def __init__(self) -> None:
        self._resolutions = [
            (span_s, _Buckets(width_s=width_s, span_s=span_s))
            for width_s, span_s in RESOLUTIONS_S
        ]

    def add(self, tallies: Tallies, *, now_s: float) -> None:
        """Take in the answers since the last call."""
        for _, buckets in self._resolutions:
            buckets.add(tallies, now_s=now_s)

    def counts(self, *, window_s: float, now_s: float) -> list[WindowCount]:
        """Return the counts of the window that ends now."""
        buckets = next(
            (kept for span_s, kept in self._resolutions if window_s <= span_s),
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
