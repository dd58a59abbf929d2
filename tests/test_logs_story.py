"""The log history of one request, collected from the logs of several hosts."""

import json
from pathlib import Path
from typing import Any

import pytest

from gentianwharf.errors import InputError
from gentianwharf.logs import read_log, request_history


def line(second: float, message: str, **fields: Any) -> str:
    at = f"2026-02-19T22:07:{second:06.3f}+00:00"
    return json.dumps({"at": at, "level": "INFO", "message": message, **fields})


@pytest.fixture
def logs(tmp_path: Path) -> list[Path]:
    leader = [
        line(1, "leading", revision=20),
        line(2, "granted", service="roster", first=0, last=99, token=1, server="s1"),
        line(3, "granted", service="roster", first=100, last=199, token=1, server="s2"),
        line(7, "renewal failed", service="roster", first=0, last=99, server="s1"),
        line(9, "released", service="roster", first=0, last=99, server="s1"),
    ]
    host = [
        line(1, "configuration in force", version=4, revision=12),
        line(5, "configuration in force", version=6, revision=30),
        line(6, "server listed", server="s1", service="roster", state="ready"),
        "Traceback (most recent call last):",
        line(
            8,
            "no server holds the key at the moment",
            request_id="a1",
            status=503,
            service="roster",
            shard=50,
            server="s1",
        ),
        line(8.5, "answered", request_id="b2", status=200, service="roster", shard=150),
        '{"at":"2026-02-19T22:07:08.600+00:00","mess',
    ]
    paths = [tmp_path / "leader-1.log", tmp_path / "host-2.log"]
    for path, texts in zip(paths, (leader, host), strict=True):
        path.write_text("\n".join(texts))
    return paths


def test_history_has_the_lines_of_the_request_and_its_context(logs: list[Path]) -> None:
    history = request_history(
        "a1", [entry for path in logs for entry in read_log(path)]
    )
    assert [(entry.host, entry.message) for entry in history.lines] == [
        ("host-2", "no server holds the key at the moment")
    ]
    context = {
        entry.topic: (entry.line.message, entry.age_s) for entry in history.context
    }
    assert context == {
        "leader": ("leading", 7.0),
        "holder of its key": ("renewal failed", 1.0),
        "rules on host-2": ("configuration in force", 3.0),
        "server s1, from host-2": ("server listed", 2.0),
    }
    rules = next(entry for entry in history.context if entry.topic.startswith("rules"))
    assert rules.line.fields["version"] == 6


def test_history_has_newer_rules_that_a_host_refused(logs: list[Path]) -> None:
    """A 404 caused by outdated rules was shown without the reason they were in force.

    The host had refused newer rules a second before, and the history left that out.
    """
    refused = line(
        7, "configuration not taken: at most 5 rules", version=6, revision=40
    )
    logs[1].write_text(refused + "\n" + logs[1].read_text())
    history = request_history(
        "a1", [entry for path in logs for entry in read_log(path)]
    )
    context = {entry.topic: entry.age_s for entry in history.context}
    assert context["rules refused on host-2"] == 1.0


def test_lines_after_the_request_are_left_out(logs: list[Path]) -> None:
    history = request_history(
        "a1", [entry for path in logs for entry in read_log(path)]
    )
    assert "released" not in [entry.line.message for entry in history.context]


def test_unknown_request_has_no_history(logs: list[Path]) -> None:
    history = request_history(
        "zz", [entry for path in logs for entry in read_log(path)]
    )
    assert not history.lines
    assert not history.context


def test_prefix_of_a_log_collector_names_the_host(tmp_path: Path) -> None:
    path = tmp_path / "all.log"
    path.write_text("  41.16 front-lac-5 " + line(1, "started", host="front-lac-5"))
    assert [entry.host for entry in read_log(path)] == ["front-lac-5"]


def test_error_names_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    with pytest.raises(InputError, match="readable log file") as caught:
        read_log(tmp_path / "none.log")
    assert caught.value.peer.endswith("none.log")
