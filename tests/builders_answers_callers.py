"""Callers that read the answers of ``builders_answers_fuzz`` in many ways."""

import socket
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import final

from tests.builders_answers_fuzz import ARRIVAL, NUMBER, Arrivals

PIECE_BYTES = 65_536
SMALL_BUFFER_BYTES = 16_384


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Requests that a caller sends at once, and how it reads their answers."""

    numbers: Sequence[int]
    method: str
    piece_bytes: int = PIECE_BYTES
    pause_s: float = 0.0
    """The caller's pause after each piece that it reads."""
    first_pause_s: float = 0.0
    """Its pause before it reads at all."""
    leaves_after_bytes: int | None = None

    def data(self) -> bytes:
        """Return the requests' bytes."""
        return b"".join(
            f"{self.method} /plain/{number} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode()
            for number in self.numbers
        )


def draw_batch(rng: Random, numbers: Iterator[int]) -> Batch:
    """Return requests on one connection, and how they are sent and read."""
    size = rng.choice([1, 1, 1, 2, 5])
    piece_bytes, pause_s = rng.choice(
        [(PIECE_BYTES, 0.0), (PIECE_BYTES, 0.0), (SMALL_BUFFER_BYTES, 0.002)]
    )
    leaves = rng.random() < 0.08
    return Batch(
        numbers=tuple(next(numbers) for _ in range(size)),
        method=rng.choice(["GET", "GET", "POST"]),
        piece_bytes=piece_bytes,
        pause_s=pause_s,
        first_pause_s=rng.choice([0.0, 0.0, 0.0, 0.7]),
        leaves_after_bytes=rng.randrange(300_000) if leaves else None,
    )


class EndedError(Exception):
    """The connection ended."""


class LeftError(Exception):
    """The caller left on purpose."""


@final
@dataclass(kw_only=True)
class Findings:
    """What the callers of a test saw."""

    statuses: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


@final
class Caller:
    """Sends batches, on a connection that stays open while it can.

    An answer has to begin ``answer_within_s`` after the one before it has ended.
    """

    def __init__(
        self, *, port: int, arrivals: Arrivals, found: Findings, answer_within_s: float
    ) -> None:
        self._port = port
        self._arrivals = arrivals
        self._found = found
        self._answer_within_s = answer_within_s
        self._connection: socket.socket | None = None
        self._data = b""
        self._read_bytes = 0

    def send(self, batch: Batch) -> None:
        """Send one batch, and check all its answers."""
        if self._connection is None:
            self._connection = self._connect(slow=batch.pause_s > 0)
        self._read_bytes = 0
        number = batch.numbers[0]
        try:
            self._connection.sendall(batch.data())
            time.sleep(batch.first_pause_s)
            for number in batch.numbers:
                if not self._read_answer(batch, number):
                    self.close()
                    return
        except LeftError:
            self._note("left")
            self.close()
        except TimeoutError:
            self._fault(f"request {number}: no answer in time", batch)
            self.close()
        except (EndedError, OSError):
            self._note("ended")
            if not any(self._arrivals.is_cut(each) for each in batch.numbers):
                self._fault(f"request {number}: ended without a cut", batch)
            self.close()

    def _connect(self, *, slow: bool) -> socket.socket:
        connection = socket.socket()
        if slow:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        connection.connect(("127.0.0.1", self._port))
        return connection

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection, self._data = None, b""

    def _note(self, status: str) -> None:
        self._found.statuses[status] += 1

    def _fault(self, text: str, batch: Batch) -> None:
        self._found.faults.append(f"{text} ({batch})")

    def _receive(self, batch: Batch) -> None:
        connection = self._connection
        if connection is None:
            raise EndedError
        leaves_after = batch.leaves_after_bytes
        if leaves_after is not None and self._read_bytes >= leaves_after:
            raise LeftError
        connection.settimeout(self._answer_within_s)
        piece = connection.recv(batch.piece_bytes)
        if not piece:
            raise EndedError
        self._read_bytes += len(piece)
        self._data += piece
        time.sleep(batch.pause_s)

    def _take_line_end(self, batch: Batch, end: bytes) -> bytes:
        while end not in self._data:
            self._receive(batch)
        taken, _, self._data = self._data.partition(end)
        return taken

    def _take(self, batch: Batch, size: int) -> bytes:
        while len(self._data) < size:
            self._receive(batch)
        taken, self._data = self._data[:size], self._data[size:]
        return taken

    def _read_answer(self, batch: Batch, number: int) -> bool:
        """Check an answer; return whether the connection stays open."""
        head = self._take_line_end(batch, b"\r\n\r\n").decode("latin-1")
        lines = [line.partition(": ") for line in head.split("\r\n")[1:]]
        fields = {name.lower(): value for name, _, value in lines}
        if fields.get("transfer-encoding") == "chunked":
            body = b"".join(self._chunks(batch))
        else:
            body = self._take(batch, int(fields["content-length"]))
        status = head.split(" ")[1]
        self._note(status)
        if status == "200":
            self._check(batch, number, fields, body)
        elif ARRIVAL.lower() in fields or b'"run"' not in body:
            self._fault(f"request {number}: {head!r} is no problem document", batch)
        return fields.get("connection", "").lower() != "close"

    def _chunks(self, batch: Batch) -> Iterator[bytes]:
        while size := int(self._take_line_end(batch, b"\r\n"), 16):
            yield self._take(batch, size)
            self._take_line_end(batch, b"\r\n")
        self._take_line_end(batch, b"\r\n")

    def _check(
        self, batch: Batch, number: int, fields: dict[str, str], body: bytes
    ) -> None:
        arrival = self._arrivals.get(int(fields[ARRIVAL.lower()]))
        if arrival.request != number or fields[NUMBER.lower()] != str(number):
            self._fault(f"request {number}: got the answer to {arrival}", batch)
        elif body != arrival.body:
            self._fault(
                f"request {number}: {len(body)} other bytes than {arrival}", batch
            )
