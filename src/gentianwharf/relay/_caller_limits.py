"""What one caller's connection may take."""

from dataclasses import dataclass
from typing import final

SLOW_HEAD_CHECK_INTERVAL_S = 0.5
"""How often slow heads are looked for. One timer for all connections, since a timer of
its own for each request would cost more than most requests' heads."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """What one caller's connection may take.

    A browser or balancer that keeps a connection idle for a minute has most likely
    forgotten it; a middlebox drops idle state about then. A caller or server that
    moves no byte for ``stall_timeout_s`` is taken for gone: browsers give up on a
    stalled page far earlier, and each stalled answer holds a slot. A head that is not
    whole after ``head_timeout_s`` is a fault of its caller's, or holds a descriptor on
    purpose; heads of browsers come in one packet. ``most_body_bytes`` is None where
    bodies of any length may pass.
    """

    most_head_bytes: int = 16_384
    most_headers: int = 100
    idle_timeout_s: float = 60.0
    stall_timeout_s: float = 30.0
    head_timeout_s: float = 30.0
    most_body_bytes: int | None = None
