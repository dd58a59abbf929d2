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
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from itertools import count as count_from
from pathlib import Path
from typing import Any

from soak._retry_checks import (
    STANDIN_AGREEMENT,
    find_excess_retries,
    find_excess_runs,
    repeats_of,
)

from gentianwharf.platform import SETTINGS_PATH_VARIABLE
from gentianwharf.platform.standin import (
    ADDED,
    CALLERS_PORT,
    KEYED,
    LOOK_UPS,
    MAX_ATTEMPTS,
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


@dataclass
class RepeatsDeployment:
    """A store, servers that lose answers, and entry hosts, below ``127.net``."""

    directory: Path
    net: int
    lost_share: float
    servers: int = SERVERS
    keyed_servers: int = 1
    """The first servers; hosts are ready only with a server of each service."""
    work_ms: str = "5"
    server_options: tuple[str, ...] = ()
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    sent_s: dict[str, list[float]] = field(default_factory=dict)
    """When callers sent requests, by service."""
    ids: Iterator[int] = field(default_factory=lambda: count_from(1))

    def start(self) -> None:
        """Start the store and the servers."""
        store = f"127.{self.net}.0.1"
        self._start(
            "store",
            *(*STANDIN, "store", f"{store}:{STORE_PORT}", self.operators),
            *("--added-paths", SAFE_PATH),
        )
        wait_until(lambda: "ready" in self.log("store"), description="the store")
        for number in range(self.servers):
            self.start_server(number)

    def start_server(self, number: int) -> None:
        """Start a server, which may have run before."""
        address = f"127.{self.net}.2.{number + 1}:{SERVER_PORT}"
        service = KEYED if number < self.keyed_servers else UNKEYED
        self._start(
            f"server-{number}",
            *(*STANDIN, "backend", f"server-{number}", service, address),
            *("--slots", "40", "--work-ms", self.work_ms, "--store", self.operators),
            *("--lost-share", str(self.lost_share), "--reports-arrivals"),
            *self.server_options,
        )

    @property
    def operators(self) -> str:
        """The address at which operators and servers reach the store."""
        return f"127.{self.net}.0.1:{OPERATORS_PORT}"

    def start_host(self, number: int) -> None:
        """Start a host, which may have run before."""
        name, ip = f"host-{number}", self.ip(number)
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

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a host."""
        self.processes[f"host-{number}"].send_signal(signal_number)

    def pause_server(self, number: int, for_s: float) -> None:
        """Let a server stand still."""
        self.processes[f"server-{number}"].send_signal(signal.SIGSTOP)
        time.sleep(for_s)
        self.processes[f"server-{number}"].send_signal(signal.SIGCONT)

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

    def wait_until_listed(self, hosts: Sequence[int]) -> None:
        """Wait until each host knows the others and has its share of the retries."""
        share = f'retry_budget_share{{service="{UNKEYED}"}}'
        for host in hosts:
            wait_until(
                lambda host=host: self.metric(host, share),
                description=f"host {host} to be listed",
            )

    def send(self, host: int, *, shard: int | None = None) -> int:
        """Send a repeatable request; return its status, 0 without an answer.

        With a ``shard``, it is sent to the service divided by key.
        """
        request_id = f"request-{next(self.ids)}"
        service = UNKEYED if shard is None else KEYED
        self.sent_s.setdefault(service, []).append(time.monotonic())
        connection = http.client.HTTPConnection(
            self.ip(host), CALLERS_PORT, timeout=CALLER_TIMEOUT_S
        )
        headers = {
            "Host": ADDED if shard is None else LOOK_UPS,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if shard is not None:
            headers["Shard-Key"] = str(shard)
        try:
            connection.request("GET", SAFE_PATH, headers=headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def excess_retries(self) -> list[str]:
        """Return a line for each service that got more repeats than agreed."""
        sent_s = {service: sorted(times_s) for service, times_s in self.sent_s.items()}
        return find_excess_retries(sent_s, self.arrivals(), agreement=STANDIN_AGREEMENT)

    def repeat_count(self) -> int:
        """Return how many repeats servers got in the whole run, for all services."""
        return len(
            repeats_of(
                (arrival["request_id"], arrival["arrived_s"])
                for arrival in self.arrivals()
            )
        )

    def excess_runs(self) -> list[str]:
        """Return a line if requests ran on more servers than their route allows."""
        runs = [line for line in self._server_lines() if "begun_s" in line]
        return find_excess_runs(
            ((run["request_id"], run["server"]) for run in runs),
            max_attempts=MAX_ATTEMPTS,
        )

    def arrivals(self) -> list[dict[str, Any]]:
        """Return the requests that reached servers."""
        return [line for line in self._server_lines() if "arrived_s" in line]

    def _server_lines(self) -> list[dict[str, Any]]:
        return [
            json.loads(line)
            for number in range(self.servers)
            for line in self.log(f"server-{number}").splitlines()
            if line.startswith("{")
        ]

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
                    min(self.metric(host, "rules_version"), 1.0)
                    and self.metric(host, "servers") >= self.servers
                ),
                description=f"rules and servers at host {host}",
            )
            return [self.send(host) for _ in range(per_host)]

        with ThreadPoolExecutor(len(hosts)) as callers:
            return [status for sent in callers.map(send_to, hosts) for status in sent]

    def metric(self, host: int, name: str) -> float:
        """Return what a host states, 0 without an answer."""
        address = f"http://{self.ip(host)}:{METRICS_PORT}/metrics"
        try:
            with urllib.request.urlopen(address, timeout=CALLER_TIMEOUT_S) as response:
                lines = response.read().decode().splitlines()
        except OSError:
            return 0.0
        prefix = f"gentianwharf_{name} "
        values = [line for line in lines if line.startswith(prefix)]
        return float(values[0].removeprefix(prefix)) if values else 0.0

    def _is_ready(self, host: int) -> bool:
        address = f"http://{self.ip(host)}:{READINESS_PORT}/v1/readiness"
        try:
            with urllib.request.urlopen(address, timeout=CALLER_TIMEOUT_S):
                return True
        except OSError:
            return False

    def ip(self, host: int) -> str:
        """Return the IP address of a host."""
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
    directory: Path, *, lost_share: float = 1.0, servers: int = SERVERS
) -> Iterator[RepeatsDeployment]:
    """Run a deployment without hosts; the test starts these."""
    deployment = RepeatsDeployment(
        directory=directory,
        net=220 + os.getpid() % 30,
        lost_share=lost_share,
        servers=servers,
    )
    try:
        deployment.start()
        yield deployment
    finally:
        deployment.stop()
