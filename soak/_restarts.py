"""Restarts all hosts at once, a few times in a run."""

import signal
from random import Random
from typing import final

from ._deployment import Deployment
from ._faults import GRACE_PERIOD_S
from ._schedule import Schedule

PAUSE_S = (3.0, 20.0)
DOWN_S = (0.3, 2.0)
KILL_PROBABILITY = 0.75


@final
class Restarts:
    """Restarts all hosts at random times, in addition to the other faults.

    The hosts lose all state in memory. Rules that they hold but can't read again from
    the store show only after such a restart.
    """

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng

    def start(self) -> None:
        """Schedule the next restart of all hosts."""
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._restart)

    def _restart(self) -> None:
        if self._rng.random() < KILL_PROBABILITY:
            number, down_s = signal.SIGKILL, self._rng.uniform(*DOWN_S)
        else:
            # The platform kills a program that has not ended within the grace period.
            number, down_s = signal.SIGTERM, GRACE_PERIOD_S
        self._schedule.record(f"{number.name} to all hosts, back after {down_s:.2f} s")
        for name in self._deployment.hosts:
            self._deployment.send(name, number)
            self._schedule.call_later(down_s, self._deployment.restart, name)
        self.start()
