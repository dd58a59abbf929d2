"""Orders to backend servers as JSON over HTTP to their own addresses."""

from typing import final

from pydantic import TypeAdapter

from gentianwharf.topology import BackendServer

from ._http import Call, JsonCaller, Reactor
from ._servers import Grant, GrantOutcome, ServerReport
from .wire import Nothing, OutcomeAnswer, ReleaseRequest, encode

ORDERS_PATH = "/_gentianwharf/"

ORDER_TIMEOUT_S = 0.5
"""A server that takes longer for an order is slow or frozen; its grants are renewed
several times a second, so that the next try is near."""

RELEASE_TIMEOUT_S = 30.0
"""A release answers when what ran for the shards is done, at most one deadline."""

_GRANT = TypeAdapter(Grant)
_OUTCOME = TypeAdapter(OutcomeAnswer)
_REPORT = TypeAdapter(ServerReport)
_NOTHING = TypeAdapter(Nothing)


@final
class HttpBackendControl:
    """A ``BackendControl`` over HTTP."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        order_timeout_s: float = ORDER_TIMEOUT_S,
        release_timeout_s: float = RELEASE_TIMEOUT_S,
    ) -> None:
        self._caller = JsonCaller(reactor=reactor, connect_timeout_s=order_timeout_s)
        self._order_timeout_s = order_timeout_s
        self._release_timeout_s = release_timeout_s

    async def close(self) -> None:
        """Close the kept connections."""
        await self._caller.close()

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Give or renew shards."""
        call = self._call(server, "grant", _GRANT.dump_json(grant))
        return (await self._caller.post(call, _OUTCOME)).outcome

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Take shards back; answers once what ran for them is done."""
        body = encode(ReleaseRequest(service=service, tokens=tokens))
        call = self._call(server, "release", body, timeout_s=self._release_timeout_s)
        return (await self._caller.post(call, _OUTCOME)).outcome

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's health, load, stamp and held shards."""
        call = self._call(server, "report", encode(Nothing()))
        return await self._caller.post(call, _REPORT)

    async def drain(self, server: BackendServer) -> None:
        """Tell the server that it is leaving."""
        call = self._call(server, "drain", encode(Nothing()))
        await self._caller.post(call, _NOTHING)

    def _call(
        self,
        server: BackendServer,
        name: str,
        body: bytes,
        *,
        timeout_s: float | None = None,
    ) -> Call:
        return Call(
            step=f"server {name}",
            peer=server.address,
            path=ORDERS_PATH + name,
            body=body,
            timeout_s=self._order_timeout_s if timeout_s is None else timeout_s,
        )
