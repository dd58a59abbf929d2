"""One answer of the platform's store, read within a limit of time."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

CALL_TIMEOUT_S = 2.0
"""A store that is slow takes some tenths of a second; one that is silent gets another
try on a new connection while most of what depends on it still holds."""

MAX_BODY_S = 20.0
"""What a body may take that goes on arriving: the largest page, 1.4 MB as it travels,
over half a megabit a second."""


@final
class TimeLimit:
    """Ends a call that is silent for too long, but not one whose answer goes on.

    A large value takes seconds over a slow link. Ended after a fixed time the call
    would be made again and again, and this host would never have what all others have.
    """

    def __init__(self, *, reactor: Any, timeout_s: float, max_body_s: float) -> None:
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._latest_s = reactor.seconds() + timeout_s + max_body_s
        self._timer: Any = None

    def start(self, asked: Deferred[Any]) -> None:
        """Begin to count a call's time, and cancel it when that is over.

        That closes the connection, so that a late answer meets nobody's call.
        """
        if asked.called:
            return
        self._timer = self._reactor.callLater(self._timeout_s, asked.cancel)
        asked.addBoth(self._stop)

    def extend(self) -> None:
        """Wait for the next piece of the body for as long as for a short answer.

        That is less than a watch waits for its first piece.
        """
        if self._timer is None or not self._timer.active():
            return
        now_s = self._reactor.seconds()
        due_s = min(now_s + min(self._timeout_s, CALL_TIMEOUT_S), self._latest_s)
        self._timer.reset(max(0.0, due_s - now_s))

    def _stop(self, result: Any) -> Any:
        if self._timer.active():
            self._timer.cancel()
        elif isinstance(result, Failure) and result.check(CancelledError):
            return Failure(TimeoutError())
        return result


@final
class BodyReader(Protocol):
    """Gathers a body and tells of each piece.

    A body without a length ends with its connection; one that was cut off then doesn't
    decode.
    """

    def __init__(self, *, on_chunk: Callable[[], None]) -> None:
        self.done: Deferred[bytes] = Deferred(self._close)
        self._on_chunk = on_chunk
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece."""
        self._chunks.append(data)
        self._on_chunk()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Hand the body on, or say why there is none."""
        if self.done.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b"".join(self._chunks))
        else:
            self.done.errback(reason)

    def _close(self, _: object) -> None:
        # The rest of an answer that nobody waits for would fill the link beside the
        # next one. The body's transport offers no abort.
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
