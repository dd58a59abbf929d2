"""Histograms as Prometheus reads them."""

from random import Random

import pytest
from hdrh.histogram import HdrHistogram

from gentianwharf.metrics._prometheus import cumulative_buckets


@pytest.mark.parametrize("seed", range(5))
def test_buckets_hold_what_the_library_iterates_over(seed: int) -> None:
    rng = Random(seed)
    histogram = HdrHistogram(1, 60_000_000, 2)
    for _ in range(500):
        histogram.record_value(max(1, int(rng.expovariate(1 / 400_000))))
    recorded = [
        (one.value_iterated_to / 1_000_000, one.count_at_value_iterated_to)
        for one in histogram.get_recorded_iterator()
    ]
    buckets, sum_s = cumulative_buckets(histogram)
    assert sum_s == pytest.approx(sum(value_s * count for value_s, count in recorded))
    for bound, count in buckets:
        bound_s = float(bound)
        assert count == sum(one for value_s, one in recorded if value_s <= bound_s)


def test_empty_histogram_has_empty_buckets() -> None:
    buckets, sum_s = cumulative_buckets(HdrHistogram(1, 60_000_000, 2))
    assert sum_s == 0
    assert {count for _, count in buckets} == {0}
