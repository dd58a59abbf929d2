"""Persistent connections to backend servers for orders, which have no id.

A server may send a response again, where the next one is expected. The response that
follows is then read as that to the next order. Nothing of this may make keys look free
that a server holds:

- On a connection that was used before, a response after which keys count as free is not
  believed: one of ``FREEING_STATUSES``, and the response to a release, unless it
  contains a handover that did not arrive there yet, and no earlier release is without
  its own. Only responses to releases contain a handover, and each a different one. The
  order is sent once more, on a new connection.
- Any other response may be that to an earlier order. A grant that is lost or refused
  then looks accepted until the next renewal, and its keys are not served.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any, cast, final

from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web._newclient import Request as OrderRequest
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.http_agent import BytesBody, ip_endpoint
from gentianwharf.keyspace import MAX_DELIVERY_S, MaySend, OrderWithheldError
from gentianwharf.sockets import limit_delivery_time
from gentianwharf.statuses import check_statuses

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 8.0
"""Less than the 10 s after which servers close an idle connection."""

DELIVERY_TIMEOUT_S = MAX_DELIVERY_S
"""Time after which the kernel discards an order that has not been acknowledged."""

MAX_IDLE_CONNECTIONS = 2
"""To one server: for grants, which are sent one at a time, and for a release."""

STATUS_OK = 200
STATUS_STALE_TOKEN = 409
"""The server has seen a higher fencing token on one of the keys."""

STATUS_OTHER_SERVER = 421
"""The address belongs to a server other than the expected one."""

FREEING_STATUSES = frozenset({STATUS_STALE_TOKEN, STATUS_OTHER_SERVER})

RELEASE = "release"
HANDOVER = "handover"

MAX_RESPONSE_BYTES = 65_536
"""Head and body of the response to an order, which have some hundred bytes."""

MAX_HANDOVERS = 64
"""Releases after which a connection is closed; bounds the memory it takes."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class OrderResponse:
    """A response to an order; ``handover`` is None if it contains none."""

    status: int
    handover: str | None


