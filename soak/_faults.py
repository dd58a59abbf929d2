"""A random series of faults; they come in groups and overlap."""

import signal
from random import Random
from typing import final

from ._deployment import Deployment
from ._operators import Operators
from ._proxy import Trouble
from ._schedule import Schedule

MEAN_PAUSE_S = 0.8
MOST_LASTING_S = 5.0
GRACE_S = 6.0
TROUBLES = [one for one in Trouble if one is not Trouble.NONE]


@final
class Faults:
    """Injects faults until the schedule is over, by the seed of ``rng``."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        operators: Operators,
        schedule: Schedule,
        rng: Random,
    ) -> None:
        self._deployment = deployment
        self._operators = operators
        self._schedule = schedule
        self._rng = rng

    def start(self) -> None:
        """Inject one fault, and go on after a pause."""
        if self._schedule.is_over:
            return
        kind = self._rng.choices(
            (
                self._pause,
                self._kill,
                self._end,
                self._cut,
                self._reload,
                self._operators.add_one,
            ),
            (4, 3, 2, 6, 1, 2),
        )[0]
        kind()
        # Some come at once, others seconds later.
        pause_s = self._rng.choice((0.05, 1.0, 1.0)) * self._rng.expovariate(
            1 / MEAN_PAUSE_S
        )
        self._schedule.later(pause_s, self.start)

    def _pause(self) -> None:
        names = ["store", *self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        lasts_s = self._lasting_s()
        self._schedule.note(f"pause {name} for {lasts_s:.2f} s")
        self._deployment.send(name, signal.SIGSTOP)
        self._schedule.later(lasts_s, self._deployment.send, name, signal.SIGCONT)

    def _kill(self) -> None:
        names = [*self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        lasts_s = self._lasting_s()
        self._schedule.note(f"kill {name}, back after {lasts_s:.2f} s")
        self._deployment.send(name, signal.SIGKILL)
        self._schedule.later(lasts_s, self._deployment.start_program, name)

    def _end(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._schedule.note(f"end {name}")
        self._deployment.send(name, signal.SIGTERM)
        self._schedule.later(GRACE_S, self._restart, name)

    def _restart(self, name: str) -> None:
        # The platform ends by force what has not ended by itself.
        self._deployment.restart_ending(name)

    def _cut(self) -> None:
        names = sorted(self._deployment.proxies)
        chosen = self._rng.sample(names, self._rng.choice((1, 1, 2, 4)))
        trouble = self._rng.choice(TROUBLES)
        lasts_s = self._lasting_s()
        self._schedule.note(f"{trouble} before {', '.join(chosen)} for {lasts_s:.2f} s")
        for name in chosen:
            self._deployment.cut(name, trouble)
            self._schedule.later(lasts_s, self._deployment.heal, name)

    def _reload(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._schedule.note(f"reload {name}")
        self._deployment.send(name, signal.SIGHUP)

    def _lasting_s(self) -> float:
        return min(MOST_LASTING_S, self._rng.expovariate(1 / 1.5) + 0.1)
