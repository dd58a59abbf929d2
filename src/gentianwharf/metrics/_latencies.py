"""Histograms of answer times and queue times."""

from collections.abc import Iterable
from typing import Any, final

from ._burn_part import ANSWER_SECONDS
from ._histograms import EncodedHistogram, WindowedHistogram, percentile_s, record_s
from ._prometheus import HistogramSample

QUEUE_SECONDS = "gentianwharf_queue_seconds"

ServiceClass = tuple[str, str]
"""The names of a service and of a request class."""


@final
class Latencies:
    """Histograms per service and class, over a time window and since startup.

    ``elapsed`` is public because the recorder adds to it directly for every answer.
    """

    def __init__(self) -> None:
        self.elapsed: dict[ServiceClass, WindowedHistogram] = {}
        self._waited: dict[ServiceClass, WindowedHistogram] = {}

    def record_wait(self, service_class: ServiceClass, waited_s: float) -> None:
        """Record the queue time of a request that was queued."""
        waited = self._waited.get(service_class)
        if waited is None:
            waited = self._waited[service_class] = WindowedHistogram()
        record_s(waited.current, waited_s)

    def rotate(self) -> None:
        """End the current window and start the next one."""
        for windowed in (*self.elapsed.values(), *self._waited.values()):
            windowed.rotate()

    def services(self) -> list[str]:
        """Return the services with recorded answers."""
        return sorted({service for service, _ in self.elapsed})

    def encoded_histograms(self) -> list[EncodedHistogram]:
        """Return the histograms since startup, encoded for merging across hosts."""
        return [
            EncodedHistogram(
                name=name,
                service=service,
                request_class=request_class,
                encoded=windowed.total().encode(),
            )
            for name, table in (
                (ANSWER_SECONDS, self.elapsed),
                (QUEUE_SECONDS, self._waited),
            )
            for (service, request_class), windowed in table.items()
        ]

    def samples(self) -> Iterable[HistogramSample]:
        """Return the histograms for Prometheus."""
        names = (
            (ANSWER_SECONDS, "Time from request to whole answer.", self.elapsed),
            (QUEUE_SECONDS, "Time in the queue of those that waited.", self._waited),
        )
        for name, text, table in names:
            for (service, request_class), windowed in table.items():
                labels = {"service": service, "class": request_class}
                yield HistogramSample(
                    name=name, help=text, labels=labels, histogram=windowed.total()
                )

    def state(self) -> list[dict[str, Any]]:
        """Return the percentiles of the previous window, for the state page."""
        return [
            _class_state(service, request_class, windowed)
            for (service, request_class), windowed in self.elapsed.items()
        ]


def _class_state(
    service: str, request_class: str, windowed: WindowedHistogram
) -> dict[str, Any]:
    last = (
        windowed.previous if windowed.previous.get_total_count() else windowed.current
    )
    return {
        "service": service,
        "class": request_class,
        "answers": last.get_total_count(),
        "p50_s": percentile_s(last, 50),
        "p99_s": percentile_s(last, 99),
        "p999_s": percentile_s(last, 99.9),
    }
