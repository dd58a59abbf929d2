"""Slots of servers that one host grants to all hosts."""

from ._client import MIN_DISPATCHED_HOSTS, SlotClient
from ._counters import ClientCounters, MessageCounters
from ._dispatcher import Dispatcher
from ._local import LocalDispatcher
from ._messages import is_slot_message
from ._node import SlotNode
from ._outbox import Link, SlotIdentity
from ._refusals import RefusalReason
from ._selection import DispatchHost
from ._snapshot import DispatcherSnapshot, SlotServerSnapshot, SubjectSnapshot
from ._types import (
    Reply,
    SlotAnswer,
    SlotDemand,
    SlotGrant,
    SlotLease,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotSource,
    SlotWaiting,
)

__all__ = [
    "MIN_DISPATCHED_HOSTS",
    "ClientCounters",
    "DispatchHost",
    "Dispatcher",
    "DispatcherSnapshot",
    "Link",
    "LocalDispatcher",
    "MessageCounters",
    "RefusalReason",
    "Reply",
    "SlotAnswer",
    "SlotClient",
    "SlotDemand",
    "SlotGrant",
    "SlotIdentity",
    "SlotLease",
    "SlotNode",
    "SlotOutcome",
    "SlotRefusal",
    "SlotRequest",
    "SlotReturn",
    "SlotServerSnapshot",
    "SlotSource",
    "SlotWaiting",
    "SubjectSnapshot",
    "is_slot_message",
]
