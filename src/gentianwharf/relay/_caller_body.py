"""Buffers a request's body for the uploads to backend servers."""

from collections.abc import Callable
from typing import Any, Protocol, final

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH

from gentianwharf.quarantine import BodyPrefix

from ._body_upload import BodyUpload

# Bodies up to this size can be sent to another server after a refusal that proves "not
# run". Reservations and postings have a few hundred bytes. With 1,000 requests in
# flight, the copies take at most 16 MiB.
MAX_REPLAY_BYTES = 16_384


class BodySource(Protocol):
    """The interface of the caller's connection to a request's body."""

    def pause_reading(self) -> None:
        """Stop reading from the caller."""

    def resume_reading(self) -> None:
        """Resume reading from the caller."""

    def send_continue(self) -> None:
        """Send ``100 Continue``, so that the caller sends the body."""


@final
class CallerBody:
    """Buffers the body of a caller's request until it is sent to a server.

    Each attempt sends the body with its own upload; only one is active at a time. While
    none is active, up to ``MAX_REPLAY_BYTES`` are read ahead, since a disconnected
    caller is detected only by reading. Bodies up to the same size are kept after
    sending, to be sent again to another server. Beyond that, and while a server is
    slower than the caller, reading from the caller's connection is paused, and at most
    one read of the transport (64 KiB) is buffered.
    """

    def __init__(self, *, length: int | None, channel: BodySource) -> None:
        self.length: Any = UNKNOWN_LENGTH if length is None else length
        self.complete = False
        self.received_bytes = 0
        self.prefix = BodyPrefix()
        self._channel: BodySource | None = channel
        self._held = b""
        self._held_offset_bytes = 0
        self._upload: BodyUpload | None = None
        self._is_reading = True
        self.is_lost = False
        """Whether the caller's connection was lost before the end of the body."""
        self._continue_pending = False
        self._prefix_known: list[Deferred[None]] = []

    @property
    def can_restart(self) -> bool:
        """Whether the body can be sent from its beginning."""
        return self._held_offset_bytes == 0 and not self.is_lost

    @property
    def held_bytes(self) -> int:
        """The size of the buffered data."""
        return len(self._held)

    def open_upload(
        self, *, on_abort: Callable[[], None], is_confirmed: bool = True
    ) -> BodyUpload:
        """Return a new upload of the body; aborts the previous one.

        ``on_abort`` must close the upload's connection. An upload that is not yet
        ``is_confirmed`` keeps the body from its beginning until it is. Raises
        ``ValueError`` unless ``can_restart``.
        """
        if not self.can_restart:
            raise ValueError(
                "expected a body that is held from its beginning, got one from byte"
                f" {self._held_offset_bytes} on; check can_restart before sending again"
            )
        if self._upload is not None:
            self._upload.abort()
        self._send_pending_continue()
        self._upload = BodyUpload(
            source=self,
            length=self.length,
            on_abort=on_abort,
            is_confirmed=is_confirmed,
        )
        return self._upload

    def read(self, offset_bytes: int) -> bytes:
        """Return the buffered data from ``offset_bytes`` on."""
        start = offset_bytes - self._held_offset_bytes
        if start < 0:
            raise ValueError(
                f"expected an offset of {self._held_offset_bytes} bytes or more, got"
                f" {offset_bytes}"
            )
        return self._held[start:]

    def note_progress(self) -> None:
        """Discard sent data of a body too large to replay; pause or resume reading."""
        upload = self._upload
        is_kept = self.received_bytes <= MAX_REPLAY_BYTES
        if (
            upload is not None
            and upload.is_confirmed
            and not upload.is_aborted
            and not is_kept
        ):
            self._held = self._held[upload.sent_bytes - self._held_offset_bytes :]
            self._held_offset_bytes = upload.sent_bytes
        self._set_reading(self._should_read())

    def _should_read(self) -> bool:
        if self.complete or self.is_lost:
            return True
        if self._upload is not None and self._upload.is_active:
            return self._upload.wants_data
        return self.can_restart and self.received_bytes <= MAX_REPLAY_BYTES

    def _set_reading(self, is_reading: bool) -> None:
        if self._channel is None or is_reading == self._is_reading:
            return
        self._is_reading = is_reading
        if is_reading:
            self._channel.resume_reading()
        else:
            self._channel.pause_reading()

    def received(self, data: bytes) -> int:
        """Add data received from the caller; return the bytes received so far."""
        self.received_bytes += len(data)
        self._held = self._held + data if self._held else data
        self.prefix.update(data)
        self._note_prefix()
        self._send_received()
        return self.received_bytes

    def end(self) -> None:
        """Record that the caller has sent the complete body."""
        self.complete = True
        self._note_prefix()
        self._send_received()

    def _send_received(self) -> None:
        if self._upload is not None and self._upload.wants_data:
            self._upload.send()
        else:
            self.note_progress()

    def lost(self) -> None:
        """Abort the upload, unless the caller has sent the complete body."""
        if self.complete:
            return
        self.is_lost = True
        if self._upload is not None:
            self._upload.abort()

    def close(self) -> None:
        """Release the caller's connection for its next request.

        If the caller has sent the complete body, a server that responded early still
        gets the rest.
        """
        self.lost()
        self._set_reading(True)
        self._channel = None

    @property
    def is_prefix_known(self) -> bool:
        """Whether ``prefix`` won't change."""
        return self.complete or self.prefix.is_full

    def wait_for_prefix(self) -> Deferred[None]:
        """Return a Deferred that fires once ``prefix`` won't change.

        The caller is asked for the body if it waits for that. The Deferred never fires
        if the caller leaves; it can be cancelled.
        """
        known: Deferred[None] = Deferred(self._prefix_known.remove)
        self._prefix_known.append(known)
        self._send_pending_continue()
        return known

    def _note_prefix(self) -> None:
        if self._prefix_known and self.is_prefix_known:
            waiting, self._prefix_known = self._prefix_known, []
            for known in waiting:
                known.callback(None)

    def expect_continue(self) -> None:
        """Record that the caller waits for ``100 Continue`` before sending the body."""
        self._continue_pending = True

    def _send_pending_continue(self) -> None:
        if self._continue_pending and self._channel is not None:
            self._continue_pending = False
            self._channel.send_continue()
