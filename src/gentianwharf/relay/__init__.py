"""From a caller's request to a backend server's answer."""

from gentianwharf.runs import RunStatus

from ._app import RelayApp
from ._caller_limits import HEAD_SWEEP_S, ConnectionLimits
from ._caller_request import CallerRequest
from ._caller_site import CallerSite
from ._connections import ServerConnections
from ._deadline import Remaining
from ._dialect import Dialect, OwnDialect, ServerRefusal
from ._ports import (
    Admission,
    Answered,
    Hedge,
    Observer,
    Outcome,
    Owner,
    Ownership,
    Rules,
    ServerLoad,
    Ticket,
)
from ._problem import Problem

__all__ = [
    "HEAD_SWEEP_S",
    "Admission",
    "Answered",
    "CallerRequest",
    "CallerSite",
    "ConnectionLimits",
    "Dialect",
    "Hedge",
    "Observer",
    "Outcome",
    "OwnDialect",
    "Owner",
    "Ownership",
    "Problem",
    "RelayApp",
    "Remaining",
    "Rules",
    "RunStatus",
    "ServerConnections",
    "ServerLoad",
    "ServerRefusal",
    "Ticket",
]
