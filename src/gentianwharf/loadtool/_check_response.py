"""Checks that a response is complete and belongs to its request."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, final

import msgspec

from ._plan import PlannedRequest


class Verdict(StrEnum):
    """The outcome of a request as its caller sees it."""

    SERVED = "served"
    NOT_RUN = "refused, not run"
    UNKNOWN = "unknown whether it ran"
    FAILED = "failed at the server"
    WRONG_ANSWER = "another request's answer"
    BROKEN = "broken answer"
    RAN_TWICE = "ran twice"
    TIMEOUT = "no answer within the limit"
    NOT_CONNECTED = "not connected"


# Outcomes that are errors of the router at any load.
VIOLATIONS = frozenset({Verdict.WRONG_ANSWER, Verdict.RAN_TWICE})


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedResponse:
    """A response as received; ``complete`` is false if its body was truncated."""

    status: int
    content_type: str
    request_id: str
    body: bytes
    complete: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CheckResult:
    """The verdict, its reason, and the server and request id that the body names."""

    verdict: Verdict
    reason: str = ""
    server: str = ""
    request_id: str = ""


def check_response(request: PlannedRequest, received: ReceivedResponse) -> CheckResult:
    """Check a response against its request."""
    if not received.complete:
        return CheckResult(verdict=Verdict.BROKEN, reason="truncated body")
    if not received.content_type.startswith(("application/json", "application/prob")):
        return CheckResult(
            verdict=Verdict.BROKEN,
            reason=f"expected JSON, got {received.content_type or 'no type'}",
        )
    try:
        fields = msgspec.json.decode(received.body)
    except msgspec.DecodeError as error:
        return CheckResult(verdict=Verdict.BROKEN, reason=f"not JSON: {error}")
    if not isinstance(fields, dict):
        return CheckResult(verdict=Verdict.BROKEN, reason="not a JSON object")
    if received.status >= 400:
        return _check_refusal(received, fields)
    return _check_served(request, received, fields)


def _check_refusal(received: ReceivedResponse, fields: dict[str, Any]) -> CheckResult:
    verdicts = {"not-run": Verdict.NOT_RUN, "unknown": Verdict.UNKNOWN}
    verdict = verdicts.get(str(fields.get("run")), Verdict.FAILED)
    return CheckResult(
        verdict=verdict,
        reason=f"{received.status} {fields.get('title', '')}".strip(),
        request_id=received.request_id,
    )


def _check_served(
    request: PlannedRequest, received: ReceivedResponse, fields: dict[str, Any]
) -> CheckResult:
    expected = {"service": request.kind.service}
    if request.kind.keyed:
        expected["key"] = request.key
    if received.request_id:
        expected["request_id"] = received.request_id
    for name, value in expected.items():
        if fields.get(name) != value:
            return CheckResult(
                verdict=Verdict.WRONG_ANSWER,
                reason=f"{name}: expected {value!r}, got {fields.get(name)!r}",
            )
    runs = fields.get("runs", 1)
    if request.kind.at_most_once and isinstance(runs, int) and runs > 1:
        return CheckResult(verdict=Verdict.RAN_TWICE, reason=f"runs is {runs}")
    return CheckResult(
        verdict=Verdict.SERVED,
        server=str(fields.get("server", "")),
        request_id=str(fields.get("request_id", "")),
    )
