"""Callers that upload, and servers that compare each byte with what was sent.

Each place of a body can be told from each other, and from each place of the bodies of
other requests. The number of a request is the last part of its path.
"""

import re
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from functools import lru_cache
from random import Random
from typing import final

from tests.builders_relay import Script, request_id_header, response

CELL_BYTES = 64
CELL = "%07x:%07x" + "." * (CELL_BYTES - 16) + "\n"
MAX_CACHED_BODIES = 32
MAX_CHUNK_SIZE_LINE_BYTES = 16
PIECE_BYTES = 65_536
SOCKET_TIMEOUT_S = 15.0
LINGER_S = 2.0
"""How long a server that has answered early reads on."""

REQUEST_LINE = re.compile(rb"POST /plain/(\d+) HTTP/1.1\r\n")
NOT_RUN = "Gentianwharf-Run: not-run\r\nNot-Executed: 1\r\n"
FULL = "503 Service Unavailable"


@lru_cache(MAX_CACHED_BODIES)
def body_of(number: int, length: int) -> bytes:
    """Return the body of a request.

    >>> body_of(3, 20)
    b'0000003:0000000.....'
    """
    cells = -(-length // CELL_BYTES)
    text = "".join([CELL % (number, index) for index in range(cells)])
    return text.encode()[:length]


class Framing(StrEnum):
    """How a caller states where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"


class Behaviour(StrEnum):
    """What a server does with a request."""

    RUN = "run"
    RUN_BEFORE_END = "run-before-end"
    REFUSE_AT_ONCE = "refuse-at-once"
    REFUSE_WITH_BODY = "refuse-with-body"
    REFUSE_WITHIN = "refuse-within"
    LOSE_ANSWER = "lose-answer"
    RESET_WITHIN = "reset-within"
    END = "end"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Upload:
    """A caller's request: what it sends, and how."""

    number: int
    length: int
    framing: Framing
    expects_continue: bool = False
    pieces: tuple[tuple[int, float], ...] = ()
    """Lengths of the parts of the body, and pauses in seconds before each."""
    leaves_after: int | None = None
    """The byte of the body after which the caller closes, None if it stays."""

    @property
    def body(self) -> bytes:
        """The body."""
        return body_of(self.number, self.length)

    def head(self) -> bytes:
        """Return the head of the request."""
        lines = [f"POST /plain/{self.number} HTTP/1.1", "Host: gateway"]
        if self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {self.length}")
        if self.expects_continue:
            lines.append("Expect: 100-continue")
        return "\r\n".join([*lines, "", ""]).encode()


class CutBodyError(Exception):
    """The connection ended, or its bytes broke the framing, before a body's end."""


@final
@dataclass
class Arrival:
    """A request at a server."""

    upload: Upload | None
    server: int
    behaviour: Behaviour
    received_bytes: int = 0
    ended: bool = False
    ran: bool = False
    changed_at: int | None = None
    """The first byte that differs from what the caller sent, None without one."""

    def __str__(self) -> str:
        number = self.upload.number if self.upload else "?"
        length = self.upload.length if self.upload else "?"
        return (
            f"request {number} at server {self.server}, {self.behaviour}: "
            f"{self.received_bytes} of {length} bytes, ended={self.ended}, "
            f"ran={self.ran}, changed at {self.changed_at}"
        )


@final
class Uploads:
    """All uploads of a test, what arrived of them, and what their callers got."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.statuses: Counter[str] = Counter()
        self.unanswered: list[str] = []
        self._sent: dict[int, Upload] = {}
        self._ended: set[int] = set()
        self._lock = threading.Lock()

    def add(self, upload: Upload) -> None:
        """Record a request that a caller is about to send."""
        with self._lock:
            self._sent[upload.number] = upload

    def note_ended(self, upload: Upload) -> None:
        """Record that the caller is about to send the end of the body."""
        with self._lock:
            self._ended.add(upload.number)

    def arrive(self, head: bytes, *, server: int, behaviour: Behaviour) -> Arrival:
        """Record a request that has reached a server.

        Raises ``OSError`` if its connection ended within the head.
        """
        if b"\r\n\r\n" not in head:
            raise OSError("the connection ended within a head")
        match = REQUEST_LINE.match(head)
        with self._lock:
            upload = self._sent.get(int(match[1])) if match else None
            arrival = Arrival(upload=upload, server=server, behaviour=behaviour)
            self.arrivals.append(arrival)
        return arrival

    def changed(self) -> list[str]:
        """Return the requests of which a server got other bytes than were sent.

        A body that ended counts if it was shorter, or if its caller has not ended it.
        """
        return [str(each) for each in self.arrivals if self._is_changed(each)]

    def _is_changed(self, arrival: Arrival) -> bool:
        upload = arrival.upload
        if upload is None or arrival.changed_at is not None:
            return True
        is_whole = arrival.received_bytes == upload.length
        return arrival.ended and not (is_whole and upload.number in self._ended)


def check_piece(arrival: Arrival, piece: bytes) -> None:
    """Compare a piece of a body with what the caller sent."""
    start, end = arrival.received_bytes, arrival.received_bytes + len(piece)
    arrival.received_bytes = end
    if arrival.upload is None or arrival.changed_at is not None:
        return
    expected = arrival.upload.body[start:end]
    if piece != expected:
        arrival.changed_at = start


@final
class BodyReader:
    """Reads the body of a request piece by piece, in either framing."""

    def __init__(self, connection: socket.socket, head: bytes) -> None:
        head, _, self._rest = head.partition(b"\r\n\r\n")
        self._connection = connection
        self._length = _content_length(head)

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


def _content_length(head: bytes) -> int | None:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
        if line.startswith(b"transfer-encoding:"):
            return None
    return 0


@final
class CheckingServer:
    """A script that handles each request as drawn, and checks the bytes it gets."""

    def __init__(
        self,
        uploads: Uploads,
        *,
        number: int,
        rng: Random,
        weights: dict[Behaviour, int],
    ) -> None:
        self._uploads = uploads
        self._number = number
        self._rng = rng
        self._weights = weights
        self._lock = threading.Lock()

    def _draw(self) -> tuple[Behaviour, float]:
        with self._lock:
            kinds = list(self._weights)
            kind = self._rng.choices(kinds, list(self._weights.values()))[0]
            return kind, self._rng.random()

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Handle one request."""
        behaviour, share = self._draw()
        arrival = self._uploads.arrive(head, server=self._number, behaviour=behaviour)
        reader = BodyReader(connection, head)
        length = arrival.upload.length if arrival.upload else 0
        answers_at = _answered_after(behaviour, share, length)
        pieces = reader.pieces()
        try:
            if answers_at is not None:
                self._read_to(arrival, pieces, answers_at)
                if behaviour in (Behaviour.RESET_WITHIN, Behaviour.END):
                    _reset(connection)
                    raise OSError("ended")
                self._answer(connection, head, arrival)
                connection.settimeout(LINGER_S)
            self._read_to(arrival, pieces, None)
        except CutBodyError as error:
            raise OSError("cut") from error
        if answers_at is None:
            if behaviour is Behaviour.LOSE_ANSWER:
                arrival.ran = True
                _reset(connection)
                raise OSError("lost")
            self._answer(connection, head, arrival)
        connection.settimeout(SOCKET_TIMEOUT_S)

    def _read_to(
        self, arrival: Arrival, pieces: Iterator[bytes], byte: int | None
    ) -> None:
        while byte is None or arrival.received_bytes < byte:
            piece = next(pieces, None)
            if piece is None:
                arrival.ended = True
                return
            check_piece(arrival, piece)

    def _answer(self, connection: socket.socket, head: bytes, arrival: Arrival) -> None:
        echo = request_id_header(head)
        if arrival.behaviour in (Behaviour.RUN, Behaviour.RUN_BEFORE_END):
            arrival.ran = True
            connection.sendall(response(b"done", extra=echo))
            return
        body = b"full" if arrival.behaviour is Behaviour.REFUSE_WITH_BODY else b""
        connection.sendall(response(body, status=FULL, extra=NOT_RUN + echo))


def _answered_after(behaviour: Behaviour, share: float, length: int) -> int | None:
    """Return the byte after which a server acts, None for the end of the body."""
    if behaviour in (Behaviour.RUN, Behaviour.LOSE_ANSWER):
        return None
    if behaviour in (Behaviour.REFUSE_AT_ONCE, Behaviour.REFUSE_WITH_BODY):
        return 0
    return int(share * length)


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


@final
@dataclass(kw_only=True)
class Caller:
    """Sends uploads one after the other, on a connection that stays open."""

    port: int
    uploads: Uploads
    answer_within_s: float
    _connection: socket.socket | None = field(default=None, init=False)

    def run(self, requests: Iterable[Upload]) -> None:
        """Send all, each once the one before it was answered."""
        for upload in requests:
            self.send(upload)
        self._close()

    def send(self, upload: Upload) -> str:
        """Send one request and return the status of its answer.

        It is "closed" if the connection ended without an answer, and "none" if no
        answer came in time; the connection is given up then.
        """
        self.uploads.add(upload)
        if self._connection is None:
            self._connection = socket.create_connection(
                ("127.0.0.1", self.port), SOCKET_TIMEOUT_S
            )
        connection = self._connection
        end_s = time.monotonic() + self.answer_within_s
        sender = threading.Thread(
            target=self._send, args=(connection, upload), daemon=True
        )
        answer = _AnswerReader(connection, end_s)
        if upload.expects_continue:
            connection.sendall(upload.head())
            if answer.read_head().startswith("100"):
                sender.start()
                answer.read_head()
        else:
            sender.start()
            answer.read_head()
        status, may_reuse = answer.status, answer.read_rest()
        if upload.leaves_after is not None:
            status, may_reuse = "left", False
        if status == "none":
            self.uploads.unanswered.append(str(upload))
        self.uploads.statuses[status] += 1
        if may_reuse and sender.ident is not None:
            sender.join(SOCKET_TIMEOUT_S)
            may_reuse = not sender.is_alive()
        if not may_reuse or (upload.expects_continue and sender.ident is None):
            self._close()
        return status

    def _send(self, connection: socket.socket, upload: Upload) -> None:
        with suppress(OSError):
            if not upload.expects_continue:
                connection.sendall(upload.head())
            sent = 0
            for length, pause_s in upload.pieces or ((upload.length, 0.0),):
                time.sleep(pause_s)
                leaves = upload.leaves_after
                if leaves is not None and sent + length > leaves:
                    length = leaves - sent
                piece = upload.body[sent : sent + length]
                sent += length
                if sent == upload.length and upload.framing is Framing.LENGTH:
                    self.uploads.note_ended(upload)
                if upload.framing is Framing.CHUNKED and piece:
                    connection.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
                elif piece:
                    connection.sendall(piece)
                if leaves is not None and sent >= leaves:
                    connection.shutdown(socket.SHUT_RDWR)
                    return
            self.uploads.note_ended(upload)
            if upload.framing is Framing.CHUNKED:
                connection.sendall(b"0\r\n\r\n")

    def _close(self) -> None:
        if self._connection is not None:
            with suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
            self._connection.close()
            self._connection = None


@final
class _AnswerReader:
    """Reads the answer to one request, until a point in time."""

    def __init__(self, connection: socket.socket, end_s: float) -> None:
        self.status = "none"
        self._connection = connection
        self._end_s = end_s
        self._data = b""
        self._head = b""

    def _receive(self) -> bool:
        left_s = self._end_s - time.monotonic()
        self._connection.settimeout(max(left_s, 0.001))
        try:
            piece = self._connection.recv(PIECE_BYTES)
        except TimeoutError:
            self.status = "none"
            return False
        except OSError:
            piece = b""
        finally:
            with suppress(OSError):
                self._connection.settimeout(SOCKET_TIMEOUT_S)
        if not piece:
            self.status = "closed"
            return False
        self._data += piece
        return True

    def read_head(self) -> str:
        """Return the status of the next head, and keep it."""
        while b"\r\n\r\n" not in self._data:
            if not self._receive():
                return self.status
        self._head, _, self._data = self._data.partition(b"\r\n\r\n")
        self.status = self._head.split(b" ", 2)[1].decode()
        return self.status

    def read_rest(self) -> bool:
        """Read the body; return whether the connection stays open."""
        if self.status in ("none", "closed"):
            return False
        status, length = self.status, _content_length(self._head) or 0
        while len(self._data) < length:
            if not self._receive():
                return False
        self.status = status
        return b"connection: close" not in self._head.lower()


def draw_upload(rng: Random, number: int, *, most_bytes: int = 1_500_000) -> Upload:
    """Return a request of a random size, framing and speed."""
    length = rng.choice(
        [
            0,
            1,
            rng.randrange(1, 16_384),
            rng.randrange(16_384, 70_000),
            rng.randrange(70_000, 400_000),
            rng.randrange(400_000, most_bytes),
        ]
    )
    count = rng.choice([1, 1, 3, 8])
    cuts = sorted(rng.randrange(length + 1) for _ in range(count - 1))
    pieces = tuple(
        (end - start, rng.choice([0.0, 0.0, 0.01, 0.1]))
        for start, end in zip([0, *cuts], [*cuts, length], strict=True)
    )
    return Upload(
        number=number,
        length=length,
        framing=rng.choice(list(Framing)),
        expects_continue=length > 0 and rng.random() < 0.2,
        pieces=pieces,
        leaves_after=rng.randrange(length) if length and rng.random() < 0.05 else None,
    )


def script_for(server: CheckingServer) -> list[Script]:
    """Return the scripts of a server for ``running_relay``."""
    return [server]
