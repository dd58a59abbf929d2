"""``gentianwharf decisions``: why requests went, waited or were refused."""

from typing import Any

from ._client import AdminClient
from ._exits import Exit
from ._terminal import Terminal


async def decisions(
    client: AdminClient,
    shown: Terminal,
    *,
    request_id: str | None,
    refused: bool,
    most: int,
) -> Exit:
    """Print kept decisions of the asked daemon, the newest first."""
    kept = await client.get(
        "decisions",
        request_id=request_id,
        refused_only="true" if refused else None,
        most=most,
    )
    if shown.as_json:
        shown.json(kept)
    elif kept:
        _print(kept, shown)
    if not kept and request_id is not None:
        shown.problem(
            f"this daemon keeps no decision on {request_id}: another host served it, or"
            " it was served and not sampled; see docs/OPERATING.md, Decisions"
        )
        return Exit.REFUSED
    return Exit.DONE


def _print(kept: list[dict[str, Any]], shown: Terminal) -> None:
    shown.table(
        [
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
