"""Responses of the admin port: JSON, and problems as ``application/problem+json``."""

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
    """Problem types of RFC 9457, as the last part of the problem's ``type``."""

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


_STATUS_CODES = {
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

_PROBLEM_TYPES: tuple[tuple[type[GentianwharfError], ProblemType], ...] = (
    (InputError, ProblemType.INPUT),
    (RefusedError, ProblemType.REFUSED),
    (ConflictError, ProblemType.CONFLICT),
    (PeerUnavailableError, ProblemType.UNAVAILABLE),
    (OutcomeUnknownError, ProblemType.OUTCOME_UNKNOWN),
)


def _to_builtins(value: object) -> Any:
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
    return msgspec.json.encode(value, enc_hook=_to_builtins)


def reply_json(request: Request, value: object, *, status: int = 200) -> bytes:
    """Answer ``request`` with ``value`` as JSON."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return encode_json(value)


def reply_problem(
    request: Request, problem_type: ProblemType, detail: str, **extensions: object
) -> bytes:
    """Answer ``request`` with a problem and its extension members."""
    status = _STATUS_CODES[problem_type]
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/problem+json")
    if problem_type is ProblemType.UNAUTHORIZED:
        request.setHeader(b"www-authenticate", b"Bearer")
    problem = {
        "type": f"urn:gentianwharf:{problem_type}",
        "title": problem_type.replace("-", " "),
        "status": status,
        "detail": detail,
    }
    return encode_json(problem | extensions)


def reply_error(request: Request, error: GentianwharfError) -> bytes:
    """Answer ``request`` with an error's message, step and peer."""
    problem_type = next(
        (
            problem_type
            for error_type, problem_type in _PROBLEM_TYPES
            if isinstance(error, error_type)
        ),
        ProblemType.INTERNAL,
    )
    return reply_problem(
        request, problem_type, error.message, step=error.step, peer=error.peer
    )
