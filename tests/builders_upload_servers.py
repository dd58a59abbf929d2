"""Servers that compare each byte of a body with what its caller sent."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import final

from tests.builders_relay import ScriptedServer, request_id_header, response
from tests.builders_upload_records import Arrival, Behaviour, Uploads, answer_of

MAX_CHUNK_SIZE_LINE_BYTES = 16
PIECE_BYTES = 65_536
SOCKET_TIMEOUT_S = 15.0
LINGER_S = 2.0
"""How long a server that has answered early reads on."""

RECEIVE_BUFFER_BYTES = 16_384
"""So small that a server that reads slowly soon holds up whoever sends to it."""

SLOW_READ_S = 0.005
OUTAGES_S = (0.05, 0.2, 0.5)
STREAM_REST_S = 0.02

NOT_RUN = "Gentianwharf-Run: not-run\r\nNot-Executed: 1\r\n"
REFUSAL_STATUSES = (
    "503 Service Unavailable",
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
)
RETRY_AFTER = ("", "", "Retry-After: 1\r\n", "Retry-After: 0.05\r\n")


class CutBodyError(Exception):
    """The connection ended, or its bytes broke the framing, before a body's end."""


@final
class BodyReader:
    """Reads the body of a request piece by piece, in either framing."""

    def __init__(self, connection: socket.socket, head: bytes) -> None:
        head, _, self._rest = head.partition(b"\r\n\r\n")
        self._connection = connection
        self._length = content_length(head)

    def _read(self, size: int) -> bytes:
        if not self._rest:
            # Reading beyond the body would consume the next request's head.
            self._rest = self._connection.recv(min(size, PIECE_BYTES))
            if not self._rest:
                raise CutBodyError
        piece, self._rest = self._rest[:size], self._rest[size:]
        return piece

    def _read_line(self) -> bytes:
        line = b""
        while not line.endswith(b"\r\n"):
            line += self._read(1)
            if len(line) > MAX_CHUNK_SIZE_LINE_BYTES:
                raise CutBodyError
        return line[:-2]

    def _read_exactly(self, size: int) -> Iterator[bytes]:
        while size:
            piece = self._read(size)
            size -= len(piece)
            yield piece

    def pieces(self) -> Iterator[bytes]:
        """Yield the body; raises ``CutBodyError`` if it doesn't end."""
        if self._length is not None:
            yield from self._read_exactly(self._length)
            return
        while True:
            try:
                size = int(self._read_line(), 16)
            except ValueError as error:
                raise CutBodyError from error
            yield from self._read_exactly(size)
            if self._read_line():
                raise CutBodyError
            if not size:
                return


