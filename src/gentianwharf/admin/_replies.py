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


class ProblemType(StrEnum):
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
    ProblemType.UNAUTHORIZED: 401,
    ProblemType.INPUT: 422,
    ProblemType.NOT_FOUND: 404,
    ProblemType.MEDIA_TYPE: 415,
    ProblemType.TOO_LARGE: 413,
    ProblemType.REFUSED: 409,
    ProblemType.CONFLICT: 409,
    ProblemType.UNAVAILABLE: 503,
    ProblemType.OUTCOME_UNKNOWN: 504,
    ProblemType.INTERNAL: 500,
}

_KINDS: tuple[tuple[type[GentianwharfError], ProblemType], ...] = (
    (InputError, ProblemType.INPUT),
    (RefusedError, ProblemType.REFUSED),
    (ConflictError, ProblemType.CONFLICT),
    (PeerUnavailableError, ProblemType.UNAVAILABLE),
    (OutcomeUnknownError, ProblemType.OUTCOME_UNKNOWN),
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
    request: Request, kind: ProblemType, detail: str, **more: object
) -> bytes:
    """Answer ``request`` with a problem; ``more`` adds members to it."""
    status = _STATUS[kind]
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/problem+json")
    if kind is ProblemType.UNAUTHORIZED:
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
        ProblemType.INTERNAL,
    )
    return reply_problem(request, kind, error.message, step=error.step, peer=error.peer)
