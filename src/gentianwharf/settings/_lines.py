"""Where in a text of JSON with comments each value stands.

The parser gives values without places, but a person who looks for a mistake in a long
file wants the line. The text has been parsed before: its form is known to be right.
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
    """The line of each value, and keys that one object has twice, with their line."""

    lines: dict[Location, int]
    duplicate_keys: tuple[tuple[str, int], ...]

    def line_of(self, location: Iterable[str | int]) -> int:
        r"""Return the line of the value, or of the nearest one that holds it.

        Parts that lead nowhere are passed over: a validator adds some of its own.

        >>> lines = map_lines('{\n "a": [\n  1,\n  {"b": 2}]}')
        >>> lines.line_of(("a", 1, "b")), lines.line_of(("a", "tuple", 0))
        (4, 3)
        """
        found: Location = ()
        for part in location:
            if (*found, part) in self.lines:
                found = (*found, part)
        return self.lines.get(found, 1)


@dataclass(kw_only=True, slots=True)
class _Scan:
    lines: dict[Location, int] = field(default_factory=dict)
    duplicate_keys: list[tuple[str, int]] = field(default_factory=list)
    path: list[str | int | None] = field(default_factory=list)

    def take(self, token: str, line: int) -> None:
        if token in "{[":
            self._put(line)
            self.path.append(0 if token == "[" else None)
        elif token in "}]":
            self.path.pop()
        elif token == ",":
            self._next()
        elif token != ":":
            self._name_or_value(token, line)

    def _next(self) -> None:
        last = self.path[-1]
        self.path[-1] = last + 1 if isinstance(last, int) else None

    def _name_or_value(self, token: str, line: int) -> None:
        if self.path and self.path[-1] is None:
            name = pyjson5.decode(token) if token[0] in "\"'" else token
            self.path[-1] = name
            if tuple(self.path) in self.lines:
                self.duplicate_keys.append((name, line))
        self._put(line)

    def _put(self, line: int) -> None:
        location = tuple(part for part in self.path if part is not None)
        self.lines.setdefault(location, line)


def map_lines(text: str) -> LineMap:
    """Return the line of each value of ``text``, which must have parsed."""
    scan = _Scan()
    line, end = 1, 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", end, match.start())
        end = match.start()
        token = match.group()
        if not token.startswith(("//", "/*")):
            scan.take(token, line)
    return LineMap(lines=scan.lines, duplicate_keys=tuple(scan.duplicate_keys))
