"""Reads JSON with comments, with error messages that name lines and remedies."""

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

MAX_FOUND_CHARACTERS = 80


def parse_jsonc(text: str, *, source: str) -> Any:
    """Parse JSON with comments; errors name ``source`` and the line.

    A duplicate key in an object is an error: the parser would silently discard the
    first value.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise InputError(
            f"{source}: not JSON with comments: {_describe_error(error, text)}",
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


def _describe_error(error: pyjson5.Json5Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else type(error).__name__
    offsets = [word for word in message.replace(",", " ").split() if word.isdigit()]
    if not offsets:
        return message
    line = text.count("\n", 0, int(offsets[-1])) + 1
    return f"line {line}: {message}"


def validate(
    model: type[Model], data: Any, *, source: str, lines: LineMap | None = None
) -> Model:
    """Validate ``data`` with ``model``; an error lists all mistakes and their lines."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        mistakes = [
            text
            for detail in error.errors()
            for text in _describe_detail(detail, lines)
        ]
        heading = "1 mistake" if len(mistakes) == 1 else f"{len(mistakes)} mistakes"
        raise InputError(
            f"{source}: {heading}:" + "".join(f"\n  {text}" for text in mistakes),
            step="check",
            peer=source,
        ) from error


def _describe_detail(detail: Any, lines: LineMap | None) -> Iterator[str]:
    cause = detail.get("ctx", {}).get("error")
    if isinstance(cause, MistakesError):
        for mistake in cause.mistakes:
            location = (*detail["loc"], *mistake.location)
            yield _format_mistake(location, str(mistake), lines)
        return
    found = repr(detail.get("input"))
    if len(found) > MAX_FOUND_CHARACTERS:
        found = found[: MAX_FOUND_CHARACTERS - 3] + "..."
    yield _format_mistake(detail["loc"], f"{detail['msg']} (found {found})", lines)


def _format_mistake(location: Any, text: str, lines: LineMap | None) -> str:
    field = ".".join(str(part) for part in location) or "document"
    prefix = f"line {lines.line_of(location)}: " if lines is not None else ""
    return f"{prefix}{field}: {text}"


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file."""
    return _load(Settings, path)[0]


def load_rules(path: Path) -> RuleDocument:
    """Read and validate a rule file."""
    return _load(RuleDocument, path)[0]


def load_rules_with_lines(path: Path) -> tuple[RuleDocument, LineMap]:
    """Read and validate a rule file; return also its lines, for later findings."""
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
