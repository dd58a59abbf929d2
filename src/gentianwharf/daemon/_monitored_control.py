"""Health of the servers of keyed services, as observed by this host.

The gate derives the health of a server from the requests that it chose the server for.
A request of a keyed service goes to the owner of its key without that choice. By the
gate's state alone, such a server would be shown as active while it is dead or draining.
"""

from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar, final

from gentianwharf.infra import BackendControl, Grant, GrantOutcome, ServerReport
from gentianwharf.topology import BackendServer

UNANSWERED_TO_SUSPECT = 2
"""Consecutive calls or requests without an answer; a single one may be lost on the
network."""

Answer = TypeVar("Answer")


@final
class MonitoredControl:
    """Forwards calls to backend servers, and records whether they were answered.

    Only hosts of a server's own failure domain renew its grants. Other hosts record the
    outcome of the requests that they send to it (``record_outcome``).
    """

    def __init__(self, *, control: BackendControl) -> None:
        self._control = control
        self._unanswered: Counter[str] = Counter()
        self._draining: set[str] = set()

    def is_suspect(self, server: str) -> bool:
        """Whether the server left the last calls or requests unanswered."""
        return self._unanswered[server] >= UNANSWERED_TO_SUSPECT

    def is_draining(self, server: str) -> bool:
        """Whether the server reported that it is leaving, or was ordered to drain."""
        return server in self._draining

    def record_outcome(self, server: str, *, answered: bool) -> None:
        """Record whether a server answered a call or a request."""
        if answered:
            self._unanswered.pop(server, None)
        else:
            self._unanswered[server] += 1

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Grant shards to the server, or renew their grants."""
        return await self._monitored(server, self._control.grant(server, grant))

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Revoke shards; returns once the server's requests for them have ended."""
        # A release may last as long as the longest request, so a missing answer is no
        # sign of a dead server.
        return await self._control.release(server, service, tokens)

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's health, load, stamp and held shards."""
        report = await self._monitored(server, self._control.report(server))
        if report.draining:
            self._draining.add(server.id)
        else:
            self._draining.discard(server.id)
        return report

    async def drain(self, server: BackendServer) -> None:
        """Order the server to drain."""
        await self._monitored(server, self._control.drain(server))
        self._draining.add(server.id)

    async def _monitored(
        self, server: BackendServer, call: Awaitable[Answer]
    ) -> Answer:
        try:
            answer = await call
        except Exception:
            # Includes a cancellation by the caller's own, shorter time-out.
            self.record_outcome(server.id, answered=False)
            raise
        self.record_outcome(server.id, answered=True)
        return answer
