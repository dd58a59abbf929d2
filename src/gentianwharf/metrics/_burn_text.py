"""The burn report as plain text."""

from ._burn import BurnReport, ClassLatency

MAX_NAMED_HOSTS = 24
"""Enough for two deployments of the current size. A longer list of host names would
make the lines after it hard to find."""

HOUR_S = 3_600
MINUTE_S = 60


def format_duration(seconds: float) -> str:
    """Return a duration as text, in minutes or hours.

    >>> format_duration(300), format_duration(21600), format_duration(259200)
    ('5 min', '6 h', '72 h')
    """
    if seconds < HOUR_S:
        return f"{seconds / MINUTE_S:g} min"
    return f"{seconds / HOUR_S:g} h"


def burn_text(report: BurnReport) -> str:
    """Return the report as text: coverage, alerts, burn rates, then burners."""
    lines = _coverage(report)
    firing = [
        f"{alert.severity.upper()}: {alert.request_class} burns its budget"
        f" {alert.long_burn_rate:.1f} times too fast"
        f" over {format_duration(alert.long_s)}"
        f" and {alert.short_burn_rate:.1f} times over {format_duration(alert.short_s)}"
        f" (alert at {alert.threshold:g})"
        for alert in report.alerts
        if alert.firing
    ]
    lines += firing or ["No alert fires."]
    for burn in report.classes:
        if burn.answers:
            lines.append(
                f"{burn.request_class}, last {format_duration(burn.window_s)}:"
                f" {burn.bad} of {burn.answers} answers bad,"
                f" burn rate {burn.burn_rate:.2f},"
                f" {burn.budget_spent:.2%} of the budget"
            )
    for burner in report.burners:
        lines.append(
            f"{burner.request_class}, {burner.kind} {burner.name}:"
            f" {burner.share_of_bad:.0%} of the bad answers"
            f" ({burner.bad} of its {burner.answers})"
        )
    for item in report.unavailable:
        verdict = "within" if item.within else "BEYOND"
        lines.append(
            f"{item.service}: longest unavailable time of a shard"
            f" {item.longest_s:.2f} s,"
            f" {verdict} the {item.allowed_s:g} s allowed;"
            f" {item.shard_s:.2f} shard-seconds in all"
        )
    lines += [_latency_text(latency) for latency in report.latencies]
    return "\n".join(lines)


def _coverage(report: BurnReport) -> list[str]:
    """Return which hosts the report covers, as its first lines."""
    if not report.hosts and not report.silent:
        return []
    listed = len(report.hosts) + len(report.silent)
    names = ", ".join(report.hosts)
    host_list = (
        f"{names}." if len(report.hosts) <= MAX_NAMED_HOSTS else "not named here."
    )
    lines = [f"Answers of {len(report.hosts)} of {listed} hosts: {host_list}"]
    lines += [f"MISSING {missing.host}: {missing.reason}" for missing in report.silent]
    return lines


def _latency_text(latency: ClassLatency) -> str:
    return (
        f"{latency.service}, {latency.request_class}: {latency.answers} answers, half"
        f" within {_milliseconds(latency.p50_s)}, 99% within"
        f" {_milliseconds(latency.p99_s)}, 99.9% within"
        f" {_milliseconds(latency.p999_s)}, longest"
        f" {_milliseconds(latency.longest_s)}"
    )


def _milliseconds(time_s: float) -> str:
    return f"{1_000 * time_s:.3g} ms"
