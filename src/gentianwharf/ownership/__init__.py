"""Single-owner key assignment: tables, rights, grants, moves and control leases."""

from ._messages import ControlAlive, Message, decode, encode
from ._move import MoveState
from ._protocols import Log, PeerLink, SiteOf
from ._requests import RequestOutcome
from ._route import Hold, RefusalReason, Refuse, Route, Send
from ._system import Assignment, OwnershipState, OwnershipSystem
from ._timing import TICK_S

__all__ = [
    "TICK_S",
    "Assignment",
    "ControlAlive",
    "Hold",
    "Log",
    "Message",
    "MoveState",
    "OwnershipState",
    "OwnershipSystem",
    "PeerLink",
    "RefusalReason",
    "Refuse",
    "RequestOutcome",
    "Route",
    "Send",
    "SiteOf",
    "decode",
    "encode",
]
