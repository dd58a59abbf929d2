"""``gentianwharf decisions``: why requests went, waited or were refused."""

from typing import Any

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def decisions(
    client: AdminClient,
    shown: Terminal,
    *,
    request_id: str | None,
    refused: bool,
    most: int,
) -> ExitCode:
    """Print the asked daemon's kept decisions, or any host's on one request."""
    found = await client.get(
        "decisions",
        request_id=request_id,
        refused_only="true" if refused else None,
        most=most,
    )
    kept = found["decisions"]
    if shown.as_json:
        shown.json(found)
    elif kept:
        _print(kept, shown)
    else:
        shown.note("no such decision is kept")
    if kept or request_id is None:
        return ExitCode.DONE
    for host, reason in found["silent"].items():
        shown.problem(f"{host} could not be asked: {reason}")
    if found["silent"]:
        return ExitCode.INCOMPLETE
    shown.problem(
        f"no listed host keeps a decision on {request_id}: it was served and not"
        " sampled, or its host was replaced; see docs/OPERATIONS.md, Decisions"
    )
    return ExitCode.REFUSED


def _print(kept: list[dict[str, Any]], shown: Terminal) -> None:
    shown.table(
        [
            "host",
            "ago s",
            "request",
            "service",
            "class",
            "rule",
            "server",
            "run",
            "waited s",
            "why",
        ],
        [
            [
                one["host"],
                round(one["ago_s"], 1),
                one["request_id"],
                one["service"] or None,
                one["request_class"] or None,
                one["rule"] or None,
                one["server"] or None,
                one["run"],
                float(one["waited_s"]),
                one["refused"] or "; ".join(one["reasons"]) or None,
            ]
            for one in kept
        ],
    )
