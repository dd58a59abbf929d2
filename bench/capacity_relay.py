"""What a daemon spends for each request, and how long callers wait for answers.

One daemon, the store and six backend servers as separate processes on loopback; the
processor time is the daemon's own, from the kernel, so that other work on the machine
does not count in it. Latencies do suffer from other work.
"""

import os
import subprocess
import sys
import time
from collections.abc import Iterator
from functools import partial
from math import ceil
from pathlib import Path
from typing import Any

import msgspec
from tests.builders_processes import Deployment, deployment, wait_until

from gentianwharf.loadtool import LoadReport, merge_reports

from ._figure import Figure

HOST = "lac-1"
DIRECT = "inscription-1"
RATES = (0, 50, 100, 200, 400, 467, 600)
# Beyond this many requests a second, one process of the load tool is itself late.
MOST_RATE_A_PART = 200
LOAD_S = 5.0
SEED = 1
MILLISECONDS = 1_000
IDLE_HOSTS = (1, 3, 6, 12)


def processor_s(pid: int) -> float:
    """Return the processor time that a process has spent."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _load(
    running: Deployment,
    rate: float,
    seconds: float,
    *,
    port: str = f"{HOST}-callers",
    services: tuple[str, ...] = ("calendrier", "inscription"),
) -> dict[str, Any]:
    if not rate:
        time.sleep(seconds)
        return {}
    target = f"127.0.0.1:{running.ports[port]}"
    count = ceil(rate / MOST_RATE_A_PART)
    parts = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.capacity_load_once", f"{number}/{count}"]
            + [target, str(rate), str(seconds), *services],
            stdout=subprocess.PIPE,
        )
        for number in range(1, count + 1)
    ]
    outputs = [part.communicate()[0] for part in parts]
    reports = [msgspec.json.decode(one, type=LoadReport) for one in outputs]
    merged: dict[str, Any] = msgspec.to_builtins(merge_reports(reports))
    return merged


def _rate_figures(running: Deployment, rate: float) -> Iterator[Figure]:
    pid = running.processes[HOST].pid
    began_s = processor_s(pid)
    report = _load(running, rate, LOAD_S)
    spent_s = processor_s(pid) - began_s
    size = {"requests_per_s": rate}
    yield Figure(
        name="relay_processor",
        value=spent_s / LOAD_S * MILLISECONDS,
        unit="ms/s",
        size=size,
        seed=SEED,
    )
    if not report:
        return
    yield from _direct_figures(running, rate)
    times = report["classes"]["consultation"]
    served = sum(one.get("served", 0) for one in report["verdicts"].values())
    every = sum(sum(one.values()) for one in report["verdicts"].values())
    for name, value, unit in (
        ("relay_p50", times["p50_ms"], "ms"),
        ("relay_p99", times["p99_ms"], "ms"),
        ("relay_served_share", served / every, "share"),
        ("relay_violations", report["violations"], "count"),
    ):
        yield Figure(name=name, value=value, unit=unit, size=size, seed=SEED)


def _direct_figures(running: Deployment, rate: float) -> Iterator[Figure]:
    """Yield the same load's latency without the router: what the machine does to it.

    Straight to a server of the service that is not keyed, which needs no grant.
    """
    report = _load(running, rate, LOAD_S, port=DIRECT, services=("inscription",))
    times = report["classes"]["reservation"]
    size = {"requests_per_s": rate}
    for name, value in (
        ("direct_p50", times["p50_ms"]),
        ("direct_p99", times["p99_ms"]),
    ):
        yield Figure(name=name, value=value, unit="ms", size=size, seed=SEED)


def _idle_figures(count: int) -> Iterator[Figure]:
    hosts = tuple(f"lac-{number}" for number in range(1, count + 1))
    with deployment(hosts=hosts) as running:
        for host in hosts:
            wait_until(
                partial(running.get_if_served, host, "/calendrier/a"), description=host
            )
        pids = [running.processes[host].pid for host in hosts]
        began_s = [processor_s(pid) for pid in pids]
        _load(running, 0, LOAD_S)
        spent_s = [
            processor_s(pid) - began for pid, began in zip(pids, began_s, strict=True)
        ]
        memory = [resident_bytes(pid) for pid in pids]
    size = {"hosts": count}
    mean_s = sum(spent_s) / count
    for name, value, unit in (
        ("idle_processor", mean_s / LOAD_S * MILLISECONDS, "ms/s"),
        ("idle_memory", max(memory), "bytes"),
    ):
        yield Figure(name=name, value=value, unit=unit, size=size)


def figures() -> Iterator[Figure]:
    """Yield processor time and latency by rate, and idle daemons by their number."""
    with deployment(hosts=(HOST,)) as running:
        wait_until(
            lambda: running.get_if_served(HOST, "/calendrier/a"), description=HOST
        )
        _load(running, 100, 2)
        for rate in RATES:
            yield from _rate_figures(running, rate)
    for count in IDLE_HOSTS:
        yield from _idle_figures(count)
