"""Counting and timing of what callers receive.

``Recorder`` is what the relay and the daemon use; ``imbalance``, ``churn`` and
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
    LatencyOfClass,
    SilentHost,
    UnavailableBurn,
    burn_report,
)
from ._burn_part import BurnPart, BurnSum, decode_part, encode_part
from ._burn_text import burn_text
from ._decisions import DecisionRing
from ._histograms import (
    EncodedHistogram,
    WindowedHistogram,
    merged,
    new_histogram,
    record_s,
    value_at_s,
)
from ._measures import Outcome, UnavailableShards, churn, imbalance, unavailable_s
from ._objectives import Objective
from ._prometheus import HistogramSample, Sample, prometheus_text
from ._recorder import Recorder
from ._windows import BurnWindows, Place, Tally, WindowCount

__all__ = [
    "ALERT_RULES",
    "WINDOWS_S",
    "AlertRule",
    "Answer",
    "BurnAlert",
    "BurnPart",
    "BurnReport",
    "BurnSum",
    "BurnWindows",
    "Burner",
    "ClassBurn",
    "Decision",
    "DecisionRing",
    "EncodedHistogram",
    "HistogramSample",
    "LatencyOfClass",
    "Objective",
    "Outcome",
    "Place",
    "Recorder",
    "RunStatus",
    "Sample",
    "SilentHost",
    "Tally",
    "UnavailableBurn",
    "UnavailableShards",
    "WindowCount",
    "WindowedHistogram",
    "burn_html",
    "burn_report",
    "burn_text",
    "churn",
    "decode_part",
    "encode_part",
    "imbalance",
    "merged",
    "new_histogram",
    "prometheus_text",
    "record_s",
    "unavailable_s",
    "value_at_s",
]


def burn_html(report: BurnReport) -> str:
    """Return the burn report as a self-contained page.

    The plotting library is loaded only here: it takes longer to import and more
    memory than the rest of a daemon, which mostly never makes a page.
    """
    from ._burn_html import burn_html as make

    return make(report)
