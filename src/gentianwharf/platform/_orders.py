"""HTTP client for granting keys to backend servers and releasing them."""

from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError

from gentianwharf.errors import (
    OutcomeUnknownError,
    PeerMismatchError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import (
    Grant,
    Holder,
    HolderEndedError,
    MaySend,
    OrderWithheldError,
    Release,
)
from gentianwharf.statuses import error_text

from ._header_codec import EXPECTED_INSTANCE
from ._order_connections import (
    RELEASE,
    STATUS_OK,
    STATUS_OTHER_SERVER,
    STATUS_STALE_TOKEN,
    OrderConnections,
    OrderResponse,
)
from ._units import encode_time


@final
class ServerOrders:
    """Sends orders to backend servers over HTTP.

    The methods raise ``PeerUnavailableError`` if the server did not receive the order,
    ``RefusedError`` if it has seen a higher fencing token, ``HolderEndedError`` if
    another server has the address, ``OrderWithheldError`` if ``may_send`` did not allow
    the order, ``PeerMismatchError`` for an unexpected status, and
    ``OutcomeUnknownError`` if the server may carry the order out, perhaps seconds
    later.
    """

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._connections = OrderConnections(reactor=reactor)

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Grant keys to a server, or renew its grant."""
        body: dict[str, Any] = {
            "from": grant.first,
            "target": grant.last,
            "fence": grant.token,
            "hold_time": encode_time(grant.duration_s),
        }
        if grant.handover is not None:
            body["handover"] = grant.handover
        await self._send_order(holder, "grant", body, timeout_s, may_send)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
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
        return await self._send_order(holder, RELEASE, body, timeout_s, may_send)

    async def _send_order(
        self,
        holder: Holder,
        step: str,
        body: dict[str, Any],
        timeout_s: float,
        may_send: MaySend,
    ) -> str | None:
        address = holder.address
        pending = Deferred.fromCoroutine(self._post(holder, step, body, may_send))
        # Cancellation resets the connection, so the server discards an order that is
        # still in transit.
        pending.addTimeout(timeout_s, self._reactor)
        try:
            response = await pending
        except (ConnectError, ConnectingCancelledError) as error:
            raise PeerUnavailableError(
                f"can't connect: {type(error).__name__}", step=step, peer=address
            ) from error
        except (OutcomeUnknownError, OrderWithheldError):
            raise
        except Exception as error:
            raise OutcomeUnknownError(
                f"expected a response within {timeout_s} s, got {error_text(error)}",
                step=step,
                peer=address,
            ) from error
        status = response.status
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
        return response.handover

    async def _post(
        self, holder: Holder, step: str, body: dict[str, Any], may_send: MaySend
    ) -> OrderResponse:
        headers = {
            b"Content-Type": b"application/json",
            # The address may have been reassigned to another server of the service,
            # which must not receive its predecessor's keys.
            EXPECTED_INSTANCE: holder.server_id.encode(),
        }
        return await self._connections.post(
            holder.address, step, headers, msgspec.json.encode(body), may_send
        )
