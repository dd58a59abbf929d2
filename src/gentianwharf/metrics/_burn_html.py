"""The burn report as a page that needs nothing from elsewhere."""

from html import escape

import plotly.graph_objects as go
from plotly.io import to_html

from ._burn import ALERT_RULES, BurnReport
from ._burn_tables import burn_tables
from ._burn_text import span

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
"""From the histograms' least to their longest; the library's own ticks leave out the
power of ten."""

ROW_PX = 22
FRAME_PX = 180


def burn_html(report: BurnReport) -> str:
    """Return the page; the plots' library is inside, so that it opens offline."""
    figures = []
    if _has_answers(report):
        figures.append(_rates(report))
    if report.burners:
        figures.append(_burners(report))
    if report.latencies:
        figures.append(_latencies(report))
    return PAGE.format(
        lines="\n".join(_paragraphs(report)),
        tables="\n".join(burn_tables(report)),
        plots="\n".join(
            to_html(figure, full_html=False, include_plotlyjs=number == 0)
            for number, figure in enumerate(figures)
        ),
    )


def _paragraphs(report: BurnReport) -> list[str]:
    """Say what needs attention, before any figure."""
    alerts = [
        f"{one.severity.upper()}: {one.request_class} burns its budget"
        f" {one.long_burn_rate:.1f} times too fast over {span(one.long_s)}"
        f" (alert at {one.threshold:g})"
        for one in report.alerts
        if one.firing
    ]
    missing = [f"MISSING {one.host}: {one.reason}" for one in report.silent]
    lines = [f'<p class="bad">{escape(one)}</p>' for one in (*missing, *alerts)]
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
    return any(one.answers for one in report.classes)


def _rates(report: BurnReport) -> go.Figure:
    figure = go.Figure()
    for name in dict.fromkeys(one.request_class for one in report.classes):
        mine = [one for one in report.classes if one.request_class == name]
        figure.add_bar(
            name=name,
            x=[span(one.window_s) for one in mine],
            y=[one.burn_rate for one in mine],
        )
    for rule in ALERT_RULES:
        figure.add_hline(
            y=rule.threshold,
            line_dash="dot",
            line_color="#a40000" if rule.severity == "page" else "#b8860b",
            annotation_text=f"{rule.severity} at {rule.threshold:g}"
            f" over {span(rule.long_s)}",
            # Readable where it lies on a bar.
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


def _burners(report: BurnReport) -> go.Figure:
    """One bar a rule, service, domain or server, of all classes together."""
    figure = go.Figure()
    names = list(dict.fromkeys(f"{one.kind} {one.name}" for one in report.burners))
    for name in dict.fromkeys(one.request_class for one in report.burners):
        mine = [one for one in report.burners if one.request_class == name]
        figure.add_bar(
            name=name,
            y=[f"{one.kind} {one.name}" for one in mine],
            x=[one.bad for one in mine],
            orientation="h",
        )
    figure.update_layout(
        title="Bad answers of the last hour, by what they went through",
        xaxis_title="bad answers",
        # The worst of each kind stands above the others, as in the table.
        yaxis={"categoryorder": "array", "categoryarray": names[::-1], "dtick": 1},
        barmode="stack",
        showlegend=True,
        template="plotly_white",
        height=FRAME_PX + ROW_PX * len(names),
    )
    return figure


def _latencies(report: BurnReport) -> go.Figure:
    figure = go.Figure()
    kinds = [f"{one.service}, {one.request_class}" for one in report.latencies]
    for name, values_s in (
        ("half", [one.p50_s for one in report.latencies]),
        ("99%", [one.p99_s for one in report.latencies]),
        ("99.9%", [one.p999_s for one in report.latencies]),
    ):
        figure.add_scatter(
            name=name,
            x=[1_000 * value_s for value_s in values_s],
            y=kinds,
            mode="markers",
            marker={"size": 11},
        )
    figure.update_layout(
        title="Answers within this time, since the hosts started",
        xaxis={"title": "ms", "type": "log", "tickvals": TICKS_MS},
        yaxis={"categoryorder": "array", "categoryarray": kinds[::-1], "dtick": 1},
        template="plotly_white",
        height=FRAME_PX + 2 * ROW_PX * len(kinds),
    )
    return figure
