"""How the servers of keyed services do, as this host sees it.

The gate judges servers by the requests that it chooses them for. A keyed service's
request goes to its owner whatever the gate thinks, so that these servers looked active
to the operator while they were dead or draining.
"""

from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar, final

from gentianwharf.infra import BackendControl, Grant, GrantOutcome, ServerReport
from gentianwharf.topology import BackendServer

UNANSWERED_TO_SUSPECT = 2
"""In a row; one may be lost on its way."""

Answer = TypeVar("Answer")


@final
class MonitoredControl:
    """Passes orders on, and remembers what servers made of them.

    Only hosts of a server's own failure domain renew its grants; others know of it by
    the requests that they send (``note``).
    """

    def __init__(self, *, control: BackendControl) -> None:
        self._control = control
        self._unanswered: Counter[str] = Counter()
        self._draining: set[str] = set()

    def is_suspect(self, server: str) -> bool:
        """Whether the server left the last orders or requests unanswered."""
        return self._unanswered[server] >= UNANSWERED_TO_SUSPECT

    def is_draining(self, server: str) -> bool:
        """Whether the server said itself that it is leaving."""
        return server in self._draining

    def record_outcome(self, server: str, *, answered: bool) -> None:
        """Note whether a server answered, a request for instance."""
        if answered:
            self._unanswered.pop(server, None)
        else:
            self._unanswered[server] += 1

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Give or renew shards."""
        return await self._monitored(server, self._control.grant(server, grant))

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Take shards back; answers once what ran for them is done."""
        # A release takes as long as the longest request: its silence tells nothing.
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
        """Tell the server that it is leaving."""
        await self._monitored(server, self._control.drain(server))
        self._draining.add(server.id)

    async def _monitored(
        self, server: BackendServer, call: Awaitable[Answer]
    ) -> Answer:
        try:
            answer = await call
        except Exception:
            # Also when the caller's own, shorter limit cancelled it.
            self.record_outcome(server.id, answered=False)
            raise
        self.record_outcome(server.id, answered=True)
        return answer
