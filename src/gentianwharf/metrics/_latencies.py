"""Histograms of how long answers took and how long requests waited."""

from collections.abc import Iterable
from typing import Any, final

from ._burn_part import ELAPSED
from ._histograms import EncodedHistogram, WindowedHistogram, percentile_s, record_s
from ._prometheus import HistogramSample

WAITED = "gentianwharf_queue_seconds"

Kind = tuple[str, str]
"""Service and class."""


@final
class Latencies:
    """A histogram of each service and class, of a window and since the start.

    ``elapsed`` is open to the recorder, which adds to it for every answer.
    """

    def __init__(self) -> None:
        self.elapsed: dict[Kind, WindowedHistogram] = {}
        self._waited: dict[Kind, WindowedHistogram] = {}

    def record_wait(self, kind: Kind, waited_s: float) -> None:
        """Record the wait of a request that waited."""
        waited = self._waited.get(kind)
        if waited is None:
            waited = self._waited[kind] = WindowedHistogram()
        record_s(waited.current, waited_s)

    def rotate(self) -> None:
        """End the running window."""
        for windowed in (*self.elapsed.values(), *self._waited.values()):
            windowed.rotate()

    def services(self) -> list[str]:
        """Return the services that have answered."""
        return sorted({service for service, _ in self.elapsed})

    def encoded_histograms(self) -> list[EncodedHistogram]:
        """Return the histograms since the start, encoded so that hosts' add up."""
        return [
            EncodedHistogram(
                name=name,
                service=service,
                request_class=request_class,
                encoded=windowed.total().encode(),
            )
            for name, table in ((ELAPSED, self.elapsed), (WAITED, self._waited))
            for (service, request_class), windowed in table.items()
        ]

    def samples(self) -> Iterable[HistogramSample]:
        """Return the histograms for Prometheus."""
        names = (
            (ELAPSED, "Time from request to whole answer.", self.elapsed),
            (WAITED, "Time in the queue of those that waited.", self._waited),
        )
        for name, text, table in names:
            for (service, request_class), windowed in table.items():
                labels = {"service": service, "class": request_class}
                yield HistogramSample(
                    name=name, help=text, labels=labels, histogram=windowed.total()
                )

    def state(self) -> list[dict[str, Any]]:
        """Return the last window's percentiles, for the state page."""
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
