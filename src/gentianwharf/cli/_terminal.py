"""What the tool prints and asks."""

import json
import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TextIO, final


@final
@dataclass(frozen=True, kw_only=True)
class Terminal:
    """Where a command prints: tables for people, one JSON value with ``as_json``."""

    out: TextIO
    problems: TextIO
    ask: Callable[[str], str]
    as_json: bool = False

    def line(self, text: str) -> None:
        """Print one line."""
        _print(text, self.out)

    def note(self, text: str) -> None:
        """Print what people read beside a result, never into JSON."""
        _print(text, self.problems if self.as_json else self.out)

    def problem(self, text: str) -> None:
        """Print what went wrong."""
        _print(f"gentianwharf: {text}", self.problems)

    def json(self, value: Any) -> None:
        """Print a JSON value."""
        _print(json.dumps(value, indent=2, ensure_ascii=False), self.out)

    def table(self, headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table."""
        for text in table_lines(headings, rows):
            self.line(text)

    def confirm(self, question: str, answer: str) -> bool:
        """Ask, and say whether ``answer`` came back; a closed input means no."""
        try:
            return self.ask(f"{question} ").strip() == answer
        except EOFError:
            return False


def _print(text: str, file: TextIO) -> None:
    """Print a line; one that nobody reads any more is dropped.

    ``gentianwharf status | head`` closes the pipe while the tool prints. It must
    neither end in a trace nor lose the exit code, which says what became of a change.
    """
    try:
        print(text, file=file, flush=True)
    except BrokenPipeError:
        # What is still in the buffer would raise once more when the process ends.
        os.dup2(os.open(os.devnull, os.O_WRONLY), file.fileno())


def table_lines(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return the lines of a table; numbers stand to the right.

    >>> for line in table_lines(["server", "shards"], [["desk-1", 64], ["b", 7]]):
    ...     print(line)
    server  shards
    desk-1      64
    b            7
    """
    kept = [list(row) for row in rows]
    cells = [list(headings), *([_cell(one) for one in row] for row in kept)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    right = [
        bool(kept) and all(_is_number(row[column]) for row in kept)
        for column in range(len(headings))
    ]
    return [
        "  ".join(
            text.rjust(width) if to_the_right else text.ljust(width)
            for text, width, to_the_right in zip(row, widths, right, strict=True)
        ).rstrip()
        for row in cells
    ]


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    return str(value)
