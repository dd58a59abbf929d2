"""Output of the command-line tool and prompts to the operator."""

import json
import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TextIO, final


@final
@dataclass(frozen=True, kw_only=True)
class Terminal:
    """Output of a command: text and tables, or one JSON value with ``as_json``."""

    out: TextIO
    problems: TextIO
    prompt: Callable[[str], str]
    as_json: bool = False

    def line(self, text: str) -> None:
        """Print one line."""
        _print(text, self.out)

    def note(self, text: str) -> None:
        """Print a remark; with ``as_json`` to ``problems``, to keep the JSON valid."""
        _print(text, self.problems if self.as_json else self.out)

    def problem(self, text: str) -> None:
        """Print an error message to ``problems``."""
        _print(f"gentianwharf: {text}", self.problems)

    def json(self, value: Any) -> None:
        """Print a JSON value."""
        _print(json.dumps(value, indent=2, ensure_ascii=False), self.out)

    def table(self, headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table."""
        for text in table_lines(headings, rows):
            self.line(text)

    def confirm(self, question: str, answer: str) -> bool:
        """Prompt and return whether the reply is ``answer``; end of input means no."""
        try:
            return self.prompt(f"{question} ").strip() == answer
        except EOFError:
            return False


def _print(text: str, file: TextIO) -> None:
    """Print a line; drop it when the reader has closed the pipe.

    ``gentianwharf status | head`` closes the pipe while the tool prints. The tool must
    neither end with a traceback nor lose its exit code, which tells whether a change
    took effect.
    """
    try:
        print(text, file=file, flush=True)
    except BrokenPipeError:
        # Flushing the rest of the buffer at exit would raise the error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), file.fileno())


def table_lines(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return the lines of a table; columns of numbers are aligned to the right.

    >>> for line in table_lines(["server", "shards"], [["desk-1", 64], ["b", 7]]):
    ...     print(line)
    server  shards
    desk-1      64
    b            7
    """
    values = [list(row) for row in rows]
    cells = [list(headings), *([_cell(value) for value in row] for row in values)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    right_aligned = [
        bool(values) and all(_is_number(row[column]) for row in values)
        for column in range(len(headings))
    ]
    return [
        "  ".join(
            text.rjust(width) if is_right else text.ljust(width)
            for text, width, is_right in zip(row, widths, right_aligned, strict=True)
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
