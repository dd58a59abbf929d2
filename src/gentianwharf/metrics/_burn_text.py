"""The burn report as lines for a person."""

from ._burn import BurnReport

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
    lines = [
        f"{one.severity.upper()}: {one.request_class} burns its budget"
        f" {one.long_burn_rate:.1f} times too fast over {span(one.long_s)}"
        f" and {one.short_burn_rate:.1f} times over {span(one.short_s)}"
        f" (alert at {one.threshold:g})"
        for one in report.alerts
        if one.firing
    ]
    if not lines:
        lines = ["No alert fires."]
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
    return "\n".join(lines)
