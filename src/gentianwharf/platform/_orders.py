"""Orders to backend servers: which keys they hold, and for how long."""

from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from gentianwharf.errors import (
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.http_agent import BytesBody, ip_agent
from gentianwharf.keyspace import Grant, Holder, HolderEndedError, Release

from ._header_codec import EXPECTED_INSTANCE
from ._units import encode_time

CONNECT_TIMEOUT_S = 0.5
IDLE_CONNECTION_S = 8.0
"""Below the time after which servers close an idle connection (10 s)."""

KEPT_CONNECTIONS = 2
"""One for grants, which are given in turn, and one for the release beside them."""

STATUS_OK = 200
STATUS_STALE = 409
"""The server has seen a higher fencing token on one of the keys."""

STATUS_ANOTHER = 421
"""Another server than the one that is meant has the address."""

HANDOVER = "handover"


@final
class ServerOrders:
    """Gives orders to backend servers over HTTP.

    ``PeerUnavailableError``: the server did not get the order. ``RefusedError``: it
    has seen a higher fencing token. ``HolderEndedError``: another server has the
    address. ``OutcomeUnknownError``: it may carry the order out, perhaps seconds later.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = KEPT_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S  # type: ignore[assignment]
        pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor, pool=pool, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def grant(self, holder: Holder, grant: Grant, *, timeout_s: float) -> None:
        """Give keys to a server, or renew what it has."""
        body: dict[str, Any] = {
            "from": grant.first,
            "target": grant.last,
            "fence": grant.token,
            "hold_time": encode_time(grant.duration_s),
        }
        if grant.handover is not None:
            body["handover"] = grant.handover
        await self._order(holder, "grant", body, timeout_s)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float
    ) -> str | None:
        """Take keys back; returns what their next owner needs to serve them fast.

        The server takes no new work for them at once, and answers when the work that
        was running has ended.
        """
        body = {
            "from": release.first,
            "target": release.last,
            "fence": release.token,
        }
        headers = await self._order(holder, "release", body, timeout_s)
        values = headers.getRawHeaders(HANDOVER)
        return values[0] if values else None

    async def _order(
        self, holder: Holder, step: str, body: dict[str, Any], timeout_s: float
    ) -> Headers:
        address = holder.address
        asked = Deferred.fromCoroutine(self._ask(holder, step, body))
        # Cancelling resets the connection: what is still on its way is dropped there.
        asked.addTimeout(timeout_s, self._reactor)
        try:
            status, headers = await asked
        except (ConnectError, ConnectingCancelledError) as error:
            raise PeerUnavailableError(
                f"can't connect: {type(error).__name__}", step=step, peer=address
            ) from error
        except Exception as error:
            raise OutcomeUnknownError(
                f"expected an answer within {timeout_s} s, got {type(error).__name__}",
                step=step,
                peer=address,
            ) from error
        if status == STATUS_ANOTHER:
            raise HolderEndedError(
                f"another server has the address of {holder.server_id}",
                step=step,
                peer=address,
            )
        if status == STATUS_STALE:
            raise RefusedError(
                "the server has seen a higher token", step=step, peer=address
            )
        if status != STATUS_OK:
            raise PeerMismatchError(
                f"expected 200 or 409, got {status}", step=step, peer=address
            )
        return headers

    async def _ask(
        self, holder: Holder, step: str, body: dict[str, Any]
    ) -> tuple[int, Headers]:
        response = await self._agent.request(
            b"POST",
            f"http://{holder.address}/v1/{step}".encode(),
            Headers(
                {
                    b"Content-Type": [b"application/json"],
                    # The address may have passed to another server of the service,
                    # which must not get its predecessor's keys.
                    EXPECTED_INSTANCE: [holder.server_id.encode()],
                }
            ),
            BytesBody(body=msgspec.json.encode(body)),
        )
        await readBody(response)
        return response.code, response.headers
