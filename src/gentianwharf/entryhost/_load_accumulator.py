"""Requests for keys and load of servers that a host observes between two reports."""

from typing import final

from gentianwharf.relay import ServerLoad, ServerNotice
from gentianwharf.topology import BackendServer

from ._peer_messages import LoadReport, Notices, ServerNoticeReport

Requests = dict[str, dict[int, int]]
"""Number of requests by service and shard."""

Loads = dict[str, dict[str, LoadReport]]
"""Load reported in answers, by service and server."""


@final
class LoadAccumulator:
    """Counts requests by shard, and adds up the load that servers report."""

    def __init__(self) -> None:
        self._requests: Requests = {}
        self._loads: Loads = {}
        self._notices: Notices = {}

    def collect(self) -> tuple[Requests, Loads, Notices]:
        """Return the observations since the last call."""
        observed = self._requests, self._loads, self._notices
        self._requests, self._loads, self._notices = {}, {}, {}
        return observed

    def note_notice(self, server: BackendServer, notice: ServerNotice) -> None:
        """Add what a server stated to the next report, in place of earlier notices."""
        self._notices[server.id] = ServerNoticeReport(
            notice.max_requests_per_s, notice.is_leaving
        )

    def note_request(self, service: str, shard: int) -> None:
        """Count a request for the next report."""
        counts = self._requests.setdefault(service, {})
        counts[shard] = counts.get(shard, 0) + 1

    def note_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        """Add the load that a server reported to the next report.

        ``elapsed_s`` is how long the answer took, None for a refusal.
        """
        report = self._load_report(server)
        report.running += load.running
        report.waiting += load.waiting
        report.answers += 1
        if elapsed_s is None:
            return
        report.executed += 1
        if not load.waiting:
            report.unqueued += 1
            # A machine's slowdown passes within a second and is no part of its speed.
            report.unqueued_s += elapsed_s / (load.slowdown or 1.0)

    def note_unanswered(self, server: BackendServer) -> None:
        """Add a request that timed out without an answer to the next report."""
        self._load_report(server).unanswered += 1

    def _load_report(self, server: BackendServer) -> LoadReport:
        loads = self._loads.setdefault(server.service, {})
        return loads.setdefault(
            server.id, LoadReport(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
        )
