"""What one attempt sends of a request's body."""

from dataclasses import dataclass
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from ._caller_body import CallerBody


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


@final
@implementer(IBodyProducer)
class BodyUpload:
    """Passes a body on to the connection of one attempt, and counts its bytes."""

    def __init__(self, *, body: CallerBody) -> None:
        self.length: Any = body.length
        self.sent_bytes = 0
        self.ended = False
        self._body = body
        self._consumer: IConsumer | None = None

    def record(self) -> BodyRecord:
        """Return what was sent until now."""
        return BodyRecord(
            sent_bytes=self.sent_bytes,
            received_bytes=self._body.received_bytes,
            ended=self.ended,
        )

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Start to write the body to ``consumer``."""
        self._consumer = consumer
        done = self._body.startProducing(self)
        done.addCallback(self._note_end)
        return done

    def _note_end(self, result: None) -> None:
        self.ended = True

    def write(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self.sent_bytes += len(data)
        if self._consumer is not None:
            self._consumer.write(data)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller."""
        self._body.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the caller."""
        self._body.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop: the server is down or has responded."""
        self._body.stopProducing()
