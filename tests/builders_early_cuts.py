"""Servers that answer an upload at once without a length, and cut their answer."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from typing import Any, cast, final

from twisted.logger import LogEvent, LogLevel, globalLogPublisher

from tests.builders_cut_heads import ENDS, Received, receive
from tests.builders_relay import body_length, request, request_id_header

PART_BYTES = 70_000
"""More than one read of the transport."""

UPLOAD_BYTES = 3_000_000
PIECE = b"x" * 16_384
PIECE_GAP_S = 0.001
NOT_RUN = "Not-Executed: 1\r\nGentianwharf-Run: not-run\r\n"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class EarlyCut:
    """What a server sends of its answer, and when and how it ends the connection."""

    status: str = "200 OK"
    fields: str = ""
    version: str = "1.1"
    part_bytes: int = PART_BYTES
    read_bytes: int = 0
    """How much of the upload is read before the answer."""
    delay_s: float = 0.0
    """Between the part of the body and the end of the connection."""
    end: Callable[[socket.socket], None] = ENDS["reset"]

    def __call__(self, connection: socket.socket, head: bytes) -> None:
        """Answer one request."""
        read_bytes = len(head)
        while read_bytes < self.read_bytes and (piece := connection.recv(65_536)):
            read_bytes += len(piece)
        lines = f"HTTP/{self.version} {self.status}\r\n{request_id_header(head)}"
        connection.sendall(f"{lines}{self.fields}\r\n".encode())
        connection.sendall(b"y" * self.part_bytes)
        time.sleep(self.delay_s)
        self.end(connection)


FORMS = {
    "reset": EarlyCut(),
    "reset-later": EarlyCut(delay_s=0.02),
    "reset-in-upload": EarlyCut(read_bytes=200_000),
    "reset-head-alone": EarlyCut(part_bytes=0, delay_s=0.005),
    "reset-few-bytes": EarlyCut(part_bytes=10, delay_s=0.005),
    "reset-1.0": EarlyCut(version="1.0"),
    "reset-closing": EarlyCut(fields="Connection: close\r\n"),
    "close": EarlyCut(end=ENDS["close"]),
    "close-in-upload": EarlyCut(end=ENDS["close"], read_bytes=200_000),
    "close-1.0": EarlyCut(end=ENDS["close"], version="1.0", delay_s=0.005),
}


def upload_head(
    headers: str = "", *, version: str = "1.1", body_bytes: int = UPLOAD_BYTES
) -> bytes:
    """Return the head of an upload."""
    length = f"Content-Length: {body_bytes}\r\n"
    head = request("POST", headers=headers + length, close=False)
    return head.replace(b"HTTP/1.1", f"HTTP/{version}".encode(), 1)


@contextmanager
def uploading(caller: socket.socket, body_bytes: int) -> Iterator[None]:
    """Write the body of an upload meanwhile, until the connection takes no more."""
    has_ended = threading.Event()

    def write() -> None:
        with suppress(OSError):
            for _ in range(body_bytes // len(PIECE)):
                if has_ended.is_set():
                    return
                caller.sendall(PIECE)
                time.sleep(PIECE_GAP_S)

    writer = threading.Thread(target=write, daemon=True)
    writer.start()
    try:
        yield
    finally:
        has_ended.set()
        with suppress(OSError):
            caller.shutdown(socket.SHUT_RDWR)
        writer.join()


def upload(
    caller: socket.socket, head: bytes, *, read_after_s: float = 0.0
) -> Received:
    """Send an upload, and return what came until the connection's end."""
    caller.sendall(head)
    with uploading(caller, body_length(head)):
        time.sleep(read_after_s)
        return receive(caller)


@dataclass
class ErrorLog:
    """The errors that Twisted has logged."""

    texts: list[str] = field(default_factory=list)

    def __call__(self, event: LogEvent) -> None:
        """Record an event if it is an error."""
        failure: Any = event.get("log_failure")
        if event.get("log_level") is LogLevel.critical or failure is not None:
            self.texts.append(str(failure and failure.getTraceback()))


@contextmanager
def logged_errors() -> Iterator[list[str]]:
    """Yield a list of the errors that Twisted logs meanwhile."""
    errors = ErrorLog()
    observer = cast(Any, errors)
    globalLogPublisher.addObserver(observer)
    try:
        yield errors.texts
    finally:
        globalLogPublisher.removeObserver(observer)