@final
class OrderConnections:
    """The connections to all servers, by their addresses."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._idle: dict[str, list[_OrderConnection]] = defaultdict(list)

    async def post(
        self,
        address: str,
        order: str,
        headers: dict[bytes, bytes],
        body: bytes,
        may_send: MaySend,
    ) -> OrderResponse:
        """Send a grant or a release, both of which may be repeated.

        Raises ``ConnectError`` if the server can't be reached, ``OrderWithheldError``
        if ``may_send`` does not allow the order, and ``OutcomeUnknownError`` if either
        prevents the order from being sent again after a response that may be a copy.
        """
        connection = self._idle_connection(address)
        if connection is None:
            connection = await self._connect_if_allowed(address, order, may_send)
        elif not may_send(on_new_connection=False):
            self._keep(connection)
            raise _withheld_error(address, order)
        response = await connection.send(order, headers, body)
        if not connection.accept(order, response):
            connection.abort_now()
            try:
                connection = await self._connect_if_allowed(address, order, may_send)
            except (
                ConnectError,
                ConnectingCancelledError,
                OrderWithheldError,
            ) as error:
                raise OutcomeUnknownError(
                    f"expected the response to this {order}, got one that may be a copy"
                    " of an earlier response, and can't send the order again; it may"
                    " have been carried out",
                    step=order,
                    peer=address,
                ) from error
            response = await connection.send(order, headers, body)
            connection.accept(order, response)
        if response.status in FREEING_STATUSES:
            connection.abort_now()
        else:
            self._keep(connection)
        return response

    def _idle_connection(self, address: str) -> "_OrderConnection | None":
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            connection.stop_idle_timer()
            if connection.is_usable:
                return connection
        return None

    async def _connect_if_allowed(
        self, address: str, order: str, may_send: MaySend
    ) -> "_OrderConnection":
        """Connect; check before and afterwards that the order may be sent."""
        if may_send(on_new_connection=True):
            connection = await self._connect(address)
            if may_send(on_new_connection=True):
                return connection
            connection.abort_now()
        raise _withheld_error(address, order)

    async def _connect(self, address: str) -> "_OrderConnection":
        host, _, port = address.rpartition(":")
        endpoint = ip_endpoint(
            reactor=self._reactor,
            host=host,
            port=int(port),
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        factory = Factory.forProtocol(
            lambda: _OrderConnection(address=address, connections=self)
        )
        factory.noisy = False
        return cast("_OrderConnection", await endpoint.connect(factory))

    def _keep(self, connection: "_OrderConnection") -> None:
        idle = self._idle[connection.address]
        if not connection.is_usable or len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.abort_now()
            return
        idle.append(connection)
        connection.start_idle_timer(self._reactor)

    def discard(self, connection: "_OrderConnection") -> None:
        """Remove a closed connection."""
        idle = self._idle[connection.address]
        if connection in idle:
            idle.remove(connection)
        if not idle:
            del self._idle[connection.address]


def _withheld_error(address: str, order: str) -> OrderWithheldError:
    return OrderWithheldError(
        f"expected permission to send this {order}, got none: this host no longer"
        " leads, has been without the store for too long, or needs a new connection"
        " while another host may lead",
        step=order,
        peer=address,
    )


@final
class _OrderConnection(HTTP11ClientProtocol):
    """A connection that carries one order at a time."""

    def __init__(self, *, address: str, connections: OrderConnections) -> None:
        super().__init__()
        self.address = address
        self._connections = connections
        self._orders = 0
        self._handovers: set[str] = set()
        self._awaits_handover = False
        """Whether the response to a release may still arrive, after another one."""
        self._timer: Any = None
        self._response_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Limit the time in which an order may be delivered.

        Otherwise the kernel may deliver an order of a stopped or killed leader after a
        network partition, when the next leader assumes that its grants have expired.
        """
        super().connectionMade()
        limit_delivery_time(self.transport, timeout_s=DELIVERY_TIMEOUT_S)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data, and close the connection if the response is too large."""
        self._response_bytes += len(data)
        if self._response_bytes > MAX_RESPONSE_BYTES:
            self.abort_now()
            return
        super().dataReceived(data)

    @property
    def is_usable(self) -> bool:
        """Whether an order may be sent; bytes that arrive while it is idle close it."""
        return (
            self.state == "QUIESCENT"
            and not cast(Any, self.transport).disconnecting
            and len(self._handovers) < MAX_HANDOVERS
        )

    async def send(
        self, order: str, headers: dict[bytes, bytes], body: bytes
    ) -> OrderResponse:
        """Send an order; the connection is closed if no complete response arrives."""
        self._orders += 1
        self._response_bytes = 0
        sent_headers = Headers({name: [value] for name, value in headers.items()})
        sent_headers.setRawHeaders(b"Host", [self.address.encode()])
        request = OrderRequest._construct(
            b"POST",
            f"/v1/{order}".encode(),
            sent_headers,
            BytesBody(body=body),
            True,
        )
        try:
            pending = self.request(request)
            check_statuses(self)
            response = cast(Any, await pending)
            await readBody(response)
        except BaseException:
            self.abort_now()
            raise
        values = response.headers.getRawHeaders(HANDOVER)
        return OrderResponse(
            status=response.code, handover=values[0] if values else None
        )

    def accept(self, order: str, response: OrderResponse) -> bool:
        """Record a response; return False if it may be that to an earlier order."""
        handover = response.handover
        is_new = handover is not None and handover not in self._handovers
        if handover is not None:
            self._handovers.add(handover)
        if self._orders == 1:
            return True
        if response.status in FREEING_STATUSES:
            return False
        if response.status == STATUS_OK and order == RELEASE:
            return is_new and not self._awaits_handover
        self._awaits_handover |= order == RELEASE
        return handover is None

    def start_idle_timer(self, reactor: Any) -> None:
        """Close the connection if it stays idle."""
        self._timer = reactor.callLater(IDLE_TIMEOUT_S, self.abort_now)

    def stop_idle_timer(self) -> None:
        """Do not close the connection while it is in use."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def abort_now(self) -> None:
        """Close the connection, so that the server discards an order in transit.

        The event loop reports the closure later; no order may use the connection until
        then.
        """
        self._connections.discard(self)
        if self.transport is not None:
            cast(Any, self.transport).abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection."""
        self.stop_idle_timer()
        self._connections.discard(self)
        super().connectionLost(reason)
