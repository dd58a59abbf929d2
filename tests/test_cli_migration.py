"""A migration run with the command-line tool, with every program as a process."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianwharf.cli import ExitCode
from tests.builders_processes import (
    RULES,
    THREE_DOMAINS,
    Deployment,
    deployment,
    wait_until,
)

KEYS = [f"faculte-{number}" for number in range(6)]
OLD, NEW = "ancien", "nouveau"


@pytest.fixture
def running() -> Iterator[Deployment]:
    with deployment() as started:
        for host in THREE_DOMAINS:
            wait_until(
                lambda host=host: serves_all_keys(started, host),
                what=f"{host} to serve",
            )
        yield started


def serves_all_keys(running: Deployment, host: str) -> bool:
    return all(running.serves(host, f"/calendrier/{key}") for key in KEYS)


def run_tool(
    running: Deployment, host: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    admin = f"http://127.0.0.1:{running.ports[f'{host}-admin']}"
    command = [sys.executable, "-m", "gentianwharf.cli", *arguments, "--admin", admin]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def read_json(running: Deployment, host: str, *arguments: str) -> Any:
    result = run_tool(running, host, *arguments, "--json")
    assert result.returncode == ExitCode.DONE, result.stderr
    return json.loads(result.stdout)


def rule_file(path: Path, *, share: float) -> Path:
    """Write rules that send ``share`` of the keys to the new site."""
    keyed, *rest = RULES["rules"]
    keyed_rules = [
        {
            "name": "calendrier-new",
            "when": {**keyed["when"], "shard_share": share},  # type: ignore[dict-item]
            "then": {**keyed["then"], "site": NEW},  # type: ignore[dict-item]
        },
        {**keyed, "then": {**keyed["then"], "site": OLD}},  # type: ignore[dict-item]
    ]
    path.write_text(json.dumps({"rules": [*keyed_rules, *rest]}))
    return path


def apply(running: Deployment, host: str, file: Path, revision: int) -> int:
    result = run_tool(
        running, host, "rules", "apply", str(file), "--edited-from", str(revision)
    )
    assert result.returncode in (ExitCode.DONE, ExitCode.CONFLICT), result.stderr
    return result.returncode


def owner(running: Deployment, host: str, key: str) -> str | None:
    reply = running.serves(host, f"/calendrier/{key}")
    return reply.body["server"] if reply is not None else None


def test_operators_move_every_key_to_the_new_site(
    running: Deployment, tmp_path: Path
) -> None:
    """One operator sends all keys to the new site; another applies an outdated file.

    The rules must be in force on every host, the second operator must get a conflict,
    and each key must have the same owner on the new site from every host's view.
    """
    file = rule_file(tmp_path / "rules.jsonc", share=1.0)
    first = read_json(running, "lac-1", "rules", "show")["revision"]
    assert apply(running, "lac-1", file, first) == ExitCode.DONE
    outdated_file = rule_file(tmp_path / "outdated.jsonc", share=0.1)
    assert apply(running, "charguia-1", outdated_file, first) == ExitCode.CONFLICT
    newest = read_json(running, "lac-1", "rules", "show")["revision"]
    # ``apply`` has waited for the rollout: every host must have the revision.
    for host in THREE_DOMAINS:
        in_force = read_json(running, host, "rules", "show", "--in-force")
        assert in_force["revision"] == newest
    rollout = read_json(running, "ariana-1", "rules", "status")
    assert {host["host"] for host in rollout["hosts"]} == set(THREE_DOMAINS)
    servers = read_json(running, "lac-1", "servers", "list")
    new = {server["id"] for server in servers if server["site"] == NEW}
    for key in KEYS:
        owners = {
            wait_until(
                lambda host=host, key=key: {owner(running, host, key)} & new,
                what=f"{key} to be served on the new site, seen from {host}",
            ).pop()
            for host in THREE_DOMAINS
        }
        assert len(owners) == 1
        assert (
            read_json(running, "ariana-1", "keys", "owner", "calendrier", key)["server"]
            in owners
        )


def test_frozen_host_is_named_and_has_the_rules_when_it_returns(
    running: Deployment, tmp_path: Path
) -> None:
    """Guards against a report of success while a host is frozen.

    The operator would start the next migration step while that host, once it resumes,
    still routes its callers by the old rules.
    """
    file = rule_file(tmp_path / "rules.jsonc", share=0.5)
    first = read_json(running, "lac-1", "rules", "show")["revision"]
    running.send("ariana-1", signal.SIGSTOP)
    applied = run_tool(
        running,
        "lac-1",
        *("rules", "apply", str(file), "--edited-from", str(first), "--wait-s", "2"),
    )
    assert applied.returncode == ExitCode.INCOMPLETE, applied.stderr
    assert "not yet in force on ariana-1 (ariana): silent" in applied.stderr
    assert "lac-1" not in applied.stderr
    burn = run_tool(running, "lac-1", "report", "burn")
    assert burn.returncode == ExitCode.INCOMPLETE
    assert "MISSING ariana-1" in burn.stdout
    running.send("ariana-1", signal.SIGCONT)
    wait_until(
        lambda: (
            run_tool(running, "lac-1", "rules", "status").returncode == ExitCode.DONE
        ),
        what="the rules to be in force on the resumed host",
    )
