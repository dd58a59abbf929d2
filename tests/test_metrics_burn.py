"""The burn report: burn rates, alerts, burners, aggregation over hosts, HTML page."""

import json
from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from gentianwharf.errors import InputError
from gentianwharf.metrics import (
    ALERT_RULES,
    WINDOWS_S,
    BurnAggregator,
    BurnReport,
    MissingHost,
    WindowCount,
    burn_html,
    burn_report,
    burn_text,
)
from gentianwharf.metrics._windows import OTHER
from tests.builders_metrics import (
    CONSULTATION,
    answer,
    burn_report_of,
    recorder,
    refusal,
)


def count(window_s: float, total: int, bad: int, server: str = "a-1") -> WindowCount:
    return WindowCount(
        window_s=window_s,
        request_class="consultation",
        service="calendrier",
        rule=1,
        domain="lac",
        server=server,
        total=total,
        bad=bad,
    )


def firing(bad_by_window: dict[float, int]) -> list[float]:
    counts = [count(window_s, 1_000, bad) for window_s, bad in bad_by_window.items()]
    report = burn_report([CONSULTATION], counts)
    return [alert.threshold for alert in report.alerts if alert.firing]


MINUTE_S, HOUR_S = 60.0, 3_600.0


@pytest.mark.parametrize(
    ("bad_by_window", "thresholds"),
    [
        pytest.param(dict.fromkeys(WINDOWS_S, 0), [], id="none-bad"),
        pytest.param(dict.fromkeys(WINDOWS_S, 9), [], id="within-budget"),
        pytest.param(dict.fromkeys(WINDOWS_S, 10), [1.0], id="exactly-at-budget"),
        pytest.param(dict.fromkeys(WINDOWS_S, 200), [14.4, 6.0, 1.0], id="fast-burn"),
        pytest.param(
            {5 * MINUTE_S: 0, HOUR_S: 200, 30 * MINUTE_S: 0, 6 * HOUR_S: 100},
            [],
            id="over-already",
        ),
        pytest.param(
            {5 * MINUTE_S: 500, HOUR_S: 20, 30 * MINUTE_S: 90, 6 * HOUR_S: 10},
            [],
            id="short-spike",
        ),
    ],
)
def test_alert_needs_long_and_short_window(
    bad_by_window: dict[float, int], thresholds: list[float]
) -> None:
    """Operators must not be paged for a spike that is already over.

    With the long window alone, an alert would fire for an hour after the problem has
    ended. With the short window alone, every spike of a minute would page.
    """
    assert firing(bad_by_window) == thresholds


def test_thresholds_spend_the_budget_shares_of_the_workbook() -> None:
    spent = [
        rule.threshold * rule.long_s / CONSULTATION.period_s for rule in ALERT_RULES
    ]
    assert spent == pytest.approx([0.02, 0.05, 0.10])


def test_counts_of_hosts_add_up_and_show_the_worst_server() -> None:
    lac = [count(HOUR_S, 900, 1, server="calendrier-1")]
    ariana = [count(HOUR_S, 100, 9, server="calendrier-2")]
    report = burn_report([CONSULTATION], [*lac, *ariana])
    (hour,) = [burn for burn in report.classes if burn.window_s == HOUR_S]
    assert (hour.answers, hour.bad) == (1_000, 10)
    assert hour.burn_rate == pytest.approx(1)
    servers = [burner for burner in report.burners if burner.kind == "server"]
    assert [burner.name for burner in servers] == ["calendrier-2", "calendrier-1"]
    assert servers[0].share_of_bad == pytest.approx(0.9)


def test_recorder_counts_slow_failed_and_refused_answers_as_bad() -> None:
    metrics = recorder(Clock())
    for bad in (answer(elapsed_s=0.3), answer(status=502), refusal()):
        metrics.record_answer(bad)
    for good in (answer(elapsed_s=0.1), answer(status=404)):
        metrics.record_answer(good)
    five_minutes = burn_report_of(metrics).classes[0]
    assert (five_minutes.answers, five_minutes.bad) == (5, 3)


@pytest.mark.parametrize(
    ("after_s", "expected"),
    [
        pytest.param(60, [1, 1, 1, 1, 1], id="a-minute"),
        pytest.param(600, [0, 1, 1, 1, 1], id="ten-minutes"),
        pytest.param(2 * HOUR_S, [0, 0, 0, 1, 1], id="two-hours"),
        pytest.param(100 * HOUR_S, [0, 0, 0, 0, 0], id="four-days"),
    ],
)
def test_answers_leave_the_windows(after_s: float, expected: list[int]) -> None:
    clock = Clock()
    metrics = recorder(clock)
    metrics.record_answer(refusal())
    metrics.tick()
    clock.advance(6)
    metrics.tick()
    clock.advance(after_s)
    assert [burn.bad for burn in burn_report_of(metrics).classes] == expected


def test_unavailable_time_is_compared_with_the_objective() -> None:
    clock = Clock()
    metrics = recorder(clock)
    metrics.record_answer(refusal(shard=3))
    clock.advance(61)
    (unavailable,) = burn_report_of(metrics).unavailable
    assert (unavailable.service, unavailable.within) == ("calendrier", False)
    assert unavailable.longest_s == pytest.approx(61)


def test_text_and_page_show_the_alert_and_page_is_self_contained() -> None:
    counts = [count(window_s, 1_000, 200) for window_s in WINDOWS_S]
    report = burn_report([CONSULTATION], counts)
    assert burn_text(report).startswith("PAGE: consultation burns its budget 20.0")
    page = burn_html(report)
    assert "PAGE: consultation" in page
    assert "<script src=" not in page


def test_page_without_answers_has_no_empty_plot() -> None:
    page = burn_html(burn_report([CONSULTATION], []))
    assert "No answers" in page
    assert "plotly" not in page


def test_page_lists_missing_hosts_first_and_shows_latencies_of_the_fleet() -> None:
    metrics = recorder(Clock())
    metrics.record_answer(answer(elapsed_s=0.25))
    part = metrics.burn_part()
    aggregator = BurnAggregator(objectives=[CONSULTATION])
    aggregator.add("lac-1", part)
    page = burn_html(
        aggregator.report(silent=[MissingHost(host="<b>", reason="no answer")])
    )
    assert page.index("MISSING &lt;b&gt;: no answer") < page.index("burn rate")
    assert "Answers within this time" in page
    assert "<b>:" not in page


def test_merged_label_sets_are_not_reported_as_rule_0() -> None:
    """With more than 128 label sets, the merged ones were reported as rule 0.

    Rule 0 means that no rule matched, so an operator would have looked for requests
    that match no rule.
    """
    merged = replace(count(HOUR_S, 10, 1), domain=OTHER, server=OTHER, rule=0)
    counts = [merged]
    burners = burn_report([CONSULTATION], counts).burners
    assert {burner.name for burner in burners if burner.kind != "service"} == {OTHER}


def test_report_survives_a_json_round_trip() -> None:
    report = burn_report([CONSULTATION], [count(HOUR_S, 1_000, 20)])
    sent = json.loads(json.dumps(report.as_builtins()))
    assert BurnReport.from_builtins(sent) == report
    with pytest.raises(InputError, match="another version"):
        BurnReport.from_builtins({"classes": 1})
