"""A random series of faults; they come in groups and overlap."""

import signal
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred

from gentianwharf.logs import log

from ._deployment import Deployment
from ._proxy import Trouble

MEAN_PAUSE_S = 0.8
MOST_LASTING_S = 5.0
GRACE_S = 6.0
TROUBLES = [one for one in Trouble if one is not Trouble.NONE]


@final
class Faults:
    """Injects faults until it is stopped, by the seed of ``rng``."""

    def __init__(self, *, deployment: Deployment, rng: Random) -> None:
        self.injected: list[str] = []
        self._deployment = deployment
        self._rng = rng
        self._is_stopped = False
        self._due: list[Any] = []
        self._begun_s = deployment.reactor.seconds()

    def start(self) -> None:
        """Inject one fault, and go on after a pause."""
        if self._is_stopped:
            return
        kind = self._rng.choices(
            (self._pause, self._kill, self._end, self._cut, self._reload, self._rules),
            (4, 3, 2, 6, 1, 2),
        )[0]
        kind()
        # Some come at once, others seconds later.
        pause_s = self._rng.choice((0.05, 1.0, 1.0)) * self._rng.expovariate(
            1 / MEAN_PAUSE_S
        )
        self._later(pause_s, self.start)

    def stop(self) -> None:
        """End all that lasts, and start what does not run."""
        self._is_stopped = True
        for call in self._due:
            if call.active():
                call.cancel()
        deployment = self._deployment
        for proxy in deployment.proxies.values():
            proxy.end()
        for name in ["store", *deployment.servers, *deployment.hosts]:
            deployment.send(name, signal.SIGCONT)
        for name in [*deployment.servers, *deployment.hosts]:
            deployment.restart_ending(name)

    def _pause(self) -> None:
        names = ["store", *self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        lasts_s = self._lasting_s()
        self._note(f"pause {name} for {lasts_s:.2f} s")
        self._deployment.send(name, signal.SIGSTOP)
        self._later(lasts_s, self._deployment.send, name, signal.SIGCONT)

    def _kill(self) -> None:
        names = [*self._deployment.servers, *self._deployment.hosts]
        name = self._rng.choice(names)
        lasts_s = self._lasting_s()
        self._note(f"kill {name}, back after {lasts_s:.2f} s")
        self._deployment.send(name, signal.SIGKILL)
        self._later(lasts_s, self._deployment.start_program, name)

    def _end(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._note(f"end {name}")
        self._deployment.send(name, signal.SIGTERM)
        self._later(GRACE_S, self._restart, name)

    def _restart(self, name: str) -> None:
        # The platform ends by force what has not ended by itself.
        self._deployment.restart_ending(name)

    def _cut(self) -> None:
        names = sorted(self._deployment.proxies)
        chosen = self._rng.sample(names, self._rng.choice((1, 1, 2, 4)))
        trouble = self._rng.choice(TROUBLES)
        lasts_s = self._lasting_s()
        self._note(f"{trouble} before {', '.join(chosen)} for {lasts_s:.2f} s")
        for name in chosen:
            self._deployment.proxies[name].begin(trouble)
            self._later(lasts_s, self._deployment.proxies[name].end)

    def _reload(self) -> None:
        name = self._rng.choice(self._deployment.hosts)
        self._note(f"reload {name}")
        self._deployment.send(name, signal.SIGHUP)

    def _rules(self) -> None:
        self._note("change rules")
        changed = Deferred.fromCoroutine(self._deployment.change_rules())
        changed.addErrback(lambda failure: log.info("not changed: {}", failure.value))

    def _lasting_s(self) -> float:
        return min(MOST_LASTING_S, self._rng.expovariate(1 / 1.5) + 0.1)

    def _note(self, text: str) -> None:
        at_s = self._deployment.reactor.seconds() - self._begun_s
        self.injected.append(f"{at_s:7.3f} {text}")

    def _later(self, delay_s: float, call: object, *args: object) -> None:
        self._due = [one for one in self._due if one.active()]
        self._due.append(self._deployment.reactor.callLater(delay_s, call, *args))
