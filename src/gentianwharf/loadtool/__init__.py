"""The load tool ``gentianwharf-load``.

The load is open-loop: requests are sent at their planned times, independent of
responses, and latency is measured from the planned time. Each response is checked to
be complete and to belong to its request.
"""

from ._check_response import CheckResult, ReceivedResponse, Verdict, check_response
from ._main import app, exit_code, main, run_load
from ._merge import merge_reports, read_report
from ._mix import BRAZOS_BEND, MIXES, TUNIS, Mix, RequestKind
from ._plan import Part, PlannedRequest, plan, zipf_weights
from ._report import LatencySummary, LoadReport, make_report
from ._runner import LoadRun
from ._sender import HttpSender, Sender, SendError
from ._tally import LoadTally
from ._target import Bounds, Target

__all__ = [
    "BRAZOS_BEND",
    "MIXES",
    "TUNIS",
    "Bounds",
    "HttpSender",
    "CheckResult",
    "LoadReport",
    "LoadRun",
    "LoadTally",
    "Mix",
    "Part",
    "PlannedRequest",
    "ReceivedResponse",
    "RequestKind",
    "SendError",
    "Sender",
    "Target",
    "LatencySummary",
    "Verdict",
    "app",
    "exit_code",
    "check_response",
    "main",
    "make_report",
    "merge_reports",
    "plan",
    "read_report",
    "run_load",
    "zipf_weights",
]
