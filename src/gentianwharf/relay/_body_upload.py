"""Sends a request's body to the server of one attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol, cast, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class BodyRecord:
    """How much of a request's body an attempt has handed to its connection.

    ``received_bytes`` is what had come from the caller when the record was made.
    """

    sent_bytes: int
    received_bytes: int
    ended: bool

    def __str__(self) -> str:
        state = "ended" if self.ended else "cut"
        return f"body {self.sent_bytes}/{self.received_bytes} {state}"


class UploadSource(Protocol):
    """The body that an upload sends."""

    received_bytes: int
    complete: bool
    """Whether ``received_bytes`` is the length of the body."""

    def read(self, offset_bytes: int) -> bytes:
        """Return the buffered data from ``offset_bytes`` on.

        Raises ``ValueError`` if data from ``offset_bytes`` on was discarded.
        """

    def note_progress(self) -> None:
        """Handle that the upload started, sent data, was paused or stopped."""


class _State(Enum):
    NEW = auto()
    WRITING = auto()
    PAUSED = auto()
    ENDED = auto()
    ABORTED = auto()


_ACTIVE = (_State.NEW, _State.WRITING, _State.PAUSED)


@final
@implementer(IBodyProducer)
class BodyUpload:
    """Sends a request's body on the connection of one attempt.

    Writes the body unchanged from its first byte, and its end only after the caller has
    sent it. An upload that has ended or was aborted ignores calls of its connection,
    which may still pause, resume or stop it while another attempt sends the same body.
    """

    def __init__(
        self,
        *,
        source: UploadSource,
        length: Any,
        on_abort: Callable[[], None],
        is_confirmed: bool = True,
    ) -> None:
        self.length = length
        self.sent_bytes = 0
        self.is_confirmed = is_confirmed
        """Whether the kernel has accepted the beginning of the request."""
        self._source = source
        self._on_abort = on_abort
        self._consumer: IConsumer | None = None
        self._done: Deferred[None] | None = None
        self._state = _State.NEW

    @property
    def ended(self) -> bool:
        """Whether the complete body and its end were sent."""
        return self._state is _State.ENDED

    @property
    def is_active(self) -> bool:
        """Whether the upload has neither ended nor been aborted."""
        return self._state in _ACTIVE

    @property
    def is_aborted(self) -> bool:
        """Whether the upload stopped before the end of the body."""
        return self._state is _State.ABORTED

    @property
    def wants_data(self) -> bool:
        """Whether data can be written to the connection now."""
        return self._state is _State.WRITING

    def record(self) -> BodyRecord:
        """Return what was sent until now."""
        return BodyRecord(
            sent_bytes=self.sent_bytes,
            received_bytes=self._source.received_bytes,
            ended=self.ended,
        )

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Start to write the body; the result fires once all of it was written.

        It never fires if the upload is aborted, so that no end of the body is written.
        """
        self._consumer = consumer
        done: Deferred[None] = Deferred(lambda _: self.abort())
        self._done = done
        if self._state is _State.NEW:
            self._state = _State.WRITING
            self.send()
        return done

    def send(self) -> None:
        """Write the received data that is not yet sent, until writing is paused."""
        source = self._source
        while self.wants_data and self.sent_bytes < source.received_bytes:
            data = source.read(self.sent_bytes)
            self.sent_bytes += len(data)
            cast(IConsumer, self._consumer).write(data)
        if not self.wants_data:
            # Pausing or stopping has noted the progress.
            return
        if source.complete:
            self._state = _State.ENDED
            cast("Deferred[None]", self._done).callback(None)
        source.note_progress()

    def confirm(self) -> None:
        """Record that the kernel has accepted the beginning of the request."""
        self.is_confirmed = True
        self._source.note_progress()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing until the connection's write buffer has drained."""
        if self._state is _State.WRITING:
            self._state = _State.PAUSED
            self._source.note_progress()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing."""
        if self._state is _State.PAUSED:
            self._state = _State.WRITING
            self.send()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing, since the connection is lost."""
        if self.is_active:
            self._state = _State.ABORTED
            self._source.note_progress()

    def abort(self) -> None:
        """Stop writing and abort the connection, unless the upload has ended.

        Guards against servers that accept a truncated body as complete.
        """
        if self.is_active:
            self.stopProducing()
            self._on_abort()
