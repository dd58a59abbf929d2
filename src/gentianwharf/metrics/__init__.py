"""Counts and latencies of the answers that callers receive.

The relay and the daemon use ``Recorder``. ``imbalance``, ``churn`` and
``unavailable_s`` are the three measures as plain functions.
"""

from gentianwharf.runs import RunStatus

from ._answer import Answer, Decision
from ._burn import (
    ALERT_RULES,
    WINDOWS_S,
    AlertRule,
    BurnAlert,
    Burner,
    BurnReport,
    ClassBurn,
    ClassLatency,
    MissingHost,
    UnavailableBurn,
    burn_report,
)
from ._burn_part import BurnAggregator, BurnPart, decode_part, encode_part
from ._burn_text import burn_text
from ._decisions import DecisionRing
from ._histograms import (
    EncodedHistogram,
    WindowedHistogram,
    merge_histograms,
    new_histogram,
    percentile_s,
    record_s,
)
from ._measures import Outcome, UnavailableShards, churn, imbalance, unavailable_s
from ._objectives import Objective
from ._prometheus import HistogramSample, Sample, prometheus_text
from ._recorder import Recorder
from ._windows import AnswerLabels, BurnWindows, Tally, WindowCount

__all__ = [
    "ALERT_RULES",
    "WINDOWS_S",
    "AlertRule",
    "Answer",
    "BurnAlert",
    "BurnPart",
    "BurnReport",
    "BurnAggregator",
    "Burner",
    "ClassBurn",
    "UnavailableBurn",
    "burn_html",
    "burn_report",
    "burn_text",
    "BurnWindows",
    "Decision",
    "DecisionRing",
    "EncodedHistogram",
    "HistogramSample",
    "ClassLatency",
    "Objective",
    "Outcome",
    "AnswerLabels",
    "Recorder",
    "RunStatus",
    "Sample",
    "MissingHost",
    "Tally",
    "UnavailableShards",
    "WindowCount",
    "WindowedHistogram",
    "churn",
    "decode_part",
    "encode_part",
    "imbalance",
    "merge_histograms",
    "new_histogram",
    "prometheus_text",
    "record_s",
    "unavailable_s",
    "percentile_s",
]


def burn_html(report: BurnReport) -> str:
    """Return the burn report as a self-contained HTML page.

    The plotting library is imported only here: it takes longer to import and more
    memory than the rest of a daemon, and most daemons never render a page.
    """
    from ._burn_html import burn_html as render

    return render(report)
