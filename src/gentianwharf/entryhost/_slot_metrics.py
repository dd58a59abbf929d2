"""Counters and wait times of the slots that dispatchers grant to this host."""

from typing import TYPE_CHECKING, final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    # Importing the client library takes 40 ms and 2 MB, and most hosts are never asked
    # for metrics.
    from gentianwharf.metrics import HistogramSample, Sample

from gentianwharf.admission import SlotRecord

MICROSECONDS = 1_000_000
MAX_WAIT_US = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2

MAX_SERIES = 200
"""Limit of the number of series of each metric: services, priorities and reasons come
from the operators' configuration and from other hosts."""

OTHER = "other"

SENT = "sent"
"""Reason of decisions without a dispatcher that were not refusals."""


@final
class SlotMetrics:
    """Counts acquisitions of slots, and records the waits by priority."""

    def __init__(self) -> None:
        self._acquired: dict[tuple[str, ...], int] = {}
        self._refused: dict[tuple[str, ...], int] = {}
        self._undispatched: dict[tuple[str, ...], int] = {}
        self._waits: dict[int, HdrHistogram] = {}

    def record_acquired(self, record: SlotRecord) -> None:
        """Count a granted slot and record how long the request waited for it."""
        _count(self._acquired, (record.service, str(record.priority)))
        waits = self._waits.get(record.priority)
        if waits is None:
            if len(self._waits) >= MAX_SERIES:
                return
            waits = HdrHistogram(1, MAX_WAIT_US, SIGNIFICANT_DIGITS)
            self._waits[record.priority] = waits
        wait_us = int(record.waited_s * MICROSECONDS)
        waits.record_value(min(MAX_WAIT_US, max(1, wait_us)))

    def record_refused(self, record: SlotRecord) -> None:
        """Count a refusal of a dispatcher, or after its grant."""
        _count(self._refused, (record.service, str(record.priority), record.reason))

    def record_undispatched(self, record: SlotRecord) -> None:
        """Count a decision that was made without a dispatcher."""
        key = (record.service, str(record.priority), record.reason or SENT)
        _count(self._undispatched, key)

    def samples(self, prefix: str) -> "list[Sample]":
        """Return the counters."""
        from gentianwharf.metrics import Sample

        labels = ("service", "priority", "reason")
        return [
            Sample(
                name=prefix + name,
                help=text,
                labels=dict(zip(labels, key, strict=False)),
                value=count,
                counter=True,
            )
            for name, text, table in (
                ("slots_acquired", "Slots granted to this host", self._acquired),
                ("slot_refusals", "Requests refused without a slot", self._refused),
                (
                    "undispatched",
                    "Decisions without a dispatcher",
                    self._undispatched,
                ),
            )
            for key, count in table.items()
        ]

    def histograms(self, prefix: str) -> "list[HistogramSample]":
        """Return the waits by priority."""
        from gentianwharf.metrics import HistogramSample

        return [
            HistogramSample(
                name=prefix + "slot_wait_seconds",
                help="From a request's arrival to its slot",
                labels={"priority": str(priority)},
                histogram=histogram,
            )
            for priority, histogram in self._waits.items()
        ]


def _count(table: dict[tuple[str, ...], int], key: tuple[str, ...]) -> None:
    if key not in table and len(table) >= MAX_SERIES:
        key = (OTHER,) * len(key)
    table[key] = table.get(key, 0) + 1
