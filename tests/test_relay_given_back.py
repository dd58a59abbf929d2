"""A connection given back to its pool is told nothing by the request it carried."""

import socket

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
    request,
    request_id_header,
    response,
    running_relay,
)


class SocketlessTransport(StringTransport):
    """A transport that has no file descriptor."""

    def getHandle(self) -> "SocketlessTransport":  # noqa: N802
        """Return what takes socket options."""
        return self

    def setsockopt(self, *option: object) -> None:
        """Ignore an option."""


EMPTY_WITHOUT_ID = response(b"")
EMPTY_OF_ANOTHER = response(b"", extra="Gentianwharf-Request-Id: other\r\n")


def answered_in_turn(*answers: bytes):  # type: ignore[no-untyped-def]
    """Return scripts; an empty answer stands for one that repeats the request's id."""

    def script(answer: bytes):  # type: ignore[no-untyped-def]
        def serve(connection: socket.socket, head: bytes) -> None:
            connection.sendall(answer or response(extra=request_id_header(head)))

        return serve

    return [script(answer) for answer in answers]


def test_connection_is_not_reused_after_an_empty_answer_without_an_id() -> None:
    """Guards against a connection that is idle before its answer has been checked."""
    with running_relay(answered_in_turn(EMPTY_WITHOUT_ID, b"")) as relay:
        relay.send(request())
        relay.send(request())
        assert relay.servers[0].connections == 2


def test_request_after_an_empty_answer_to_another_one_is_served() -> None:
    """Guards against a request that is sent on a connection that is being aborted."""
    with running_relay(answered_in_turn(EMPTY_OF_ANOTHER, b"")) as relay:
        first = request("POST", close=False)
        received = relay.send(first + request("POST"))
        assert received.startswith(b"HTTP/1.1 502 ")
        assert received.endswith(b"\r\n\r\nok")


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
