"""Streams a request's body from the caller to a backend server."""

from collections import deque
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.web.iweb import UNKNOWN_LENGTH

from gentianwharf.errors import OutcomeUnknownError
from gentianwharf.quarantine import BodyPrefix

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

    def getPeer(self) -> Any:  # noqa: N802
        """Return the caller's address."""


class BodyConsumer(Protocol):
    """What a body is written to."""

    def write(self, data: bytes) -> None:
        """Take a part of the body."""


class CallerBody:
    """Produces the body of a caller's request for the connection to a server.

    Until a server consumes the body, only ``MAX_REPLAY_BYTES`` are read ahead, which
    are kept to be sent again anyway: that a caller has left shows only on a connection
    that is read. Beyond that, and while a server is slower than the caller, reading
    from the caller's connection is paused, and at most one read of the transport
    (64 KiB) is buffered.
    """

    def __init__(self, *, length: int | None, channel: BodySource) -> None:
        self.length: Any = UNKNOWN_LENGTH if length is None else length
        self.complete = False
        self.started = False
        self.received_bytes = 0
        self._channel = channel
        self._pending: deque[bytes] = deque()
        self._consumer: BodyConsumer | None = None
        self._done: Deferred[None] | None = None
        self._paused = True
        self._continue_pending = False
        self._replay: list[bytes] | None = []
        self._replay_bytes = 0
        self.prefix = BodyPrefix()
        self._prefix_known: list[Deferred[None]] = []

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
        if self._continue_pending:
            self._continue_pending = False
            self._channel.send_continue()
        self._channel.resume_reading()
        return known

    def _note_prefix(self) -> None:
        if self._prefix_known and self.is_prefix_known:
            waiting, self._prefix_known = self._prefix_known, []
            for known in waiting:
                known.callback(None)

    def expect_continue(self) -> None:
        """Record that the caller waits for ``100 Continue`` before sending the body."""
        self._continue_pending = True

    @property
    def can_restart(self) -> bool:
        """Whether the body can be produced from its beginning."""
        return not self.started or self._replay is not None

    def startProducing(self, consumer: BodyConsumer) -> Deferred[None]:  # noqa: N802
        """Start to write the body to ``consumer``, from its beginning."""
        if self.started:
            self._pending = deque(self._replay or ())
        self.started = True
        self._consumer = consumer
        self._done = Deferred()
        done = self._done
        if self._continue_pending:
            self._continue_pending = False
            self._channel.send_continue()
        self.resumeProducing()
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller."""
        self._paused = True
        self._channel.pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write pending data and resume reading from the caller."""
        self._paused = False
        while self._pending and not self._paused and self._consumer is not None:
            self._consumer.write(self._pending.popleft())
        if self._paused:
            return
        self._channel.resume_reading()
        if self.complete and not self._pending:
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing to this consumer; its server is down or has responded."""
        self._consumer = None
        self._done = None
        self.pauseProducing()
        if self._may_read_ahead():
            self._channel.resume_reading()

    def _may_read_ahead(self) -> bool:
        return self._consumer is None and self._replay is not None

    def received(self, data: bytes) -> int:
        """Add data received from the caller; return the bytes received so far."""
        self.received_bytes += len(data)
        self._store_for_replay(data)
        self.prefix.update(data)
        self._note_prefix()
        if self._paused or self._consumer is None:
            self._pending.append(data)
            if not self._may_read_ahead():
                self._channel.pause_reading()
        else:
            self._consumer.write(data)
        return self.received_bytes

    def _store_for_replay(self, data: bytes) -> None:
        if self._replay is None:
            return
        self._replay_bytes += len(data)
        if self._replay_bytes > MAX_REPLAY_BYTES:
            self._replay = None
            return
        self._replay.append(data)

    def end(self) -> None:
        """Record that the caller has sent the complete body."""
        self.complete = True
        self._note_prefix()
        if not self._pending and not self._paused:
            self._finish()

    def lost(self) -> None:
        """Fail the body, since the caller disconnected before its end."""
        done, self._done = self._done, None
        self._consumer = None
        if done is not None:
            done.errback(
                OutcomeUnknownError(
                    "the caller closed the connection before the end of the body",
                    step="read-body",
                    peer=str(self._channel.getPeer()),
                )
            )

    def _finish(self) -> None:
        done, self._done = self._done, None
        if done is not None:
            done.callback(None)
