"""Refusals and failures as ``application/problem+json`` (RFC 9457)."""

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, final

from twisted.web.http import Request

from gentianwharf.runs import RunStatus

if TYPE_CHECKING:
    # The codec refers to tickets and owners, whose module raises problems.
    from ._header_codec import HeaderCodec


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Problem(Exception):  # noqa: N818
    """The problem document that a caller gets instead of a server's response.

    Raise a shared instance only as a copy, made by ``dataclasses.replace``. Each raise
    of an object extends its traceback, whose frames would keep the requests in memory,
    16 kB each.
    """

    status: int
    title: str
    run: RunStatus
    detail: str = ""
    retry_after_s: float | None = None
    step: str = ""
    peer: str = ""


def write_problem(
    request: Request, problem: Problem, *, request_id: str, codec: "HeaderCodec"
) -> None:
    """Respond to ``request`` with ``problem`` and finish it."""
    body = json.dumps(_document(problem, request_id)).encode()
    request.setResponseCode(problem.status)
    request.setHeader(b"Content-Type", b"application/problem+json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.setHeader(codec.request_id_header, request_id.encode("latin-1"))
    if problem.retry_after_s is not None:
        request.setHeader(b"Retry-After", codec.retry_after(problem.retry_after_s))
    request.write(body)
    request.finish()


def _document(problem: Problem, request_id: str) -> dict[str, object]:
    document: dict[str, object] = {
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "run": str(problem.run),
        "request_id": request_id,
    }
    if problem.retry_after_s is not None:
        document["retry_after_s"] = round(problem.retry_after_s, 3)
    return document
