"""Scheduling of pulls and their retries."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from ._messages import Version

PULL_RETRY_S = 0.2
MAX_PULL_ATTEMPTS = 3
"""Interval and maximum number of requests for a value to one host. After that, the next
digest that reveals the difference names another host."""

PULL_DELAY_S = 0.05
"""Delay before a value announced in a tree is pulled, since its body most likely
arrives in another tree. Without the delay, a host receives 1.4 bodies per change (at
36 hosts)."""

MAX_KEYS_PER_PULL = 16
"""Maximum number of values requested in one message. Each value may be large, and the
queue to a peer is bounded."""


@dataclass(kw_only=True, slots=True)
class _PendingPull:
    holder: str
    due_s: float
    attempts: int = 0


@final
class PullQueue:
    """Requests each value from one host at a time, even if several announce it.

    >>> pulls = PullQueue(send_pull=lambda holder, keys: print(holder, keys))
    >>> pulls.request("lac-1", [("rules", 7)], now_s=0.0)
    lac-1 ['rules']
    >>> pulls.request("lac-2", [("rules", 7)], now_s=0.1)
    >>> pulls.tick(now_s=0.2)
    lac-1 ['rules']
    """

    def __init__(self, *, send_pull: Callable[[str, list[str]], None]) -> None:
        self._send_pull = send_pull
        self._pending: dict[str, _PendingPull] = {}

    def request(
        self, holder: str, versions: list[Version], *, now_s: float, wait_s: float = 0.0
    ) -> None:
        """Request values from ``holder`` after ``wait_s``.

        A value that was requested recently, or whose body is awaited, is skipped.
        """
        for key, _ in versions:
            pending = self._pending.get(key)
            if pending is None or now_s >= pending.due_s:
                self._pending[key] = _PendingPull(holder=holder, due_s=now_s + wait_s)
        if wait_s == 0:
            self.tick(now_s=now_s)

    def complete(self, key: str) -> None:
        """Remove the request for a value that has arrived."""
        self._pending.pop(key, None)

    def tick(self, *, now_s: float) -> None:
        """Send the requests that are due, including retries."""
        by_holder: dict[str, list[str]] = {}
        for key in [key for key in self._pending if now_s >= self._pending[key].due_s]:
            pending = self._pending[key]
            if pending.attempts >= MAX_PULL_ATTEMPTS:
                del self._pending[key]
                continue
            keys = by_holder.setdefault(pending.holder, [])
            if len(keys) < MAX_KEYS_PER_PULL:
                keys.append(key)
                pending.attempts += 1
                pending.due_s = now_s + PULL_RETRY_S
        for holder, keys in by_holder.items():
            self._send_pull(holder, keys)
