"""One request's lines from many hosts' logs, with what the hosts believed then.

An on-call engineer has a request's id and the logs of a dozen hosts. What became of the
request stands in a few lines; why, in others that do not name it: which rules were in
force on its host, who led, who held its key, whether the store was heard.
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
    """One line of a host's log; ``at_s`` is in seconds since 1970."""

    at_s: float
    host: str
    message: str
    fields: Mapping[str, Any]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ContextEntry:
    """The last word on something before a request ended, and how old it was then."""

    topic: str
    line: LogLine
    age_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHistory:
    """A request's lines in order, and what held at the time of the last one."""

    request_id: str
    lines: tuple[LogLine, ...]
    context: tuple[ContextEntry, ...]


def read_log(path: Path) -> list[LogLine]:
    """Return the lines of a file; its name without the ending names the host.

    What is before a line's JSON object, such as a time and a host's name, is taken for
    what a collector of logs put there; the word next to the object is the host then.
    Lines without an object are passed over. Raises ``InputError``.
    """
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise InputError(
            f"expected a readable log file, got {error}", step=STEP, peer=str(path)
        ) from error
    found = (_line(one, path.stem) for one in text.splitlines())
    return [one for one in found if one is not None]


def _line(text: str, file_host: str) -> LogLine | None:
    before, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at_s = datetime.fromisoformat(fields["at"]).timestamp()
        message = str(fields["message"])
    except (ValueError, KeyError, TypeError):
        # Cut off by the end of a process, or not ours.
        return None
    words = before.split()
    return LogLine(
        at_s=at_s,
        host=words[-1] if words else file_host,
        message=message,
        fields={key: one for key, one in fields.items() if key not in PLAIN_FIELDS},
    )


def request_history(request_id: str, lines: Iterable[LogLine]) -> RequestHistory:
    """Return what the lines tell of a request."""
    ordered = sorted(lines, key=lambda one: one.at_s)
    own = [one for one in ordered if one.fields.get("request_id") == request_id]
    beliefs: Sequence[ContextEntry] = ()
    if own:
        beliefs = _beliefs(own, ordered)
    return RequestHistory(
        request_id=request_id, lines=tuple(own), context=tuple(beliefs)
    )


def _beliefs(own: Sequence[LogLine], ordered: Sequence[LogLine]) -> list[ContextEntry]:
    until_s = own[-1].at_s
    latest: dict[str, LogLine] = {}
    for line in ordered:
        if line.at_s > until_s:
            break
        about = _about(line, own)
        if about is not None:
            latest[about] = line
    return [
        ContextEntry(topic=about, line=line, age_s=until_s - line.at_s)
        for about, line in sorted(latest.items())
    ]


def _about(line: LogLine, own: Sequence[LogLine]) -> str | None:
    """Return what a line tells of that concerns a request, None for nothing."""
    hosts = {one.host for one in own}
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
    servers = {one.fields.get("server") for one in own} - {"", None}
    if message.startswith("server ") and line.fields.get("server") in servers:
        return f"server {line.fields['server']}, from {line.host}"
    return None


def _concerns_key(line: LogLine, own: Sequence[LogLine]) -> bool:
    first, last = line.fields.get("first"), line.fields.get("last")
    if not isinstance(first, int) or not isinstance(last, int):
        return False
    return any(
        one.fields.get("service") == line.fields.get("service")
        and isinstance(one.fields.get("shard"), int)
        and first <= one.fields["shard"] <= last
        for one in own
    )
