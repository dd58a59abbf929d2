"""Queries backend servers for their load at the moment."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import Response
from twisted.web.http_headers import Headers

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.pauses import Timeout
from gentianwharf.topology import BackendServer

from ._connections import ServerConnection, ServerConnectionPool
from ._ports import NO_NOTICE, ServerLoad, ServerNotice

QUERY_TIMEOUT_S = 0.06
"""Several round trips between failure domains. A server that doesn't answer within this
time is left out."""

MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_S = 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class QueriedLoad:
    """What a server states about itself; ``load`` is None if it does not state it.

    ``path`` is the way that the query took.
    """

    load: ServerLoad | None
    cold_remaining_s: float
    notice: ServerNotice = NO_NOTICE
    path: str = ""


class LoadQueryCodec(Protocol):
    """Reads the response to a query."""

    def instance_id(self, headers: Headers) -> str | None:
        """Return the id of the server that responded, None if it is not stated."""

    def echoed_request_id(self, headers: Headers) -> bytes | None:
        """Return the id of the request that a response answers, None for a query."""

    def load(self, headers: Headers) -> ServerLoad | None:
        """Return the server's load, None if it is not stated."""

    def cold_remaining_s(self, headers: Headers) -> float:
        """Return for how much longer the server is cold."""

    def notice(self, response: Response) -> ServerNotice:
        """Return what the server states about the requests that it accepts."""


@final
class LoadClient:
    """Queries servers over the connections that requests use too.

    Responses to queries contain no id, so that a copy of one that arrives late is read
    as the response to the next query, if there is none in between. It misplaces a
    request at most: a response without an id answers no request.

    ``paths`` contains the path of the query by service.
    """

    def __init__(
        self,
        *,
        connections: Mapping[str, ServerConnectionPool],
        paths: Mapping[str, str],
        codec: LoadQueryCodec,
        reactor: Any,
    ) -> None:
        self.queries = 0
        self._connections = connections
        self._paths = paths
        self._codec = codec
        self._reactor = reactor

    async def query(self, server: BackendServer) -> QueriedLoad | None:
        """Return what a server states, None if it doesn't respond in time."""
        path = self._paths.get(server.service)
        connections = self._connections.get(server.id)
        if path is None or connections is None:
            return None
        self.queries += 1
        pending = Deferred.fromCoroutine(self._query(connections, path, server))
        timeout = Timeout(
            clock=self._reactor, delay_s=QUERY_TIMEOUT_S, expire=pending.cancel
        )
        try:
            return await pending
        except CancelledError:
            if timeout.expired:
                return None
            raise
        except Exception:
            # Whatever is wrong with the response, the server's load is not known.
            return None
        finally:
            timeout.stop()

    async def _query(
        self, connections: ServerConnectionPool, path: str, server: BackendServer
    ) -> QueriedLoad | None:
        try:
            connection = await connections.acquire()
        except PeerUnavailableError:
            return None
        try:
            response = await connection.send_request(
                method=b"GET",
                uri=path.encode(),
                headers=Headers({b"Host": [server.address.encode()]}),
                body=None,
            )
        except BaseException:
            connection.abort_now()
            raise
        headers = response.headers
        if (
            self._codec.instance_id(headers) != server.id
            or self._codec.echoed_request_id(headers) is not None
        ):
            # It answers another exchange, and the answer to this query may follow.
            connection.abort_now()
            return None
        response.deliverBody(_DiscardedBody(connection=connection, clock=self._reactor))
        load, notice = self._codec.load(headers), self._codec.notice(response)
        if load is None and notice == NO_NOTICE:
            return None
        return QueriedLoad(
            load=load,
            cold_remaining_s=self._codec.cold_remaining_s(headers),
            notice=notice,
            path=connection.path,
        )


@final
class _DiscardedBody(StreamProtocol):
    """Discards the body of a response; its connection is reused after the end.

    The connection is closed if the end doesn't come.
    """

    def __init__(self, *, connection: ServerConnection, clock: Any) -> None:
        self._connection = connection
        self._missing_bytes = MAX_DISCARDED_BYTES
        self._timeout = Timeout(
            clock=clock, delay_s=DISCARD_TIMEOUT_S, expire=connection.abort_now
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Discard data."""
        self._missing_bytes -= len(data)
        if self._missing_bytes < 0:
            self._connection.abort_now()

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Stop waiting for the end."""
        self._timeout.stop()
