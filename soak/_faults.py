"""Injects a random series of faults, which come in groups and overlap."""

import signal
from random import Random
from typing import final

from ._deployment import Deployment
from ._operators import Operators
from ._proxy import LinkFault
from ._schedule import Schedule

MEAN_PAUSE_S = 0.8
MAX_FAULT_DURATION_S = 5.0
GRACE_PERIOD_S = 6.0
LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]


@final
class Faults:
    """Injects faults drawn from ``rng`` until the schedule is over."""

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
        """Inject one fault, and schedule the next one."""
        if self._schedule.is_over:
            return
        inject = self._rng.choices(
            (
                self._pause,
                self._kill,
                self._terminate,
                self._inject_link_fault,
                self._reload,
                self._operators.replace_one,
            ),
            (4, 3, 2, 6, 1, 2),
        )[0]
        inject()
        # A third of the faults follow almost immediately, the others after a longer
        # pause.
        pause_s = self._rng.choice((0.05, 1.0, 1.0)) * self._rng.expovariate(
            1 / MEAN_PAUSE_S
        )
        self._schedule.call_later(pause_s, self.start)

    def _pause(self) -> None:
        names = ["store", *self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        duration_s = self._fault_duration_s()
        self._schedule.record(f"pause {name} for {duration_s:.2f} s")
        self._deployment.send(name, signal.SIGSTOP)
        self._schedule.call_later(
            duration_s, self._deployment.send, name, signal.SIGCONT
        )

    def _kill(self) -> None:
        names = [*self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        duration_s = self._fault_duration_s()
        self._schedule.record(f"kill {name}, back after {duration_s:.2f} s")
        self._deployment.send(name, signal.SIGKILL)
        self._schedule.call_later(duration_s, self._deployment.start_program, name)

    def _terminate(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._schedule.record(f"end {name}")
        self._deployment.send(name, signal.SIGTERM)
        self._schedule.call_later(GRACE_PERIOD_S, self._restart, name)

    def _restart(self, name: str) -> None:
        # The platform kills a program that has not ended within the grace period.
        self._deployment.restart(name)

    def _inject_link_fault(self) -> None:
        names = sorted(self._deployment.links.proxies)
        chosen = self._rng.sample(names, self._rng.choice((1, 1, 2, 4)))
        fault = self._rng.choice(LINK_FAULTS)
        duration_s = self._fault_duration_s()
        self._schedule.record(
            f"{fault} on the links of {', '.join(chosen)} for {duration_s:.2f} s"
        )
        for name in chosen:
            self._deployment.links.inject(name, fault)
            self._schedule.call_later(duration_s, self._deployment.links.clear, name)

    def _reload(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._schedule.record(f"reload {name}")
        self._deployment.send(name, signal.SIGHUP)

    def _fault_duration_s(self) -> float:
        return min(MAX_FAULT_DURATION_S, self._rng.expovariate(1 / 1.5) + 0.1)
