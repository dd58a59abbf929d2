"""Control interface of backend servers: grants, releases, reports and drain.

A server refuses a request for a shard unless it holds the shard under exactly the
request's token. It refuses a grant or a release whose token is below the highest token
that it has received for that shard. Either refusal proves that nothing was executed.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final

from gentianwharf.topology import BackendServer


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """An order to own shards of a service; ``tokens`` maps each to its fencing token.

    ``validity_s`` counts from ``server_stamp_s``, a reading of the server's own clock
    from an earlier report; servers that report no stamp ignore both. The order is void
    if it arrives after ``void_after_stamp_s`` on the same clock.
    """

    service: str
    giver: str
    term: int
    tokens: dict[int, int]
    validity_s: float
    server_stamp_s: float | None
    void_after_stamp_s: float | None


class GrantOutcome(StrEnum):
    """A server's answer to a grant or a release."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    VOID = "void"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A server's report on itself; its health and load may be late or wrong."""

    server: str
    stamp_s: float
    healthy: bool
    draining: bool
    cold: bool
    load: float
    held: dict[int, int]


class BackendControl(Protocol):
    """The interface for orders to a backend server."""

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Grant shards or renew their grants."""

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Take shards back; returns once the requests in progress for them are done.

        ``tokens`` fences each shard: the server then accepts no lower token for it.
        """

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's health, load, stamp and held shards."""

    async def drain(self, server: BackendServer) -> None:
        """Notify the server that it is leaving."""
