"""Tests of the benchmark runner: named modules exist, and a failure is reported."""

import importlib
import json
import subprocess
import sys
from importlib.util import find_spec

import pytest
from bench._modules import MODULES, PROGRAMS


@pytest.mark.parametrize("name", MODULES)
def test_module_has_figures(name: str) -> None:
    assert callable(importlib.import_module(name).figures)


@pytest.mark.parametrize("name", PROGRAMS)
def test_program_exists(name: str) -> None:
    assert find_spec(name) is not None


def test_runner_prints_a_json_line_per_figure_and_names_unmeasured_modules() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "bench", "metrics", "nothing"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    figures = [json.loads(line) for line in result.stdout.splitlines()]
    assert {"name", "value", "unit", "size", "seed", "machine"} <= set(figures[0])
    assert result.returncode == 1
    assert "bench.nothing: not measured" in result.stderr
