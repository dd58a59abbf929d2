"""The whole path against a bare klein + treq relay, in one run.

Both stand before the same three stand-in servers, as separate processes; eight
connections ask as fast as they are answered. Processor time of the relaying process
is given beside the rate, since other work on the machine does not count in it.
"""

import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from tests.builders_processes import Deployment, deployment, free_ports, wait_until

from ._figure import Figure
from .capacity_relay import processor_s

CONNECTIONS = 8
SECONDS = 5.0
ROUNDS = 3
PATH = "/inscription/seats"
KEYED_PATH = "/calendrier/faculte-1"
HOST = "lac-1"
SEED = 1


def _load(port: int, path: str, connections: int = CONNECTIONS) -> dict[str, Any]:
    command = [sys.executable, "-m", "bench.path_load", str(port)]
    result = subprocess.run(
        [*command, str(connections), str(SECONDS), path],
        capture_output=True,
        check=True,
    )
    report: dict[str, Any] = json.loads(result.stdout)
    return report


def _measure(name: str, pid: int, port: int, path: str) -> Iterator[Figure]:
    begun_s = processor_s(pid)
    report = _load(port, path)
    spent_s = processor_s(pid) - begun_s
    answers = report["answers"]
    values = {
        "rate": (answers / SECONDS, "1/s"),
        "processor_time": (spent_s / answers * 1000, "ms/request"),
        "p50": (report["p50_ms"], "ms"),
        "p99": (report["p99_ms"], "ms"),
    }
    for what, (value, unit) in values.items():
        yield Figure(
            name=f"path.{name}.{what}",
            value=value,
            unit=unit,
            size={"connections": CONNECTIONS},
            seed=SEED,
        )


def _added(running: Deployment) -> Iterator[Figure]:
    """Yield what the daemon adds to one caller's answers, who asks one by one.

    That is about half of the rate that the daemon reaches with eight connections.
    """
    direct = _load(running.ports["inscription-1"], PATH, connections=1)
    through = _load(running.ports[f"{HOST}-callers"], PATH, connections=1)
    values = {
        "rate": (through["answers"] / SECONDS, "1/s"),
        "p50": (through["p50_ms"] - direct["p50_ms"], "ms"),
        "p99": (through["p99_ms"] - direct["p99_ms"], "ms"),
    }
    for what, (value, unit) in values.items():
        yield Figure(
            name=f"path.added.{what}",
            value=value,
            unit=unit,
            size={"connections": 1},
            seed=SEED,
        )


def _start_bare(running: Deployment) -> int:
    (port,) = free_ports(1)
    servers = [str(running.ports[f"inscription-{n}"]) for n in (1, 2, 3)]
    running.start("bare", "bench.path_bare", str(port), *servers)
    return port


def figures() -> Iterator[Figure]:
    """Yield rate, processor time and latency of both, round by round."""
    with deployment() as running:
        bare_port = _start_bare(running)
        port = running.ports[f"{HOST}-callers"]
        for path in (PATH, KEYED_PATH):
            wait_until(
                lambda path=path: running.get_if_served(HOST, path),
                description=f"{path} to answer",
            )
        bare, daemon = running.processes["bare"], running.processes[HOST]
        for _ in range(ROUNDS):
            yield from _measure("bare", bare.pid, bare_port, PATH)
            yield from _measure("daemon", daemon.pid, port, PATH)
            yield from _measure("daemon_keyed", daemon.pid, port, KEYED_PATH)
            yield from _added(running)
