"""Callers that upload bodies on connections that stay open."""

import socket
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import final

from tests.builders_upload_records import (
    Answer,
    Framing,
    Upload,
    Uploads,
    body_of,
)
from tests.builders_upload_servers import (
    PIECE_BYTES,
    SOCKET_TIMEOUT_S,
    content_length,
)

LATE_ANSWER_WAIT_S = 3.0
"""How long a missing answer is waited for, to tell a late one from none."""

CONTINUE = "100"


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
        self.run_batches((upload,) for upload in requests)

    def run_batches(self, batches: Iterable[Sequence[Upload]]) -> None:
        """Send all batches; the requests of one are sent without waiting."""
        for batch in batches:
            self.send_batch(batch)
        self.close()

    def send(self, upload: Upload) -> str:
        """Send one request and return the status of its answer.

        It is "closed" if the connection ended without an answer, "cut" if it ended
        within one, and "none" if no answer came in time.
        """
        return self.send_batch((upload,))

    def send_batch(self, batch: Sequence[Upload]) -> str:
        """Send requests without waiting for answers; return the last status.

        The connection is closed after an answer that says so, and after a missing one.
        Requests behind that are not answered.
        """
        if self._connection is None:
            self._connection = socket.create_connection(
                ("127.0.0.1", self.port), SOCKET_TIMEOUT_S
            )
        connection = self._connection
        for upload in batch:
            self.uploads.add(upload)
            # Generated before the time for the answer starts.
            body_of(upload.number, upload.length)
        sender = threading.Thread(
            target=self._send_all, args=(connection, batch), daemon=True
        )
        reader = _AnswerReader(connection)
        if batch[0].expects_continue:
            connection.sendall(batch[0].head())
        else:
            sender.start()
        answer = Answer(status="none")
        for upload in batch:
            answer = self._read_answer(reader, upload, sender)
            if not answer.may_reuse:
                break
        may_reuse = answer.may_reuse and sender.ident is not None
        if may_reuse:
            sender.join(SOCKET_TIMEOUT_S)
        if not may_reuse or sender.is_alive():
            self.close()
        return answer.status

    def _read_answer(
        self, reader: "_AnswerReader", upload: Upload, sender: threading.Thread
    ) -> Answer:
        within_s = upload.answer_within_s or self.answer_within_s
        end_s = time.monotonic() + within_s
        on_continue = sender.start if upload.expects_continue else None
        answer = reader.read(end_s, on_continue)
        detail = ""
        if upload.leaves_after is not None:
            answer = replace(answer, status="left", may_reuse=False)
        elif answer.status == "none":
            late = reader.read(time.monotonic() + LATE_ANSWER_WAIT_S, None)
            took_s = time.monotonic() - end_s + within_s
            detail = f"[{late.status} after {took_s:.2f} s]"
        self.uploads.note_answer(upload, answer, detail)
        return answer

    def _send_all(self, connection: socket.socket, batch: Sequence[Upload]) -> None:
        with suppress(OSError):
            for upload in batch:
                self._send(connection, upload)

    def _send(self, connection: socket.socket, upload: Upload) -> None:
        if upload.length == 0 and upload.framing is Framing.LENGTH:
            # Its head is its end.
            self.uploads.note_ended(upload)
        if not upload.expects_continue:
            connection.sendall(upload.head())
        sent, is_by_length = 0, upload.framing is Framing.LENGTH
        for length, pause_s in upload.pieces or ((upload.length, 0.0),):
            if is_by_length and sent == upload.length:
                # The body has ended, and the next request follows at once.
                break
            time.sleep(pause_s)
            leaves = upload.leaves_after
            if leaves is not None and sent + length > leaves:
                length = leaves - sent
            piece = upload.body[sent : sent + length]
            sent += length
            if sent == upload.length and is_by_length:
                self.uploads.note_ended(upload)
            if piece:
                chunk = b"%x\r\n%b\r\n" % (len(piece), piece)
                connection.sendall(piece if is_by_length else chunk)
            if leaves is not None and sent >= leaves:
                connection.shutdown(socket.SHUT_RDWR)
                return
        self.uploads.note_ended(upload)
        if not is_by_length:
            connection.sendall(b"0\r\n\r\n")

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            with suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
            self._connection.close()
            self._connection = None


class _MissingError(Exception):
    """No more bytes came in time."""


class _ClosedError(Exception):
    """The connection ended."""


@final
class _AnswerReader:
    """Reads the answers on one connection."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._data = b""
        self._end_s = 0.0

    def read(self, end_s: float, on_continue: Callable[[], None] | None) -> Answer:
        """Return the next final answer, or how it fails to come until ``end_s``."""
        self._end_s = end_s
        status = ""
        try:
            head = self._read_head()
            while head.split(b" ", 2)[1].decode() == CONTINUE:
                if on_continue is not None:
                    on_continue()
                head = self._read_head()
            status = head.split(b" ", 2)[1].decode()
            body = self._read_body(content_length(head))
        except _MissingError:
            return Answer(status="none")
        except _ClosedError:
            return Answer(status="cut" if status else "closed")
        may_reuse = b"connection: close" not in head.lower()
        return Answer(status=status, body=body, may_reuse=may_reuse)

    def _receive(self) -> None:
        left_s = self._end_s - time.monotonic()
        # The thread that sends on the same socket has the same timeout.
        self._connection.settimeout(max(left_s, 0.001))
        try:
            piece = self._connection.recv(PIECE_BYTES)
        except TimeoutError:
            raise _MissingError from None
        except OSError:
            piece = b""
        finally:
            with suppress(OSError):
                self._connection.settimeout(SOCKET_TIMEOUT_S)
        if not piece:
            raise _ClosedError
        self._data += piece

    def _read_head(self) -> bytes:
        return self._read_until(b"\r\n\r\n")

    def _read_until(self, end: bytes) -> bytes:
        while end not in self._data:
            self._receive()
        before, _, self._data = self._data.partition(end)
        return before

    def _read_exactly(self, size: int) -> bytes:
        while len(self._data) < size:
            self._receive()
        before, self._data = self._data[:size], self._data[size:]
        return before

    def _read_body(self, length: int | None) -> bytes:
        if length is not None:
            return self._read_exactly(length)
        body = b""
        while size := int(self._read_until(b"\r\n"), 16):
            body += self._read_exactly(size)
            self._read_exactly(2)
        self._read_exactly(2)
        return body
