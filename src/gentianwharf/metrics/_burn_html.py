"""The burn report as a page that needs nothing from elsewhere."""

from html import escape

import plotly.graph_objects as go
from plotly.io import to_html

from ._burn import ALERT_RULES, BurnReport
from ._burn_text import burn_text, span

PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title></head>
<body style="font-family: sans-serif; max-width: 70em; margin: auto">
<h1>Service-level burn</h1>
<pre style="white-space: pre-wrap">{text}</pre>
{rates}
{burners}
</body></html>
"""


def burn_html(report: BurnReport) -> str:
    """Return the page; the plots' library is inside, so that it opens offline."""
    return PAGE.format(
        text=escape(burn_text(report)),
        rates=to_html(_rates(report), full_html=False, include_plotlyjs=True),
        burners=to_html(_burners(report), full_html=False, include_plotlyjs=False),
    )


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
            annotation_text=f"{rule.severity} at {rule.threshold:g}"
            f" over {span(rule.long_s)}",
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
    figure = go.Figure()
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
        template="plotly_white",
    )
    return figure
