"""Lets servers start again under their ids, beside leaders that are replaced."""

import signal
from enum import StrEnum
from random import Random
from typing import final

from ._deployment import Deployment
from ._evacuations import Evacuations
from ._schedule import Schedule
from ._server_arguments import DOMAINS

PAUSE_S = (0.2, 2.0)
LOOK_EVERY_S = 0.05

CUT_S = (4.0, 8.0)
FROZEN_S = (2.0, 4.5)
FREEZE_AFTER_S = (0.0, 0.5)
EVACUATE_AFTER_S = (0.1, 0.8)
EVACUATION_PROBABILITY = 0.8

RESTART_AFTER_S = (1.0, 3.5)
"""When servers are killed first: the next host leads 1.2 to 1.6 s after the trouble."""

MAX_IN_A_ROW = 3
BETWEEN_S = (0.1, 1.2)
DOWN_S = ((0.0, 0.0), (0.0, 0.0), (0.1, 0.4), (0.1, 2.0))
AFTER_RELEASE_S = (0.0, 2.0)
MAX_RESTARTED = 2
"""More would leave the next leader with too few servers, so that it resigns."""


class LeaderTrouble(StrEnum):
    """Why a leader doesn't learn of its replacement."""

    CUT_OFF = "cut off"
    FROZEN = "frozen"
    BOTH = "cut off and frozen"


TROUBLE_WEIGHTS = (3, 1, 1)
"""A leader that was frozen alone hears of its replacement with the next message."""


@final
class ServerRestarts:
    """Draws spans with such leaders and servers, in addition to the other faults.

    In most spans a failure domain is evacuated, so that the next leader moves keys.
    Servers that were drawn are killed in it, and some that have just released keys;
    most are back at once, and killed again.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        evacuations: Evacuations,
        schedule: Schedule,
        rng: Random,
    ) -> None:
        self._deployment = deployment
        self._evacuations = evacuations
        self._schedule = schedule
        self._rng = rng
        self._drawn: set[str] = set()
        """The servers that are killed in this span."""
        self._is_following = False
        self._changes_seen = 0

    def start(self) -> None:
        """Schedule the next span."""
        for name in self._deployment.keyed_servers():
            self._deployment.standbys.prepare(name)
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._begin)

    def _begin(self) -> None:
        rng, deployment, call_later = (
            self._rng,
            self._deployment,
            self._schedule.call_later,
        )
        leader = deployment.leader()
        if leader is None:
            call_later(LOOK_EVERY_S, self._begin)
            return
        trouble = rng.choices(list(LeaderTrouble), TROUBLE_WEIGHTS)[0]
        cut_s, frozen_s = rng.uniform(*CUT_S), rng.uniform(*FROZEN_S)
        freeze_after_s = rng.uniform(*FREEZE_AFTER_S)
        domain = rng.choice(DOMAINS)
        if rng.random() >= EVACUATION_PROBABILITY:
            domain = ""
        self._schedule.record(
            f"leader {leader} is {trouble}: cut for {cut_s:.2f} s, frozen after"
            f" {freeze_after_s:.2f} s for {frozen_s:.2f} s; evacuated: {domain or '-'}"
        )
        if trouble is not LeaderTrouble.FROZEN:
            deployment.links.cut_off(leader)
        if trouble is not LeaderTrouble.CUT_OFF:
            call_later(freeze_after_s, deployment.send, leader, signal.SIGSTOP)
            thaw_after_s = freeze_after_s + frozen_s
            call_later(thaw_after_s, deployment.send, leader, signal.SIGCONT)
        if domain:
            call_later(rng.uniform(*EVACUATE_AFTER_S), self._evacuations.change, domain)
        drawn = rng.sample(deployment.keyed_servers(), rng.choice((0, 0, 1, 2)))
        self._drawn = {*drawn}
        self._is_following = True
        for name in drawn:
            in_a_row = rng.randint(1, MAX_IN_A_ROW)
            call_later(rng.uniform(*RESTART_AFTER_S), self._restart, name, in_a_row)
        self._changes_seen = len(deployment.hold_changes)
        self._follow_releases()
        call_later(cut_s, self._end, leader)

    def _follow_releases(self) -> None:
        """Kill servers soon after they have released keys."""
        if not self._is_following:
            return
        rng, changes = self._rng, self._deployment.hold_changes
        for change in changes[self._changes_seen :]:
            if change.until_s or change.server in self._drawn:
                continue
            if len(self._drawn) < MAX_RESTARTED:
                self._drawn.add(change.server)
                after_s = rng.uniform(*AFTER_RELEASE_S)
                in_a_row = rng.randint(1, MAX_IN_A_ROW)
                self._schedule.call_later(
                    after_s, self._restart, change.server, in_a_row
                )
        self._changes_seen = len(changes)
        self._schedule.call_later(LOOK_EVERY_S, self._follow_releases)

    def _restart(self, name: str, in_a_row: int) -> None:
        """Kill a server, several times in a row."""
        rng = self._rng
        down_s = rng.uniform(*rng.choice(DOWN_S))
        self._schedule.record(f"kill {name}, back after {down_s:.2f} s")
        self._deployment.restart_server(name, down_s)
        if in_a_row > 1:
            pause_s = down_s + rng.uniform(*BETWEEN_S)
            self._schedule.call_later(pause_s, self._restart, name, in_a_row - 1)

    def _end(self, leader: str) -> None:
        self._schedule.record(f"{leader} is no longer cut off")
        self.restore()
        self.start()

    def restore(self) -> None:
        """Restore the links of hosts, and end the evacuation."""
        self._is_following = False
        self._deployment.links.end_cuts_off()
        self._evacuations.change(None)
