"""Reading of one response of the platform's store within a time limit."""

from collections.abc import Callable
from typing import Any, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from gentianwharf.errors import PeerMismatchError
from gentianwharf.http_agent import BodyReader

CALL_TIMEOUT_S = 2.0
"""A slow store takes some tenths of a second. If it doesn't respond, the call is
retried on a new connection while most of what depends on it is still valid."""

MAX_BODY_S = 20.0
"""Time limit for a body that keeps arriving, enough for the largest page (1.4 MB when
encoded) at half a megabit per second."""


MAX_BODY_BYTES = 64 * 1024 * 1024
"""Far more than a page or the changes of an outage; bounds the memory that an answer
without an end takes."""


@final
class TimeLimit:
    """Cancels a call that receives no data for too long.

    A large value takes seconds over a slow link. With a fixed timeout the call would be
    cancelled and repeated again and again, and this host would never get the value.
    """

    def __init__(self, *, reactor: Any, timeout_s: float, max_body_s: float) -> None:
        self.on_response_start: Callable[[], None] = lambda: None
        """Called when the head of the response has arrived."""
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._end_s = reactor.seconds() + timeout_s + max_body_s
        self._timer: Any = None

    def start(self, pending: Deferred[Any]) -> None:
        """Start the timeout of a call, which is cancelled when it expires.

        Cancellation closes the connection, so that a late response is not taken for
        that of another call.
        """
        if pending.called:
            return
        self._timer = self._reactor.callLater(self._timeout_s, pending.cancel)
        pending.addBoth(self._stop)

    def extend(self) -> None:
        """Restart the timeout when a chunk of the body has arrived.

        The next chunk must arrive within the usual call timeout, which is shorter than
        the time that a watch waits for its first chunk.
        """
        if self._timer is None or not self._timer.active():
            return
        now_s = self._reactor.seconds()
        deadline_s = min(now_s + min(self._timeout_s, CALL_TIMEOUT_S), self._end_s)
        self._timer.reset(max(0.0, deadline_s - now_s))

    def _stop(self, result: Any) -> Any:
        if self._timer.active():
            self._timer.cancel()
        elif isinstance(result, Failure) and result.check(CancelledError):
            return Failure(TimeoutError())
        return result


def body_reader(*, on_chunk: Callable[[], None]) -> BodyReader:
    """Return a reader of a response body, which calls ``on_chunk`` for each chunk."""
    return BodyReader(
        max_bytes=MAX_BODY_BYTES, size_error=_size_error, on_chunk=on_chunk
    )


def _size_error(received_bytes: int) -> PeerMismatchError:
    return PeerMismatchError(
        f"expected a body of {MAX_BODY_BYTES} bytes at most, got {received_bytes}"
        " without its end",
        step="read-answer",
        peer="store",
    )
