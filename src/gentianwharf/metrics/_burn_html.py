"""The burn report as a self-contained HTML page."""

from html import escape

import plotly.graph_objects as go
from plotly.io import to_html

from ._burn import ALERT_RULES, BurnReport
from ._burn_tables import burn_tables
from ._burn_text import format_duration

PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body {{ font-family: sans-serif; max-width: 70em; margin: auto; padding: 1em }}
table {{ border-collapse: collapse; margin: 0 0 1.5em }}
caption {{ text-align: left; font-weight: bold; padding: .4em 0 }}
th, td {{ padding: .2em .9em .2em 0; text-align: left; border-bottom: 1px solid #ddd }}
td.number {{ text-align: right; font-variant-numeric: tabular-nums }}
.bad {{ color: #a40000; font-weight: bold }}
</style></head>
<body>
<h1>Service-level burn</h1>
{lines}
{tables}
{plots}
</body></html>
"""

TICKS_MS = [step * 10**power for power in range(-2, 6) for step in (1, 2, 5)]
"""Axis ticks over the range of the histograms. The default ticks of the library leave
out the power of ten."""

ROW_PX = 22
FRAME_PX = 180


def burn_html(report: BurnReport) -> str:
    """Return the page, with the plotting library embedded so that it works offline."""
    figures = []
    if _has_answers(report):
        figures.append(_rate_plot(report))
    if report.burners:
        figures.append(_burner_plot(report))
    if report.latencies:
        figures.append(_latency_plot(report))
    return PAGE.format(
        lines="\n".join(_paragraphs(report)),
        tables="\n".join(burn_tables(report)),
        plots="\n".join(
            to_html(figure, full_html=False, include_plotlyjs=number == 0)
            for number, figure in enumerate(figures)
        ),
    )


def _paragraphs(report: BurnReport) -> list[str]:
    """Return the missing hosts and firing alerts, which precede tables and plots."""
    alerts = [
        f"{alert.severity.upper()}: {alert.request_class} burns its budget"
        f" {alert.long_burn_rate:.1f} times too fast"
        f" over {format_duration(alert.long_s)}"
        f" (alert at {alert.threshold:g})"
        for alert in report.alerts
        if alert.firing
    ]
    missing = [f"MISSING {host.host}: {host.reason}" for host in report.silent]
    lines = [f'<p class="bad">{escape(text)}</p>' for text in (*missing, *alerts)]
    if not alerts:
        lines.append("<p>No alert fires.</p>")
    if not _has_answers(report):
        lines.append("<p>No answers of a class with an objective yet.</p>")
    listed = len(report.hosts) + len(report.silent)
    if listed:
        names = escape(", ".join(report.hosts)) or "none"
        lines.append(
            f"<p>Answers of {len(report.hosts)} of {listed} hosts: {names}</p>"
        )
    return lines


def _has_answers(report: BurnReport) -> bool:
    return any(burn.answers for burn in report.classes)


def _rate_plot(report: BurnReport) -> go.Figure:
    figure = go.Figure()
    for name in dict.fromkeys(burn.request_class for burn in report.classes):
        class_burns = [burn for burn in report.classes if burn.request_class == name]
        figure.add_bar(
            name=name,
            x=[format_duration(burn.window_s) for burn in class_burns],
            y=[burn.burn_rate for burn in class_burns],
        )
    for rule in ALERT_RULES:
        figure.add_hline(
            y=rule.threshold,
            line_dash="dot",
            line_color="#a40000" if rule.severity == "page" else "#b8860b",
            annotation_text=f"{rule.severity} at {rule.threshold:g}"
            f" over {format_duration(rule.long_s)}",
            # Keeps the text readable where it overlaps a bar.
            annotation_bgcolor="white",
        )
    figure.update_layout(
        title="Burn rate by window (1 spends the budget in 30 days)",
        xaxis_title="window up to now",
        yaxis_title="burn rate",
        barmode="group",
        template="plotly_white",
    )
    return figure


def _burner_plot(report: BurnReport) -> go.Figure:
    """Return a plot with a stacked bar per rule, service, domain and server.

    A bar stacks the bad answers of all classes.
    """
    figure = go.Figure()
    names = list(
        dict.fromkeys(f"{burner.kind} {burner.name}" for burner in report.burners)
    )
    for name in dict.fromkeys(burner.request_class for burner in report.burners):
        class_burners = [
            burner for burner in report.burners if burner.request_class == name
        ]
        figure.add_bar(
            name=name,
            y=[f"{burner.kind} {burner.name}" for burner in class_burners],
            x=[burner.bad for burner in class_burners],
            orientation="h",
        )
    figure.update_layout(
        title="Bad answers of the last hour, by what they went through",
        xaxis_title="bad answers",
        # The worst of each kind is at the top, as in the table.
        yaxis={"categoryorder": "array", "categoryarray": names[::-1], "dtick": 1},
        barmode="stack",
        showlegend=True,
        template="plotly_white",
        height=FRAME_PX + ROW_PX * len(names),
    )
    return figure


def _latency_plot(report: BurnReport) -> go.Figure:
    figure = go.Figure()
    service_classes = [
        f"{latency.service}, {latency.request_class}" for latency in report.latencies
    ]
    for name, values_s in (
        ("half", [latency.p50_s for latency in report.latencies]),
        ("99%", [latency.p99_s for latency in report.latencies]),
        ("99.9%", [latency.p999_s for latency in report.latencies]),
    ):
        figure.add_scatter(
            name=name,
            x=[1_000 * value_s for value_s in values_s],
            y=service_classes,
            mode="markers",
            marker={"size": 11},
        )
    figure.update_layout(
        title="Answers within this time, since the hosts started",
        xaxis={"title": "ms", "type": "log", "tickvals": TICKS_MS},
        yaxis={
            "categoryorder": "array",
            "categoryarray": service_classes[::-1],
            "dtick": 1,
        },
        template="plotly_white",
        height=FRAME_PX + 2 * ROW_PX * len(service_classes),
    )
    return figure
