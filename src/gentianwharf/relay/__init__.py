"""From a caller's request to a backend server's answer."""

from ._app import RelayApp
from ._caller import CallerSite
from ._connections import ServerConnections
from ._ports import (
    Admission,
    Answered,
    Observer,
    Outcome,
    Owner,
    Ownership,
    Rules,
    Ticket,
)
from ._problem import Problem, Run

__all__ = [
    "Admission",
    "Answered",
    "CallerSite",
    "Observer",
    "Outcome",
    "Owner",
    "Ownership",
    "Problem",
    "RelayApp",
    "Rules",
    "Run",
    "ServerConnections",
    "Ticket",
]
