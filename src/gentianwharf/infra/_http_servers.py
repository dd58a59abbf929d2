"""Orders to backend servers as JSON over HTTP, sent to each server's address."""

from typing import final

from pydantic import BaseModel, TypeAdapter

from gentianwharf.topology import BackendServer

from ._http import Answer, HttpAdapter, Reactor
from ._servers import Grant, GrantOutcome, ServerReport
from .wire import Nothing, OutcomeAnswer, ReleaseRequest

ORDERS_PATH = "/_gentianwharf/"

ORDER_TIMEOUT_S = 0.5
"""A server that takes longer is slow or frozen. Grants are renewed several times a
second, so the next attempt follows soon."""

RELEASE_TIMEOUT_S = 30.0
"""A release is answered when the requests in progress for the shards are done, which
takes at most one request deadline."""

_GRANT = TypeAdapter(Grant)
_OUTCOME = TypeAdapter(OutcomeAnswer)
_REPORT = TypeAdapter(ServerReport)
_NOTHING = TypeAdapter(Nothing)


@final
class HttpBackendControl(HttpAdapter):
    """A ``BackendControl`` over HTTP."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        order_timeout_s: float = ORDER_TIMEOUT_S,
        release_timeout_s: float = RELEASE_TIMEOUT_S,
    ) -> None:
        super().__init__(reactor=reactor, call_timeout_s=order_timeout_s)
        self._release_timeout_s = release_timeout_s

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Grant shards or renew their grants."""
        body = _GRANT.dump_json(grant)
        return (await self._order(server, "grant", body, _OUTCOME)).outcome

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Take shards back; returns once the requests in progress for them are done."""
        body = ReleaseRequest(service=service, tokens=tokens)
        answer = await self._order(
            server, "release", body, _OUTCOME, timeout_s=self._release_timeout_s
        )
        return answer.outcome

    async def report(self, server: BackendServer) -> ServerReport:
        """Return the server's health, load, stamp and held shards."""
        return await self._order(server, "report", Nothing(), _REPORT)

    async def drain(self, server: BackendServer) -> None:
        """Notify the server that it is leaving."""
        await self._order(server, "drain", Nothing(), _NOTHING)

    async def _order(
        self,
        server: BackendServer,
        name: str,
        body: BaseModel | bytes,
        answer: TypeAdapter[Answer],
        *,
        timeout_s: float | None = None,
    ) -> Answer:
        return await self._send(
            f"server {name}",
            server.address,
            ORDERS_PATH + name,
            body,
            answer,
            timeout_s=timeout_s,
        )