def content_length(head: bytes) -> int | None:
    """Return the length of the body that follows a head, None if it is chunked."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
        if line.startswith(b"transfer-encoding:"):
            return None
    return 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class _Turn:
    """What a server does with one request, as drawn."""

    behaviour: Behaviour
    share: float
    """The part of the body after which the server acts."""
    status: str
    retry_after: str
    closes: bool
    """Whether a refusal ends the connection."""
    lingers: bool
    """Whether a server that closes reads the rest of the body first."""
    reads_slowly: bool
    outage_s: float


def _draw_turn(rng: Random, weights: dict[Behaviour, int], *, varies: bool) -> _Turn:
    behaviour = rng.choices(list(weights), list(weights.values()))[0]
    share = rng.random()
    details = Random(share)
    return _Turn(
        behaviour=behaviour,
        share=share,
        status=details.choice(REFUSAL_STATUSES) if varies else REFUSAL_STATUSES[0],
        retry_after=details.choice(RETRY_AFTER) if varies else "",
        closes=varies and details.random() < 0.3,
        lingers=details.random() < 0.5,
        reads_slowly=varies and details.random() < 0.3,
        outage_s=details.choice(OUTAGES_S),
    )


@final
class CheckingServer:
    """A script that handles each request as drawn, and checks the bytes it gets.

    Refusals have status 503 and leave the connection open, unless the server ``varies``
    them.
    """

    def __init__(
        self,
        uploads: Uploads,
        *,
        number: int,
        rng: Random,
        weights: dict[Behaviour, int],
        varies: bool = False,
    ) -> None:
        self._uploads = uploads
        self._number = number
        self._rng = rng
        self._weights = weights
        self._varies = varies
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._scripted: ScriptedServer | None = None
        self._port = 0
        self._return: threading.Timer | None = None

    def _draw(self) -> _Turn:
        with self._lock:
            return _draw_turn(self._rng, self._weights, varies=self._varies)

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Handle one request."""
        turn = self._draw()
        behaviour = turn.behaviour
        arrival = self._uploads.arrive(head, server=self._number, behaviour=behaviour)
        self._connections.add(connection)
        try:
            self._handle(connection, head, arrival, turn)
        except CutBodyError as error:
            raise OSError("cut") from error
        except (OSError, ValueError):
            self._connections.discard(connection)
            raise
        finally:
            arrival.is_open = False
        connection.settimeout(SOCKET_TIMEOUT_S)

    def _handle(
        self, connection: socket.socket, head: bytes, arrival: Arrival, turn: _Turn
    ) -> None:
        pieces = BodyReader(connection, head).pieces()
        if turn.reads_slowly:
            pieces = _slowed(pieces)
        behaviour = turn.behaviour
        answers_at = _answered_after(arrival, turn.share)
        self._read_to(arrival, pieces, answers_at)
        if behaviour in (Behaviour.RESET_WITHIN, Behaviour.END):
            reset(connection)
            if behaviour is Behaviour.END:
                self._end(turn.outage_s)
            raise OSError("ended")
        if behaviour is Behaviour.LOSE_ANSWER:
            arrival.ran = True
            reset(connection)
            raise OSError("lost")
        if behaviour is Behaviour.STREAM_BEFORE_END:
            self._stream(connection, head, arrival, pieces)
            return
        is_refused = behaviour not in (Behaviour.RUN, Behaviour.RUN_BEFORE_END)
        self._answer(connection, head, arrival, turn if is_refused else None)
        closes = is_refused and turn.closes
        if closes and not turn.lingers:
            raise OSError("closed")
        connection.settimeout(LINGER_S)
        self._read_to(arrival, pieces, None)
        if closes:
            raise OSError("closed")

    def _read_to(
        self, arrival: Arrival, pieces: Iterator[bytes], byte: int | None
    ) -> None:
        while not arrival.ended and (byte is None or arrival.received_bytes < byte):
            piece = next(pieces, None)
            if piece is None:
                self._uploads.note_end_of_body(arrival)
                return
            arrival.check_piece(piece)

    def _answer(
        self,
        connection: socket.socket,
        head: bytes,
        arrival: Arrival,
        refusal: _Turn | None,
    ) -> None:
        echo = request_id_header(head)
        if refusal is None:
            arrival.ran = True
            connection.sendall(response(_answer_to(arrival), extra=echo))
            return
        is_empty = arrival.behaviour is not Behaviour.REFUSE_WITH_BODY
        extra = NOT_RUN + echo + refusal.retry_after
        if refusal.closes:
            extra += "Connection: close\r\n"
        body = b"" if is_empty else b"full"
        connection.sendall(response(body, status=refusal.status, extra=extra))

    def _stream(
        self,
        connection: socket.socket,
        head: bytes,
        arrival: Arrival,
        pieces: Iterator[bytes],
    ) -> None:
        arrival.ran = True
        echo = request_id_header(head)
        start = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{echo}\r\n"
        connection.sendall(start.encode() + _chunk(_answer_to(arrival)))
        while not arrival.ended:
            self._read_to(arrival, pieces, arrival.received_bytes + 1)
            connection.sendall(_chunk(b"."))
        time.sleep(STREAM_REST_S)
        connection.sendall(_chunk(b""))

    def bind(self, scripted: ScriptedServer, port: int) -> None:
        """Let the server end and come back, instead of only resetting connections."""
        self._scripted, self._port = scripted, port
        _shrink_buffer(scripted)

    def _end(self, outage_s: float) -> None:
        """Close the listener and reset all connections, until after the outage."""
        with self._lock:
            if self._scripted is None or self._return is not None:
                return
            self._scripted.stop()
            for connection in list(self._connections):
                interrupt(connection)
            self._connections.clear()
            self._return = threading.Timer(outage_s, self._come_back)
            self._return.start()

    def _come_back(self) -> None:
        scripted = self._scripted
        if scripted is not None:
            scripted._listener = socket.create_server(("127.0.0.1", self._port))
            _shrink_buffer(scripted)
            threading.Thread(target=scripted._accept, daemon=True).start()
        with self._lock:
            self._return = None

    def wait_until_back(self) -> None:
        """Wait for the end of an outage."""
        with self._lock:
            timer = self._return
        if timer is not None:
            timer.join(SOCKET_TIMEOUT_S)


def _shrink_buffer(scripted: ScriptedServer) -> None:
    """Let connections that are accepted from now on buffer few bytes."""
    scripted._listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


def _slowed(pieces: Iterator[bytes]) -> Iterator[bytes]:
    for piece in pieces:
        time.sleep(SLOW_READ_S)
        yield piece


def _answer_to(arrival: Arrival) -> bytes:
    return answer_of(arrival.upload.number) if arrival.upload else b"?"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _answered_after(arrival: Arrival, share: float) -> int | None:
    """Return the byte after which a server acts, None for the end of the body."""
    if arrival.behaviour in (Behaviour.RUN, Behaviour.LOSE_ANSWER):
        return None
    if arrival.behaviour in (Behaviour.REFUSE_AT_ONCE, Behaviour.REFUSE_WITH_BODY):
        return 0
    return int(share * arrival.upload.length) if arrival.upload else 0


def reset(connection: socket.socket) -> None:
    """Reset a connection, from the thread that uses it."""
    _let_close_reset(connection)
    connection.close()


def interrupt(connection: socket.socket) -> None:
    """Let the thread that uses a connection reset it."""
    _let_close_reset(connection)
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RD)


def _let_close_reset(connection: socket.socket) -> None:
    with suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
