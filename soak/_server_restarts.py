"""Lets servers start again under their ids, beside leaders that are replaced."""

from random import Random
from typing import final

from ._deployment import Deployment
from ._evacuations import Evacuations
from ._leader_troubles import LeaderTroubles
from ._schedule import Schedule
from ._server_arguments import DOMAINS

PAUSE_S = (0.2, 2.0)
LOOK_EVERY_S = 0.05

EVACUATE_AFTER_S = (0.1, 0.8)
EVACUATION_PROBABILITY = 0.8

RESTART_AFTER_S = (1.0, 3.5)
"""When servers are killed first: the next host leads 1.2 to 1.6 s after the trouble."""

MAX_IN_A_ROW = 3
BETWEEN_S = (0.1, 1.2)
DOWN_S = ((0.0, 0.0), (0.0, 0.0), (0.1, 0.4), (0.1, 2.0))
AFTER_RELEASE_S = (0.0, 2.0)
SOON_AFTER_RELEASE_S = (0.0, 0.3)
MAX_RESTARTED = 2
"""More would leave the next leader with too few servers, so that it resigns."""


@final
class ServerRestarts:
    """Draws spans with such leaders and servers, in addition to the other faults.

    In most spans a failure domain is evacuated, so that the next leader moves keys.
    Servers that were drawn are killed in it, and some that have just released keys;
    most are back at once, and killed again. ``kill_probability`` is the share of the
    spans with such servers, ``after_release_s`` the bounds of the time until then.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        troubles: LeaderTroubles,
        evacuations: Evacuations,
        schedule: Schedule,
        rng: Random,
        kill_probability: float = 1.0,
        after_release_s: tuple[float, float] = AFTER_RELEASE_S,
    ) -> None:
        self._deployment = deployment
        self._troubles = troubles
        self._kill_probability = kill_probability
        self._after_release_s = after_release_s
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
        span_s = self._troubles.begin(leader)
        domain = rng.choice(DOMAINS)
        if rng.random() >= EVACUATION_PROBABILITY:
            domain = ""
        self._schedule.record(f"evacuated: {domain or '-'}")
        if domain:
            call_later(rng.uniform(*EVACUATE_AFTER_S), self._evacuations.change, domain)
        call_later(span_s, self._end)
        if self._kill_probability < 1.0 and rng.random() >= self._kill_probability:
            return
        drawn = rng.sample(deployment.keyed_servers(), rng.choice((0, 0, 1, 2)))
        self._drawn = {*drawn}
        self._is_following = True
        for name in drawn:
            in_a_row = rng.randint(1, MAX_IN_A_ROW)
            call_later(rng.uniform(*RESTART_AFTER_S), self._restart, name, in_a_row)
        self._changes_seen = len(deployment.hold_changes)
        self._follow_releases()

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
                after_s = rng.uniform(*self._after_release_s)
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

    def _end(self) -> None:
        self._schedule.record("the leader's trouble ends")
        self.restore()
        self.start()

    def restore(self) -> None:
        """End the troubles of leaders, and the evacuation."""
        self._is_following = False
        self._troubles.end()
        self._evacuations.change(None)
