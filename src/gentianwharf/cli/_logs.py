"""``gentianwharf logs explain``: the log lines of one request from many hosts."""

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

from ._exit_codes import ExitCode
from ._terminal import Terminal


def explain(request_id: str, files: Sequence[Path], terminal: Terminal) -> ExitCode:
    """Print a request's log lines in order and the last logged state at its end."""
    lines = [line for file in files for line in read_log(file)]
    history = request_history(request_id, lines)
    if terminal.as_json:
        terminal.json(_document(history))
    elif history.lines:
        _print(history, terminal)
    if history.lines:
        return ExitCode.DONE
    terminal.problem(
        f"none of {len(lines)} log lines names {request_id}: of successful requests"
        " only one in fifty is logged; otherwise the log of its host is missing or has"
        " dropped lines under load (log_lines_dropped)"
    )
    return ExitCode.REFUSED


def _print(history: RequestHistory, terminal: Terminal) -> None:
    first_s = history.lines[0].at_s
    terminal.line(f"request {history.request_id}, first line at {_time(first_s)}")
    for line in history.lines:
        elapsed_ms = (line.at_s - first_s) * 1000
        terminal.line(f"  +{elapsed_ms:.0f} ms  {line.host}  {_text(line)}")
    terminal.line("last logged state at its end")
    for entry in history.context:
        terminal.line(
            f"  {entry.topic}: {_text(entry.line)}"
            f"  ({entry.age_s:.2f} s old, {entry.line.host})"
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


def _document(history: RequestHistory) -> Mapping[str, Any]:
    return {
        "request_id": history.request_id,
        "lines": [_line(line) for line in history.lines],
        "beliefs": [_context_entry(entry) for entry in history.context],
    }


def _line(line: LogLine) -> Mapping[str, Any]:
    return {
        "at": _time(line.at_s),
        "host": line.host,
        "message": line.message,
        **line.fields,
    }


def _context_entry(entry: ContextEntry) -> Mapping[str, Any]:
    return {
        "about": entry.topic,
        "age_s": round(entry.age_s, 3),
        "line": _line(entry.line),
    }
