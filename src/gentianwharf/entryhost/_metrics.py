"""Counters and timings of an entry host in the format of Prometheus."""

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any, final

from hdrh.histogram import HdrHistogram

from gentianwharf.relay import AccessRecord

from ._page_site import PageResponse, PageSite
from ._slot_metrics import SlotMetrics

if TYPE_CHECKING:
    from gentianwharf.metrics import Sample

METRICS_PORT = 9464
"""A port that Prometheus exporters commonly use; also set in `deploy/system.toml`."""

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"
PREFIX = "gentianwharf_"
MICROSECONDS = 1_000_000
MAX_TIME_US = 60 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
"""A precision of 1% is sufficient to see which part of a request took how long."""

MAX_SERIES = 500
"""Limit of the number of series: request classes come from the operators'
configuration, which may change often."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Gauge = Callable[[], float]
SampleSource = Callable[[str], "Iterable[Sample]"]
"""Returns samples whose names begin with the given prefix."""

SeriesKey = tuple[str, str, int, str]


@final
class HostMetrics:
    """Counts answers by service, class, status and reason, and records their times."""

    def __init__(self) -> None:
        self._answers: dict[SeriesKey, int] = {}
        self._cut_bodies: dict[str, int] = {}
        self._elapsed: dict[tuple[str, str], HdrHistogram] = {}
        self._waited: dict[tuple[str, str], HdrHistogram] = {}
        self._gauges: dict[str, tuple[str, Gauge]] = {}
        self.pages: dict[bytes, Callable[[], PageResponse]] = {}
        """Further pages beside the metrics, by path."""
        self.slots = SlotMetrics()
        self.sample_sources: list[SampleSource] = [self.slots.samples]
        self.add_gauge("resident_bytes", "Resident memory", _resident_bytes)
        self.add_gauge("descriptors", "Open file descriptors", _descriptors)

    def add_gauge(self, name: str, help_text: str, gauge: Gauge) -> None:
        """Add a gauge, whose function is called whenever the metrics are requested."""
        self._gauges[PREFIX + name] = (help_text, gauge)

    def record_response(self, record: AccessRecord) -> None:
        """Count an answer, and record how long it took."""
        ticket = record.ticket
        group = (ticket.service, ticket.request_class)
        self.count(*group, record.status, record.reason)
        _record(self._elapsed, group, record.elapsed_s)
        for attempt in record.attempts:
            if attempt.has_cut_body:
                self._count_cut_body(ticket.service)
        if record.waited_s > 0:
            _record(self._waited, group, record.waited_s)

    def count(self, service: str, request_class: str, status: int, reason: str) -> None:
        """Count an answer; beyond ``MAX_SERIES`` all other answers share one series."""
        key = (service, request_class, status, reason)
        if key not in self._answers and len(self._answers) >= MAX_SERIES:
            key = ("other", "other", status, "other")
        self._answers[key] = self._answers.get(key, 0) + 1

    def _count_cut_body(self, service: str) -> None:
        if service not in self._cut_bodies and len(self._cut_bodies) >= MAX_SERIES:
            service = "other"
        self._cut_bodies[service] = self._cut_bodies.get(service, 0) + 1

    def text(self) -> str:
        """Return all metrics as Prometheus text."""
        # Importing the client library takes 40 ms and 2 MB, and most hosts are never
        # asked for metrics.
        from gentianwharf.metrics import HistogramSample, Sample, prometheus_text

        samples = [
            Sample(
                name=PREFIX + "answers",
                help="Answers to callers",
                labels={
                    "service": service,
                    "class": request_class,
                    "status": str(status),
                    "reason": reason,
                },
                value=count,
                counter=True,
            )
            for (service, request_class, status, reason), count in self._answers.items()
        ]
        samples += [
            Sample(
                name=PREFIX + "request_bodies_cut",
                help="Requests of which a server got only a part of the body",
                labels={"service": service},
                value=count,
                counter=True,
            )
            for service, count in self._cut_bodies.items()
        ]
        samples += [
            Sample(name=name, help=text, labels={}, value=gauge(), counter=False)
            for name, (text, gauge) in self._gauges.items()
        ]
        histograms = [
            HistogramSample(
                name=PREFIX + name,
                help=text,
                labels={"service": service, "class": request_class},
                histogram=histogram,
            )
            for name, text, table in (
                (
                    "answer_seconds",
                    "From a request's head to its answer",
                    self._elapsed,
                ),
                ("wait_seconds", "Waits for a server's turn", self._waited),
            )
            for (service, request_class), histogram in table.items()
        ]
        for source in self.sample_sources:
            samples += source(PREFIX)
        histograms += self.slots.histograms(PREFIX)
        return prometheus_text(samples, histograms)


def _record(
    table: dict[tuple[str, str], HdrHistogram], group: tuple[str, str], time_s: float
) -> None:
    histogram = table.get(group)
    if histogram is None:
        if len(table) >= MAX_SERIES:
            return
        histogram = table[group] = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
    histogram.record_value(min(MAX_TIME_US, max(1, int(time_s * MICROSECONDS))))


def _resident_bytes() -> float:
    pages = Path("/proc/self/statm").read_text().split()[1]
    return float(int(pages) * PAGE_BYTES)


def _descriptors() -> float:
    return float(len(os.listdir("/proc/self/fd")))


def metrics_site(*, metrics: HostMetrics, reactor: Any) -> PageSite:
    """Return a site that answers every GET with the metrics, or one of their pages."""

    def render() -> PageResponse:
        body = metrics.text().encode()
        return PageResponse(body=body, content_type=METRICS_CONTENT_TYPE)

    return PageSite(render=render, reactor=reactor, pages=metrics.pages)
