"""Reads answers that may come before the end of a request's body."""

from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone


@final
class _AnswerReader(Protocol):
    def __init__(self) -> None:
        self.body: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._pieces: list[bytes] = []

    def _abort(self) -> None:
        # An answer before the end of the request's body has no transport any more.
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._pieces.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.body.called:
            # Twisted tells the end of such an answer twice.
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._pieces))
        else:
            self.body.errback(reason)


def read_answer(response: Any) -> Deferred[bytes]:
    """Return the body of an answer; cancelling the result closes its connection."""
    reader = _AnswerReader()
    response.deliverBody(reader)
    return reader.body
