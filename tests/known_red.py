"""Run the whole test suite, passing over the tests that KNOWN-RED.txt names.

``python -m tests.known_red`` prints each test that it passes over. A line that is
incomplete, or a fourth line, stops the run: the list is for faults that somebody
is mending, not a place to put failing tests away.
"""

import subprocess
import sys
from pathlib import Path

MOST_LINES = 3
FIELDS = 6
ROOT = Path(__file__).resolve().parent.parent


def read_known_red(text: str) -> list[str]:
    """Return the test ids listed in ``text``, checking every line.

    >>> read_known_red("# nothing here")
    []
    >>> read_known_red("tests/test_a.py::test_b | make test | 1 | hangs | x | 2")
    ['tests/test_a.py::test_b']
    """
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    if len(lines) > MOST_LINES:
        raise SystemExit(
            f"KNOWN-RED.txt: at most {MOST_LINES} lines, {len(lines)} found"
        )
    tests = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise SystemExit(f"KNOWN-RED.txt: expected {FIELDS} fields in {line!r}")
        tests.append(fields[0])
    return tests


def main() -> int:
    """Run pytest and return its exit code."""
    tests = read_known_red((ROOT / "KNOWN-RED.txt").read_text())
    for test in tests:
        print(f"known red, passed over: {test}")
    options = [f"--deselect={test}" for test in tests]
    command = [sys.executable, "-m", "pytest", *options, *sys.argv[1:]]
    return subprocess.call(command, cwd=ROOT)


if __name__ == "__main__":
    sys.exit(main())
