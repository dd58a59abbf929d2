"""Print one JSON line per figure: ``python -m bench [MODULE ...]``.

The exit code does not depend on the measured values. If a module raises, its figures
are missing: the error is printed to standard error, and the exit code is 1.
"""

import importlib
import subprocess
import sys
import traceback

from bench._figure import figure_line
from bench._modules import MODULES, PROGRAMS


def run_module(name: str) -> bool:
    """Print a module's figures; return whether all of them were measured."""
    try:
        for figure in importlib.import_module(name).figures():
            print(figure_line(figure), flush=True)
    except Exception:
        print(f"{name}: not measured", file=sys.stderr)
        traceback.print_exc()
        return False
    return True


def run_program(name: str) -> bool:
    """Run a program that prints its own figures; return whether it exited with 0."""
    code = subprocess.call([sys.executable, "-m", name])
    if code:
        print(f"{name}: not measured, exit code {code}", file=sys.stderr)
    return code == 0


def run(name: str) -> bool:
    """Run a module or a program; return whether it succeeded."""
    return run_program(name) if name in PROGRAMS else run_module(name)


def main(arguments: list[str]) -> int:
    """Run the named modules and programs, or all of them."""
    names = [f"bench.{name}" for name in arguments] or [*MODULES, *PROGRAMS]
    results = [run(name) for name in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
