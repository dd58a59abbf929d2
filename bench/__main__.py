"""Print one JSON line per figure: ``python -m bench [MODULE ...]``.

The exit code is 0 whatever the figures are; a module that raises is reported on
standard error and makes it 1, since its figures were not measured.
"""

import importlib
import sys
import traceback

from bench._figure import figure_line
from bench._modules import MODULES


def run(module_name: str) -> bool:
    """Print a module's figures; return whether all of them could be measured."""
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as error:
        if error.name != module_name:
            raise
        print(f"{module_name}: not there, passed over", file=sys.stderr)
        return True
    try:
        for figure in module.figures():
            print(figure_line(figure), flush=True)
    except Exception:
        print(f"{module_name}: not measured", file=sys.stderr)
        traceback.print_exc()
        return False
    return True


def main(arguments: list[str]) -> int:
    """Run the named modules, or all of them."""
    names = [f"bench.{name}" for name in arguments] or list(MODULES)
    results = [run(name) for name in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
