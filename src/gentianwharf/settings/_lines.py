"""Line numbers of the values in a text of JSON with comments.

The parser returns values without positions, but error messages for long files need the
line. Only texts that the parser has accepted are scanned here.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import final

import pyjson5

TOKEN = re.compile(
    r"""//[^\n]* | /\*.*?\*/ | "(?:\\.|[^"\\])*" | '(?:\\.|[^'\\])*'
    | [{}\[\]:,] | [^\s{}\[\]:,"'/]+""",
    re.DOTALL | re.VERBOSE,
)

Location = tuple[str | int, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LineMap:
    """The line of each value, and the duplicate keys of objects with their lines."""

    lines: dict[Location, int]
    duplicate_keys: tuple[tuple[str, int], ...]

    def line_of(self, location: Iterable[str | int]) -> int:
        r"""Return the line of the value, or of the innermost value that contains it.

        Parts of ``location`` that are not in the text are ignored, since validators add
        such parts.

        >>> lines = map_lines('{\n "a": [\n  1,\n  {"b": 2}]}')
        >>> lines.line_of(("a", 1, "b")), lines.line_of(("a", "tuple", 0))
        (4, 3)
        """
        known: Location = ()
        for part in location:
            if (*known, part) in self.lines:
                known = (*known, part)
        return self.lines.get(known, 1)


@dataclass(kw_only=True, slots=True)
class _LineScanner:
    lines: dict[Location, int] = field(default_factory=dict)
    duplicate_keys: list[tuple[str, int]] = field(default_factory=list)
    path: list[str | int | None] = field(default_factory=list)

    def process_token(self, token: str, line: int) -> None:
        if token in "{[":
            self._record_line(line)
            self.path.append(0 if token == "[" else None)
        elif token in "}]":
            self.path.pop()
        elif token == ",":
            self._next_item()
        elif token != ":":
            self._name_or_value(token, line)

    def _next_item(self) -> None:
        last = self.path[-1]
        self.path[-1] = last + 1 if isinstance(last, int) else None

    def _name_or_value(self, token: str, line: int) -> None:
        if self.path and self.path[-1] is None:
            name = pyjson5.decode(token) if token[0] in "\"'" else token
            self.path[-1] = name
            if tuple(self.path) in self.lines:
                self.duplicate_keys.append((name, line))
        self._record_line(line)

    def _record_line(self, line: int) -> None:
        location = tuple(part for part in self.path if part is not None)
        self.lines.setdefault(location, line)


def map_lines(text: str) -> LineMap:
    """Return the line of each value of ``text``, which must be valid."""
    scanner = _LineScanner()
    line, end = 1, 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", end, match.start())
        end = match.start()
        token = match.group()
        if not token.startswith(("//", "/*")):
            scanner.process_token(token, line)
    return LineMap(lines=scanner.lines, duplicate_keys=tuple(scanner.duplicate_keys))
