"""What backend servers say of themselves, asked now and then.

A server that drains or starts cold says so in its report before the platform's list
shows it. Reports lag and may mislead, so the gate takes them as hints, and believes
"draining" alone.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import GentianwharfError
from gentianwharf.infra import BackendControl, ServerReport
from gentianwharf.topology import BackendServer

# A leaving server must get no new work after a few seconds.
REPORT_INTERVAL_S = 2.0

OnReport = Callable[[str, ServerReport], None]


@final
class ServerReports:
    """Asks each server in turn, spread over the interval.

    Servers of keyed services are left out: the renewal of their grants asks them
    far more often.
    """

    def __init__(
        self,
        *,
        control: BackendControl,
        clock: IReactorTime,
        rng: Random,
        on_report: OnReport,
    ) -> None:
        self.latest: dict[str, ServerReport] = {}
        self._control = control
        self._clock = clock
        self._rng = rng
        self._on_report = on_report
        self._servers: dict[str, BackendServer] = {}
        self._due_s: dict[str, float] = {}
        self._asking: set[str] = set()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the servers to ask; new ones are asked soon, at a time of their own."""
        self._servers = {server.id: server for server in servers}
        now_s = self._clock.seconds()
        self._due_s = {
            name: self._due_s.get(name, now_s + self._rng.uniform(0, REPORT_INTERVAL_S))
            for name in self._servers
        }

    def tick(self) -> None:
        """Ask the servers that are due."""
        now_s = self._clock.seconds()
        for name, due_s in self._due_s.items():
            if now_s >= due_s and name not in self._asking:
                self._due_s[name] = now_s + REPORT_INTERVAL_S
                self._asking.add(name)
                Deferred.fromCoroutine(self._ask(self._servers[name]))

    async def _ask(self, server: BackendServer) -> None:
        try:
            report = await self._control.report(server)
        except GentianwharfError:
            # A silent server is found by its requests, much sooner than here.
            return
        finally:
            self._asking.discard(server.id)
        self.latest[server.id] = report
        self._on_report(server.id, report)
