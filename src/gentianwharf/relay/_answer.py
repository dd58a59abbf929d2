"""A server's answer on its way to the caller."""

from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Response, ResponseDone
from twisted.web.http import datetimeToString
from twisted.web.iweb import UNKNOWN_LENGTH

from gentianwharf.errors import PeerMismatchError

from ._caller_request import CallerRequest
from ._header_codec import HeaderCodec
from ._headers import CONTENT_LENGTH, answered_with, set_fields

DATE = b"Date"
# Confirmations of reservations and postings are a few hundred bytes.
MOST_KEPT_BYTES = 64 * 1024


class AnswerBody(Protocol):
    """Hands an answer's body on, with the caller's pace kept to the server.

    ``done`` fires with True once the whole body was handed on, and with False when
    the server broke off: the caller's connection is then broken as well, for a
    short answer must never look whole.
    """

    def __init__(
        self, *, request: CallerRequest, clock: IReactorTime, keep: bool = False
    ) -> None:
        self.kept: bytearray | None = bytearray() if keep else None
        self.done: Deferred[bool] = Deferred(lambda _: self.abort())
        self._request = request
        self._clock = clock
        self._stall_timeout_s = cast(Any, request.site).limits.stall_timeout_s
        self._stall: IDelayedCall | None = None
        self._finished = False

    def watch(self) -> None:
        """Break the answer if it stalls, for one that has not come whole at once."""
        if not self._finished:
            self._stall = self._clock.callLater(self._stall_timeout_s, self._stalled)

    def connectionMade(self) -> None:  # noqa: N802
        """Let the caller's transport pause and resume the server's."""
        self._request.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand a piece on."""
        if self._finished:
            return
        if self._stall is not None:
            self._stall.reset(self._stall_timeout_s)
        self._keep(data)
        self._request.write(data)

    def _keep(self, data: bytes) -> None:
        if self.kept is None:
            return
        self.kept += data
        if len(self.kept) > MOST_KEPT_BYTES:
            self.kept = None

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the answer, or break it."""
        whole = reason is not None and cast(Failure, reason).check(ResponseDone)
        self._end(whole=bool(whole))

    def abort(self) -> None:
        """Break the answer: the caller is gone or the daemon must stop."""
        self._end(whole=False)

    def _stalled(self) -> None:
        self._end(whole=False)

    def _end(self, *, whole: bool) -> None:
        if self._finished:
            return
        self._finished = True
        if self._stall is not None and self._stall.active():
            self._stall.cancel()
        if not self._request._disconnected:
            self._request.unregisterProducer()
            if not whole:
                self._request.abort()
        if not self.done.called:
            self.done.callback(whole)


def check_request_id(
    response: Response, request_id: str, *, codec: HeaderCodec, peer: str
) -> None:
    """Raise ``PeerMismatchError`` if the answer names another request.

    An answer that arrives crossed would hand one caller's data to another.
    """
    echoed = codec.echoed_request_id(response.headers)
    if echoed is not None and echoed != request_id.encode("latin-1"):
        raise PeerMismatchError(
            f"expected the answer to request {request_id}, got"
            f" {echoed.decode('latin-1')}",
            step="match-answer",
            peer=peer,
        )


def has_provable_end(connection: HTTP11ClientProtocol, response: Response) -> bool:
    """Say whether the end of the answer's body can be told from a break.

    A body that ends with the connection looks whole wherever it is cut.
    """
    if response.length is not UNKNOWN_LENGTH:
        return True
    parser = connection._parser
    if parser is None:
        # Parsed to its end already, so it had one.
        return True
    return bool(parser.connHeaders.hasHeader(b"transfer-encoding"))


def write_head(
    request: CallerRequest, response: Response, *, request_id: str, codec: HeaderCodec
) -> None:
    """Write the answer's status and headers to the caller."""
    request.setResponseCode(response.code, response.phrase)
    fields = answered_with(response.headers, codec.is_forwarded)
    fields[codec.request_id_header] = [request_id.encode("latin-1")]
    if response.length is not UNKNOWN_LENGTH and not _has_no_body(request, response):
        fields[CONTENT_LENGTH] = [str(response.length).encode()]
    if DATE not in fields:
        # RFC 9110, section 6.6.1: who hands on an answer without one dates it.
        fields[DATE] = [datetimeToString()]
    set_fields(request.responseHeaders, fields)


def _has_no_body(request: CallerRequest, response: Response) -> bool:
    return bool(request.method == b"HEAD" or response.code in (204, 304))
