"""What keeps a leader from learning of its replacement."""

import signal
from enum import StrEnum
from random import Random
from typing import Protocol, final

from ._deployment import Deployment
from ._schedule import Schedule

CUT_S = (4.0, 8.0)
FROZEN_S = (2.0, 4.5)
FREEZE_AFTER_S = (0.0, 0.5)


class LeaderTroubles(Protocol):
    """Troubles of leaders, one for each span."""

    def begin(self, leader: str) -> float:
        """Draw and begin a trouble of whoever leads, and return the span's duration."""

    def end(self) -> None:
        """End all troubles."""


class LeaderTrouble(StrEnum):
    """Why a leader doesn't learn of its replacement."""

    CUT_OFF = "cut off"
    FROZEN = "frozen"
    BOTH = "cut off and frozen"


TROUBLE_WEIGHTS = (3, 1, 1)
"""A leader that was frozen alone hears of its replacement with the next message."""


@final
class SilencedLeaders:
    """Cuts leaders off from the store and all other hosts, or freezes them."""

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng

    def begin(self, leader: str) -> float:
        """Cut a leader off, freeze it, or both."""
        rng, deployment, call_later = (
            self._rng,
            self._deployment,
            self._schedule.call_later,
        )
        trouble = rng.choices(list(LeaderTrouble), TROUBLE_WEIGHTS)[0]
        cut_s, frozen_s = rng.uniform(*CUT_S), rng.uniform(*FROZEN_S)
        freeze_after_s = rng.uniform(*FREEZE_AFTER_S)
        self._schedule.record(
            f"leader {leader} is {trouble}: cut for {cut_s:.2f} s, frozen after"
            f" {freeze_after_s:.2f} s for {frozen_s:.2f} s"
        )
        if trouble is not LeaderTrouble.FROZEN:
            deployment.links.cut_off(leader)
        if trouble is not LeaderTrouble.CUT_OFF:
            call_later(freeze_after_s, deployment.send, leader, signal.SIGSTOP)
            thaw_after_s = freeze_after_s + frozen_s
            call_later(thaw_after_s, deployment.send, leader, signal.SIGCONT)
        return cut_s

    def end(self) -> None:
        """Restore the links of hosts; frozen ones are thawed in their time."""
        self._deployment.links.end_cuts_off()
