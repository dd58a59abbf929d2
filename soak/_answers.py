"""Reads answers that may arrive before the request body has been sent."""

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
        # Twisted detaches the transport if the answer precedes the end of the request.
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._pieces.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self.body.called:
            # Twisted calls this twice if the answer precedes the end of the request.
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
