"""A server whose answers never end, and which counts what its clients take of them."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field

from tests.builders_relay import SOCKET_TIMEOUT_S, read_head

PIECE_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"%x\r\n" % PIECE_BYTES + b"y" * PIECE_BYTES + b"\r\n"
LINE = b"X-Line: " + b"x" * 1_000 + b"\r\n"


@dataclass(frozen=True, kw_only=True)
class Endless:
    """Bytes that begin an answer, and others that follow again and again."""

    begin: bytes
    piece: bytes


ENDLESS = {
    "no-answer": Endless(begin=b"", piece=b"x" * PIECE_BYTES),
    "lines": Endless(begin=b"", piece=b"no answer\r\n" * 1_000),
    "head-lines": Endless(begin=HEAD, piece=LINE * 50),
    "informational": Endless(begin=b"", piece=b"HTTP/1.1 103 Early\r\n\r\n" * 1_000),
    "long-line": Endless(begin=HEAD + b"X-Line: ", piece=b"x" * PIECE_BYTES),
    "chunk-size": Endless(
        begin=HEAD + b"Transfer-Encoding: chunked\r\n\r\n", piece=b"0" * PIECE_BYTES
    ),
    "chunks": Endless(begin=HEAD + b"Transfer-Encoding: chunked\r\n\r\n", piece=CHUNK),
    "trailers": Endless(
        begin=HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", piece=LINE * 50
    ),
    "until-close": Endless(begin=HEAD + b"\r\n", piece=b"z" * PIECE_BYTES),
}
BODIES = frozenset({"chunks", "until-close"})
"""Kinds that go on after a whole head and are well-formed."""


@dataclass
class EndlessServer:
    """Sends ``endless`` to each request until its client closes the connection."""

    endless: Endless
    id_header: bytes = b""
    """Name of a header of the request that is repeated in the head."""
    sent_bytes: int = 0
    is_closed: threading.Event = field(default_factory=threading.Event)
    """Set once a client has closed a connection."""

    def start(self) -> str:
        """Listen and return the address."""
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def stop(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(SOCKET_TIMEOUT_S)
        with suppress(OSError), connection:
            head = read_head(connection)
            if not head:
                return
            try:
                connection.sendall(self._begin(head))
                while True:
                    self.sent_bytes += connection.send(self.endless.piece)
            except TimeoutError:
                # The client neither reads nor closes.
                return
            except OSError:
                self.is_closed.set()

    def _begin(self, head: bytes) -> bytes:
        begin = self.endless.begin
        for line in head.split(b"\r\n"):
            if self.id_header and line.lower().startswith(self.id_header + b":"):
                return begin.replace(HEAD, HEAD + line + b"\r\n", 1)
        return begin


@contextmanager
def endless_server(
    endless: Endless, *, id_header: bytes = b""
) -> Iterator[tuple[EndlessServer, str]]:
    """Run a server whose answers never end; yields it and its address."""
    server = EndlessServer(endless=endless, id_header=id_header)
    address = server.start()
    try:
        yield server, address
    finally:
        server.stop()
