"""Reading of JSON with comments, with errors that a person can act on."""

from pathlib import Path
from typing import Any, TypeVar

import pyjson5
from pydantic import BaseModel, ValidationError

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleDocument

from ._models import Settings

Model = TypeVar("Model", bound=BaseModel)


def parse_jsonc(text: str, *, source: str) -> Any:
    """Parse JSON with comments; an error names ``source`` and the line."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise InputError(
            f"{source}: not JSON with comments: {_place(error, text)}",
            step="parse",
            peer=source,
        ) from error


def _place(error: pyjson5.Json5Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else type(error).__name__
    digits = [word for word in message.replace(",", " ").split() if word.isdigit()]
    if not digits:
        return message
    line = text.count("\n", 0, int(digits[-1])) + 1
    return f"line {line}: {message}"


def validate(model: type[Model], data: Any, *, source: str) -> Model:
    """Check ``data`` against ``model``; an error lists every field that is wrong."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        lines = [_describe(detail) for detail in error.errors()]
        raise InputError(
            f"{source}: " + "; ".join(lines), step="check", peer=source
        ) from error


def _describe(detail: Any) -> str:
    field = ".".join(str(part) for part in detail["loc"]) or "document"
    found = repr(detail.get("input"))
    if len(found) > 80:
        found = found[:77] + "..."
    return f"{field}: {detail['msg']} (found {found})"


def load_settings(path: Path) -> Settings:
    """Read and check a settings file."""
    return _load(Settings, path)


def load_rules(path: Path) -> RuleDocument:
    """Read and check a rule file."""
    return _load(RuleDocument, path)


def _load(model: type[Model], path: Path) -> Model:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise InputError(
            f"{path}: can't be read: {error.strerror}", step="read", peer=str(path)
        ) from error
    return validate(model, parse_jsonc(text, source=str(path)), source=str(path))
