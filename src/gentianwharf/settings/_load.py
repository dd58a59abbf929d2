"""Reading of JSON with comments, with errors that a person can act on."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from pydantic import BaseModel, ValidationError

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleDocument

from ._lines import LineMap, map_lines
from ._mistakes import MistakesError
from ._models import Settings

Model = TypeVar("Model", bound=BaseModel)

MOST_FOUND_CHARACTERS = 80


def parse_jsonc(text: str, *, source: str) -> Any:
    """Parse JSON with comments; an error names ``source`` and the line.

    A key that stands twice in one object is an error too: the parser would keep the
    second and say nothing of the first.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise InputError(
            f"{source}: not JSON with comments: {_place(error, text)}",
            step="parse",
            peer=source,
        ) from error
    except RecursionError as error:
        raise InputError(
            f"{source}: nested too deeply", step="parse", peer=source
        ) from error
    duplicate_keys = map_lines(text).duplicate_keys
    if duplicate_keys:
        name, line = duplicate_keys[0]
        raise InputError(
            f"{source}: line {line}: {name!r} stands twice in one object; remove one",
            step="parse",
            peer=source,
        )
    return data


def _place(error: pyjson5.Json5Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else type(error).__name__
    digits = [word for word in message.replace(",", " ").split() if word.isdigit()]
    if not digits:
        return message
    line = text.count("\n", 0, int(digits[-1])) + 1
    return f"line {line}: {message}"


def validate(
    model: type[Model], data: Any, *, source: str, lines: LineMap | None = None
) -> Model:
    """Check ``data`` against ``model``; an error lists every mistake with its line."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        mistakes = [
            one for detail in error.errors() for one in _describe(detail, lines)
        ]
        heading = "1 mistake" if len(mistakes) == 1 else f"{len(mistakes)} mistakes"
        raise InputError(
            f"{source}: {heading}:" + "".join(f"\n  {one}" for one in mistakes),
            step="check",
            peer=source,
        ) from error


def _describe(detail: Any, lines: LineMap | None) -> Iterator[str]:
    cause = detail.get("ctx", {}).get("error")
    if isinstance(cause, MistakesError):
        for mistake in cause.mistakes:
            location = (*detail["loc"], *mistake.location)
            yield _line(location, str(mistake), lines)
        return
    found = repr(detail.get("input"))
    if len(found) > MOST_FOUND_CHARACTERS:
        found = found[: MOST_FOUND_CHARACTERS - 3] + "..."
    yield _line(detail["loc"], f"{detail['msg']} (found {found})", lines)


def _line(location: Any, text: str, lines: LineMap | None) -> str:
    field = ".".join(str(part) for part in location) or "document"
    where = f"line {lines.line_of(location)}: " if lines is not None else ""
    return f"{where}{field}: {text}"


def load_settings(path: Path) -> Settings:
    """Read and check a settings file."""
    return _load(Settings, path)[0]


def load_rules(path: Path) -> RuleDocument:
    """Read and check a rule file."""
    return _load(RuleDocument, path)[0]


def load_rules_with_lines(path: Path) -> tuple[RuleDocument, LineMap]:
    """Read and check a rule file; the lines serve what a later check finds."""
    return _load(RuleDocument, path)


def _load(model: type[Model], path: Path) -> tuple[Model, LineMap]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise InputError(
            f"{path}: can't be read: {reason}", step="read", peer=str(path)
        ) from error
    data = parse_jsonc(text, source=str(path))
    lines = map_lines(text)
    return validate(model, data, source=str(path), lines=lines), lines
