"""Coalescing of frequent change notifications."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, final

BURST_SIZE = 8
"""Capacity of each key's token bucket: notifications delivered without delay."""

INTERVAL_S = 0.05
"""Time to refill one token, and the delay of a coalesced notification."""


@dataclass(kw_only=True, slots=True)
class _TokenBucket:
    tokens: float
    refilled_s: float


@final
class Coalescer:
    """Calls ``notify`` with the key of each change, coalescing bursts per key.

    When a host starts, several hundred servers are listed one by one. Processing all
    servers after each of them would take time quadratic in their number. A
    notification is delayed by at most ``INTERVAL_S``.
    """

    def __init__(self, *, notify: Callable[[str], None], clock: Any) -> None:
        self._notify = notify
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}
        self._pending: set[str] = set()

    def note(self, key: str) -> None:
        """Notify of a change to ``key``, immediately or coalesced with later ones."""
        if key in self._pending:
            return
        if self._take_token(key):
            self._notify(key)
            return
        self._pending.add(key)
        self._clock.callLater(INTERVAL_S, self._notify_pending, key)

    def _take_token(self, key: str) -> bool:
        now_s = self._clock.seconds()
        bucket = self._buckets.setdefault(
            key, _TokenBucket(tokens=BURST_SIZE, refilled_s=now_s)
        )
        refill = (now_s - bucket.refilled_s) / INTERVAL_S
        bucket.tokens = min(BURST_SIZE, bucket.tokens + refill)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _notify_pending(self, key: str) -> None:
        self._pending.discard(key)
        bucket = self._buckets[key]
        bucket.tokens, bucket.refilled_s = 0.0, self._clock.seconds()
        self._notify(key)
