"""Limits on one caller's connection."""

from dataclasses import dataclass
from typing import final

SLOW_HEAD_CHECK_INTERVAL_S = 0.5
"""Interval at which slow heads are checked for. All connections share one timer, since
a timer for each request would cost more than parsing most heads."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """Limits on one caller's connection.

    A browser or load balancer that leaves a connection idle for a minute is unlikely to
    use it again, and middleboxes drop idle state after about that time. A caller or
    server that transfers no byte for ``stall_timeout_s`` is assumed to be gone:
    browsers time out a stalled page far earlier, and each stalled response occupies a
    slot. A head that is incomplete after ``head_timeout_s`` comes from a faulty caller
    or one that holds a file descriptor on purpose; browsers send a head in one packet.
    ``most_body_bytes`` is None if bodies of any length are allowed.
    """

    most_head_bytes: int = 16_384
    most_headers: int = 100
    idle_timeout_s: float = 60.0
    stall_timeout_s: float = 30.0
    head_timeout_s: float = 30.0
    most_body_bytes: int | None = None
