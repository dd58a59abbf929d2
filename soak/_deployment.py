"""A small deployment: a store, servers, hosts, and a proxy on each link."""

import json
import signal
import tempfile
import time
from collections import defaultdict
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, final

import msgspec

from gentianwharf.platform import SETTINGS_PATH_VARIABLE
from gentianwharf.platform.standin import (
    CALLERS_PORT,
    EXIT_CRASHED,
    KEYED,
    BodyReport,
    HoldChange,
    Outage,
    ServerOrder,
    StoreOrder,
    settings_text,
)

from ._answer_faults import AnswerFaults
from ._crashing import is_crashing
from ._disruptions import (
    STORE_ANSWERS,
    Disruptions,
    refusals_of,
    standstill_of,
)
from ._leaders import Leaders
from ._links import SERVER_PORT, STORE_PORT, Links
from ._processes import Line, Program
from ._server_arguments import (
    DOMAINS,
    END_MANNERS,
    MOVED_SERVICES,
    SERVICES,
    SILENT,
    server_arguments,
    service_of,
)
from ._standbys import Standbys
from .entry_host import LINKS_VARIABLE

HOST_COUNT = 4
STANDIN = ("-m", "gentianwharf.platform.standin")
STANDBY = ("-m", "soak.standby_server")
RESTART_DELAY_S = 0.3
MIN_DOWN_S = 0.01
"""Longer than the reactor's next turn, in which a proxy connects or gives up for what
it has accepted before."""

CRASH_RESTART_S = 2.0
CRASHED = f"code {EXIT_CRASHED}"
"""How a server ends when a request has ended it."""

HIDDEN_S = 1.0
"""For which a proxy hides the end of a server after such a request has come."""

OPERATORS_PORT = 8385
DISRUPTIVE_SIGNALS = (signal.SIGSTOP, signal.SIGTERM, signal.SIGKILL)


