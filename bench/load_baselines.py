"""The two baseline routers with which the gate is compared under load."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import final

from gentianwharf.load import (
    PROVES_NOT_RUN,
    Decision,
    Outcome,
    OutcomeKind,
    Refuse,
    RefuseReason,
    Start,
    Ticket,
)
from gentianwharf.topology import BackendServer, Service

RETRY_AFTER_S = 1.0


class _Baseline:
    """Common part: a table of servers, and one retry of a request that was not run."""

    def __init__(self, *, services: Iterable[Service]) -> None:
        self._servers = {service.name: list(service.servers) for service in services}
        self._in_flight: dict[str, int] = {}
        self._retried: set[str] = set()

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Choose a server, or refuse the request."""
        return self._start(ticket, None)

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Update the number of requests in flight."""
        if server is not None:
            self._in_flight[server] -= 1
        return []

    def retry(
        self, ticket: Ticket, after: OutcomeKind, now_s: float, avoid: str | None = None
    ) -> Decision:
        """Retry once, on another server, if the request was provably not run."""
        if after not in PROVES_NOT_RUN or ticket.id in self._retried:
            self._retried.discard(ticket.id)
            return _refuse(ticket)
        self._retried.add(ticket.id)
        return self._start(ticket, avoid)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Return no decisions: the baselines do not queue."""
        return []

    def tick(self, now_s: float) -> list[Decision]:
        """Return no decisions: the baselines have no timers."""
        return []

    def set_servers(
        self, service: str, servers: Sequence[BackendServer], now_s: float
    ) -> list[Decision]:
        """Replace the servers of a service."""
        self._servers[service] = list(servers)
        return []

    def _start(self, ticket: Ticket, avoid: str | None) -> Decision:
        server = ticket.server or self._choose(ticket.service, avoid)
        if server is None or not self._has_capacity(server):
            return _refuse(ticket)
        self._in_flight[server] = self._in_flight.get(server, 0) + 1
        return Start(ticket_id=ticket.id, server=server)

    def _choose(self, service: str, avoid: str | None) -> str | None:
        raise NotImplementedError

    def _has_capacity(self, server: str) -> bool:
        return True


def _refuse(ticket: Ticket) -> Refuse:
    return Refuse(
        ticket_id=ticket.id,
        reason=RefuseReason.OVERLOAD,
        retry_after_s=RETRY_AFTER_S,
    )


@final
class RoundRobin(_Baseline):
    """Round robin in order of arrival, without limits."""

    def __init__(self, *, services: Iterable[Service], rng: Random) -> None:
        super().__init__(services=services)
        # With the same first server, all hosts would send to the same server in turn.
        self._next = rng.randrange(1000)

    def _choose(self, service: str, avoid: str | None) -> str | None:
        servers = self._servers[service]
        self._next += 1
        return servers[self._next % len(servers)].id


@final
class LeastOutstanding(_Baseline):
    """Chooses the server with the fewest requests of this host, with a fixed limit.

    The limit for each server is its number of slots, the most that one host can use.
    """

    def __init__(self, *, services: Iterable[Service], rng: Random) -> None:
        services = list(services)
        super().__init__(services=services)
        self._rng = rng
        self._limit = services[0].servers[0].slots

    def _choose(self, service: str, avoid: str | None) -> str | None:
        servers = [server.id for server in self._servers[service] if server.id != avoid]
        if not servers:
            return None
        fewest = min(self._in_flight.get(server, 0) for server in servers)
        return self._rng.choice(
            [id_ for id_ in servers if self._in_flight.get(id_, 0) == fewest]
        )

    def _has_capacity(self, server: str) -> bool:
        return self._in_flight.get(server, 0) < self._limit
