"""A request's body on its way from the caller to a backend server."""

from collections import deque
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from gentianwharf.errors import OutcomeUnknownError

# Bodies up to this size can be sent again to another server after a refusal that
# proves "not run": reservations and postings are a few hundred bytes. With 1,000
# requests in flight this is 16 MiB at most.
MOST_REPLAY_BYTES = 16_384


class BodySource(Protocol):
    """The caller's connection, as its request's body sees it."""

    def pause_reading(self) -> None:
        """Stop reading from the caller."""

    def resume_reading(self) -> None:
        """Read from the caller again."""

    def send_continue(self) -> None:
        """Ask the caller to send the body that it announced."""

    def getPeer(self) -> Any:  # noqa: N802
        """Return the caller's address."""


@implementer(IBodyProducer)
class CallerBody:
    """A request's body on its way from the caller to a backend server.

    Nothing is read ahead: until a server takes the body, and whenever that server
    is slower than the caller, reading from the caller's connection stops. At most
    one read of the transport (64 KiB) waits here.
    """

    def __init__(self, *, length: int | None, channel: BodySource) -> None:
        self.length: Any = UNKNOWN_LENGTH if length is None else length
        self.complete = False
        self.started = False
        self.received_bytes = 0
        self._channel = channel
        self._waiting: deque[bytes] = deque()
        self._consumer: IConsumer | None = None
        self._done: Deferred[None] | None = None
        self._paused = True
        self._continue_due = False
        self._replay: list[bytes] | None = []
        self._replay_bytes = 0

    def expect_continue(self) -> None:
        """Note that the caller waits for ``100 Continue`` before it sends."""
        self._continue_due = True

    @property
    def can_restart(self) -> bool:
        """Whether the body can be handed out from its beginning."""
        return not self.started or self._replay is not None

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Begin to hand the body to ``consumer``, from its beginning."""
        if self.started:
            self._waiting = deque(self._replay or ())
        self.started = True
        self._consumer = consumer
        self._done = Deferred()
        done = self._done
        if self._continue_due:
            self._continue_due = False
            self._channel.send_continue()
        self.resumeProducing()
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller."""
        self._paused = True
        self._channel.pause_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on reading from the caller."""
        self._paused = False
        while self._waiting and not self._paused and self._consumer is not None:
            self._consumer.write(self._waiting.popleft())
        if self._paused:
            return
        self._channel.resume_reading()
        if self.complete and not self._waiting:
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802
        """Hand no more to this consumer: its server is gone or has answered."""
        self._consumer = None
        self._done = None
        self.pauseProducing()

    def received(self, data: bytes) -> int:
        """Take a piece of the body from the caller; return how many bytes came yet."""
        self.received_bytes += len(data)
        self._keep(data)
        if self._paused or self._consumer is None:
            self._waiting.append(data)
            self._channel.pause_reading()
        else:
            self._consumer.write(data)
        return self.received_bytes

    def _keep(self, data: bytes) -> None:
        if self._replay is None:
            return
        self._replay_bytes += len(data)
        if self._replay_bytes > MOST_REPLAY_BYTES:
            self._replay = None
            return
        self._replay.append(data)

    def end(self) -> None:
        """Note that the caller has sent the whole body."""
        self.complete = True
        if not self._waiting and not self._paused:
            self._finish()

    def lost(self) -> None:
        """Note that the caller went away in the middle of the body."""
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
