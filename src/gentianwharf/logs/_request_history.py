"""Collects the log lines of one request from many hosts, with their context.

An on-call engineer has the id of a request and the logs of a dozen hosts. A few lines
carry that id and show the outcome. Its cause is in other lines, which do not carry the
id: which rules were in force on the request's host, which host was the leader, which
server held the key, and whether the store was reachable.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, final

from gentianwharf.errors import InputError

STEP = "read-logs"

PLAIN_FIELDS = frozenset({"at", "level", "logger", "message"})


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One line of a host's log; ``at_s`` is in seconds since the Unix epoch."""

    at_s: float
    host: str
    message: str
    fields: Mapping[str, Any]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ContextEntry:
    """The latest line on a topic before a request ended, and its age at that time."""

    topic: str
    line: LogLine
    age_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHistory:
    """A request's lines in order, and the context at the time of the last one."""

    request_id: str
    lines: tuple[LogLine, ...]
    context: tuple[ContextEntry, ...]


def read_log(path: Path) -> list[LogLine]:
    """Return the lines of a log file; the file name without its suffix is the host.

    Log collectors may put a prefix, such as a time and a host name, before the JSON
    object of a line. The last word of such a prefix is then the host. Lines without a
    JSON object are skipped.

    Raises ``InputError`` if the file can't be read.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise InputError(
            f"expected a readable log file, got {error}", step=STEP, peer=str(path)
        ) from error
    parsed = (_parse_line(line_text, path.stem) for line_text in text.splitlines())
    return [line for line in parsed if line is not None]


def _parse_line(text: str, file_host: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at_s = datetime.fromisoformat(fields["at"]).timestamp()
        message = str(fields["message"])
    except (ValueError, KeyError, TypeError):
        # The line was cut off when its process ended, or another program wrote it.
        return None
    words = prefix.split()
    return LogLine(
        at_s=at_s,
        host=words[-1] if words else file_host,
        message=message,
        fields={
            name: value for name, value in fields.items() if name not in PLAIN_FIELDS
        },
    )


def request_history(request_id: str, lines: Iterable[LogLine]) -> RequestHistory:
    """Return the lines of a request, and the context in which it ended."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    own = [line for line in ordered if line.fields.get("request_id") == request_id]
    context: Sequence[ContextEntry] = ()
    if own:
        context = _context_at_end(own, ordered)
    return RequestHistory(
        request_id=request_id, lines=tuple(own), context=tuple(context)
    )


def _context_at_end(
    own: Sequence[LogLine], ordered: Sequence[LogLine]
) -> list[ContextEntry]:
    end_s = own[-1].at_s
    latest: dict[str, LogLine] = {}
    for line in ordered:
        if line.at_s > end_s:
            break
        topic = _topic(line, own)
        if topic is not None:
            latest[topic] = line
    return [
        ContextEntry(topic=topic, line=line, age_s=end_s - line.at_s)
        for topic, line in sorted(latest.items())
    ]


def _topic(line: LogLine, own: Sequence[LogLine]) -> str | None:
    """Return the topic of a line, or None if it does not concern the request.

    ``own`` are the lines of the request.
    """
    hosts = {own_line.host for own_line in own}
    message = line.message
    if message.startswith(("leading", "no longer leading")):
        return "leader"
    if _concerns_key(line, own):
        return "holder of its key"
    if line.host not in hosts:
        return None
    if message == "configuration in force":
        return f"rules on {line.host}"
    if message.startswith("configuration not taken"):
        return f"rules refused on {line.host}"
    if message.startswith(("store lost", "store regained")):
        return f"store, from {line.host}"
    servers = {own_line.fields.get("server") for own_line in own} - {"", None}
    if message.startswith("server ") and line.fields.get("server") in servers:
        return f"server {line.fields['server']}, from {line.host}"
    return None


def _concerns_key(line: LogLine, own: Sequence[LogLine]) -> bool:
    first, last = line.fields.get("first"), line.fields.get("last")
    if not isinstance(first, int) or not isinstance(last, int):
        return False
    return any(
        own_line.fields.get("service") == line.fields.get("service")
        and isinstance(own_line.fields.get("shard"), int)
        and first <= own_line.fields["shard"] <= last
        for own_line in own
    )
