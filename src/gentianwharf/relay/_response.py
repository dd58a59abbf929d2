"""Forwards a server's response to the caller."""

from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Response, ResponseDone
from twisted.web.http import datetimeToString
from twisted.web.iweb import UNKNOWN_LENGTH

from gentianwharf.errors import PeerMismatchError
from gentianwharf.pauses import Timeout

from ._caller_request import CallerRequest
from ._header_codec import HeaderCodec
from ._headers import CONTENT_LENGTH, response_headers, set_fields

DATE = b"Date"
# Confirmations of reservations and postings are a few hundred bytes.
MAX_STORED_BYTES = 64 * 1024

MIN_SILENCE_S = 0.25
"""Time without a byte after which a server may be taken for lost, once the request's
deadline has passed. A response that makes progress may last longer."""

SILENCE_RATIO = 2.0
"""A server that paused before is silent after this many times its longest pause."""


class ResponseBody(Protocol):
    """Forwards the body of a response, with back-pressure from caller to server.

    ``done`` fires with True once the complete body was forwarded, and with False if
    it was truncated. The caller's connection is then aborted as well, so that a
    truncated response does not look complete.

    After ``deadline_s``, on the loop's clock, a response counts as truncated as soon as
    the server is silent: it has sent nothing for ``MIN_SILENCE_S``, and for clearly
    longer than in any pause before. While the caller is too slow to take what the
    server sends, the server is not silent.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        clock: IReactorTime,
        deadline_s: float,
        keep: bool = False,
    ) -> None:
        self.timed_out = False
        """Whether the response was ended because the server was silent."""
        self.stored: bytearray | None = bytearray() if keep else None
        self.done: Deferred[bool] = Deferred(lambda _: self.abort())
        self._request = request
        self._clock = clock
        self._stall_timeout_s = cast(Any, request.site).limits.stall_timeout_s
        self._stall_timer: IDelayedCall | None = None
        self._deadline_s = deadline_s
        self._silence_timeout: Timeout | None = None
        self._received_s = clock.seconds()
        self._has_data = False
        self._longest_pause_s = 0.0
        """Between two pieces of the body; the wait for the first one is not counted."""
        self._is_paused = False
        self._finished = False

    def start_timers(self) -> None:
        """Abort the response if it stalls, unless it is complete already."""
        if self._finished:
            return
        self._start_stall_timer()
        self._start_silence_timeout(self._deadline_s - self._clock.seconds())

    def _start_stall_timer(self) -> None:
        self._stall_timer = self._clock.callLater(
            self._stall_timeout_s, self._handle_stall
        )

    def _reset_stall_timer(self) -> None:
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.reset(self._stall_timeout_s)

    def _start_silence_timeout(self, delay_s: float) -> None:
        self._silence_timeout = Timeout(
            clock=self._clock, delay_s=max(0.0, delay_s), expire=self._check_silence
        )

    def _check_silence(self) -> None:
        silence_s = max(MIN_SILENCE_S, SILENCE_RATIO * self._longest_pause_s)
        silent_s = 0.0 if self._is_paused else self._clock.seconds() - self._received_s
        if silent_s < silence_s:
            self._start_silence_timeout(silence_s - silent_s)
            return
        self.timed_out = True
        self._finish(complete=False)

    def connectionMade(self) -> None:  # noqa: N802
        """Register as a producer with the caller's transport."""
        self._request.registerProducer(self, True)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the server until the caller has taken what was sent."""
        self._is_paused = True
        cast(Any, self.transport).pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read from the server again."""
        self._is_paused = False
        self._received_s = self._clock.seconds()
        self._reset_stall_timer()
        cast(Any, self.transport).resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop reading: the caller has disconnected."""
        cast(Any, self.transport).stopProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward a chunk of the body."""
        if self._finished:
            return
        now_s = self._clock.seconds()
        if self._has_data:
            pause_s = now_s - self._received_s
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._has_data = True
        self._received_s = now_s
        self._reset_stall_timer()
        self._store(data)
        self._request.write(data)

    def _store(self, data: bytes) -> None:
        if self.stored is None:
            return
        self.stored += data
        if len(self.stored) > MAX_STORED_BYTES:
            self.stored = None

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Finish or abort the response, by how the body ended."""
        complete = reason is not None and cast(Failure, reason).check(ResponseDone)
        self._finish(complete=bool(complete))

    def abort(self) -> None:
        """Abort the response: the caller disconnected or the daemon is stopping."""
        self._finish(complete=False)

    def _handle_stall(self) -> None:
        if self._is_paused and self._request.queued:
            # It waits for earlier pipelined responses, which have their own timers.
            self._start_stall_timer()
            return
        self._finish(complete=False)

    def _finish(self, *, complete: bool) -> None:
        if self._finished:
            return
        self._finished = True
        if self._stall_timer is not None and self._stall_timer.active():
            self._stall_timer.cancel()
        if self._silence_timeout is not None:
            self._silence_timeout.stop()
        if not self._request._disconnected:
            self._request.unregisterProducer()
            if not complete:
                self._request.abort()
        if not self.done.called:
            self.done.callback(complete)


def check_request_id(
    response: Response, request_id: str, *, codec: HeaderCodec, peer: str
) -> bool:
    """Return whether the response carries the request's id; False if it carries none.

    Raises ``PeerMismatchError`` if it carries another request's id, or none although
    servers always echo it. Forwarding it would send one caller's data to another.
    """
    echoed = codec.echoed_request_id(response.headers)
    if echoed == request_id.encode("latin-1"):
        return True
    if echoed is None and not codec.always_echoes_id:
        return False
    raise PeerMismatchError(
        f"expected the answer to request {request_id}, got"
        f" {'one without an id' if echoed is None else echoed.decode('latin-1')}",
        step="match-answer",
        peer=peer,
    )


def has_detectable_end(connection: HTTP11ClientProtocol, response: Response) -> bool:
    """Return whether the response carries a length or is chunked.

    A body that ends with the connection looks complete wherever it is truncated. So
    does one of which the parser, which knows how the body is framed, is gone: call this
    when the head arrives.
    """
    if response.length is not UNKNOWN_LENGTH:
        return True
    parser = connection._parser
    return parser is not None and bool(
        parser.connHeaders.hasHeader(b"transfer-encoding")
    )


def write_response_head(
    request: CallerRequest, response: Response, *, request_id: str, codec: HeaderCodec
) -> None:
    """Write the status and headers of the response to the caller."""
    request.setResponseCode(response.code, response.phrase)
    fields = response_headers(response.headers, codec.is_forwarded)
    fields[codec.request_id_header] = [request_id.encode("latin-1")]
    if response.length is not UNKNOWN_LENGTH and not _has_no_body(request, response):
        fields[CONTENT_LENGTH] = [str(response.length).encode()]
    if DATE not in fields:
        # RFC 9110, section 6.6.1: a recipient that forwards a response without a Date
        # header adds one.
        fields[DATE] = [datetimeToString()]
    set_fields(request.responseHeaders, fields)


def _has_no_body(request: CallerRequest, response: Response) -> bool:
    return bool(request.method == b"HEAD" or response.code in (204, 304))
