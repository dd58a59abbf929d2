"""The processes of a fleet: a store, servers, hosts and callers."""

import os
import re
import signal
import subprocess
import sys
import time
import urllib.request
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import final

import msgspec

from gentianwharf.load import RetryAgreement
from gentianwharf.platform import SETTINGS_PATH_VARIABLE
from gentianwharf.platform.standin import (
    CALLERS_PORT,
    READINESS_PORT,
    StoreOrder,
    StoreOrderReport,
    settings_text,
)

from ._callers import SentRequest
from ._judge import Record, read_server_lines
from ._orders import Order
from ._rules_in_force import HostRules, read_host_lines, store_outages_s
from ._sheet import (
    Sheet,
    host_ip,
    host_store_address,
    operators_address,
    store_address,
)

METRICS_PORT = 9464
SERVER_PROCESSES = 4
POLL_INTERVAL_S = 0.2
START_TIMEOUT_S = 180.0
METRICS_TIMEOUT_S = 10.0
SENT_METRIC = re.compile(
    r"gentianwharf_requests_sent_total\{(?P<labels>[^}]*)\} (?P<count>\S+)"
)
SHARE_METRIC = re.compile(
    r"gentianwharf_retry_budget_share\{(?P<labels>[^}]*)\} (?P<share>\S+)"
)
LEADS_METRIC = re.compile(r"gentianwharf_leads 1(\.0)?$", re.MULTILINE)
LABEL = re.compile(r'(\w+)="([^"]*)"')


