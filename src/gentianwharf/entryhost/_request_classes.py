"""How the operators' kinds of request are treated under load."""

from gentianwharf.load import RequestClass
from gentianwharf.platform import RequestKind

WEIGHT_STEP = 4
"""How much more server time a rank gets than the next lower one while both wait."""

PRIORITY_RANKS = 4

MAX_WAIT_SHARE = 0.5
"""The part of its target latency that a request may wait here: beyond that an answer
would most likely come too late to be worth its full value."""


def request_class_of(kind: RequestKind) -> RequestClass:
    """Return the treatment of a kind.

    >>> kind = RequestKind(name="safe-1-300ms", deadline_ms=1000, priority=1,
    ...                    target_latency_ms=300, repeatable=True)
    >>> treated = request_class_of(kind)
    >>> treated.weight, treated.max_wait_ms
    (16, 150.0)
    """
    rank = min(kind.priority, PRIORITY_RANKS - 1)
    return RequestClass(
        name=kind.name,
        deadline_ms=kind.deadline_ms,
        weight=WEIGHT_STEP ** (PRIORITY_RANKS - 1 - rank),
        max_wait_ms=kind.target_latency_ms * MAX_WAIT_SHARE,
        hedged=kind.repeatable,
    )
