"""The simplest deciding parts: fixed owners, least outstanding requests."""

from collections import Counter
from collections.abc import Mapping
from typing import final

import xxhash

from gentianwharf.relay import Outcome, Owner, Problem, Run, Ticket
from gentianwharf.topology import BackendServer, Service


def _rendezvous(service: Service, shard: int) -> BackendServer:
    return max(
        service.servers,
        key=lambda server: xxhash.xxh3_64_intdigest(f"{server.id}/{shard}".encode()),
    )


@final
class FixedOwnership:
    """Every shard stands where rendezvous hashing puts it, and never moves."""

    def __init__(self, *, services: Mapping[str, Service]) -> None:
        self._owners = {
            name: [_rendezvous(service, shard) for shard in range(service.shards)]
            for name, service in services.items()
        }

    async def owner(self, ticket: Ticket) -> Owner:
        """Return the owner."""
        assert ticket.shard is not None
        server = self._owners[ticket.service][ticket.shard]
        return Owner(server=server, token=1, deadline_s=ticket.deadline_s)

    def not_owner(self, ticket: Ticket, owner: Owner) -> None:
        """Ignore the refusal: there is no other owner."""


@final
class LeastOutstanding:
    """Sends to the server with the fewest requests in flight from here."""

    def __init__(self, *, services: Mapping[str, Service]) -> None:
        self._services = services
        self._outstanding: Counter[str] = Counter()

    async def admit(self, ticket: Ticket, owner: BackendServer | None) -> BackendServer:
        """Return the owner, or the server with the fewest requests."""
        servers = self._services[ticket.service].servers
        if not servers:
            raise Problem(status=503, title="no server", run=Run.NOT_RUN)
        server = owner or min(servers, key=lambda one: self._outstanding[one.id])
        self._outstanding[server.id] += 1
        return server

    def finished(
        self, ticket: Ticket, server: BackendServer, outcome: Outcome, elapsed_s: float
    ) -> None:
        """Count the request out."""
        self._outstanding[server.id] -= 1

    def may_retry(self, ticket: Ticket) -> bool:
        """Allow every retry that the relay thinks safe."""
        return True
