"""Uploads whose every byte a server can check by itself.

A body consists of cells with the request's id and their index, and a header states its
length. A server needs nothing else to tell whether it got what the caller sent.
"""

from enum import StrEnum
from random import Random
from typing import Any, Protocol, final

from twisted.web.server import Request

UPLOAD_HEADER = "Upload-Bytes"
"""States the length of an upload, in whichever framing it is sent."""

CELL_BYTES = 32
INDEX_FORMAT = ":%05x"
MAX_ID_BYTES = CELL_BYTES - len(INDEX_FORMAT % 0) - 1

REFUSED_SHARE = 0.7
"""Share of the early answers that refuse."""

AT_ONCE_SHARE = 0.5
"""Share of the early answers that don't wait for a byte of the body."""


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
    skipped, end = first // CELL_BYTES, -(-last // CELL_BYTES)
    cells = [
        (request_id + INDEX_FORMAT % index).ljust(CELL_BYTES, ".")
        for index in range(skipped, end)
    ]
    start = skipped * CELL_BYTES
    return "".join(cells).encode()[first - start : last - start]


@final
class BodyCheck:
    """Compares the body of a request with what its caller sent, piece by piece."""

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
    """Return how to answer an upload before its end, and after which byte.

    None for most uploads, which are answered after their end.
    """
    if rng.random() >= share:
        return None
    kind = EarlyAnswer.REFUSE if rng.random() < REFUSED_SHARE else EarlyAnswer.RUN
    at_byte = 0 if rng.random() < AT_ONCE_SHARE else rng.randrange(body_bytes + 1)
    return kind, at_byte


class UploadReceiver(Protocol):
    """What a server does with uploads as they come."""

    def begin_upload(self, request: "StandInRequest", check: BodyCheck) -> None:
        """Handle the head of an upload; may set its ``early_answer``."""

    def answer_upload(
        self, request: "StandInRequest", check: BodyCheck, kind: EarlyAnswer
    ) -> None:
        """Answer an upload before its end."""

    def end_upload(self, check: BodyCheck, *, has_ended: bool) -> None:
        """Handle the end of the body, or of its connection within it."""


@final
class StandInRequest(Request):
    """A request whose body is checked as it comes, where it is an upload.

    It may be answered before the end of its body; the rest is read and checked.
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
        kind, at_byte = self.early_answer
        if check.received_bytes >= at_byte:
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
