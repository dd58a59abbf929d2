"""Notes when the soak itself stood still, and with it every link that it forwards."""

from typing import Any, final

from ._disruptions import SOAK, Disruptions
from ._schedule import Schedule

LOOK_EVERY_S = 0.05
MIN_STALL_S = 0.4
"""A host waits so long for the answer to a grant: what is held for less arrives before
the host counts from the end of its call."""


@final
class Stalls:
    """Records when the proxies forwarded nothing as disruptions of the soak."""

    def __init__(
        self, *, reactor: Any, disruptions: Disruptions, schedule: Schedule
    ) -> None:
        self.longest_s = 0.0
        self._reactor = reactor
        self._disruptions = disruptions
        self._schedule = schedule
        self._due_s = 0.0
        self._call: Any = None

    def start(self) -> None:
        """Look from now on."""
        self._due_s = self._reactor.seconds() + LOOK_EVERY_S
        self._call = self._reactor.callLater(LOOK_EVERY_S, self._look)

    def stop(self) -> None:
        """Look no more."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _look(self) -> None:
        # Timers that are due run before what has arrived is read and forwarded.
        late_s = self._reactor.seconds() - self._due_s
        self.longest_s = max(self.longest_s, late_s)
        if late_s > MIN_STALL_S:
            self._schedule.record(f"the soak stood still for {late_s:.2f} s")
            self._disruptions.add(SOAK, self._due_s, self._due_s + late_s)
        self.start()
