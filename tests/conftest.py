"""Options that let another platform's adapters run the contract tests."""

from importlib import import_module
from typing import Any

import pytest

BENCHES = {
    "store_bench": "KeyValueStore",
    "hosts_bench": "HostList",
    "servers_bench": "BackendControl",
}


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add an option for each contract; see docs/design/platform.md."""
    for name, protocol in BENCHES.items():
        parser.addoption(
            f"--{name.replace('_', '-')}",
            metavar="MODULE:CLASS",
            help=f"run the contract of {protocol} against this bench alone",
        )


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Hand a contract test the class of its bench: each of ours, or the named one."""
    for name in BENCHES:
        if f"{name}_class" not in metafunc.fixturenames:
            continue
        named = metafunc.config.getoption(name)
        # A contract's module lists the benches of our own implementations.
        ours: list[type] = getattr(metafunc.module, f"{name.upper()}ES")
        classes = [_load(named)] if named else ours
        metafunc.parametrize(f"{name}_class", classes, ids=lambda one: one.__name__)


def _load(name: str) -> Any:
    module, colon, class_name = name.partition(":")
    if not colon:
        raise pytest.UsageError(f"expected MODULE:CLASS, got {name!r}")
    return getattr(import_module(module), class_name)
