"""What is to happen when in one run of the soak, and what has happened."""

from typing import Any, final


@final
class Schedule:
    """Calls that are due until the faults are over, and notes of what was done."""

    def __init__(self, *, reactor: Any) -> None:
        self.notes: list[str] = []
        self.is_over = False
        self._reactor = reactor
        self._begun_s = reactor.seconds()
        self._due: list[Any] = []

    def later(self, delay_s: float, call: object, *args: object) -> None:
        """Call after a time, unless the faults are over by then."""
        self._due = [one for one in self._due if one.active()]
        self._due.append(self._reactor.callLater(delay_s, call, *args))

    def note(self, text: str) -> None:
        """Keep what is done now."""
        at_s = self._reactor.seconds() - self._begun_s
        self.notes.append(f"{at_s:7.3f} {text}")

    def stop(self) -> None:
        """Let nothing more happen that was due."""
        self.is_over = True
        for call in self._due:
            if call.active():
                call.cancel()
