"""Entry hosts as processes before servers that lose answers, and what these count.

Servers report every request that reaches them. Requests are counted where callers send
them and where servers receive them, never by what hosts state about themselves.
"""

import http.client
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from itertools import count as count_from
from pathlib import Path

from gentianwharf.platform import SETTINGS_PATH_VARIABLE
from gentianwharf.platform.standin import (
    ADDED,
    CALLERS_PORT,
    KEYED,
    READINESS_PORT,
    UNKEYED,
    settings_text,
)

from .builders_processes import wait_until

STANDIN = ("-m", "gentianwharf.platform.standin")
STORE_PORT, OPERATORS_PORT, SERVER_PORT = 8384, 8385, 8400
SERVERS = 6
SAFE_PATH = "/repeatable/"
DEADLINE_MS = 1_500
CALLER_TIMEOUT_S = 4.0
CALLERS = 48
METRICS_PORT = 9464

RETRY_RATIO, EXTRA_RETRIES, WINDOW_S = 0.2, 64, 10.0
"""What ``settings_text`` allows."""

SHORT_S = 1e-6


@dataclass(frozen=True, kw_only=True)
class Repeats:
    """The most repeats in one window, and those allowed in it."""

    sent: int
    allowed: float


def repeats_of(arrivals_s: Iterable[tuple[str, float]]) -> list[float]:
    """Return the times of all arrivals beyond the first of each request, in order."""
    seen: set[str] = set()
    repeated_s: list[float] = []
    for request_id, arrived_s in sorted(arrivals_s, key=lambda arrival: arrival[1]):
        if request_id in seen:
            repeated_s.append(arrived_s)
        seen.add(request_id)
    return repeated_s


def worst_window(
    sent_s: Sequence[float],
    repeated_s: Sequence[float],
    *,
    extra_retries: float = EXTRA_RETRIES,
) -> Repeats:
    """Return the window with the most repeats above those allowed.

    ``sent_s`` has the times at which callers sent requests, ``repeated_s`` those at
    which repeats reached a server; both in order.
    """
    # The allowed number changes with the window: those that begin with a repeat and
    # those that end just after one are looked at.
    starts_s = [*repeated_s, *(at_s - WINDOW_S + SHORT_S for at_s in repeated_s)]
    windows = [
        _window(start_s, sent_s, repeated_s, extra_retries) for start_s in starts_s
    ]
    nothing = Repeats(sent=0, allowed=extra_retries)
    return max(
        windows, key=lambda window: window.sent - window.allowed, default=nothing
    )


def _window(
    start_s: float,
    sent_s: Sequence[float],
    repeated_s: Sequence[float],
    extra_retries: float,
) -> Repeats:
    def within(times_s: Sequence[float], from_s: float) -> int:
        return bisect_left(times_s, from_s + WINDOW_S) - bisect_left(times_s, from_s)

    requests = max(
        within(sent_s, start_s - shift_s) for shift_s in (0, WINDOW_S / 2, WINDOW_S)
    )
    return Repeats(
        sent=within(repeated_s, start_s),
        allowed=RETRY_RATIO * requests + extra_retries,
    )


