"""Persistent connections to backend servers for orders, which have no id.

A server may send a response again, where the next one is expected. No such response may
make keys look free that a server holds:

- A response after which keys count as free, one of ``FREEING_STATUSES``, closes its
  connection, so that no copy of it can follow.
- Only responses to releases contain a handover, and each a different one. The response
  to a release on a connection that was used before has to contain one that did not
  arrive there yet, and the response to a grant none.
- A copy of a response to a grant can therefore pass for the response to another grant
  only. A grant that is lost or refused then looks accepted until the next renewal, and
  its keys are not served.
"""

from collections import defaultdict
from typing import Any, cast, final

from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web._newclient import Request as OrderRequest
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.http_agent import BytesBody, ip_endpoint

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 8.0
"""Less than the 10 s after which servers close an idle connection."""

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

MAX_HANDOVERS = 64
"""Releases after which a connection is closed; bounds the memory it takes."""


@final
class OrderConnections:
    """The connections to all servers, by their addresses."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor
        self._idle: dict[str, list[_OrderConnection]] = defaultdict(list)

    async def post(
        self, address: str, order: str, headers: dict[bytes, bytes], body: bytes
    ) -> tuple[int, str | None]:
        """Send a grant or a release; return the response's status and handover.

        Raises ``ConnectError`` if the server can't be reached, and
        ``OutcomeUnknownError`` if the response may be that to an earlier order.
        """
        connection = await self._acquire(address)
        try:
            response = await connection.send(order, headers, body)
            await readBody(response)
            values = response.headers.getRawHeaders(HANDOVER)
            handover = values[0] if values else None
            if not connection.accept_response(order, response.code, handover):
                raise OutcomeUnknownError(
                    f"expected the response to this {order}, got one that may be a"
                    " copy of an earlier response; it may have been carried out",
                    step=order,
                    peer=address,
                )
        except BaseException:
            connection.abort_now()
            raise
        if response.code in FREEING_STATUSES:
            connection.abort_now()
        else:
            self._keep(connection)
        return response.code, handover

    async def _acquire(self, address: str) -> "_OrderConnection":
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            connection.stop_idle_timer()
            if connection.is_usable:
                return connection
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


@final
class _OrderConnection(HTTP11ClientProtocol):
    """A connection that carries one order at a time."""

    def __init__(self, *, address: str, connections: OrderConnections) -> None:
        super().__init__()
        self.address = address
        self._connections = connections
        self._orders = 0
        self._handovers: set[str] = set()
        self._timer: Any = None

    @property
    def is_usable(self) -> bool:
        """Whether an order may be sent; bytes that arrive while it is idle close it."""
        return (
            self.state == "QUIESCENT"
            and not cast(Any, self.transport).disconnecting
            and len(self._handovers) < MAX_HANDOVERS
        )

    async def send(self, order: str, headers: dict[bytes, bytes], body: bytes) -> Any:
        """Send an order and return the response once its head has arrived."""
        self._orders += 1
        sent_headers = Headers({name: [value] for name, value in headers.items()})
        sent_headers.setRawHeaders(b"Host", [self.address.encode()])
        return await self.request(
            OrderRequest._construct(
                b"POST",
                f"/v1/{order}".encode(),
                sent_headers,
                BytesBody(body=body),
                True,
            )
        )

    def accept_response(self, order: str, status: int, handover: str | None) -> bool:
        """Record a response; return False if it may be a copy of an earlier one."""
        is_first = self._orders == 1
        is_new = handover is not None and handover not in self._handovers
        if handover is not None:
            self._handovers.add(handover)
        if is_first or status != STATUS_OK:
            return True
        return is_new if order == RELEASE else handover is None

    def start_idle_timer(self, reactor: Any) -> None:
        """Close the connection if it stays idle."""
        self._timer = reactor.callLater(IDLE_TIMEOUT_S, self.abort_now)

    def stop_idle_timer(self) -> None:
        """Do not close the connection while it is in use."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def abort_now(self) -> None:
        """Close the connection, so that the server discards an order in transit."""
        if self.transport is not None:
            cast(Any, self.transport).abortConnection()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection."""
        self.stop_idle_timer()
        self._connections.discard(self)
        super().connectionLost(reason)
