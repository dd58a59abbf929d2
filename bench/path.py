"""The whole request path, compared with a bare klein + treq relay in the same run.

Both relay to the same three stand-in servers and run as separate processes. Each of
eight connections sends the next request as soon as it has the response. Beside the
rate, the processor time of the relaying process is reported, since that does not
include other work on the machine.
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
    start_s = processor_s(pid)
    report = _load(port, path)
    used_s = processor_s(pid) - start_s
    answers = report["answers"]
    values = {
        "rate": (answers / SECONDS, "1/s"),
        "processor_time": (used_s / answers * 1000, "ms/request"),
        "p50": (report["p50_ms"], "ms"),
        "p99": (report["p99_ms"], "ms"),
    }
    for quantity, (value, unit) in values.items():
        yield Figure(
            name=f"path.{name}.{quantity}",
            value=value,
            unit=unit,
            size={"connections": CONNECTIONS},
            seed=SEED,
        )


def _added_latency(running: Deployment) -> Iterator[Figure]:
    """Yield the rate and the added latency for one caller on one connection.

    The rate on one connection is about half of that on eight connections.
    """
    direct = _load(running.ports["inscription-1"], PATH, connections=1)
    relayed = _load(running.ports[f"{HOST}-callers"], PATH, connections=1)
    values = {
        "rate": (relayed["answers"] / SECONDS, "1/s"),
        "p50": (relayed["p50_ms"] - direct["p50_ms"], "ms"),
        "p99": (relayed["p99_ms"] - direct["p99_ms"], "ms"),
    }
    for quantity, (value, unit) in values.items():
        yield Figure(
            name=f"path.added.{quantity}",
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
    """Yield rate, processor time and latency of both relays for each round."""
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
            yield from _added_latency(running)
