"""Load reports of hosts and their aggregation by the control holder."""

from random import Random

import pytest

from gentianwharf.ownership._loads import (
    HALF_LIFE_S,
    MOST_REPORTERS,
    REPORT_EVERY_S,
    SentCounts,
    ShardLoads,
    sampled,
)
from gentianwharf.ownership._messages import Loads

SHARDS = 8
REPORT = Loads(service="ledger", rates={3: 10.0}, answers=20, busy_s=1.0)


def test_sample_of_a_large_fleet_tells_the_load_of_all() -> None:
    """At 12,000 nodes, reports from every daemon overloaded the control holder."""
    rng = Random(7)
    hosts = 20 * MOST_REPORTERS
    reports = [sampled(REPORT, hosts=hosts, rng=rng) for _ in range(hosts)]
    sent = [report for report in reports if report is not None]
    assert len(sent) == pytest.approx(MOST_REPORTERS, rel=0.2)
    assert sum(report.hosts for report in sent) == pytest.approx(hosts, rel=0.2)


def test_report_that_stands_for_others_counts_as_often() -> None:
    one_by_one, at_once = ShardLoads(shards=SHARDS), ShardLoads(shards=SHARDS)
    for _ in range(3):
        one_by_one.hear(REPORT, 0.0)
    chosen = Loads(service="ledger", rates={3: 10.0}, answers=20, busy_s=1.0, hosts=3.0)
    at_once.hear(chosen, 0.0)
    assert at_once.demand(slots=6).shard_slots(3) == pytest.approx(
        one_by_one.demand(slots=6).shard_slots(3)
    )


def test_load_is_forgotten_though_nobody_reports_any_more() -> None:
    """All callers stop at once, so their hosts send nothing and report nothing.

    When rates decayed only on reports, the service appeared busy forever.
    """
    loads = ShardLoads(shards=SHARDS)
    loads.hear(REPORT, 0.0)
    before = loads.demand(slots=6).measured_slots[3]
    loads.decay(HALF_LIFE_S)
    assert loads.demand(slots=6).measured_slots[3] == pytest.approx(before / 2)


def test_host_that_sent_nothing_reports_nothing() -> None:
    sent = SentCounts()
    assert sent.take("ledger", REPORT_EVERY_S) is None
    sent.add(3)
    sent.answered(0.02)
    report = sent.take("ledger", 2 * REPORT_EVERY_S)
    assert report == Loads(
        service="ledger", rates={3: 1 / REPORT_EVERY_S}, answers=1, busy_s=0.02
    )
