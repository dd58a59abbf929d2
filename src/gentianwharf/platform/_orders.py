"""HTTP client for granting keys to backend servers and releasing them."""

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
IDLE_TIMEOUT_S = 8.0
"""Less than the 10 s after which servers close an idle connection."""

MAX_IDLE_CONNECTIONS = 2
"""One connection for grants, which are sent one at a time, and one for a release."""

STATUS_OK = 200
STATUS_STALE_TOKEN = 409
"""The server has seen a higher fencing token on one of the keys."""

STATUS_OTHER_SERVER = 421
"""The address belongs to a server other than the expected one."""

HANDOVER = "handover"


@final
class ServerOrders:
    """Sends orders to backend servers over HTTP.

    The methods raise ``PeerUnavailableError`` if the server did not receive the order,
    ``RefusedError`` if it has seen a higher fencing token, ``HolderEndedError`` if
    another server has the address, ``PeerMismatchError`` for an unexpected status, and
    ``OutcomeUnknownError`` if the server may carry the order out, perhaps seconds
    later.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S  # type: ignore[assignment]
        pool.retryAutomatically = False
        self._agent = ip_agent(
            reactor=reactor, pool=pool, connect_timeout_s=CONNECT_TIMEOUT_S
        )

    async def grant(self, holder: Holder, grant: Grant, *, timeout_s: float) -> None:
        """Grant keys to a server, or renew its grant."""
        body: dict[str, Any] = {
            "from": grant.first,
            "target": grant.last,
            "fence": grant.token,
            "hold_time": encode_time(grant.duration_s),
        }
        if grant.handover is not None:
            body["handover"] = grant.handover
        await self._send_order(holder, "grant", body, timeout_s)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float
    ) -> str | None:
        """Release keys; return the handover value for their next owner, if any.

        The next owner can serve the keys faster with that value. The server refuses
        new requests for the keys at once, and responds when the running ones have
        ended.
        """
        body = {
            "from": release.first,
            "target": release.last,
            "fence": release.token,
        }
        headers = await self._send_order(holder, "release", body, timeout_s)
        values = headers.getRawHeaders(HANDOVER)
        return values[0] if values else None

    async def _send_order(
        self, holder: Holder, step: str, body: dict[str, Any], timeout_s: float
    ) -> Headers:
        address = holder.address
        pending = Deferred.fromCoroutine(self._post(holder, step, body))
        # Cancellation resets the connection, so the server discards an order that is
        # still in transit.
        pending.addTimeout(timeout_s, self._reactor)
        try:
            status, headers = await pending
        except (ConnectError, ConnectingCancelledError) as error:
            raise PeerUnavailableError(
                f"can't connect: {type(error).__name__}", step=step, peer=address
            ) from error
        except Exception as error:
            raise OutcomeUnknownError(
                f"expected a response within {timeout_s} s, got {type(error).__name__}",
                step=step,
                peer=address,
            ) from error
        if status == STATUS_OTHER_SERVER:
            raise HolderEndedError(
                f"the address of {holder.server_id} belongs to another server",
                step=step,
                peer=address,
            )
        if status == STATUS_STALE_TOKEN:
            raise RefusedError(
                "the server has seen a higher fencing token", step=step, peer=address
            )
        if status != STATUS_OK:
            raise PeerMismatchError(
                f"expected status 200, 409 or 421, got {status}",
                step=step,
                peer=address,
            )
        return headers

    async def _post(
        self, holder: Holder, step: str, body: dict[str, Any]
    ) -> tuple[int, Headers]:
        response = await self._agent.request(
            b"POST",
            f"http://{holder.address}/v1/{step}".encode(),
            Headers(
                {
                    b"Content-Type": [b"application/json"],
                    # The address may have been reassigned to another server of the
                    # service, which must not receive its predecessor's keys.
                    EXPECTED_INSTANCE: [holder.server_id.encode()],
                }
            ),
            BytesBody(body=msgspec.json.encode(body)),
        )
        await readBody(response)
        return response.code, response.headers
