"""A small deployment: a store, servers, hosts, and a proxy on each way between them."""

import signal
import tempfile
from pathlib import Path
from typing import Any, final

from gentianwharf.platform import SETTINGS_PATH_VARIABLE
from gentianwharf.platform.standin import (
    CALLERS_PORT,
    KEYED,
    UNKEYED,
    settings_text,
)

from ._disruptions import Disruptions, way_of
from ._processes import Line, Program
from ._proxy import Proxy, Trouble

HOSTS = 4
KEYED_SERVERS, UNKEYED_SERVERS = 5, 3
STANDIN = ("-m", "gentianwharf.platform.standin")
RESTART_S = 0.3
SERVER_PORT, PROXY_PORT, STORE_PORT, OPERATORS_PORT = 8400, 8300, 8384, 8385
DISRUPTIVE_SIGNALS = (signal.SIGSTOP, signal.SIGTERM, signal.SIGKILL)


@final
class Deployment:
    """Processes by name; all listen on IP numbers below ``127.NET``."""

    def __init__(self, *, reactor: Any, net: int, logs: Path) -> None:
        self.reactor = reactor
        self.logs = logs
        self.net = net
        self.runs: list[Line] = []
        self.programs: dict[str, Program] = {}
        self.ended: list[Program] = []
        self.proxies: dict[str, Proxy] = {}
        self.hosts = [f"host-{number}" for number in range(HOSTS)]
        self.servers = [
            f"server-{number}" for number in range(KEYED_SERVERS + UNKEYED_SERVERS)
        ]
        self.disruptions = Disruptions(now_s=reactor.seconds)
        self.operators_address = f"127.{net}.0.1:{OPERATORS_PORT}"
        self._is_stopped = False
        self._settings = Path(tempfile.mkdtemp(prefix="soak-"))

    def addresses(self) -> dict[str, str]:
        """Return where callers reach each host."""
        return {name: f"{self._ip(name)}:{CALLERS_PORT}" for name in self.hosts}

    def start(self) -> None:
        """Start everything."""
        store = f"127.{self.net}.0.1"
        self._start(
            "store",
            [*STANDIN, "store", f"{store}:{STORE_PORT}", self.operators_address],
        )
        for name in self.servers:
            self._proxy(name, target=f"{self._ip(name)}:{SERVER_PORT}")
            self.reactor.callLater(1.0, self.start_program, name)
        for name in self.hosts:
            self._proxy(name, target=f"{store}:{STORE_PORT}")
            self.reactor.callLater(1.5, self.start_program, name)

    def start_program(self, name: str) -> None:
        """Start a server or a host, unless it runs."""
        known = self.programs.get(name)
        if self._is_stopped:
            return
        if known is not None and known.is_running:
            return
        if name in self.hosts:
            self._start_host(name)
        else:
            self._start_server(name)

    def restart_ending(self, name: str) -> None:
        """Start a program that has ended, or end at once one that was asked to."""
        known = self.programs.get(name)
        if known is not None and known.is_running and known.was_asked_to_end:
            known.send(signal.SIGKILL)
        self.reactor.callLater(RESTART_S, self.start_program, name)

    def _start_host(self, name: str) -> None:
        path = self._settings / f"{name}.toml"
        path.write_text(
            settings_text(
                name=name,
                ip=self._ip(name),
                domain="abc"[self.hosts.index(name) % 3],
                store=self._proxy_address(name),
            )
        )
        env = {
            SETTINGS_PATH_VARIABLE: str(path),
            "GENTIANWHARF_LISTEN": f"{self._ip(name)}:{CALLERS_PORT}",
        }
        self._start(name, ["-OO", "-m", "gentianwharf.entry"], env)

    def _start_server(self, name: str) -> None:
        number = self.servers.index(name)
        service = KEYED if number < KEYED_SERVERS else UNKEYED
        arguments = [
            *(*STANDIN, "backend", name, service, f"{self._ip(name)}:{SERVER_PORT}"),
            *("--domain", "abc"[number % 3], "--slots", "4", "--work-ms", "30"),
            *("--store", self.operators_address),
            *("--listed-as", self._proxy_address(name)),
        ]
        self._start(name, arguments)

    def _start(
        self, name: str, arguments: list[str], env: dict[str, str] | None = None
    ) -> None:
        before = self.programs.get(name)
        if before is not None:
            self.ended.append(before)
        on_line = self.runs.append if name in self.servers else _ignore
        program = Program(name=name, log=self.logs / f"{name}.log", on_line=on_line)
        self.programs[name] = program
        program.start(self.reactor, arguments, env or {})
        # A program that has just started is as one that was disrupted until now.
        self.disruptions.begin(name)
        self.disruptions.end(name)

    def _proxy(self, name: str, *, target: str) -> None:
        self.proxies[name] = Proxy(
            reactor=self.reactor, listens_on=self._proxy_address(name), target=target
        )

    def _proxy_address(self, name: str) -> str:
        return f"{self._ip(name)}:{PROXY_PORT}"

    def _ip(self, name: str) -> str:
        kind, _, number = name.partition("-")
        return f"127.{self.net}.{1 if kind == 'host' else 2}.{int(number) + 1}"

    def send(self, name: str, number: signal.Signals) -> None:
        """Signal a process that this deployment started."""
        program = self.programs[name]
        program.send(number)
        if number in DISRUPTIVE_SIGNALS:
            self.disruptions.begin(name)
        elif number is signal.SIGCONT and not program.was_asked_to_end:
            # One that was asked to end is back only when it is started again.
            self.disruptions.end(name)

    def cut(self, name: str, trouble: Trouble) -> None:
        """Begin a trouble on the way through a program's proxy."""
        self.disruptions.begin(way_of(name))
        self.proxies[name].begin(trouble)
        if trouble is Trouble.RESET:
            self.disruptions.end(way_of(name))

    def heal(self, name: str) -> None:
        """End the trouble on the way through a program's proxy."""
        self.proxies[name].end()
        self.disruptions.end(way_of(name))

    def restore(self) -> None:
        """End all that lasts, and start what does not run."""
        for name in self.proxies:
            self.heal(name)
        for name in ["store", *self.servers, *self.hosts]:
            self.send(name, signal.SIGCONT)
        for name in [*self.servers, *self.hosts]:
            self.restart_ending(name)

    def own_exits(self) -> list[str]:
        """Return a line for each host that ended though nobody asked it to."""
        return [
            f"EXIT: {one.name} ended by itself with {one.exit_status}"
            for one in [*self.ended, *self.programs.values()]
            if one.exit_status is not None and not one.was_asked_to_end
        ]

    def stop(self) -> None:
        """End every process that runs, and start none any more."""
        self._is_stopped = True
        for program in self.programs.values():
            program.send(signal.SIGCONT)
            program.send(signal.SIGKILL)
        for proxy in self.proxies.values():
            proxy.stop()


def _ignore(line: Line) -> None:
    """Leave a line to the log file."""
