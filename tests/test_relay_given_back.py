"""A connection given back to its pool is told nothing by the request it carried."""

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransport
from twisted.web._newclient import Response
from twisted.web.http_headers import Headers

from gentianwharf.relay import ServerConnectionPool
from gentianwharf.relay._server_connection import (
    MAX_RESPONSE_HEAD_BYTES,
    ServerConnection,
)
from tests.builders_relay import (
    REACTOR,
    make_server,
    response,
)


class SocketlessTransport(StringTransport):
    """A transport that has no file descriptor."""

    def getHandle(self) -> "SocketlessTransport":  # noqa: N802
        """Return what takes socket options."""
        return self

    def setsockopt(self, *option: object) -> None:
        """Ignore an option."""


def test_bytes_of_an_answer_do_not_count_as_the_next_ones_head() -> None:
    """Guards against a request that is given up for the size of an earlier answer."""
    pool = ServerConnectionPool(server=make_server(0, 9), reactor=REACTOR)
    connection = ServerConnection(pool=pool)
    connection.makeConnection(SocketlessTransport())
    results: list[object] = []

    def send() -> Deferred[Response]:
        return connection.send_request(
            method=b"GET", uri=b"/", headers=Headers({b"Host": [b"x"]}), body=None
        )

    class SendsNext(Protocol):
        def connectionLost(self, reason: object = None) -> None:  # noqa: N802
            pool.withdraw_idle(connection)
            send().addBoth(results.append)

    send().addCallback(lambda first: first.deliverBody(SendsNext()))
    connection.dataReceived(response(b"x" * (MAX_RESPONSE_HEAD_BYTES - 100)))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200 + b"\r\n")
    connection.dataReceived(b"Content-Length: 0\r\n\r\n")
    assert [getattr(result, "code", result) for result in results] == [200]
