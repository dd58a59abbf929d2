"""Draining servers are detected by their own reports."""

from random import Random

from twisted.internet.task import Clock

from gentianwharf.daemon._reports import REPORT_INTERVAL_S, ServerReports
from gentianwharf.errors import PeerUnavailableError
from gentianwharf.infra import Grant, GrantOutcome, ServerReport
from gentianwharf.topology import BackendServer
from tests.builders_relay import make_server


class Servers:
    """Backend servers that answer with a report, unless they are silent."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.silent: set[str] = set()
        self.draining: set[str] = set()

    async def report(self, server: BackendServer) -> ServerReport:
        self.requested.append(server.id)
        if server.id in self.silent:
            raise PeerUnavailableError("no answer", step="report", peer=server.id)
        return ServerReport(
            server=server.id,
            stamp_s=0.0,
            healthy=True,
            draining=server.id in self.draining,
            cold=False,
            load=0.0,
            held={},
        )

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        raise AssertionError(server)

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        raise AssertionError(server)

    async def drain(self, server: BackendServer) -> None:
        raise AssertionError(server)


def test_draining_server_is_reported_in_seconds_despite_a_silent_one() -> None:
    """Guards against new requests going to a server that is leaving.

    The platform's list still shows it as live, and a silent server must not keep the
    daemon from requesting the reports of the others.
    """
    clock, servers = Clock(), Servers()
    draining: dict[str, bool] = {}
    reports = ServerReports(
        control=servers,
        clock=clock,
        rng=Random(1),
        on_report=lambda name, report: draining.__setitem__(name, report.draining),
    )
    reports.set_servers([make_server(number, 1) for number in range(3)])
    servers.silent = {"s0"}
    servers.draining = {"s2"}
    for _ in range(30):
        clock.advance(REPORT_INTERVAL_S / 10)
        reports.tick()
    assert draining == {"s1": False, "s2": True}
    assert servers.requested.count("s0") >= 2
