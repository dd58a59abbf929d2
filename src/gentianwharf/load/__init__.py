"""Overload control and load balancing; this package performs no I/O.

``Gate`` decides which requests are started, queued or refused, and to which server
they are sent. ``IdempotencyCache`` joins repeated requests. See
``docs/design/load.md``.
"""

from ._budget import RetryAgreement
from ._gate import Gate
from ._idempotency import Claim, ClaimResult, IdempotencyCache
from ._requests import (
    PROVES_NOT_RUN,
    AcquireSlot,
    Decision,
    Discipline,
    Outcome,
    OutcomeKind,
    QueryLoad,
    Refuse,
    RefuseReason,
    RequestClass,
    Start,
    Ticket,
    Wait,
)
from ._server_state import HealthStatus
from ._snapshot import (
    ClassSnapshot,
    GateSnapshot,
    PoolSnapshot,
    RetryBudgetSnapshot,
    ServerSnapshot,
)

__all__ = [
    "PROVES_NOT_RUN",
    "AcquireSlot",
    "Claim",
    "ClaimResult",
    "ClassSnapshot",
    "Decision",
    "Discipline",
    "Gate",
    "GateSnapshot",
    "HealthStatus",
    "IdempotencyCache",
    "Outcome",
    "OutcomeKind",
    "PoolSnapshot",
    "QueryLoad",
    "Refuse",
    "RefuseReason",
    "RequestClass",
    "RetryAgreement",
    "RetryBudgetSnapshot",
    "ServerSnapshot",
    "Start",
    "Ticket",
    "Wait",
]
