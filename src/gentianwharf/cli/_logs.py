"""``gentianwharf logs explain``: the log lines of one request from many hosts."""

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from gentianwharf.logs import Belief, LogLine, Story, read_log, story_of

from ._exit_codes import ExitCode
from ._terminal import Terminal


def explain(request_id: str, files: Sequence[Path], terminal: Terminal) -> ExitCode:
    """Print a request's log lines in order and the last logged state at its end."""
    lines = [line for file in files for line in read_log(file)]
    story = story_of(request_id, lines)
    if terminal.as_json:
        terminal.json(_document(story))
    elif story.lines:
        _print(story, terminal)
    if story.lines:
        return ExitCode.DONE
    terminal.problem(
        f"none of {len(lines)} log lines names {request_id}: of successful requests"
        " only one in fifty is logged; otherwise the log of its host is missing or has"
        " dropped lines under load (log_lines_dropped)"
    )
    return ExitCode.REFUSED


def _print(story: Story, terminal: Terminal) -> None:
    first_s = story.lines[0].at_s
    terminal.line(f"request {story.request_id}, first line at {_time(first_s)}")
    for line in story.lines:
        elapsed_ms = (line.at_s - first_s) * 1000
        terminal.line(f"  +{elapsed_ms:.0f} ms  {line.host}  {_text(line)}")
    terminal.line("last logged state at its end")
    for belief in story.beliefs:
        terminal.line(
            f"  {belief.about}: {_text(belief.line)}"
            f"  ({belief.age_s:.2f} s old, {belief.line.host})"
        )


def _text(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value not in ("", None) and name != "request_id"
    )
    return f"{line.message}  {fields}".rstrip()


def _time(at_s: float) -> str:
    return datetime.fromtimestamp(at_s, UTC).isoformat(timespec="milliseconds")


def _document(story: Story) -> Mapping[str, Any]:
    return {
        "request_id": story.request_id,
        "lines": [_line(line) for line in story.lines],
        "beliefs": [_belief(belief) for belief in story.beliefs],
    }


def _line(line: LogLine) -> Mapping[str, Any]:
    return {
        "at": _time(line.at_s),
        "host": line.host,
        "message": line.message,
        **line.fields,
    }


def _belief(belief: Belief) -> Mapping[str, Any]:
    return {
        "about": belief.about,
        "age_s": round(belief.age_s, 3),
        "line": _line(belief.line),
    }
