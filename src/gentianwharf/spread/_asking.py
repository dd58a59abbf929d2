"""Whom a host that starts asks for what they hold, and how often."""

from collections.abc import Callable, Sequence
from random import Random
from typing import final

from ._overlay import Overlay
from ._readiness import Readiness

ASK_FIRST_S = 0.1
ASK_LONGEST_S = 2.0
ASK_GROWTH = 1.5
"""Pauses between two rounds. They grow, since after an outage in which all hosts were
replaced a host asks in vain until the store is back."""

ASKED_AT_ONCE = 16
"""Hosts of the own failure domain asked in a round, or an eighth of them, so that a
majority answers within some ten rounds; and half as many others."""


@final
class Asking:
    """Asks hosts at random that have not agreed yet; call ``tick`` until ready."""

    def __init__(
        self,
        *,
        overlay: Overlay,
        readiness: Readiness,
        rng: Random,
        ask: Callable[[str], None],
    ) -> None:
        self._overlay = overlay
        self._readiness = readiness
        self._rng = rng
        self._ask = ask
        self._next_s = float("-inf")
        self._pause_s = ASK_FIRST_S

    def tick(self, *, now_s: float) -> None:
        """Ask when it is time."""
        if now_s < self._next_s:
            return
        self._next_s = now_s + self._pause_s
        self._pause_s = min(ASK_GROWTH * self._pause_s, ASK_LONGEST_S)
        members = self._overlay.domain_members
        at_once = max(ASKED_AT_ONCE, len(members) // 8)
        self._ask_some(members, at_once)
        self._ask_some(self._overlay.others, at_once // 2)

    def _ask_some(self, host_ids: Sequence[str], at_once: int) -> None:
        waiting = [
            one
            for one in host_ids
            if one != self._overlay.host_id and not self._readiness.has_agreed(one)
        ]
        for host_id in self._rng.sample(waiting, min(at_once, len(waiting))):
            self._ask(host_id)
