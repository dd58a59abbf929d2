"""Periodic collection of the backend servers' reports.

A server that drains or starts cold reports it before the platform's list shows it.
Reports lag and may be wrong, so the gate uses them as hints only, except for
"draining", which it always follows.
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
    """Requests each server's report, at times spread over the interval.

    Servers of keyed services are left out, since the renewal of their grants requests
    their reports far more often.
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
        self._in_flight: set[str] = set()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Set the servers to request reports from.

        The first report of a new server is due at a random time within one interval.
        """
        self._servers = {server.id: server for server in servers}
        now_s = self._clock.seconds()
        self._due_s = {
            name: self._due_s.get(name, now_s + self._rng.uniform(0, REPORT_INTERVAL_S))
            for name in self._servers
        }

    def tick(self) -> None:
        """Request the reports that are due."""
        now_s = self._clock.seconds()
        for name, due_s in self._due_s.items():
            if now_s >= due_s and name not in self._in_flight:
                self._due_s[name] = now_s + REPORT_INTERVAL_S
                self._in_flight.add(name)
                Deferred.fromCoroutine(self._request_report(self._servers[name]))

    async def _request_report(self, server: BackendServer) -> None:
        try:
            report = await self._control.report(server)
        except GentianwharfError:
            # The gate detects a silent server by its requests, much sooner.
            return
        finally:
            self._in_flight.discard(server.id)
        self.latest[server.id] = report
        self._on_report(server.id, report)
