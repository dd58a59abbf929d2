"""The recorder's counts, windows, measures, Prometheus text and decisions."""

from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families
from twisted.internet.task import Clock

from gentianwharf.metrics import RunStatus, merge_histograms
from tests.builders_metrics import answer, decision, recorder, refusal


def test_prometheus_text_counts_answers_and_times() -> None:
    clock = Clock()
    metrics = recorder(clock)
    for _ in range(3):
        metrics.record_answer(answer(elapsed_s=0.01))
    metrics.record_answer(refusal(elapsed_s=0.0002))
    families = {
        family.name: family
        for family in text_string_to_metric_families(metrics.prometheus_text())
    }
    answers = {
        sample.labels["status"]: sample.value
        for sample in families["gentianwharf_answers"].samples
    }
    assert answers == {"200": 3, "503": 1}
    buckets = {
        sample.labels["le"]: sample.value
        for sample in families["gentianwharf_answer_seconds"].samples
        if "le" in sample.labels
    }
    assert buckets["0.001"] == 1
    assert buckets["0.016"] == buckets["+Inf"] == 4


def test_totals_include_rotated_windows() -> None:
    clock = Clock()
    metrics = recorder(clock)
    for _ in range(3):
        metrics.record_answer(answer())
        clock.advance(61)
        metrics.tick()
    (encoded,) = metrics.encoded_histograms()
    assert merge_histograms([encoded.encoded]).get_total_count() == 3
    assert metrics.state()["classes"][0]["answers"] == 1


def test_histograms_of_two_hosts_add_up() -> None:
    """Averaging the p99 of two hosts would give 50 ms; the p99 of both is 100 ms."""
    hosts = [recorder(Clock()), recorder(Clock())]
    for _ in range(100):
        hosts[0].record_answer(answer(elapsed_s=0.001))
        hosts[1].record_answer(answer(elapsed_s=0.1))
    total = merge_histograms([host.encoded_histograms()[0].encoded for host in hosts])
    assert total.get_value_at_percentile(99) == pytest.approx(100_000, rel=0.01)


def test_queue_time_is_recorded_only_for_queued_requests() -> None:
    metrics = recorder(Clock())
    metrics.record_answer(answer())
    metrics.record_answer(answer(waited_s=0.05))
    queue_histograms = [
        histogram
        for histogram in metrics.encoded_histograms()
        if "queue" in histogram.name
    ]
    assert merge_histograms([queue_histograms[0].encoded]).get_total_count() == 1


def test_state_shows_imbalance_and_unavailable_time() -> None:
    clock = Clock()
    metrics = recorder(clock)
    for server in ("calendrier-1", "calendrier-1", "calendrier-1", "calendrier-2"):
        for _ in range(20):
            metrics.record_answer(answer(server=server))
    metrics.record_answer(refusal(shard=9))
    clock.advance(0.5)
    metrics.record_answer(answer(shard=9, server="calendrier-2"))
    metrics.record_answer(refusal(shard=11))
    clock.advance(60)
    metrics.tick()
    service = metrics.state()["services"]["calendrier"]
    assert service["imbalance"] == pytest.approx(60 * 2 / 81)
    assert service["unavailable_shards"] == 1
    assert service["unavailable_shard_s"] == pytest.approx(60.5)
    assert service["longest_unavailable_s"] == pytest.approx(60)


@pytest.mark.parametrize(
    ("changes", "kept"),
    [
        pytest.param(
            {"refused": "queue-full", "run": RunStatus.NOT_RUN}, 5, id="refused"
        ),
        pytest.param({"run": RunStatus.UNKNOWN}, 5, id="unknown"),
        pytest.param({}, 0, id="ordinary"),
    ],
)
def test_refusals_and_unknown_outcomes_are_always_kept(
    changes: dict[str, Any], kept: int
) -> None:
    metrics = recorder(Clock())
    for number in range(5):
        metrics.record_decision(decision(request_id=f"r{number}", **changes))
    assert len(metrics.decisions.latest()) == kept


def test_refusals_do_not_displace_served_requests() -> None:
    """Under overload, the kept decisions must still include served requests.

    Thousands of requests are refused per second. In a common ring their decisions
    would displace every ordinary decision within two seconds, so that an operator
    could not find out why a request was slow.
    """
    metrics = recorder(Clock())
    metrics.decisions.add_sampled(decision(request_id="served"))
    for number in range(5_000):
        metrics.record_decision(decision(request_id=f"r{number}", refused="queue-full"))
    assert metrics.decisions.find("served") is not None
    assert len(metrics.decisions.latest(limit=10_000)) == 2_001


def test_probes_that_match_no_rule_do_not_displace_refusals() -> None:
    """A client probes the port while a service is overloaded.

    In a common ring, thousands of probes would displace the refusals of real requests.
    """
    metrics = recorder(Clock())
    full = decision(request_id="full", run=RunStatus.NOT_RUN, refused="queue-full")
    metrics.record_decision(full)
    for number in range(3_000):
        probe = decision(
            request_id=f"p{number}",
            rule=0,
            service="",
            run=RunStatus.NOT_RUN,
            refused="no rule matches",
        )
        metrics.record_decision(probe)
    assert metrics.decisions.find("full") is full
    assert metrics.decisions.find("p2999") is not None
    assert len(metrics.decisions.latest(limit=10_000, always_kept_only=True)) == 2_001


LAC = ["calendrier-1", "calendrier-2"]
ARIANA = ["calendrier-3", "calendrier-4"]


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        pytest.param({"calendrier-1": 60}, 2.0, id="all-to-one-of-two"),
        pytest.param({"calendrier-1": 3}, None, id="too-few-to-tell"),
        pytest.param(
            {"calendrier-1": 990, "calendrier-2": 990, "calendrier-3": 20},
            1.0,
            id="migration-at-1-percent",
        ),
        pytest.param(
            {"calendrier-1": 50, "calendrier-2": 50, "calendrier-3": 80},
            2.0,
            id="worst",
        ),
        pytest.param(
            {"calendrier-1": 50, "calendrier-2": 50, "calendrier-9": 900},
            1.0,
            id="left",
        ),
    ],
)
def test_imbalance_includes_idle_servers_and_compares_within_sites(
    answers: dict[str, int], expected: float | None
) -> None:
    """A hot key that sends all requests to one of two servers must show as imbalance.

    Idle servers were left out of the mean, so that this load was reported as even. A
    migration at 1% also raised the alarm, although placement can't change the shares
    that the rules determine.
    """
    clock = Clock()
    metrics = recorder(clock)
    metrics.server_loads.set_servers("calendrier", [LAC, ARIANA])
    for server, count in answers.items():
        for _ in range(count):
            metrics.record_answer(answer(server=server))
    clock.advance(61)
    metrics.tick()
    assert metrics.state()["services"]["calendrier"]["imbalance"] == expected
    assert ("gentianwharf_imbalance" in metrics.prometheus_text()) is bool(expected)


def test_churn_is_exported_as_a_metric() -> None:
    metrics = recorder(Clock())
    metrics.record_owner_changes("calendrier", 3)
    metrics.record_owner_changes("calendrier", 2)
    assert 'gentianwharf_churn_shards_total{service="calendrier"} 5.0' in (
        metrics.prometheus_text()
    )
