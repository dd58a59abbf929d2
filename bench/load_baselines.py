"""The two baselines that the decisions under load are measured against."""

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
    """What both share: a table of servers, and one retry of what did not run."""

    def __init__(self, *, services: Iterable[Service]) -> None:
        self._servers = {one.name: list(one.servers) for one in services}
        self._in_flight: dict[str, int] = {}
        self._retried: set[str] = set()

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Choose a server, or refuse."""
        return self._start(ticket, None)

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Count."""
        if server is not None:
            self._in_flight[server] -= 1
        return []

    def retry(
        self, ticket: Ticket, after: OutcomeKind, now_s: float, avoid: str | None = None
    ) -> Decision:
        """Send once more, to another server, what proved not to have run."""
        if after not in PROVES_NOT_RUN or ticket.id in self._retried:
            self._retried.discard(ticket.id)
            return _refuse(ticket)
        self._retried.add(ticket.id)
        return self._start(ticket, avoid)

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Nothing waits here."""
        return []

    def tick(self, now_s: float) -> list[Decision]:
        """Nothing is due here."""
        return []

    def set_servers(
        self, service: str, servers: Sequence[BackendServer], now_s: float
    ) -> list[Decision]:
        """Use these servers from now on."""
        self._servers[service] = list(servers)
        return []

    def _start(self, ticket: Ticket, avoid: str | None) -> Decision:
        server = ticket.server or self._choose(ticket.service, avoid)
        if server is None or not self._has_room(server):
            return _refuse(ticket)
        self._in_flight[server] = self._in_flight.get(server, 0) + 1
        return Start(ticket_id=ticket.id, server=server)

    def _choose(self, service: str, avoid: str | None) -> str | None:
        raise NotImplementedError

    def _has_room(self, server: str) -> bool:
        return True


def _refuse(ticket: Ticket) -> Refuse:
    return Refuse(
        ticket_id=ticket.id,
        reason=RefuseReason.OVERLOAD,
        retry_after_s=RETRY_AFTER_S,
    )


@final
class RoundRobin(_Baseline):
    """First come, first served, round robin, no limits."""

    def __init__(self, *, services: Iterable[Service], rng: Random) -> None:
        super().__init__(services=services)
        # Hosts that all begin with the same server would stay in step.
        self._next = rng.randrange(1000)

    def _choose(self, service: str, avoid: str | None) -> str | None:
        servers = self._servers[service]
        self._next += 1
        return servers[self._next % len(servers)].id


@final
class LeastOutstanding(_Baseline):
    """The server with the fewest of this host's requests, with a fixed limit each.

    The limit is the number of slots: the most that one host can use of a server.
    """

    def __init__(self, *, services: Iterable[Service], rng: Random) -> None:
        services = list(services)
        super().__init__(services=services)
        self._rng = rng
        self._limit = services[0].servers[0].slots

    def _choose(self, service: str, avoid: str | None) -> str | None:
        servers = [one.id for one in self._servers[service] if one.id != avoid]
        if not servers:
            return None
        fewest = min(self._in_flight.get(one, 0) for one in servers)
        return self._rng.choice(
            [one for one in servers if self._in_flight.get(one, 0) == fewest]
        )

    def _has_room(self, server: str) -> bool:
        return self._in_flight.get(server, 0) < self._limit
