"""What backend servers accept from the router: grants, drain, health and load.

A server refuses a request for a shard unless it holds the shard under exactly the
request's token, and refuses a grant or a release whose token is below the highest
that it has seen for that shard. Both refusals prove that nothing was run.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol, final

from gentianwharf.topology import BackendServer


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """An order to own ``shards`` of a service, each under its fencing token.

    ``validity_s`` counts from ``server_stamp_s``, a reading of the server's own
    clock that it gave earlier; a server that gives no stamp ignores both. An order
    older than ``void_after_stamp_s`` on the same clock is void.
    """

    service: str
    giver: str
    term: int
    tokens: dict[int, int]
    validity_s: float
    server_stamp_s: float | None
    void_after_stamp_s: float | None


class GrantOutcome(StrEnum):
    """What a server said to a grant or a release."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    VOID = "void"
    LEAVING = "leaving"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """A server's own word on itself; health and load lag or mislead."""

    server: str
    stamp_s: float
    healthy: bool
    draining: bool
    cold: bool
    load: float
    held: dict[int, int]


class BackendControl(Protocol):
    """Orders to one backend server."""

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Give or renew shards."""

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Take shards back; answers once what ran for them is done.

        ``tokens`` fence each shard: the server takes no lower token again.
        """

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's health, load, stamp and held shards."""

    async def drain(self, server: BackendServer) -> None:
        """Tell the server that it is leaving."""