@final
class Fleet:
    """Starts, disrupts and ends the processes; each logs to a file in ``directory``.

    ``host_sources`` is the folder of the sources that the hosts run.
    """

    def __init__(
        self,
        *,
        directory: Path,
        net: int,
        hosts: int,
        host_sources: Path,
        sheet: Sheet,
        agreement: RetryAgreement,
    ) -> None:
        self.host_count = hosts
        self.net = net
        self._directory = directory
        self._host_sources = host_sources
        self._sheet = sheet
        self._agreement = agreement
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._killed_s: dict[str, list[float]] = defaultdict(list)
        self._orders: list[Order] = []
        self._store_orders: list[StoreOrder] = []
        self._paused_s: dict[str, float] = {}
        self._downtimes_s: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def start_platform(self) -> None:
        """Start the store and the servers, and wait until these are listed."""
        self._start(
            "store",
            *("-m", "gentianwharf.platform.standin", "store"),
            *(store_address(self.net), operators_address(self.net)),
            "--takes-orders",
            *(
                f"--host-addresses={host_store_address(self.net, number)}"
                for number in range(self.host_count)
            ),
            has_input=True,
        )
        self._wait_for_lines(["store"])
        names = [f"servers-{part}" for part in range(SERVER_PROCESSES)]
        for part, name in enumerate(names):
            arguments = (
                *map(str, (self.net, part, SERVER_PROCESSES)),
                self._sheet.name,
            )
            self._start(name, "-m", "bench.fleet._servers", *arguments, has_input=True)
        self._wait_for_lines(names)

    def _wait_for_lines(self, names: Iterable[str]) -> None:
        for name in names:
            end_s = time.monotonic() + START_TIMEOUT_S
            while b"ready" not in (self._directory / f"{name}.log").read_bytes():
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{name} did not start; see its log")
                time.sleep(POLL_INTERVAL_S)

    def start_host(self, number: int) -> None:
        """Start a host, which may have run before."""
        name, ip = f"host-{number}", host_ip(self.net, number)
        path = self._directory / f"{name}.toml"
        path.write_text(
            settings_text(
                name=name,
                ip=ip,
                domain="abc"[number % 3],
                store=host_store_address(self.net, number),
                extra_retries=int(self._agreement.extra),
            )
        )
        self._start(
            name,
            *("-OO", "-m", "gentianwharf.entry"),
            env={
                SETTINGS_PATH_VARIABLE: str(path),
                "GENTIANWHARF_LISTEN": f"{ip}:{CALLERS_PORT}",
                "PYTHONPATH": str(self._host_sources),
            },
        )

    def ready_hosts(self) -> int:
        """Return how many hosts state that they are ready."""
        with ThreadPoolExecutor(16) as pool:
            return sum(pool.map(self._is_ready, range(self.host_count)))

    def _is_ready(self, number: int) -> bool:
        address = f"http://{host_ip(self.net, number)}:{READINESS_PORT}/v1/readiness"
        try:
            with urllib.request.urlopen(address, timeout=METRICS_TIMEOUT_S):
                return True
        except OSError:
            return False

    def order_servers(self, order: Order) -> None:
        """Let every process of servers carry out an order."""
        self._orders.append(order)
        for part in range(SERVER_PROCESSES):
            self._write_order(f"servers-{part}", order)

    def order_store(self, order: StoreOrder) -> None:
        """Let the store carry out an order."""
        self._store_orders.append(order)
        self._write_order("store", order)

    def _write_order(self, name: str, order: Order | StoreOrder) -> None:
        stdin = self._processes[name].stdin
        assert stdin is not None
        stdin.write(msgspec.json.encode(order) + b"\n")
        stdin.flush()

    def pause(self, names: Iterable[str]) -> None:
        """Let processes stand still."""
        for name in names:
            self._processes[name].send_signal(signal.SIGSTOP)
            self._paused_s.setdefault(name, time.monotonic())

    def resume(self) -> None:
        """Let all processes run on that stand still."""
        for name in sorted(self._paused_s):
            self._processes[name].send_signal(signal.SIGCONT)
            self._downtimes_s[name].append((self._paused_s[name], time.monotonic()))
        self._paused_s.clear()

    def leaders(self) -> list[int]:
        """Return the numbers of the hosts that state that they lead."""
        with ThreadPoolExecutor(16) as pool:
            texts = list(pool.map(self._metrics, range(self.host_count)))
        return [
            number for number, text in enumerate(texts) if LEADS_METRIC.search(text)
        ]

    def leader(self) -> int | None:
        """Return the number of the host that leads, None if no host states so."""
        return next(iter(self.leaders()), None)

    def check(self) -> None:
        """Raise ``RuntimeError`` if a process has failed, or logged an error.

        What such a run counts says nothing about its disruptions.
        """
        for name, process in self._processes.items():
            code = process.poll()
            if code and not name.startswith("host-"):
                raise RuntimeError(f"{name} ended with {code}; see its log")
            log = (self._directory / f"{name}.log").read_bytes()
            if b"Traceback (most recent call last)" in log:
                raise RuntimeError(f"{name} logged an error; see its log")

    def restart_hosts(self, numbers: Iterable[int]) -> None:
        """Kill hosts at once, and start them again."""
        numbers = list(numbers)
        for number in numbers:
            name = f"host-{number}"
            self._processes[name].kill()
            self._killed_s[name].append(time.monotonic())
        for number in numbers:
            self._processes[f"host-{number}"].wait()
            self._paused_s.pop(f"host-{number}", None)
            self.start_host(number)

    def start_callers(self, name: str, output: Path, *options: str) -> None:
        """Start a process of callers, which writes its requests to ``output``."""
        self._start(name, "-m", "bench.fleet._callers", str(output), *options)

    def wait_for(self, name: str) -> None:
        """Wait until a process ends by itself."""
        self._processes[name].wait()

    def record(self, outputs: Iterable[Path]) -> Record:
        """Return all that was counted."""
        record = Record(
            sheet=self._sheet,
            agreement=self._agreement,
            orders=self._orders,
            store_orders=self._store_orders,
        )
        for output in outputs:
            lines = output.read_bytes().splitlines()
            record.sent += [
                msgspec.json.decode(line, type=SentRequest) for line in lines
            ]
        for part in range(SERVER_PROCESSES):
            log = self._directory / f"servers-{part}.log"
            read_server_lines(log.read_bytes().splitlines(), record)
        log = self._directory / "store.log"
        for line in log.read_bytes().splitlines():
            if line.startswith(b"{"):
                report = msgspec.json.decode(line, type=StoreOrderReport)
                record.store_reports.append(report)
        record.store_pauses_s = self._downtimes_s["store"]
        record.hosts = [self._host_rules(number) for number in range(self.host_count)]
        for number, host in enumerate(record.hosts):
            address = host_store_address(self.net, number)
            host.downtimes_s += store_outages_s(record.store_reports, address)
        with ThreadPoolExecutor(16) as pool:
            for text in pool.map(self._metrics, range(self.host_count)):
                for found in SENT_METRIC.finditer(text):
                    labels = dict(LABEL.findall(found["labels"]))
                    key = (labels["service"], labels["cause"])
                    record.stated[key] += int(float(found["count"]))
        return record

    def _host_rules(self, number: int) -> HostRules:
        name = f"host-{number}"
        rules = read_host_lines(
            name,
            (self._directory / f"{name}.log").read_bytes().splitlines(),
            clock_offset_s=time.time() - time.monotonic(),
        )
        rules.downtimes_s += self._downtimes_s[name]
        for killed_s in self._killed_s[name]:
            rules.add_restart(killed_s)
        return rules

    def retry_shares(self) -> dict[str, float]:
        """Return the sum of all hosts' shares in the saved retries of each service."""
        shares: dict[str, float] = defaultdict(float)
        with ThreadPoolExecutor(16) as pool:
            for text in pool.map(self._metrics, range(self.host_count)):
                for found in SHARE_METRIC.finditer(text):
                    labels = dict(LABEL.findall(found["labels"]))
                    shares[labels["service"]] += float(found["share"])
        return shares

    def _metrics(self, number: int) -> str:
        address = f"http://{host_ip(self.net, number)}:{METRICS_PORT}/metrics"
        try:
            with urllib.request.urlopen(address, timeout=METRICS_TIMEOUT_S) as page:
                return str(page.read().decode())
        except OSError:
            return ""

    def stop(self) -> None:
        """Kill every process that is still running."""
        for process in self._processes.values():
            with suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def _start(
        self,
        name: str,
        *arguments: str,
        env: dict[str, str] | None = None,
        has_input: bool = False,
    ) -> None:
        with (self._directory / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.PIPE if has_input else subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **(env or {})},
            )
