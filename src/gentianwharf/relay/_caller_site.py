"""The callers' port: HTTP/1.1 connections, their limits and their shutdown."""

import json
from typing import Any, cast

from twisted.internet.interfaces import ITCPTransport
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, HTTPFactory
from twisted.web.http_headers import Headers

from ._caller_limits import ConnectionLimits
from ._caller_request import CallerRequest, CatchAllResource
from ._headers import connection_options
from ._pipeline import MAX_PIPELINED, safe_head_length
from ._transport import send_now

LINGER_TIMEOUT_S = 30.0
"""Time for a caller to read an answer that was sent before the end of its request."""

MAX_DISCARDED_BYTES = 16 * 1024 * 1024
"""Maximum number of bytes of such a request that are read and dropped."""


class CallerChannel(HTTPChannel):
    """A caller's connection, with problem documents for malformed requests."""

    requestFactory = CallerRequest  # noqa: N815
    site: "CallerSite"
    _closing = False
    _is_body_paused = False
    _deferred_refusal = b""
    _head_started_s: float | None = None
    _is_body_unread = False
    _discarded_bytes = 0

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Remove the connection from the site."""
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Apply changed limits to everything that starts from now on."""
        self.totalHeadersSize = limits.most_head_bytes
        self.MAX_LENGTH = limits.most_head_bytes
        self.maxHeaders = limits.most_headers
        if self.requests:
            self._savedTimeOut = limits.idle_timeout_s
        else:
            self.setTimeout(limits.idle_timeout_s)

    def refuse_slow_head(self, now_s: float, timeout_s: float) -> None:
        """Refuse a request whose head takes longer than ``timeout_s`` to arrive."""
        if self._closing or not self._is_reading_head():
            self._head_started_s = None
        elif self._head_started_s is None:
            self._head_started_s = now_s
        elif now_s - self._head_started_s > timeout_s:
            self._refuse(_SLOW_HEAD)

    def _is_reading_head(self) -> bool:
        # The parser has a command from a request's first line until its end.
        is_begun = "_command" in self.__dict__
        return is_begun and bool(self.requests) and self.requests[-1].body is None

    def close_if_idle(self) -> None:
        """Close unless a request is being received or served."""
        if not self.requests:
            self._closing = True
            self.loseConnection()

    def head(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""
        return self._command, self._path, self._version

    def send_continue(self) -> None:
        """Send ``100 Continue``, so that the caller sends the body."""
        self._send100Continue()

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        self._is_body_paused = True
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Resume reading from the caller."""
        self._is_body_paused = False
        if not self._closing:
            self._networkProducer.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the response until the caller has read more of it."""
        super().pauseProducing()
        self._restore_body_backpressure()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the response."""
        super().resumeProducing()
        self._restore_body_backpressure()

    def _restore_body_backpressure(self) -> None:
        # Twisted also pauses and resumes reading with the response. While a body is
        # being received, only the upload's backpressure controls reading.
        if self._closing or not self._is_receiving_body():
            return
        if self._is_body_paused:
            self._networkProducer.pauseProducing()
        else:
            self._networkProducer.resumeProducing()

    def _is_receiving_body(self) -> bool:
        return bool(self.requests) and self.requests[-1].is_receiving_body

    def send_now(self) -> None:
        """Send written data without waiting for the next loop iteration."""
        send_now(self.transport)

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Write the head of a response in one call."""
        lines = [version, b" ", code, b" ", reason, b"\r\n"]
        for name, values in headers.getAllRawHeaders():
            for value in values:
                lines += (name, b": ", value, b"\r\n")
        lines.append(b"\r\n")
        self.write(b"".join(lines))

    def disable_keep_alive(self) -> None:
        """Close once the response is written; continue reading until then."""
        self.persistent = 0

    def close_after_response(self) -> None:
        """Close once the response is written, and drop the rest of the request."""
        self._closing = self._is_body_unread = True
        self.disable_keep_alive()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection; reset it if a response is in progress.

        HTTP/1.0 clients consider a response complete when its connection closes.
        """
        if any(each.startedWriting and not each.finished for each in self.requests):
            self.abort()
        else:
            super().timeoutConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Close once all data is written.

        If the body has not been read, only the sending side is closed (RFC 9112,
        section 9.6): closing with unread data resets the connection, and the caller
        may lose the end of the answer.
        """
        if not self._is_body_unread:
            super().loseConnection()
            return
        self._is_body_unread = False
        transport = cast(Any, self.transport)
        transport.unregisterProducer()
        transport.loseWriteConnection()
        transport.resumeProducing()
        self.setTimeout(LINGER_TIMEOUT_S)

    def abort(self) -> None:
        """Close immediately and discard unsent data."""
        self._closing = True
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process data, unless the connection is closing."""
        if not self._closing:
            super().dataReceived(data)
            return
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.abort()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process a part of a body, unless the connection is closing."""
        if not self._closing:
            super().rawDataReceived(data)
            self._parse_next()

    def allContentReceived(self) -> None:  # noqa: N802
        """Finish a body, unless the response has been sent already."""
        if not self._closing:
            super().allContentReceived()
            self._parse_next()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Write the next buffered response, or continue reading."""
        if len(self.requests) == 1 or request is not self.requests[0]:
            if self._deferred_refusal and self.transport is not None:
                self.transport.write(self._deferred_refusal)
            super().requestDone(request)
            return
        del self.requests[0]
        cast(CallerRequest, self.requests[0]).flush_response()
        self._parse_next()

    def _parse_next(self) -> None:
        """Parse the next pipelined request if it may be served concurrently.

        While ``_handlingRequest`` is set, the parser only buffers data.
        """
        may_parse = self._handlingRequest and self.persistent and not self._closing
        if not may_parse or not self._dataBuffer or len(self.requests) >= MAX_PIPELINED:
            return
        if self.requests and self.requests[-1].body is not None:
            return
        buffered = b"".join(self._dataBuffer)
        length = safe_head_length(buffered)
        self._dataBuffer = [buffered]
        if length:
            self._dataBuffer = [buffered[length:]] if len(buffered) > length else []
            self._handlingRequest = False
            self.setLineMode(buffered[:length])

    def checkPersistence(self, request: Any, version: bytes) -> bool:  # noqa: N802
        """Return whether the connection stays open, by all Connection headers.

        Twisted reads only the first header line and splits it at spaces, so that it
        would not close the connection for ``X-Mine, close``.
        """
        if version != b"HTTP/1.1":
            return False
        closing = b"close" in connection_options(request.requestHeaders)
        if not closing and not self.site.stopping:
            return True
        request.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        return False

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a head line that is too long."""
        self._receivedHeaderSize = self.totalHeadersSize + 1
        self._respondToBadRequestAndDisconnect()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        too_large = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        if self._closing or self.transport is None:
            return
        if self._is_receiving_body():
            self._refuse_malformed_body()
            return
        self._refuse(_TOO_LARGE if too_large else _MALFORMED)

    def _refuse_malformed_body(self) -> None:
        request = self.requests[-1]
        if request.startedWriting:
            request.abort()
            return
        request.body.lost()
        self._refuse(_MALFORMED_BODY)

    def _refuse(self, refusal: bytes) -> None:
        self._closing = True
        if len(self.requests) > 1:
            # Written now, it would be read as the response to an earlier request.
            self.requests.pop()
            self._deferred_refusal = refusal
            self.disable_keep_alive()
        elif self.transport is not None:
            self.transport.write(refusal)
            self.loseConnection()


def _refusal(status: bytes, title: str, *, run: str = "not-run") -> bytes:
    problem = {"title": title, "status": int(status[:3]), "run": run}
    body = json.dumps(problem).encode()
    return b"\r\n".join(
        [
            b"HTTP/1.1 " + status,
            b"Content-Type: application/problem+json",
            b"Content-Length: %d" % len(body),
            b"Connection: close",
            b"",
            body,
        ]
    )


_TOO_LARGE = _refusal(
    b"431 Request Header Fields Too Large", "the request's head is too large"
)
_MALFORMED = _refusal(b"400 Bad Request", "malformed request")
# The server may have run the request before receiving the end of its body.
_MALFORMED_BODY = _refusal(b"400 Bad Request", "malformed body", run="unknown")
_SLOW_HEAD = _refusal(b"408 Request Timeout", "the request's head came too slowly")


class CallerSite(HTTPFactory):
    """The callers' port.

    Extends ``HTTPFactory`` instead of ``twisted.web.server.Site``, whose module imports
    an object broker and HTML templates, which would slow down an entry host's startup.
    """

    protocol = CallerChannel  # type: ignore[assignment]

    def __init__(
        self,
        *,
        resource: CatchAllResource,
        reactor: Any,
        request_class: type[CallerRequest] = CallerRequest,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.limits = limits or ConnectionLimits()
        super().__init__(timeout=self.limits.idle_timeout_s, reactor=reactor)
        self.resource = resource
        self.requestFactory = request_class  # noqa: N815
        self._seconds = reactor.seconds
        self.channels: set[CallerChannel] = set()
        self.stopping = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Create a caller's connection and register it."""
        channel = cast(Any, super().buildProtocol(addr))
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.apply_limits(self.limits)
        self.channels.add(channel)
        return channel

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Apply changed limits, also to open connections."""
        if limits == self.limits:
            return
        self.limits = limits
        self.timeOut = limits.idle_timeout_s
        for channel in self.channels:
            channel.apply_limits(limits)

    def refuse_slow_heads(self) -> None:
        """Refuse requests whose heads arrive too slowly.

        To be called every ``SLOW_HEAD_CHECK_INTERVAL_S``.
        """
        now_s = self._seconds()
        for channel in list(self.channels):
            channel.refuse_slow_head(now_s, self.limits.head_timeout_s)

    def disable_keep_alive(self) -> None:
        """Close every connection with its next response."""
        self.stopping = True

    def close_idle_connections(self) -> None:
        """Close the connections that are not serving a request."""
        for channel in list(self.channels):
            channel.close_if_idle()

    def log(self, request: Any) -> None:
        """Write no access log: the relay records every response."""
