"""Which values a host has asked for, and when it asks again."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from ._messages import Version

PULL_AGAIN_S = 0.2
PULLS_OF_ONE = 3
"""A value that was asked for is asked for again after this, so often; then the next
digest that shows it names another host to ask."""

PULLED_AT_ONCE = 16
"""Values asked for in one message; each may be large, and a peer's queue is bounded."""


@dataclass(kw_only=True, slots=True)
class _Wanted:
    holder: str
    asked_s: float
    asked: int = 1


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

    def announced(self, holder: str, lacking: list[Version], *, now_s: float) -> None:
        """Ask ``holder`` for what this host lacks, unless it was just asked for."""
        keys = [key for key, _ in lacking if self._is_due(key, now_s)]
        keys = keys[:PULLED_AT_ONCE]
        for key in keys:
            self._wanted[key] = _Wanted(holder=holder, asked_s=now_s)
        if keys:
            self._ask(holder, keys)

    def came(self, key: str) -> None:
        """Note that a value is there."""
        self._wanted.pop(key, None)

    def tick(self, *, now_s: float) -> None:
        """Ask again for what did not come: the request or its answer was lost."""
        by_holder: dict[str, list[str]] = {}
        for key in [one for one in self._wanted if self._is_due(one, now_s)]:
            wanted = self._wanted[key]
            if wanted.asked >= PULLS_OF_ONE:
                del self._wanted[key]
                continue
            wanted.asked += 1
            wanted.asked_s = now_s
            by_holder.setdefault(wanted.holder, []).append(key)
        for holder, keys in by_holder.items():
            self._ask(holder, keys)

    def _is_due(self, key: str, now_s: float) -> bool:
        wanted = self._wanted.get(key)
        return wanted is None or now_s >= wanted.asked_s + PULL_AGAIN_S
