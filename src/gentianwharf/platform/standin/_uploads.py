"""Uploads whose every byte a server can verify.

A body consists of fixed-size cells, each with the request's id and its index, and a
header states its length. So a server can compute the expected body from the head.
"""

from enum import StrEnum
from random import Random
from typing import Any, Protocol, final

from twisted.web.server import Request

UPLOAD_HEADER = "Upload-Bytes"
"""Header with the length of an upload, also sent with chunked encoding."""

CELL_BYTES = 32
INDEX_FORMAT = ":%05x"
MAX_ID_BYTES = CELL_BYTES - len(INDEX_FORMAT % 0) - 1

REFUSED_SHARE = 0.7
"""Share of the early answers that are refusals."""

IMMEDIATE_SHARE = 0.5
"""Share of the early answers that are sent before any byte of the body arrives."""


def upload_body(request_id: str, first: int, last: int) -> bytes:
    """Return the bytes of an upload from ``first`` to before ``last``.

    Raises ``ValueError`` if the id doesn't fit into a cell.

    >>> upload_body("up-7", 0, 14)
    b'up-7:00000....'
    >>> upload_body("up-7", 30, 42)
    b'..up-7:00001'
    """
    if len(request_id.encode()) > MAX_ID_BYTES:
        raise ValueError(
            f"expected an id of {MAX_ID_BYTES} bytes at most, got {request_id!r}"
        )
    first_cell, end = first // CELL_BYTES, -(-last // CELL_BYTES)
    cells = [
        (request_id + INDEX_FORMAT % index).ljust(CELL_BYTES, ".")
        for index in range(first_cell, end)
    ]
    start = first_cell * CELL_BYTES
    return "".join(cells).encode()[first - start : last - start]


@final
class BodyCheck:
    """Compares the body of a request with the expected body as it arrives."""

    def __init__(self, *, request_id: str, body_bytes: int) -> None:
        self.request_id = request_id
        self.body_bytes = body_bytes
        self.received_bytes = 0
        self.changed_at_byte: int | None = None

    def receive(self, piece: bytes) -> None:
        """Compare the next piece."""
        first = self.received_bytes
        self.received_bytes += len(piece)
        if self.changed_at_byte is not None:
            return
        last = min(self.received_bytes, self.body_bytes)
        expected = upload_body(self.request_id, first, last)
        if piece == expected:
            return
        same = 0
        for sent, received in zip(expected, piece, strict=False):
            if sent != received:
                break
            same += 1
        self.changed_at_byte = first + same


class EarlyAnswer(StrEnum):
    """How a server answers before the end of a body."""

    REFUSE = "refuse"
    RUN = "run"


def draw_early_answer(
    rng: Random, *, share: float, body_bytes: int
) -> tuple[EarlyAnswer, int] | None:
    """Return the kind of an early answer, and after how many bytes it is sent.

    Returns None if the upload is to be answered after its end.
    """
    if rng.random() >= share:
        return None
    kind = EarlyAnswer.REFUSE if rng.random() < REFUSED_SHARE else EarlyAnswer.RUN
    after_bytes = 0 if rng.random() < IMMEDIATE_SHARE else rng.randrange(body_bytes + 1)
    return kind, after_bytes


class UploadReceiver(Protocol):
    """Handles the events of uploads."""

    def begin_upload(self, request: "StandInRequest", check: BodyCheck) -> None:
        """Handle the head of an upload; may set its ``early_answer``."""

    def answer_upload(
        self, request: "StandInRequest", check: BodyCheck, kind: EarlyAnswer
    ) -> None:
        """Answer an upload before its end."""

    def end_upload(self, check: BodyCheck, *, has_ended: bool) -> None:
        """Handle the end of the body, or the loss of the connection before it."""


@final
class StandInRequest(Request):
    """A request; the body of an upload is checked as it arrives.

    An upload may be answered before its end; the rest is still read and checked.
    """

    check: BodyCheck | None = None
    early_answer: tuple[EarlyAnswer, int] | None = None
    _is_answered = False

    def _receiver(self) -> UploadReceiver:
        channel: Any = self.channel
        receiver: UploadReceiver = channel.site.resource
        return receiver

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin to check the body of an upload."""
        super().gotLength(length)
        stated = self.getHeader(UPLOAD_HEADER)
        if stated is not None:
            request_id = self.getHeader("attempt-id") or ""
            self.check = BodyCheck(request_id=request_id, body_bytes=int(stated))
            self._receiver().begin_upload(self, self.check)
            self._answer_if_due(self.check)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Check a piece of the body."""
        super().handleContentChunk(data)
        if self.check is not None:
            self.check.receive(data)
            self._answer_if_due(self.check)

    def _answer_if_due(self, check: BodyCheck) -> None:
        if self.early_answer is None:
            return
        kind, after_bytes = self.early_answer
        if check.received_bytes >= after_bytes:
            self.early_answer = None
            self._receiver().answer_upload(self, check, kind)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Handle the request, unless it is an upload that has been answered."""
        if self.check is not None:
            self._receiver().end_upload(self.check, has_ended=True)
        super().requestReceived(command, path, version)

    def process(self) -> None:
        """Handle the whole request."""
        if not self._is_answered:
            super().process()
            return
        self.finished = 1
        self._cleanup()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Report an upload that has not ended."""
        if self.check is not None:
            self._receiver().end_upload(self.check, has_ended=False)
        super().connectionLost(reason)

    def answer_early(self, status_line: bytes, body: bytes) -> None:
        """Send an answer with the headers set so far, before the body has ended."""
        self._is_answered = True
        self.setHeader(b"Content-Length", b"%d" % len(body))
        lines = [
            b"%b: %b" % (name, value)
            for name, values in self.responseHeaders.getAllRawHeaders()
            for value in values
        ]
        head = b"\r\n".join([b"HTTP/1.1 " + status_line, *lines, b"", b""])
        self.channel.write(head + body)
