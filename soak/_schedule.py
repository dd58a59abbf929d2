"""Scheduled and past events of one run of the soak."""

from typing import Any, final


@final
class Schedule:
    """Schedules calls until the faults are over, and records what was done."""

    def __init__(self, *, reactor: Any) -> None:
        self.records: list[str] = []
        self.is_over = False
        self._reactor = reactor
        self._started_s = reactor.seconds()
        self._scheduled: list[Any] = []

    def call_later(self, delay_s: float, call: object, *args: object) -> None:
        """Call after ``delay_s``, unless the faults are over by then."""
        self._scheduled = [
            scheduled for scheduled in self._scheduled if scheduled.active()
        ]
        self._scheduled.append(self._reactor.callLater(delay_s, call, *args))

    def record(self, text: str) -> None:
        """Record an event with the present time."""
        at_s = self._reactor.seconds() - self._started_s
        self.records.append(f"{at_s:7.3f} {text}")

    def stop(self) -> None:
        """Cancel all scheduled calls."""
        self.is_over = True
        for call in self._scheduled:
            if call.active():
                call.cancel()
