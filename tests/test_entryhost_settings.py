"""Reloading of a settings file while a host runs."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import EntryHost
from gentianwharf.entryhost._main import EXIT_USAGE, reload_settings
from gentianwharf.platform import SETTINGS_PATH_VARIABLE, decode_host_settings
from tests.builders_processes import wait_until
from tests.builders_users_platform import SETTINGS


@pytest.fixture
def host() -> EntryHost:
    clock: Any = Clock()
    return EntryHost(
        settings=decode_host_settings(SETTINGS, peer="test"), reactor=clock
    )


def test_changed_settings_are_applied(host: EntryHost, tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace("grace-period=6s", "grace-period=9s"))
    reload_settings(host, path)
    assert host.settings.agreements.grace_period_s == 9.0


@pytest.mark.parametrize("text", ["", "node-name = 7", "[["])
def test_invalid_settings_change_nothing(
    host: EntryHost, tmp_path: Path, text: str
) -> None:
    """Guards against a host that ends because it read a partly written file."""
    path = tmp_path / "boot.toml"
    path.write_text(text)
    before = host.settings
    reload_settings(host, path)
    assert host.settings is before


def test_host_without_a_configuration_is_not_ready(host: EntryHost) -> None:
    """Guards against callers that the balancer sends to a host without rules."""
    assert not host.is_ready()


def test_reload_signal_during_startup_does_not_end_the_host(tmp_path: Path) -> None:
    """Guards against a host that SIGHUP ends while it starts.

    Imports take most of a second, and a process without a handler is ended by the
    signal.
    """
    env = {**os.environ, SETTINGS_PATH_VARIABLE: str(tmp_path / "none.toml")}
    started = subprocess.Popen(
        [sys.executable, "-OO", "-m", "gentianwharf.entry"],
        env=env,
        stdout=subprocess.PIPE,
        text=True,
    )
    wait_until(lambda: _handles_reload(started.pid), description="a handler of SIGHUP")
    started.send_signal(signal.SIGHUP)
    output, _ = started.communicate(timeout=60)
    assert started.returncode == EXIT_USAGE, "it continued until it read the settings"
    assert "none.toml" in output


def _handles_reload(pid: int) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(caught.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_start_without_settings_names_the_missing_file(tmp_path: Path) -> None:
    env = {**os.environ, SETTINGS_PATH_VARIABLE: str(tmp_path / "none.toml")}
    ended = subprocess.run(
        [sys.executable, "-OO", "-m", "gentianwharf.entry"],
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == EXIT_USAGE
    assert "none.toml" in ended.stdout
