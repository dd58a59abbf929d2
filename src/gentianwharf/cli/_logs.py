"""``gentianwharf logs explain``: one request's story from many hosts' logs."""

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from gentianwharf.logs import (
    ContextEntry,
    LogLine,
    RequestHistory,
    read_log,
    request_history,
)

from ._exits import Exit
from ._terminal import Terminal


def explain(request_id: str, files: Sequence[Path], shown: Terminal) -> Exit:
    """Print a request's lines in order, and what the hosts believed at its end."""
    lines = [line for file in files for line in read_log(file)]
    story = request_history(request_id, lines)
    if shown.as_json:
        shown.json(_document(story))
    elif story.lines:
        _print(story, shown)
    if story.lines:
        return Exit.DONE
    shown.problem(
        f"no line of {len(lines)} names {request_id}: of successes one in fifty is"
        " logged; else the log of its host is missing, or left lines out under load"
        " (log_lines_dropped)"
    )
    return Exit.REFUSED


def _print(story: RequestHistory, shown: Terminal) -> None:
    begun_s = story.lines[0].at_s
    shown.line(f"request {story.request_id}, first line at {_time(begun_s)}")
    for line in story.lines:
        after_ms = (line.at_s - begun_s) * 1000
        shown.line(f"  +{after_ms:.0f} ms  {line.host}  {_text(line)}")
    shown.line("what was believed at its end")
    for belief in story.context:
        shown.line(
            f"  {belief.topic}: {_text(belief.line)}"
            f"  ({belief.age_s:.2f} s old, {belief.line.host})"
        )


def _text(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={one}"
        for name, one in line.fields.items()
        if one not in ("", None) and name != "request_id"
    )
    return f"{line.message}  {fields}".rstrip()


def _time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).isoformat(timespec="milliseconds")


def _document(story: RequestHistory) -> Mapping[str, Any]:
    return {
        "request_id": story.request_id,
        "lines": [_line(one) for one in story.lines],
        "beliefs": [_belief(one) for one in story.context],
    }


def _line(line: LogLine) -> Mapping[str, Any]:
    return {
        "at": _time(line.at_s),
        "host": line.host,
        "message": line.message,
        **line.fields,
    }


def _belief(belief: ContextEntry) -> Mapping[str, Any]:
    return {
        "about": belief.topic,
        "age_s": round(belief.age_s, 3),
        "line": _line(belief.line),
    }
