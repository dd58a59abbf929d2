"""What a host counts and times, as Prometheus reads it."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, final

from hdrh.histogram import HdrHistogram

from gentianwharf.relay import AccessRecord

from ._page_site import PageResponse, PageSite

METRICS_PORT = 9464
"""A port that Prometheus' exporters commonly use; `deploy/system.toml` names it too."""

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"
PREFIX = "gentianwharf_"
MICROSECONDS = 1_000_000
LONGEST_US = 60 * MICROSECONDS
DIGITS = 2
"""One in a hundred is enough to see which part of a request took its time."""

MOST_SERIES = 500
"""Classes come from the operators' configuration, which may change often."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Gauge = Callable[[], float]
Key = tuple[str, str, int, str]


@final
class HostMetrics:
    """Counts answers by service, class, status and reason, and times them."""

    def __init__(self) -> None:
        self._answers: dict[Key, int] = {}
        self._elapsed: dict[tuple[str, str], HdrHistogram] = {}
        self._waited: dict[tuple[str, str], HdrHistogram] = {}
        self._gauges: dict[str, tuple[str, Gauge]] = {}
        self.add("resident_bytes", "Resident memory", _resident_bytes)
        self.add("descriptors", "Open file descriptors", _descriptors)

    def add(self, name: str, help_text: str, gauge: Gauge) -> None:
        """Serve what ``gauge`` returns when the page is asked for."""
        self._gauges[PREFIX + name] = (help_text, gauge)

    def answered(self, answered: AccessRecord) -> None:
        """Count one answer and note how long it took."""
        ticket = answered.ticket
        kind = (ticket.service, ticket.request_class)
        self.count(*kind, answered.status, answered.reason)
        _record(self._elapsed, kind, answered.elapsed_s)
        if answered.waited_s > 0:
            _record(self._waited, kind, answered.waited_s)

    def count(self, service: str, request_class: str, status: int, reason: str) -> None:
        """Count an answer; beyond the most series all others are one."""
        key = (service, request_class, status, reason)
        if key not in self._answers and len(self._answers) >= MOST_SERIES:
            key = ("other", "other", status, "other")
        self._answers[key] = self._answers.get(key, 0) + 1

    def text(self) -> str:
        """Return everything as Prometheus text."""
        # Its client library takes 40 ms and 2 MB to import, and on most hosts nobody
        # ever asks.
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
        return prometheus_text(samples, histograms)


def _record(
    table: dict[tuple[str, str], HdrHistogram], kind: tuple[str, str], time_s: float
) -> None:
    histogram = table.get(kind)
    if histogram is None:
        if len(table) >= MOST_SERIES:
            return
        histogram = table[kind] = HdrHistogram(1, LONGEST_US, DIGITS)
    histogram.record_value(min(LONGEST_US, max(1, int(time_s * MICROSECONDS))))


def _resident_bytes() -> float:
    pages = Path("/proc/self/statm").read_text().split()[1]
    return float(int(pages) * PAGE_BYTES)


def _descriptors() -> float:
    return float(len(os.listdir("/proc/self/fd")))


def metrics_site(*, metrics: HostMetrics, reactor: Any) -> PageSite:
    """Return a site that answers every GET with the metrics."""

    def render() -> PageResponse:
        body = metrics.text().encode()
        return PageResponse(body=body, content_type=METRICS_CONTENT_TYPE)

    return PageSite(render=render, reactor=reactor)
