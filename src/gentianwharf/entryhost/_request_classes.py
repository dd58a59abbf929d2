"""Mapping of the operators' kinds of requests to classes with priorities and limits."""

from gentianwharf.load import RequestClass
from gentianwharf.platform import RequestKind

WEIGHT_STEP = 4
"""Ratio between the server time of a rank and of the next lower one, if both wait."""

PRIORITY_RANKS = 4

MAX_WAIT_SHARE = 0.5
"""Part of its target latency that a request may wait here. An answer after a longer
wait would most likely come too late to have its full value."""


def request_class_of(kind: RequestKind) -> RequestClass:
    """Return the class of a kind.

    >>> kind = RequestKind(name="safe-1-300ms", deadline_ms=1000, priority=1,
    ...                    target_latency_ms=300, repeatable=True)
    >>> request_class = request_class_of(kind)
    >>> request_class.weight, request_class.max_wait_ms
    (16, 150.0)
    >>> request_class.priority, request_class.target_latency_ms
    (1, 300)
    """
    rank = min(kind.priority, PRIORITY_RANKS - 1)
    return RequestClass(
        name=kind.name,
        deadline_ms=kind.deadline_ms,
        weight=WEIGHT_STEP ** (PRIORITY_RANKS - 1 - rank),
        max_wait_ms=kind.target_latency_ms * MAX_WAIT_SHARE,
        hedged=kind.repeatable,
        priority=kind.priority,
        target_latency_ms=kind.target_latency_ms,
    )
