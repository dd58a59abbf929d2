"""Answers that end after a number of bytes, and what their recipients make of them."""

import re
import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import final

from tests.builders_early_answers import ZERO_LINGER
from tests.builders_relay import (
    SOCKET_TIMEOUT_S,
    RunningRelay,
    read_body,
    request_id_header,
    response,
)

RESET_DELAY_S = 0.002
"""Time for the bytes before a reset to be read, which the kernel may drop otherwise."""

STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3}) ")


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Form:
    """A form of answer; its head has a place for the id of the request."""

    head: bytes
    body: bytes = b""
    method: str = "GET"
    has_end: bool = True
    """Whether a recipient can tell where the body ends."""

    def answer(self, request_head: bytes = b"") -> bytes:
        """Return the whole answer to a request with the given head."""
        echo = request_id_header(request_head).encode()
        if b"\r\n" not in self.head:
            echo = echo.replace(b"\r\n", b"\n")
        return self.head.replace(b"ID", echo) + self.body

    def head_of(self, request_head: bytes = b"") -> bytes:
        """Return the head of the answer to a request with the given head."""
        return replace(self, body=b"").answer(request_head)

    def incomplete_lengths(self, request_head: bytes = b"") -> range:
        """Return the numbers of bytes after which the answer is not whole.

        Without a stated end, no number of bytes makes it whole.
        """
        return range(len(self.answer(request_head)) + (not self.has_end))


BODY = b"0123456789"

FORMS = {
    "length": Form(
        head=b"HTTP/1.1 200 OK\r\nIDX-A: 1\r\nContent-Length: 10\r\n\r\n", body=BODY
    ),
    "length-first": Form(
        head=b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nIDX-A: 1\r\n\r\n", body=BODY
    ),
    "empty": Form(head=b"HTTP/1.1 200 OK\r\nIDContent-Length: 0\r\n\r\n"),
    "chunked": Form(
        head=b"HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n",
        body=b"a\r\n0123456789\r\n0\r\n\r\n",
    ),
    "until-closed": Form(
        head=b"HTTP/1.1 200 OK\r\nIDX-A: 1\r\n\r\n", body=b"01", has_end=False
    ),
    "until-closed-1.0": Form(
        head=b"HTTP/1.0 200 OK\r\nIDX-A: 1\r\n\r\n", body=b"01", has_end=False
    ),
    "closing": Form(
        head=b"HTTP/1.1 200 OK\r\nIDConnection: close\r\nContent-Length: 2\r\n\r\n",
        body=b"01",
    ),
    "bare-newlines": Form(
        head=b"HTTP/1.1 200 OK\nIDX-A: 1\nContent-Length: 10\n\n", body=BODY
    ),
    "bare-newlines-chunked": Form(
        head=b"HTTP/1.1 200 OK\nIDTransfer-Encoding: chunked\n\n",
        body=b"a\r\n0123456789\r\n0\r\n\r\n",
    ),
    "folded": Form(
        head=b"HTTP/1.1 200 OK\r\nIDX-A: 1\r\n 2\r\nContent-Length:\r\n 10\r\n\r\n",
        body=BODY,
    ),
    "head": Form(
        head=b"HTTP/1.1 200 OK\r\nIDContent-Length: 10\r\n\r\n", method="HEAD"
    ),
    "204": Form(head=b"HTTP/1.1 204 No Content\r\nIDX-A: 1\r\n\r\n"),
    "304": Form(head=b"HTTP/1.1 304 Not Modified\r\nIDContent-Length: 10\r\n\r\n"),
}

HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"


def after_hints(form: Form) -> Form:
    """Return an answer with an informational response before it."""
    return replace(form, head=HINTS + form.head)


def close(connection: socket.socket) -> None:
    """End a connection without an error."""
    connection.shutdown(socket.SHUT_RDWR)


def reset(connection: socket.socket) -> None:
    """End a connection by a reset, once the bytes before it have arrived."""
    time.sleep(RESET_DELAY_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    connection.close()


ENDS: dict[str, Callable[[socket.socket], None]] = {"close": close, "reset": reset}


@final
class CuttingServer:
    """A script that sends ``length_bytes`` of an answer and ends the connection.

    It first waits until ``together`` requests have arrived. With ``answers_first``, the
    first request on each connection gets a whole answer. With ``reads_body``, the rest
    of the request's body comes in the middle of the answer, once ``is_begun`` is set.
    """

    def __init__(
        self,
        *,
        form: Form,
        end: Callable[[socket.socket], None],
        together: int = 1,
        answers_first: bool = False,
        reads_body: bool = False,
    ) -> None:
        self.form = form
        self.length_bytes = 0
        self.is_begun = threading.Event()
        self._end = end
        self._together = threading.Barrier(together, timeout=SOCKET_TIMEOUT_S)
        self._answers_first = answers_first
        self._answered: set[socket.socket] = set()
        self._reads_body = reads_body

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Answer one request."""
        if self._answers_first and connection not in self._answered:
            self._answered.add(connection)
            connection.sendall(response(extra=request_id_header(head)))
            return
        self._together.wait()
        data = self.form.answer(head)[: self.length_bytes]
        if self._reads_body:
            middle = len(data) // 2
            connection.sendall(data[:middle])
            self.is_begun.set()
            read_body(connection, head)
            data = data[middle:]
        connection.sendall(data)
        self._end(connection)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """What a caller has received on its connection until that ended."""

    data: bytes
    was_reset: bool

    def looks_whole(self, method: str) -> bool:
        """Whether the first answer ends where its own head says so."""
        head, blank, body = self.data.partition(b"\r\n\r\n")
        if not blank:
            return False
        status = STATUS_LINE.match(head)
        assert status is not None, f"expected an answer, got {self.data!r}"
        if method == "HEAD" or status[1] in (b"204", b"304"):
            return True
        if b"\r\nTransfer-Encoding: chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        length = re.search(rb"\r\nContent-Length: (\d+)", head)
        if length is not None:
            return len(body) >= int(length[1])
        return not self.was_reset

    def is_own_error(self, method: str) -> bool:
        """Whether the answer is the router's own for a lost one."""
        status = STATUS_LINE.match(self.data)
        return (
            status is not None
            and status[1] == b"502"
            and b"\r\nContent-Type: application/problem+json\r\n" in self.data
            and self.looks_whole(method)
        )


def receive(connection: socket.socket) -> Received:
    """Read until the relay ends the connection."""
    data = b""
    try:
        while piece := connection.recv(65_536):
            data += piece
    except ConnectionResetError:
        return Received(data=data, was_reset=True)
    return Received(data=data, was_reset=False)


def exchange(relay: RunningRelay, request: bytes) -> Received:
    """Send a request on a connection of its own."""
    with relay.connect() as connection:
        connection.sendall(request)
        return receive(connection)


def unseen_cuts(
    server: CuttingServer,
    send: Callable[[], Received],
    *,
    lengths: Iterable[int],
) -> list[tuple[int, Received]]:
    """Return the cuts that a caller can't see, and what it received.

    A caller sees a cut by the router's own error, or by an answer that is not whole.
    """
    found = []
    for length in lengths:
        server.length_bytes = length
        received = send()
        method = server.form.method
        if not received.is_own_error(method) and received.looks_whole(method):
            found.append((length, received))
    return found
