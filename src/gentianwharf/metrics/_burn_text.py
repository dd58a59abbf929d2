"""The burn report as lines for a person."""

from ._burn import BurnReport, ClassLatency

NAMED_HOSTS = 24
"""Two deployments of today's size; a longer list would hide what follows it."""

HOUR_S = 3_600
MINUTE_S = 60


def span(seconds: float) -> str:
    """Return a window's length in words.

    >>> span(300), span(21600), span(259200)
    ('5 min', '6 h', '72 h')
    """
    if seconds < HOUR_S:
        return f"{seconds / MINUTE_S:g} min"
    return f"{seconds / HOUR_S:g} h"


def burn_text(report: BurnReport) -> str:
    """Return the report as text: alerts first, then rates, then what burns."""
    lines = _coverage(report)
    firing = [
        f"{one.severity.upper()}: {one.request_class} burns its budget"
        f" {one.long_burn_rate:.1f} times too fast over {span(one.long_s)}"
        f" and {one.short_burn_rate:.1f} times over {span(one.short_s)}"
        f" (alert at {one.threshold:g})"
        for one in report.alerts
        if one.firing
    ]
    lines += firing or ["No alert fires."]
    for burn in report.classes:
        if burn.answers:
            lines.append(
                f"{burn.request_class}, last {span(burn.window_s)}: {burn.bad} of"
                f" {burn.answers} answers bad, burn rate {burn.burn_rate:.2f},"
                f" {burn.budget_spent:.2%} of the budget"
            )
    for burner in report.burners:
        lines.append(
            f"{burner.request_class}, {burner.kind} {burner.name}:"
            f" {burner.share_of_bad:.0%} of the bad answers"
            f" ({burner.bad} of its {burner.answers})"
        )
    for one in report.unavailable:
        verdict = "within" if one.within else "BEYOND"
        lines.append(
            f"{one.service}: longest unavailable time of a shard {one.longest_s:.2f} s,"
            f" {verdict} the {one.allowed_s:g} s allowed;"
            f" {one.shard_s:.2f} shard-seconds in all"
        )
    lines += [_latency(one) for one in report.latencies]
    return "\n".join(lines)


def _coverage(report: BurnReport) -> list[str]:
    """Say whose answers the report holds, before anything is read out of it."""
    if not report.hosts and not report.silent:
        return []
    listed = len(report.hosts) + len(report.silent)
    names = ", ".join(report.hosts)
    whose = f"{names}." if len(report.hosts) <= NAMED_HOSTS else "not named here."
    lines = [f"Answers of {len(report.hosts)} of {listed} hosts: {whose}"]
    lines += [f"MISSING {one.host}: {one.reason}" for one in report.silent]
    return lines


def _latency(one: ClassLatency) -> str:
    return (
        f"{one.service}, {one.request_class}: {one.answers} answers, half within"
        f" {_milliseconds(one.p50_s)}, 99% within {_milliseconds(one.p99_s)}, 99.9%"
        f" within {_milliseconds(one.p999_s)}, longest {_milliseconds(one.longest_s)}"
    )


def _milliseconds(time_s: float) -> str:
    return f"{1_000 * time_s:.3g} ms"
