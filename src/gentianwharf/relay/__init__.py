"""Forwards callers' requests to backend servers and returns the responses."""

from gentianwharf.runs import RunStatus

from ._app import RelayApp
from ._body_upload import BodyRecord
from ._caller_limits import SLOW_HEAD_CHECK_INTERVAL_S, ConnectionLimits
from ._caller_request import CallerRequest
from ._caller_site import CallerSite
from ._connect_probe import ConnectProbe, ProbeResult
from ._connections import ServerConnectionPool, ServerLinks
from ._deadline import RemainingTime
from ._header_codec import DefaultHeaderCodec, HeaderCodec, ServerRefusal
from ._link_monitor import LinkMonitor
from ._load_client import LoadClient, LoadQueryCodec, QueriedLoad
from ._ports import (
    NO_NOTICE,
    AccessRecord,
    Admission,
    AttemptRecord,
    HedgeCallback,
    Observer,
    Outcome,
    Owner,
    Ownership,
    Rules,
    SendCause,
    ServerLoad,
    ServerNotice,
    Ticket,
)
from ._problem import Problem
from ._reachability import ConnectFailure, Reachability
from ._run_guard import GuardedRun, RecallableExchange, RunGuard, Unguarded
from ._tunnels import NoTunnels

__all__ = [
    "NO_NOTICE",
    "SLOW_HEAD_CHECK_INTERVAL_S",
    "AccessRecord",
    "Admission",
    "AttemptRecord",
    "BodyRecord",
    "CallerRequest",
    "CallerSite",
    "ConnectFailure",
    "ConnectProbe",
    "ConnectionLimits",
    "DefaultHeaderCodec",
    "GuardedRun",
    "HeaderCodec",
    "HedgeCallback",
    "LinkMonitor",
    "LoadClient",
    "LoadQueryCodec",
    "NoTunnels",
    "Observer",
    "Outcome",
    "Owner",
    "Ownership",
    "ProbeResult",
    "Problem",
    "QueriedLoad",
    "Reachability",
    "RecallableExchange",
    "RelayApp",
    "RemainingTime",
    "Rules",
    "RunGuard",
    "RunStatus",
    "SendCause",
    "ServerConnectionPool",
    "ServerLinks",
    "ServerLoad",
    "ServerNotice",
    "ServerRefusal",
    "Ticket",
    "Unguarded",
]
