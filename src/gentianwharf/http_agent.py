"""HTTP client that connects to IP addresses only and starts no thread."""

from collections.abc import Callable
from ipaddress import IPv6Address, ip_address
from typing import Any, cast, final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IConsumer, IStreamClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS
from twisted.web.client import URI, Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgent, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from gentianwharf.errors import InputError
from gentianwharf.statuses import check_statuses

__all__ = ["BodyReader", "BytesBody", "ip_agent", "ip_endpoint"]

MAX_RESPONSE_HEAD_BYTES = 65_536

Reactor = Any
"""An ``IReactorTCP`` and ``IReactorTime``; zope interfaces have no intersection
type."""

EndpointWrapper = Callable[[IStreamClientEndpoint], Any]


@final
@implementer(IAgentEndpointFactory)
class _IpEndpoints:
    """Creates endpoints for IP addresses only.

    Twisted resolves host names in a thread pool, and passes IP addresses through it
    too. This project is single-threaded, and its settings contain IP addresses only.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        connect_timeout_s: float,
        wrap_endpoint: EndpointWrapper,
    ) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._wrap_endpoint = wrap_endpoint

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint for an address."""
        endpoint = ip_endpoint(
            reactor=self._reactor,
            host=uri.host.decode("ascii"),
            port=uri.port,
            connect_timeout_s=self._connect_timeout_s,
        )
        return _CheckedHeads(endpoint=self._wrap_endpoint(endpoint))


def ip_endpoint(
    *, reactor: Reactor, host: str, port: int, connect_timeout_s: float
) -> IStreamClientEndpoint:
    """Return the endpoint for an IP address, in brackets or not.

    Raises ``InputError`` if ``host`` is a name.
    """
    host = host.strip("[]")
    try:
        address = ip_address(host)
    except ValueError:
        raise InputError(
            f"expected an IP number, got {host!r}: host names are not looked up",
            step="connect",
            peer=host,
        ) from None
    kind = (
        TCP6ClientEndpoint if isinstance(address, IPv6Address) else TCP4ClientEndpoint
    )
    return kind(reactor, host, port, timeout=connect_timeout_s)


def ip_agent(
    *,
    reactor: Reactor,
    pool: HTTPConnectionPool,
    connect_timeout_s: float,
    wrap_endpoint: EndpointWrapper = lambda endpoint: endpoint,
) -> IAgent:
    """Return an HTTP agent that connects to IP addresses only and starts no thread.

    ``wrap_endpoint`` may replace each endpoint by one that connects differently.
    """
    endpoints = _IpEndpoints(
        reactor=reactor,
        connect_timeout_s=connect_timeout_s,
        wrap_endpoint=wrap_endpoint,
    )
    return cast(IAgent, Agent.usingEndpointFactory(reactor, endpoints, pool))


@final
@implementer(IStreamClientEndpoint)
class _CheckedHeads:
    """An endpoint whose connections accept only valid heads of a limited size.

    A connection is closed after a response with an invalid status, or once the head is
    too large: Twisted limits the length of a line, but not the number of lines or of
    informational responses.
    """

    def __init__(self, *, endpoint: IStreamClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Deferred[Any]:
        """Connect, and check the heads of the responses."""
        return self._endpoint.connect(factory).addCallback(_check_heads)


def _check_heads(protocol: Any) -> Any:
    receive = protocol.dataReceived
    head_bytes = 0

    def data_received(data: bytes) -> None:
        nonlocal head_bytes
        check_statuses(protocol)
        receive(data)
        parser = getattr(protocol, "_parser", None)
        if parser is None or parser.state not in (STATUS, HEADER):
            head_bytes = 0
            return
        head_bytes += len(data)
        if head_bytes > MAX_RESPONSE_HEAD_BYTES:
            protocol.transport.abortConnection()

    protocol.dataReceived = data_received
    return protocol


@final
@implementer(IBodyProducer)
class BytesBody:
    """Writes a small request body at once.

    treq's own producer is scheduled on the global reactor instead of the given one.
    """

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body has already been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body has already been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body has already been written."""


@final
class BodyReader(Protocol):
    """Collects a response body; cancelling ``done`` closes the connection.

    Once there are more than ``max_bytes``, ``done`` fails with the result of
    ``size_error``, which gets the number of received bytes. ``on_chunk`` is called for
    each chunk.

    A body without a stated length or final chunk ends when its connection closes. Its
    truncation is detected only when decoding it fails.
    """

    has_stated_end = True
    """Whether the end of the body was marked, so that it is known to be complete."""

    def __init__(
        self,
        *,
        max_bytes: int,
        size_error: Callable[[int], Exception],
        on_chunk: Callable[[], None] = lambda: None,
    ) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self._close())
        self._max_bytes = max_bytes
        self._size_error = size_error
        self._on_chunk = on_chunk
        self._chunks: list[bytes] = []
        self._received_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk; fail if the body is too large."""
        if self.done.called:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self._max_bytes:
            self._close()
            self.done.errback(self._size_error(self._received_bytes))
            return
        self._chunks.append(data)
        self._on_chunk()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire ``done`` with the body, or with the failure that ended it."""
        if self.done.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.has_stated_end = reason.check(ResponseDone) is not None
            self.done.callback(b"".join(self._chunks))
        else:
            self.done.errback(reason)

    def _close(self) -> None:
        # The rest of a cancelled response would compete with the next one for the link.
        # The body's transport has no method to abort the connection.
        self._chunks.clear()
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
