"""Which values a host has asked for, and when it asks again."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from ._messages import Version

PULL_AGAIN_S = 0.2
PULLS_OF_ONE = 3
"""A value that was asked for is asked for again after this, so often; then the next
digest that shows it names another host to ask."""

BODY_WAIT_S = 0.05
"""What comes down a tree as an announcement most likely comes down another as a body:
without this wait a host gets 1.4 bodies a change (measured at 36 hosts)."""

PULLED_AT_ONCE = 16
"""Values asked for in one message; each may be large, and a peer's queue is bounded."""


@dataclass(kw_only=True, slots=True)
class _Wanted:
    holder: str
    due_s: float
    asked: int = 0


@final
class Pulls:
    """Asks each value of one host at a time, though several announce it.

    >>> pulls = Pulls(ask=lambda holder, keys: print(holder, keys))
    >>> pulls.announced("lac-1", [("rules", 7)], now_s=0.0)
    lac-1 ['rules']
    >>> pulls.announced("lac-2", [("rules", 7)], now_s=0.1)
    >>> pulls.tick(now_s=0.2)
    lac-1 ['rules']
    """

    def __init__(self, *, ask: Callable[[str, list[str]], None]) -> None:
        self._ask = ask
        self._wanted: dict[str, _Wanted] = {}

    def announced(
        self, holder: str, lacking: list[Version], *, now_s: float, wait_s: float = 0.0
    ) -> None:
        """Ask ``holder`` for what this host lacks, after ``wait_s``.

        What was just asked for, or waits for its body, is left as it is.
        """
        for key, _ in lacking:
            wanted = self._wanted.get(key)
            if wanted is None or now_s >= wanted.due_s:
                self._wanted[key] = _Wanted(holder=holder, due_s=now_s + wait_s)
        if wait_s == 0:
            self.tick(now_s=now_s)

    def came(self, key: str) -> None:
        """Note that a value is there."""
        self._wanted.pop(key, None)

    def tick(self, *, now_s: float) -> None:
        """Ask for what is due, again for what did not come."""
        by_holder: dict[str, list[str]] = {}
        for key in [one for one in self._wanted if now_s >= self._wanted[one].due_s]:
            wanted = self._wanted[key]
            if wanted.asked >= PULLS_OF_ONE:
                del self._wanted[key]
                continue
            keys = by_holder.setdefault(wanted.holder, [])
            if len(keys) < PULLED_AT_ONCE:
                keys.append(key)
                wanted.asked += 1
                wanted.due_s = now_s + PULL_AGAIN_S
        for holder, keys in by_holder.items():
            self._ask(holder, keys)
