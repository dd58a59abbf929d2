"""Counts and histograms in Prometheus' text format, using its client library."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from ._histograms import MICROSECONDS

# Bucket bounds in seconds, near the latency limits of the classes in the examples. They
# are few, because each bound is a time series per service and class in Prometheus.
BOUNDS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5)
LONG_BOUNDS_S = (1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """One value of a counter or gauge."""

    name: str
    help: str
    labels: dict[str, str]
    value: float
    counter: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HistogramSample:
    """One histogram of times, recorded in microseconds."""

    name: str
    help: str
    labels: dict[str, str]
    histogram: HdrHistogram


@final
class _FamilyCollector:
    """Presents metric families to the client library as a collector."""

    def __init__(self, families: Iterable[Metric]) -> None:
        self._families = list(families)

    def collect(self) -> Iterable[Metric]:
        return self._families


def prometheus_text(
    samples: Iterable[Sample], histograms: Iterable[HistogramSample]
) -> str:
    """Return the exposition text of all samples, grouped by metric name."""
    families: dict[str, Metric] = {}
    for sample in samples:
        _add_sample(families, sample)
    for histogram in histograms:
        _add_histogram(families, histogram)
    registry = CollectorRegistry()
    registry.register(_FamilyCollector(families.values()))
    return generate_latest(registry).decode()


def _add_sample(families: dict[str, Metric], sample: Sample) -> None:
    family_type = CounterMetricFamily if sample.counter else GaugeMetricFamily
    family = families.get(sample.name)
    if family is None:
        family = family_type(sample.name, sample.help, labels=list(sample.labels))
        families[sample.name] = family
    assert isinstance(family, CounterMetricFamily | GaugeMetricFamily)
    family.add_metric(list(sample.labels.values()), sample.value)


def _add_histogram(families: dict[str, Metric], sample: HistogramSample) -> None:
    family = families.get(sample.name)
    if family is None:
        family = HistogramMetricFamily(
            sample.name, sample.help, labels=list(sample.labels)
        )
        families[sample.name] = family
    assert isinstance(family, HistogramMetricFamily)
    buckets, sum_s = cumulative_buckets(sample.histogram)
    family.add_metric(list(sample.labels.values()), buckets, sum_s)


def cumulative_buckets(
    histogram: HdrHistogram,
) -> tuple[list[tuple[str, float]], float]:
    """Return the cumulative count per bound, and the sum of all values in seconds."""
    bounds_s = (*BOUNDS_S, *LONG_BOUNDS_S)
    counts = [0.0] * (len(bounds_s) + 1)
    sum_s = 0.0
    # The counts are read directly, because the library's iterators visit every value
    # that could have been recorded and would block the event loop meanwhile.
    for index, count in enumerate(histogram.counts):
        if not count:
            continue
        value = histogram.get_value_from_index(index)
        value_s = histogram.get_highest_equivalent_value(value) / MICROSECONDS
        sum_s += value_s * count
        counts[_bucket_index(bounds_s, value_s)] += count
    buckets = []
    cumulative = 0.0
    for bound_s, count in zip((*bounds_s, None), counts, strict=True):
        cumulative += count
        buckets.append(("+Inf" if bound_s is None else str(bound_s), cumulative))
    return buckets, sum_s


def _bucket_index(bounds_s: tuple[float, ...], value_s: float) -> int:
    for index, bound_s in enumerate(bounds_s):
        if value_s <= bound_s:
            return index
    return len(bounds_s)
