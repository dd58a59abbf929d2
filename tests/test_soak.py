"""A short soak with a fixed seed: the real programs under faults from outside."""

import os
import subprocess
import sys

import pytest

LIMIT_S = 150.0
"""For hangs only; a seed takes 35 s."""


@pytest.mark.parametrize(
    ("seed", "faults_s", "growth"),
    [(1, 10, "--rules-grow"), (4, 15, "--no-rules-grow")],
)
def test_no_promise_is_broken_under_random_faults(
    seed: int, faults_s: int, growth: str
) -> None:
    """Hosts, servers and the store are killed, paused and cut off from each other.

    Seed 1 lets the list of rules grow to thousands as well, and restarts all hosts.
    """
    played = subprocess.run(
        [
            *(sys.executable, "-m", "soak", "--first", str(seed), "--seeds", "1"),
            *(
                "--faults-s",
                str(faults_s),
                growth,
                "--net",
                str(120 + os.getpid() % 100),
            ),
        ],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert played.returncode == 0, played.stdout + played.stderr
