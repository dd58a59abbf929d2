"""Fakes of the caller's and the server's connection of a request's body."""

from typing import Any, final

from gentianwharf.relay._body_upload import BodyUpload
from gentianwharf.relay._caller_body import CallerBody


@final
class FakeChannel:
    """A caller's connection that records whether reading is paused."""

    def __init__(self) -> None:
        self.is_reading = True
        self.continues = 0

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """Record that reading has resumed."""
        self.is_reading = True

    def send_continue(self) -> None:
        """Count ``100 Continue``."""
        self.continues += 1


@final
class FakeServerConnection:
    """A connection to a server that records what its upload writes.

    It pauses the upload whenever ``capacity_bytes`` or more have been written.
    """

    def __init__(self, *, body: CallerBody, capacity_bytes: int | None = None) -> None:
        self.written = b""
        self.has_end = False
        self.is_closed = False
        self._capacity_bytes = capacity_bytes
        self.upload: BodyUpload = body.open_upload(on_abort=self._close)
        self.upload.startProducing(self).addCallback(self._end)  # type: ignore[arg-type]

    def write(self, data: bytes) -> None:
        """Record data; pause the upload once the capacity is reached."""
        assert not self.is_closed, "expected no data after the connection was closed"
        self.written += data
        if (
            self._capacity_bytes is not None
            and len(self.written) >= self._capacity_bytes
        ):
            self.upload.pauseProducing()

    def _end(self, result: Any) -> None:
        self.has_end = True

    def _close(self) -> None:
        self.is_closed = True
