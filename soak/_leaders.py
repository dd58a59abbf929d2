"""Which hosts lead, and what they are told of earlier grants, by their logs."""

from collections.abc import Callable
from typing import final

from ._processes import Line
from ._statement_checks import Statement, statement_of


@final
class Leaders:
    """Follows the logs; ``clock_offset_s`` is what their time is ahead of records."""

    def __init__(
        self, *, clock_offset_s: float, is_ending: Callable[[str], bool]
    ) -> None:
        self.statements: list[Statement] = []
        self._clock_offset_s = clock_offset_s
        self._is_ending = is_ending
        self._leading: list[str] = []
        """Hosts that lead by their logs, the latest one last."""

    def note_line(self, host: str, line: Line) -> None:
        """Follow a line in the log of a host."""
        statement = statement_of(
            host, line, clock_offset_s=self._clock_offset_s, former=self.statements
        )
        if statement is not None:
            self.statements.append(statement)
        if line["message"] == "leading":
            self.note_not_leading(host)
            self._leading.append(host)
        elif line["message"].startswith("no longer leading"):
            self.note_not_leading(host)

    def note_not_leading(self, name: str) -> None:
        """Record that a program has ended, or leads no more."""
        if name in self._leading:
            self._leading.remove(name)

    def latest(self) -> str | None:
        """Return the host that began to lead last and was not told to end, if any."""
        leading = [name for name in self._leading if not self._is_ending(name)]
        return leading[-1] if leading else None
