"""A small deployment as separate processes on loopback, for end-to-end tests."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from itertools import count as count_from
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
SITES = {"lac": "ancien", "charguia": "nouveau", "ariana": "nouveau"}
THREE_DOMAINS = ("lac-1", "charguia-1", "ariana-1")
HOST_PORTS = ("callers", "admin", "peer")
ONE_DOMAIN = ("lac-1", "lac-2", "lac-3")


FIRST_PORT, PORT_COUNT = 20_000, 12_000
# Test processes that run at the same time start at different ports.
_PORTS = (
    FIRST_PORT + (os.getpid() * 97 + number) % PORT_COUNT for number in count_from(0)
)


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens, each of them only once.

    They lie below the kernel's range of ephemeral ports, since an outgoing connection
    could otherwise take a port before the program that is to listen on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
    return ports


def wait_until(
    condition: Any, *, description: str, timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Poll until ``condition()`` is true and return its result.

    The time-out only ends tests that hang.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        result = condition()
        if result:
            return result
        # The interval is for polling another process only; no test depends on it.
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"timed out after {timeout_s} s waiting for {description}")


@dataclass
class Reply:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: Any


@dataclass
class Deployment:
    """A store, backend servers, and a daemon for each of ``hosts``."""

    directory: Path
    ports: dict[str, int]
    hosts: tuple[str, ...]
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, *command: str) -> None:
        """Start a Python module as a program, with its output in a log file."""
        log = (self.directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *command],
            stdout=log,
            stderr=log,
            env=dict(os.environ, PYTHONPATH="src"),
        )

    def start_daemon(self, host: str) -> None:
        """Start a host's daemon."""
        settings = self.directory / f"{host}.jsonc"
        self.start(host, "gentianwharf.daemon", str(settings))

    def start_server(self, server: str, *options: str) -> None:
        """Start a backend server."""
        settings = str(self.directory / f"{self.hosts[0]}.jsonc")
        self.start(
            server, "gentianwharf.standin", "backend", settings, server, *options
        )

    def send(self, name: str, number: int) -> None:
        """Send a signal to a program."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a program and wait until it has ended."""
        self.send(name, signal.SIGKILL)
        self.processes[name].wait()

    def log(self, name: str) -> str:
        """Return the output of a program."""
        return (self.directory / f"{name}.log").read_text()

    def request(
        self,
        host: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request through a host's daemon."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[f"{host}-callers"], timeout=START_TIMEOUT_S
        )
        try:
            connection.request(method, path, body=body, headers=headers or {})
            response = connection.getresponse()
            raw = response.read()
            fields = {name.lower(): value for name, value in response.getheaders()}
            parsed = json.loads(raw) if raw else None
            return Reply(status=response.status, headers=fields, body=parsed)
        finally:
            connection.close()

    def resident_bytes(self, name: str) -> int:
        """Return the resident memory of a program."""
        pages = Path(f"/proc/{self.processes[name].pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE")

    def state(self, host: str) -> dict[str, Any]:
        """Return the state from a host's admin port, empty if it does not respond."""
        return self._get_admin(host, "/state")

    def rule_status_hosts(self, host: str) -> list[str]:
        """Return the hosts that ``host`` queries for the rules that they have."""
        return [
            status["host"] for status in self._get_admin(host, "/rules/hosts")["hosts"]
        ]

    def _get_admin(self, host: str, path: str) -> dict[str, Any]:
        address = f"http://127.0.0.1:{self.ports[f'{host}-admin']}{path}"
        try:
            with urllib.request.urlopen(address, timeout=START_TIMEOUT_S) as response:
                fields: dict[str, Any] = json.load(response)
        except OSError:
            return {}
        return fields

    def clear_known_hosts(self, host: str) -> None:
        """Remove the other hosts from a host's settings."""
        path = self.directory / f"{host}.jsonc"
        settings = json.loads(path.read_text())
        path.write_text(json.dumps(settings | {"known_hosts": []}))

    def list_as_leaving(self, host: str) -> None:
        """List a host as leaving in the platform's host list, and restart the list."""
        path = self.directory / "hosts.json"
        listed = json.loads(path.read_text())
        for listed_host in listed:
            listed_host["leaving"] = listed_host["leaving"] or listed_host["id"] == host
        path.write_text(json.dumps(listed))
        if "host-list" in self.processes:
            self.kill("host-list")
        self.start_platform("host-list")

    def start_platform(self, name: str) -> None:
        """Start a process of the platform: ``store`` or ``host-list``."""
        self.start(
            name,
            "gentianwharf.standin",
            "store",
            f"127.0.0.1:{self.ports[name]}",
            "--hosts",
            str(self.directory / "hosts.json"),
        )

    def get_if_served(self, host: str, path: str) -> Reply | None:
        """Return the reply if its status is 200, else None."""
        try:
            reply = self.request(host, path)
        except OSError:
            return None
        return reply if reply.status == 200 else None

    def stop(self) -> None:
        """Kill every program."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.kill()
            process.wait()


SERVICES = ("calendrier", "inscription")
SERVERS_PER_SERVICE = 3


def domain_of(host: str) -> str:
    """Return the failure domain of a host, which is the prefix of its id."""
    return host.rpartition("-")[0]


def _settings(
    ports: dict[str, int], hosts: tuple[str, ...], host: str
) -> dict[str, Any]:
    domains = tuple(domain_of(name) for name in hosts)
    servers = {
        service: [
            {
                "id": f"{service}-{number + 1}",
                "domain": domains[number % len(domains)],
                "address": f"127.0.0.1:{ports[f'{service}-{number + 1}']}",
            }
            for number in range(SERVERS_PER_SERVICE)
        ]
        for service in SERVICES
    }
    return {
        "customer": "tunis",
        "host": {
            "id": host,
            "domain": domain_of(host),
            "callers_address": f"127.0.0.1:{ports[f'{host}-callers']}",
            "admin_address": f"127.0.0.1:{ports[f'{host}-admin']}",
            "peer_address": f"127.0.0.1:{ports[f'{host}-peer']}",
        },
        "platform": {
            "store_url": f"http://127.0.0.1:{ports['store']}",
            "hosts_url": f"http://127.0.0.1:{ports['host-list']}",
        },
        "domains": [
            {"name": name, "site": SITES[name]} for name in dict.fromkeys(domains)
        ],
        "services": [
            {
                "name": "calendrier",
                "keyed": True,
                "shards": 64,
                "slots": 6,
                "connections": 130,
                "servers": servers["calendrier"],
            },
            {
                "name": "inscription",
                "slots": 6,
                "connections": 130,
                "servers": servers["inscription"],
            },
        ],
        "classes": [
            {"name": "consultation", "deadline_ms": 2000, "weight": 8},
            {"name": "reservation", "deadline_ms": 5000, "weight": 8},
        ],
        "known_hosts": [
            {
                "id": other,
                "domain": domain_of(other),
                "peer_address": f"127.0.0.1:{ports[f'{other}-peer']}",
            }
            for other in hosts
            if other != host
        ],
        "initial_rules": "rules.jsonc",
    }


RULES = {
    "rules": [
        {
            "name": "calendrier",
            "when": {"path_prefix": "/calendrier/"},
            "then": {
                "service": "calendrier",
                "key": {"place": "path_segment", "name": "1"},
            },
        },
        {
            "name": "inscription",
            "when": {"path_prefix": "/inscription/"},
            "then": {"service": "inscription", "request_class": "reservation"},
        },
    ]
}


def _servers() -> list[str]:
    return [
        f"{service}-{number + 1}"
        for service in SERVICES
        for number in range(SERVERS_PER_SERVICE)
    ]


@contextmanager
def deployment(hosts: tuple[str, ...] = THREE_DOMAINS) -> Iterator[Deployment]:
    """Run a store, six backend servers and the hosts' daemons as separate processes."""
    listening = [f"{host}-{port}" for host in hosts for port in HOST_PORTS]
    names = ["store", "host-list", *_servers(), *listening]
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    with tempfile.TemporaryDirectory() as name:
        running = Deployment(directory=Path(name), ports=ports, hosts=hosts)
        _write_files(running)
        try:
            _start_all(running)
            yield running
        finally:
            running.stop()


def _write_files(running: Deployment) -> None:
    directory, ports = running.directory, running.ports
    (directory / "rules.jsonc").write_text(json.dumps(RULES))
    for host in running.hosts:
        text = json.dumps(_settings(ports, running.hosts, host))
        (directory / f"{host}.jsonc").write_text(text)
    listed = [
        {
            "id": host,
            "domain": domain_of(host),
            "address": f"127.0.0.1:{ports[f'{host}-peer']}",
            "leaving": False,
        }
        for host in running.hosts
    ]
    (directory / "hosts.json").write_text(json.dumps(listed))


def _start_all(running: Deployment) -> None:
    # Two processes, so that a test can stop one of them and keep the other.
    for name in ("store", "host-list"):
        running.start_platform(name)
    for server in _servers():
        running.start_server(server)
    for host in running.hosts:
        running.start_daemon(host)
