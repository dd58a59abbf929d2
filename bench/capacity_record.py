"""Measure the slopes of docs/CAPACITY.md: ``python -m bench.capacity_record [NAME]``.

Figures go to ``bench/results/capacity.json``; those of a module that is not run again
stay. ``python -m bench.capacity_page`` then writes the page's tables.
"""

import importlib
import sys
from pathlib import Path
from typing import Any

import msgspec

from ._figure import machine

RESULTS = Path(__file__).parent / "results" / "capacity.json"
MODULES = (
    "capacity_memory",
    "capacity_control",
    "capacity_spread",
    "capacity_placement",
    "capacity_store",
    "capacity_relay",
)


def read_results() -> dict[str, list[dict[str, Any]]]:
    """Return the recorded figures by module."""
    if not RESULTS.exists():
        return {}
    results: dict[str, list[dict[str, Any]]] = msgspec.json.decode(RESULTS.read_bytes())
    return results


def main(names: list[str]) -> None:
    """Run the named modules, or all of them, and record their figures."""
    for name in names or MODULES:
        module = importlib.import_module(f"bench.{name}")
        figures = [msgspec.to_builtins(figure) for figure in module.figures()]
        # Read only now: another module may have been recorded meanwhile.
        results = read_results()
        results[name] = [figure | {"machine": machine()} for figure in figures]
        print(f"{name}: {len(figures)} figures", flush=True)
        RESULTS.parent.mkdir(exist_ok=True)
        text = msgspec.json.format(msgspec.json.encode(results), indent=1)
        RESULTS.write_bytes(text + b"\n")


if __name__ == "__main__":
    main(sys.argv[1:])
