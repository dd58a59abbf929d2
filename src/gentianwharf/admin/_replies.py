"""Answers of the admin port: JSON, and problems as ``application/problem+json``."""

from enum import StrEnum
from typing import Any

import msgspec
from pydantic import BaseModel
from twisted.web.server import Request

from gentianwharf.errors import (
    ConflictError,
    GentianwharfError,
    InputError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)


class Problem(StrEnum):
    """Kinds of problem, as the last part of the problem's ``type``."""

    UNAUTHORIZED = "unauthorized"
    INPUT = "input"
    NOT_FOUND = "not-found"
    MEDIA_TYPE = "media-type"
    TOO_LARGE = "too-large"
    REFUSED = "refused"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    INTERNAL = "internal"


_STATUS = {
    Problem.UNAUTHORIZED: 401,
    Problem.INPUT: 422,
    Problem.NOT_FOUND: 404,
    Problem.MEDIA_TYPE: 415,
    Problem.TOO_LARGE: 413,
    Problem.REFUSED: 409,
    Problem.CONFLICT: 409,
    Problem.UNAVAILABLE: 503,
    Problem.OUTCOME_UNKNOWN: 504,
    Problem.INTERNAL: 500,
}

_KINDS: tuple[tuple[type[GentianwharfError], Problem], ...] = (
    (InputError, Problem.INPUT),
    (RefusedError, Problem.REFUSED),
    (ConflictError, Problem.CONFLICT),
    (PeerUnavailableError, Problem.UNAVAILABLE),
    (OutcomeUnknownError, Problem.OUTCOME_UNKNOWN),
)


def _plain(value: object) -> Any:
    if isinstance(value, BaseModel):
        return value.model_dump(mode="json", exclude_defaults=True)
    if hasattr(value, "items"):
        return dict(value.items())
    raise NotImplementedError(f"no JSON for {type(value).__name__}")


def encode_json(value: object) -> bytes:
    """Encode data classes, models and plain values.

    >>> encode_json({"a": (1, None)})
    b'{"a":[1,null]}'
    """
    return msgspec.json.encode(value, enc_hook=_plain)


def reply_json(request: Request, value: object, *, status: int = 200) -> bytes:
    """Answer ``request`` with ``value``."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode_json(value)


def reply_problem(
    request: Request, kind: Problem, detail: str, **more: object
) -> bytes:
    """Answer ``request`` with a problem; ``more`` adds members to it."""
    status = _STATUS[kind]
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/problem+json")
    if kind is Problem.UNAUTHORIZED:
        request.setHeader(b"www-authenticate", b"Bearer")
    problem = {
        "type": f"urn:gentianwharf:{kind}",
        "title": kind.replace("-", " "),
        "status": status,
        "detail": detail,
    }
    return encode_json(problem | more)


def reply_error(request: Request, error: GentianwharfError) -> bytes:
    """Answer ``request`` with an error's message, step and peer."""
    kind = next(
        (kind for error_type, kind in _KINDS if isinstance(error, error_type)),
        Problem.INTERNAL,
    )
    return reply_problem(request, kind, error.message, step=error.step, peer=error.peer)
