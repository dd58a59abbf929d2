"""A deployment of the soak without processes, for tests of what its options draw."""

import signal
from pathlib import Path
from typing import Any, cast

import msgspec
from soak._deployment import Deployment
from soak._proxy import Proxy
from soak._schedule import Schedule
from soak._standbys import Standbys
from twisted.internet.testing import MemoryReactorClock

NET = 90
DISTURBING = {signal.SIGTERM, signal.SIGSTOP}


class FakeProgram:
    """A program that is never started."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_running = True
        self.is_end_requested = False
        self.exit_status: str | None = None
        self.signals: list[signal.Signals] = []
        self.lines: list[bytes] = []

    def send(self, number: signal.Signals) -> None:
        self.signals.append(number)
        self.is_end_requested |= number in (signal.SIGTERM, signal.SIGKILL)

    def write_line(self, line: bytes) -> None:
        self.lines.append(line)


class Drawn:
    """A deployment without processes, in which each host leads once it may.

    A server that is killed ends once ``end_killed`` is called.
    """

    def __init__(self, tmp_path: Path, *, servers_restart: bool = False) -> None:
        self.clock = cast(Any, MemoryReactorClock())
        self.deployment = Deployment(
            reactor=self.clock, net=NET, logs=tmp_path, servers_restart=servers_restart
        )
        names = ["store", *self.deployment.servers, *self.deployment.hosts]
        self.programs = {name: FakeProgram(name) for name in names}
        self.deployment.programs = cast(Any, self.programs)
        self.deployment.standbys = Standbys(spawn=cast(Any, FakeProgram))
        self.schedule = Schedule(reactor=self.clock)
        for name in names[1:]:
            self.deployment.links.proxies[name] = Proxy(
                reactor=self.clock, listens_on="127.0.0.1:1", target="127.0.0.2:2"
            )

    def log(self, host: str, message: str) -> None:
        """Let a host write a line to its log."""
        line = {"at": "2030-01-01T00:00:00.000+00:00", "message": message}
        self.deployment.leaders.note_line(host, line)

    def disturbed(self) -> list[str]:
        """Return the hosts that were ended or frozen."""
        return [
            name
            for name in self.deployment.hosts
            if DISTURBING & {*self.programs[name].signals}
        ]

    def end_killed(self) -> list[str]:
        """Let the servers end that were killed, and return them."""
        killed = [
            name
            for name in self.deployment.servers
            if self.programs[name].is_running
            and signal.SIGKILL in self.programs[name].signals
        ]
        for name in killed:
            self.programs[name].is_running = False
            self.deployment._note_end(cast(Any, self.programs[name]))
        return killed

    def orders(self, name: str, order_type: type[Any]) -> list[Any]:
        """Return the orders to a stand-in."""
        lines = self.programs[name].lines
        return [msgspec.json.decode(line, type=order_type) for line in lines]
