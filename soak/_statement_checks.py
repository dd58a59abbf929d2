"""The check of what new leaders are told of earlier grants."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any, final

from gentianwharf.platform.standin import HoldChange

from ._disruptions import Disruptions
from ._owner_checks import is_after_thaw, is_taken_late

STATEMENT_SLACK_S = 0.5
"""The time for which two servers may hold the same keys."""

IN_TRANSIT_S = 0.05
"""Grants that arrive so soon before a statement may be of the new leader itself."""

LEADING = "leading"
ANSWERED = "former leader has answered"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """A host was told how long grants last of those who led before ``led_s``.

    ``held_s`` counts from ``at_s``, and is None if it wasn't told of all servers.
    """

    host: str
    led_s: float
    at_s: float
    held_s: float | None


def statement_of(
    host: str,
    line: Mapping[str, Any],
    *,
    clock_offset_s: float,
    former: Sequence[Statement] = (),
) -> Statement | None:
    """Return the statement in a line of a host's log, if there is one.

    ``clock_offset_s`` is what its time of day is ahead of the clock of records.
    """
    message = line.get("message")
    if message not in (LEADING, ANSWERED):
        return None
    at_s = led_s = datetime.fromisoformat(line["at"]).timestamp() - clock_offset_s
    held_s = line.get("held_s")
    if message == ANSWERED:
        # A leader renews grants before it is answered.
        led_s = max((each.led_s for each in former if each.host == host), default=at_s)
        held_s = held_s if not line["servers"] else None
    return Statement(host=host, led_s=led_s, at_s=at_s, held_s=held_s)


def find_wrong_statements(
    statements: Sequence[Statement],
    changes: Sequence[HoldChange],
    hosts: Sequence[str],
    disruptions: Disruptions,
) -> list[str]:
    """Return a line for each statement that leaves out grants by which servers hold.

    The keys get a second holder if the leader moves them meanwhile. Grants don't count
    that arrived soon after a host or their server was thawed, or a link healed; those
    that their server carries out late do.
    """
    lines = []
    for statement in statements:
        if statement.held_s is None:
            continue
        end_s = statement.at_s + statement.held_s + STATEMENT_SLACK_S
        left_out = [
            change
            for change in changes
            if change.arrived_s < statement.led_s - IN_TRANSIT_S
            and change.until_s > end_s
            and not is_after_thaw(change, hosts, disruptions)
            and (change.is_late or not is_taken_late(change, disruptions))
        ]
        if left_out:
            last = max(left_out, key=lambda change: change.until_s)
            lines.append(
                f"STATED: {statement.host} leads from {statement.led_s:.3f}, and was"
                f" told at {statement.at_s:.3f} that grants last for"
                f" {statement.held_s:.3f} s, but {last.server} holds"
                f" {last.first} to {last.last} with fence {last.token} for"
                f" {last.until_s - statement.at_s:.3f} s"
            )
    return lines