@dataclass
class RepeatsDeployment:
    """A store, servers that lose answers, and entry hosts, below ``127.net``."""

    directory: Path
    net: int
    lost_share: float
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    sent_s: list[float] = field(default_factory=list)
    _ids: Iterator[int] = field(default_factory=lambda: count_from(1))

    def start(self) -> None:
        """Start the store and the servers."""
        store = f"127.{self.net}.0.1"
        self._start(
            "store",
            *(*STANDIN, "store", f"{store}:{STORE_PORT}", self.operators),
            *("--added-paths", SAFE_PATH),
        )
        wait_until(lambda: "ready" in self.log("store"), description="the store")
        for number in range(SERVERS):
            address = f"127.{self.net}.2.{number + 1}:{SERVER_PORT}"
            # Hosts are ready only with a server of each service.
            service = KEYED if number == 0 else UNKEYED
            self._start(
                f"server-{number}",
                *(*STANDIN, "backend", f"server-{number}", service, address),
                *("--slots", "40", "--work-ms", "5", "--store", self.operators),
                *("--lost-share", str(self.lost_share), "--reports-arrivals"),
            )

    @property
    def operators(self) -> str:
        """The address at which operators and servers reach the store."""
        return f"127.{self.net}.0.1:{OPERATORS_PORT}"

    def start_host(self, number: int) -> None:
        """Start a host, which may have run before."""
        name, ip = f"host-{number}", self._ip(number)
        path = self.directory / f"{name}.toml"
        store = f"127.{self.net}.0.1:{STORE_PORT}"
        path.write_text(settings_text(name=name, ip=ip, domain="a", store=store))
        self._start(
            name,
            *("-OO", "-m", "gentianwharf.entry"),
            env={
                SETTINGS_PATH_VARIABLE: str(path),
                "GENTIANWHARF_LISTEN": f"{ip}:{CALLERS_PORT}",
            },
        )

    def kill_host(self, number: int) -> None:
        """Kill a host, and wait until it has ended."""
        process = self.processes[f"host-{number}"]
        process.send_signal(signal.SIGKILL)
        process.wait()

    def log(self, name: str) -> str:
        """Return the output of a program, of all its processes."""
        return (self.directory / f"{name}.log").read_text()

    def send_all(self, hosts: Sequence[int], *, per_host: int) -> list[int]:
        """Send repeatable requests to each host at once; return their statuses."""
        targets = [host for _ in range(per_host) for host in hosts]
        with ThreadPoolExecutor(CALLERS) as callers:
            return list(callers.map(self.send, targets))

    def wait_until_ready(self, hosts: Sequence[int]) -> None:
        """Wait until each host serves requests; no request is sent for it."""
        for host in hosts:
            wait_until(
                lambda host=host: self._is_ready(host), description=f"host {host}"
            )

    def send(self, host: int) -> int:
        """Send a repeatable request; return its status, 0 without an answer."""
        request_id = f"request-{next(self._ids)}"
        self.sent_s.append(time.monotonic())
        connection = http.client.HTTPConnection(
            self._ip(host), CALLERS_PORT, timeout=CALLER_TIMEOUT_S
        )
        headers = {
            "Host": ADDED,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            connection.request("GET", SAFE_PATH, headers=headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def worst_window(self) -> Repeats:
        """Return the window with the most repeats above those allowed."""
        return worst_window(sorted(self.sent_s), self.repeated_s())

    def repeated_s(self) -> list[float]:
        """Return when repeats reached servers."""
        arrivals = [
            (line["request_id"], line["arrived_s"])
            for number in range(SERVERS)
            for line in map(json.loads, self._json_lines(f"server-{number}"))
            if "arrived_s" in line
        ]
        return repeats_of(arrivals)

    def stop(self) -> None:
        """Kill every process that is still running."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def send_early(self, hosts: Sequence[int], *, per_host: int) -> list[int]:
        """Send requests to each host as soon as it has rules and servers."""

        def send_to(host: int) -> list[int]:
            wait_until(
                lambda: (
                    min(self._metric(host, "rules_version"), 1.0)
                    and self._metric(host, "servers") >= SERVERS
                ),
                description=f"rules and servers at host {host}",
            )
            return [self.send(host) for _ in range(per_host)]

        with ThreadPoolExecutor(len(hosts)) as callers:
            return [status for sent in callers.map(send_to, hosts) for status in sent]

    def _metric(self, host: int, name: str) -> float:
        address = f"http://{self._ip(host)}:{METRICS_PORT}/metrics"
        try:
            with urllib.request.urlopen(address, timeout=CALLER_TIMEOUT_S) as response:
                lines = response.read().decode().splitlines()
        except OSError:
            return 0.0
        prefix = f"gentianwharf_{name} "
        values = [line for line in lines if line.startswith(prefix)]
        return float(values[0].removeprefix(prefix)) if values else 0.0

    def _is_ready(self, host: int) -> bool:
        address = f"http://{self._ip(host)}:{READINESS_PORT}/v1/readiness"
        try:
            with urllib.request.urlopen(address, timeout=CALLER_TIMEOUT_S):
                return True
        except OSError:
            return False

    def _json_lines(self, name: str) -> list[str]:
        return [line for line in self.log(name).splitlines() if line.startswith("{")]

    def _ip(self, host: int) -> str:
        return f"127.{self.net}.1.{host + 1}"

    def _start(
        self, name: str, *arguments: str, env: dict[str, str] | None = None
    ) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, **(env or {})},
            )


@contextmanager
def repeats_deployment(
    directory: Path, *, lost_share: float = 1.0
) -> Iterator[RepeatsDeployment]:
    """Run a deployment without hosts; the test starts these."""
    deployment = RepeatsDeployment(
        directory=directory, net=20 + os.getpid() % 80, lost_share=lost_share
    )
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()
