"""Counting and timing of what callers receive.

``Recorder`` is what the relay and the daemon use; ``imbalance``, ``churn`` and
``unavailable_s`` are the three measures as plain functions.
"""

from ._answer import Answer, Decision, Run
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
from ._recorder import Recorder
from ._windows import BurnWindows, Place, Tally, WindowCount

__all__ = [
    "Answer",
    "BurnWindows",
    "Decision",
    "DecisionRing",
    "EncodedHistogram",
    "Objective",
    "Outcome",
    "Place",
    "Recorder",
    "Run",
    "Tally",
    "UnavailableShards",
    "WindowCount",
    "WindowedHistogram",
    "churn",
    "imbalance",
    "merged",
    "new_histogram",
    "record_s",
    "unavailable_s",
    "value_at_s",
]
