"""All hosts are ended at once and started again, a few times in a run."""

import signal
from random import Random
from typing import final

from ._deployment import Deployment
from ._faults import GRACE_S
from ._schedule import Schedule

PAUSE_S = (3.0, 20.0)
DOWN_S = (0.3, 2.0)
KILLED_SHARE = 0.75


@final
class Restarts:
    """Restarts all hosts at random, beside the other faults.

    What hosts know only in memory is gone then: rules that they hold and could not
    read again show only after such a restart.
    """

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng

    def start(self) -> None:
        """Restart all hosts after a pause, and go on."""
        self._schedule.later(self._rng.uniform(*PAUSE_S), self._restart)

    def _restart(self) -> None:
        if self._rng.random() < KILLED_SHARE:
            number, back_s = signal.SIGKILL, self._rng.uniform(*DOWN_S)
        else:
            # The platform ends by force what has not ended by itself.
            number, back_s = signal.SIGTERM, GRACE_S
        self._schedule.note(f"{number.name} to all hosts, back after {back_s:.2f} s")
        for name in self._deployment.hosts:
            self._deployment.send(name, number)
            self._schedule.later(back_s, self._deployment.restart_ending, name)
        self.start()