@final
class Deployment:
    """Processes by name; all listen on IP addresses of the network ``127.NET``.

    With ``own_links``, each host reaches the servers over links that can be cut.
    ``answer_faults`` disturb the answers of servers. ``early_share`` is the share of
    the uploads that servers answer before their end. With ``moves_rules`` there are
    servers of a further service. With ``servers_restart``, servers start again at once,
    and hosts can be cut off.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        net: int,
        logs: Path,
        own_links: bool = False,
        answer_faults: AnswerFaults | None = None,
        early_share: float = 0.0,
        moves_rules: bool = False,
        servers_restart: bool = False,
    ) -> None:
        self._early_share = early_share
        self.reactor = reactor
        self._answer_faults = answer_faults
        self.logs = logs
        self.net = net
        self.runs: list[Line] = []
        self.arrivals: list[Line] = []
        self.bodies: list[BodyReport] = []
        self.hold_changes: list[HoldChange] = []
        self.server_ends_s: dict[str, list[float]] = defaultdict(list)
        """When each server was killed or ended, on the reactor's clock."""
        self.leaders = Leaders(
            # The time of day in logs is ahead of the reactor's clock.
            clock_offset_s=time.time() - reactor.seconds(),
            is_ending=lambda name: self.programs[name].is_end_requested,
        )
        self._server_orders: dict[str, ServerOrder] = {}
        self.revoked_items = 0
        """How many items the store has taken away before their time."""
        self.crashes_s: list[float] = []
        """When requests ended servers, on the reactor's clock."""
        self.programs: dict[str, Program] = {}
        self.ended: list[Program] = []
        self.standbys = Standbys(spawn=self._spawn_standby)
        self._restarts_s: dict[str, float] = {}
        """Servers that were killed, and how long after their end they start again."""
        self.hosts = [f"host-{number}" for number in range(HOST_COUNT)]
        server_count = len(SERVICES + (MOVED_SERVICES if moves_rules else ()))
        self.servers = [f"server-{number}" for number in range(server_count)]
        self.disruptions = Disruptions(now_s=reactor.seconds)
        self._has_own_links = own_links
        self._servers_restart = servers_restart
        self.links = Links(reactor=reactor, net=net, disruptions=self.disruptions)
        self.operators_address = f"127.{net}.0.1:{OPERATORS_PORT}"
        self._is_stopped = False
        self._settings = Path(tempfile.mkdtemp(prefix="soak-"))

    def addresses(self) -> dict[str, str]:
        """Return the address on which each host accepts callers, by its name."""
        return {name: f"{self.links.ip(name)}:{CALLERS_PORT}" for name in self.hosts}

    def start(self) -> None:
        """Start the store and the proxies, and soon after the servers and hosts."""
        store = f"{self.links.store_ip}:{STORE_PORT}"
        self._start_process(
            "store",
            [
                *(*STANDIN, "store", store, self.operators_address),
                "--takes-orders",
                *(
                    f"--host-addresses={self.links.store_address(name)}"
                    for name in self.hosts
                ),
            ],
        )
        self.links.open(
            hosts=self.hosts,
            servers=self.servers,
            answer_faults=self._answer_faults,
            to_servers=self._has_own_links,
            to_hosts=self._servers_restart,
        )
        for name in self.servers:
            self.reactor.callLater(1.0, self.start_program, name)
        for name in self.hosts:
            self.reactor.callLater(1.5, self.start_program, name)

    def start_program(self, name: str) -> None:
        """Start a server or a host, unless it is running."""
        program = self.programs.get(name)
        if self._is_stopped:
            return
        if program is not None and program.is_running:
            return
        if name in self.hosts:
            self._start_host(name)
        else:
            self._start_server(name)

    def restart(self, name: str) -> None:
        """Start a program that has ended, or kill and start one that is shutting down.

        A program that is running normally is left alone.
        """
        program = self.programs.get(name)
        if program is not None and program.is_running and program.is_end_requested:
            program.send(signal.SIGKILL)
        self.reactor.callLater(RESTART_DELAY_S, self._start_once_ended, name)

    def _start_once_ended(self, name: str) -> None:
        program = self.programs.get(name)
        if program is not None and program.is_running and program.is_end_requested:
            self.reactor.callLater(RESTART_DELAY_S, self._start_once_ended, name)
        else:
            self.start_program(name)

    def restart_server(self, name: str, down_s: float) -> None:
        """Kill a server that runs, and start it again ``down_s`` after its end."""
        if self.programs[name].is_running:
            self.standbys.prepare(name)
            self._restarts_s[name] = max(down_s, MIN_DOWN_S)
            self.send(name, signal.SIGKILL)

    def _end_server(self, server: Program) -> None:
        """Let no connection that was opened by now reach the next life of a server.

        Its proxy has accepted none since it was killed, and does so from its start.
        What a request has ended is away for long, and keeps some connections open.
        """
        name = server.name
        self.server_ends_s[name].append(self.reactor.seconds())
        if self._servers_restart and server.exit_status != CRASHED:
            self.links.reset(name)
        if name in self._restarts_s:
            down_s = self._restarts_s.pop(name)
            self.reactor.callLater(down_s, self.start_program, name)

    def _start_host(self, name: str) -> None:
        path = self._settings / f"{name}.toml"
        path.write_text(
            settings_text(
                name=name,
                ip=self.links.ip(name),
                domain=DOMAINS[self.hosts.index(name) % 3],
                store=self.links.proxy_address(name),
            )
        )
        env = {
            SETTINGS_PATH_VARIABLE: str(path),
            "GENTIANWHARF_LISTEN": f"{self.links.ip(name)}:{CALLERS_PORT}",
        }
        module = "gentianwharf.entry"
        ports = self.links.own_ports(name)
        if ports:
            module = "soak.entry_host"
            env[LINKS_VARIABLE] = json.dumps(ports)
        self._start_process(name, ["-OO", "-m", module], env)

    def _start_server(self, name: str) -> None:
        self.links.proxies[name].listen()
        standby = self.standbys.take(name)
        arguments = [*STANDIN, *self._server_arguments(name)]
        self._start_process(name, arguments, standby=standby)
        if name in self._server_orders:
            self.order_server(name, self._server_orders[name])

    def _spawn_standby(self, name: str) -> Program:
        program = self._program(name)
        arguments = [*STANDBY, *self._server_arguments(name)]
        program.start(self.reactor, arguments, {})
        return program

    def _server_arguments(self, name: str) -> list[str]:
        return server_arguments(
            name,
            address=f"{self.links.ip(name)}:{SERVER_PORT}",
            listed_as=self.links.proxy_address(name),
            store=self.operators_address,
            early_share=self._early_share,
        )

    def _program(self, name: str) -> Program:
        on_line = self._note_line
        if name == "store":
            on_line = self._note_store_line
        elif name in self.hosts:
            on_line = partial(self.leaders.note_line, name)
        return Program(
            name=name,
            log=self.logs / f"{name}.log",
            on_line=on_line,
            on_end=self._note_end,
        )

    def _start_process(
        self,
        name: str,
        arguments: list[str],
        env: dict[str, str] | None = None,
        *,
        standby: Program | None = None,
    ) -> None:
        """Start a program, unless ``standby`` has been started for it."""
        previous = self.programs.get(name)
        if previous is not None:
            self.ended.append(previous)
        self.programs[name] = standby or self._program(name)
        if standby is None:
            self.programs[name].start(self.reactor, arguments, env or {})
        # A program that has just started counts as disrupted until now.
        self.disruptions.begin(name)
        self.disruptions.end(name)
        self.disruptions.drop(standstill_of(name))

    def _note_end(self, program: Program) -> None:
        """Start a server again that a request or ``restart_server`` has ended."""
        if program is not self.programs.get(program.name):
            # It only waited to become a server.
            return
        if program.name in self.servers:
            self._end_server(program)
        self.leaders.note_not_leading(program.name)
        if program.exit_status != CRASHED or self._is_stopped:
            return
        self.crashes_s.append(self.reactor.seconds())
        self.reactor.callLater(CRASH_RESTART_S, self.links.proxies[program.name].reset)
        self.reactor.callLater(CRASH_RESTART_S, self.start_program, program.name)

    def _note_line(self, line: Line) -> None:
        if "received_bytes" in line:
            self.bodies.append(msgspec.convert(line, BodyReport))
        elif "until_s" in line:
            self.hold_changes.append(msgspec.convert(line, HoldChange))
        else:
            (self.arrivals if "arrived_s" in line else self.runs).append(line)
            if "arrived_s" in line and is_crashing(line["request_id"]):
                self._hide_end(line["server"])

    def leader(self) -> str | None:
        """Return the host that began to lead last and was not told to end, if any."""
        return self.leaders.latest()

    def keyed_servers(self) -> list[str]:
        """Return the servers that hold keys."""
        return [name for name in self.servers if service_of(name) == KEYED]

    def is_holding(self) -> bool:
        """Whether each server that holds keys has held some."""
        return {*self.keyed_servers()} <= {each.server for each in self.hold_changes}

    def order_server(self, name: str, order: ServerOrder) -> None:
        """Let a server begin or end a fault, also after it was started again."""
        self._server_orders[name] = order
        self.programs[name].write_line(msgspec.json.encode(order))

    def order_store(self, order: StoreOrder) -> None:
        """Let the store begin or end a fault, which lasts until it reports the end."""
        if order.outage not in (None, Outage.NONE):
            for subject in self._subjects(order.addresses):
                self.disruptions.begin(subject)
        self.programs["store"].write_line(msgspec.json.encode(order))

    def _note_store_line(self, line: Line) -> None:
        self.revoked_items += line["revoked_items"]
        outage = line["order"].get("outage")
        for subject in self._subjects(line["order"].get("addresses", ())):
            if outage == Outage.NONE:
                self.disruptions.end(subject)
            elif outage is not None:
                self.disruptions.begin(subject)

    def _subjects(self, addresses: Sequence[str]) -> list[str]:
        """Return what an outage of the store disrupts."""
        if not addresses:
            return [STORE_ANSWERS]
        return [
            refusals_of(name)
            for name in self.hosts
            if self.links.store_address(name) in addresses
        ]

    def turn_away(self, host: str) -> None:
        """Let the store refuse what a host asks, and serve all others."""
        addresses = (self.links.store_address(host),)
        self.order_store(StoreOrder(outage=Outage.REFUSE, addresses=addresses))

    def end_turning_away(self) -> None:
        """Let the store serve all hosts, unless it refuses or hangs for all."""
        addresses = tuple(self.links.store_address(name) for name in self.hosts)
        self.order_store(StoreOrder(outage=Outage.NONE, addresses=addresses))

    def _hide_end(self, name: str) -> None:
        """Let some servers go silent where a request ends them now."""
        if self.servers.index(name) % len(END_MANNERS) != SILENT:
            return
        proxy = self.links.proxies[name]
        proxy.hides_ends = True
        self.reactor.callLater(HIDDEN_S, setattr, proxy, "hides_ends", False)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        program = self.programs[name]
        if number is signal.SIGKILL and name in self.servers and program.is_running:
            self.server_ends_s[name].append(self.reactor.seconds())
            if self._servers_restart:
                self.links.proxies[name].stop_listening()
        program.send(number)
        if number in DISRUPTIVE_SIGNALS:
            self.disruptions.begin(name)
            if number is signal.SIGSTOP and program.is_running:
                self.disruptions.begin(standstill_of(name))
        elif number is signal.SIGCONT and not program.is_end_requested:
            # A program that is shutting down recovers only when it is started again.
            self.disruptions.end(name)
            self.disruptions.end(standstill_of(name))

    def restore(self) -> None:
        """Clear all faults, resume paused programs and start those that have ended."""
        self.order_store(StoreOrder(outage=Outage.NONE))
        for name in self.links.proxies:
            self.links.clear(name)
        for name in ["store", *self.servers, *self.hosts]:
            self.send(name, signal.SIGCONT)
        for name in [*self.servers, *self.hosts]:
            self.restart(name)

    def unexpected_exits(self) -> list[str]:
        """Return a line for each program that ended without a request to end."""
        return [
            f"EXIT: {program.name} ended by itself with {program.exit_status}"
            for program in [*self.ended, *self.programs.values()]
            if program.exit_status not in (None, CRASHED)
            and not program.is_end_requested
        ]

    def stop(self) -> None:
        """Kill every running process, and prevent further starts."""
        self._is_stopped = True
        self.standbys.stop()
        for program in self.programs.values():
            program.send(signal.SIGCONT)
            program.send(signal.SIGKILL)
        self.links.stop()
