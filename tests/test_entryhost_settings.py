"""A settings file that changes while a host runs."""

from pathlib import Path
from typing import Any

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import EntryHost
from gentianwharf.entryhost._main import reload_settings
from gentianwharf.platform import decode_host_settings
from tests.builders_users_platform import SETTINGS


@pytest.fixture
def host() -> EntryHost:
    clock: Any = Clock()
    return EntryHost(
        settings=decode_host_settings(SETTINGS, peer="test"), reactor=clock
    )


def test_settings_that_changed_are_used(host: EntryHost, tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace("grace-period=6s", "grace-period=9s"))
    reload_settings(host, path)
    assert host.settings.agreements.grace_period_s == 9.0


@pytest.mark.parametrize("text", ["", "node-name = 7", "[["])
def test_settings_that_don_t_fit_change_nothing(
    host: EntryHost, tmp_path: Path, text: str
) -> None:
    """A file is read while it is being written, and the host ends in the middle."""
    path = tmp_path / "boot.toml"
    path.write_text(text)
    before = host.settings
    reload_settings(host, path)
    assert host.settings is before


def test_host_without_a_configuration_is_not_ready(host: EntryHost) -> None:
    """The balancer sends callers to a host that can only refuse them."""
    assert not host.is_ready()
