"""Histograms in Prometheus' format."""

from random import Random

import pytest
from hdrh.histogram import HdrHistogram

from gentianwharf.metrics._prometheus import cumulative_buckets


@pytest.mark.parametrize("seed", range(5))
def test_buckets_agree_with_the_iterator_of_the_library(seed: int) -> None:
    rng = Random(seed)
    histogram = HdrHistogram(1, 60_000_000, 2)
    for _ in range(500):
        histogram.record_value(max(1, int(rng.expovariate(1 / 400_000))))
    recorded = [
        (item.value_iterated_to / 1_000_000, item.count_at_value_iterated_to)
        for item in histogram.get_recorded_iterator()
    ]
    buckets, sum_s = cumulative_buckets(histogram)
    assert sum_s == pytest.approx(sum(value_s * count for value_s, count in recorded))
    for bound, cumulative in buckets:
        bound_s = float(bound)
        assert cumulative == sum(
            count for value_s, count in recorded if value_s <= bound_s
        )


def test_empty_histogram_has_empty_buckets() -> None:
    buckets, sum_s = cumulative_buckets(HdrHistogram(1, 60_000_000, 2))
    assert sum_s == 0
    assert {count for _, count in buckets} == {0}
