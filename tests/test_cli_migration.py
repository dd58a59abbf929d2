"""The migration by an operator's hands, with every program as a process."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianwharf.cli import Exit
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
    with deployment() as one:
        for host in THREE_DOMAINS:
            wait_until(
                lambda host=host: served(one, host), description=f"{host} to serve"
            )
        yield one


def served(running: Deployment, host: str) -> bool:
    return all(running.get_if_served(host, f"/calendrier/{key}") for key in KEYS)


def run_tool(
    running: Deployment, host: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    admin = f"http://127.0.0.1:{running.ports[f'{host}-admin']}"
    command = [sys.executable, "-m", "gentianwharf.cli", *arguments, "--admin", admin]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def read(running: Deployment, host: str, *arguments: str) -> Any:
    done = run_tool(running, host, *arguments, "--json")
    assert done.returncode == Exit.DONE, done.stderr
    return json.loads(done.stdout)


def rule_file(path: Path, *, share: float) -> Path:
    """Write the rules with the share of the keys that stands on the new site."""
    keyed, *rest = RULES["rules"]
    sites = [
        {
            "name": "calendrier-new",
            "when": {**keyed["when"], "shard_share": share},  # type: ignore[dict-item]
            "then": {**keyed["then"], "site": NEW},  # type: ignore[dict-item]
        },
        {**keyed, "then": {**keyed["then"], "site": OLD}},  # type: ignore[dict-item]
    ]
    path.write_text(json.dumps({"rules": [*sites, *rest]}))
    return path


def apply(running: Deployment, host: str, file: Path, revision: int) -> int:
    done = run_tool(
        running, host, "rules", "apply", str(file), "--edited-from", str(revision)
    )
    assert done.returncode in (Exit.DONE, Exit.CONFLICT), done.stderr
    return done.returncode


def owner(running: Deployment, host: str, key: str) -> str | None:
    reply = running.get_if_served(host, f"/calendrier/{key}")
    return reply.body["server"] if reply is not None else None


def test_operators_move_every_key_to_the_new_site(
    running: Deployment, tmp_path: Path
) -> None:
    """One operator sends all keys to the new site; another acts on an old list.

    The rules are in force on every host, the second is told of the conflict, and
    every key is served by one owner of the new site, whichever host is asked.
    """
    file = rule_file(tmp_path / "rules.jsonc", share=1.0)
    first = read(running, "lac-1", "rules", "show")["revision"]
    assert apply(running, "lac-1", file, first) == Exit.DONE
    late = rule_file(tmp_path / "late.jsonc", share=0.1)
    assert apply(running, "charguia-1", late, first) == Exit.CONFLICT
    newest = read(running, "lac-1", "rules", "show")["revision"]
    # ``apply`` has waited for them: no host may still be behind.
    for host in THREE_DOMAINS:
        in_force = read(running, host, "rules", "show", "--in-force")
        assert in_force["revision"] == newest
    everywhere = read(running, "ariana-1", "rules", "status")
    assert {one["host"] for one in everywhere["hosts"]} == set(THREE_DOMAINS)
    servers = read(running, "lac-1", "servers", "list")
    new = {one["id"] for one in servers if one["site"] == NEW}
    for key in KEYS:
        owners = {
            wait_until(
                lambda host=host, key=key: {owner(running, host, key)} & new,
                description=f"{key} to be served on the new site, seen from {host}",
            ).pop()
            for host in THREE_DOMAINS
        }
        assert len(owners) == 1
        assert (
            read(running, "ariana-1", "keys", "owner", "calendrier", key)["server"]
            in owners
        )


def test_frozen_host_is_named_and_has_the_rules_when_it_returns(
    running: Deployment, tmp_path: Path
) -> None:
    """A host freezes; an operator applies a step of the migration and asks for burn.

    Told that all is well, the operator would go on while that host's callers are
    still sent by the old list once it returns.
    """
    file = rule_file(tmp_path / "rules.jsonc", share=0.5)
    first = read(running, "lac-1", "rules", "show")["revision"]
    running.send("ariana-1", signal.SIGSTOP)
    applied = run_tool(
        running,
        "lac-1",
        *("rules", "apply", str(file), "--edited-from", str(first), "--wait-s", "2"),
    )
    assert applied.returncode == Exit.INCOMPLETE, applied.stderr
    assert "not yet in force on ariana-1 (ariana): silent" in applied.stderr
    assert "lac-1" not in applied.stderr
    burn = run_tool(running, "lac-1", "report", "burn")
    assert burn.returncode == Exit.INCOMPLETE
    assert "MISSING ariana-1" in burn.stdout
    running.send("ariana-1", signal.SIGCONT)
    wait_until(
        lambda: run_tool(running, "lac-1", "rules", "status").returncode == Exit.DONE,
        description="the rules to be in force on the host that returned",
    )
