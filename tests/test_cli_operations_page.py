"""docs/OPERATIONS.md describes every command, exit code, alarm and path."""

from pathlib import Path

import pytest

from gentianwharf.admin import ALARMS, AdminApp
from gentianwharf.cli import ExitCode
from gentianwharf.cli._app import app

PAGE = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()


def commands() -> list[str]:
    """Return every command with its group, as typed on the command line."""
    names: list[str] = []
    for name in app:
        group = app[name]
        if name.startswith("-"):
            continue
        subcommands = [part for part in group if not part.startswith("-")]
        names.extend(f"{name} {subcommand}" for subcommand in subcommands)
        if not subcommands:
            names.append(name)
    return names


def test_commands_are_found() -> None:
    assert {"rules apply", "status", "domains declare-lost"} <= set(commands())


@pytest.mark.parametrize("command", commands())
def test_command_is_described(command: str) -> None:
    assert f"| `{command}" in PAGE


@pytest.mark.parametrize("code", ExitCode)
def test_exit_code_is_described(code: ExitCode) -> None:
    assert f"| {int(code)} | {code.name.lower()}" in PAGE


@pytest.mark.parametrize("name", [rule.name for rule in ALARMS])
def test_alarm_has_a_section(name: str) -> None:
    assert f"\n### {name}\n" in PAGE


@pytest.mark.parametrize(
    "path", sorted({rule.rule for rule in AdminApp.app.url_map.iter_rules()})
)
def test_path_of_the_admin_port_is_described(path: str) -> None:
    for name in ("service", "server", "domain"):
        path = path.replace(f"<{name}>", name.upper())
    assert f"`{path}`" in PAGE
