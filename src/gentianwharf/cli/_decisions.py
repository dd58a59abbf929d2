"""``gentianwharf decisions``: why requests were sent, queued or refused."""

from typing import Any

from ._client import AdminClient
from ._exit_codes import ExitCode
from ._terminal import Terminal


async def decisions(
    client: AdminClient,
    terminal: Terminal,
    *,
    request_id: str | None,
    refused: bool,
    limit: int,
) -> ExitCode:
    """Print the decisions retained by the daemon, or by any host on one request."""
    answer = await client.get(
        "decisions",
        request_id=request_id,
        refused_only="true" if refused else None,
        most=limit,
    )
    retained = answer["decisions"]
    if terminal.as_json:
        terminal.json(answer)
    elif retained:
        _print(retained, terminal)
    else:
        terminal.note("no such decision is kept")
    if retained or request_id is None:
        return ExitCode.DONE
    for host, reason in answer["silent"].items():
        terminal.problem(f"{host} could not be asked: {reason}")
    if answer["silent"]:
        return ExitCode.INCOMPLETE
    terminal.problem(
        f"no listed host keeps a decision on {request_id}: it was served and not"
        " sampled, or its host was replaced; see docs/OPERATIONS.md, Decisions"
    )
    return ExitCode.REFUSED


def _print(retained: list[dict[str, Any]], terminal: Terminal) -> None:
    terminal.table(
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
                decision["host"],
                round(decision["ago_s"], 1),
                decision["request_id"],
                decision["service"] or None,
                decision["request_class"] or None,
                decision["rule"] or None,
                decision["server"] or None,
                decision["run"],
                float(decision["waited_s"]),
                decision["refused"] or "; ".join(decision["reasons"]) or None,
            ]
            for decision in retained
        ],
    )
