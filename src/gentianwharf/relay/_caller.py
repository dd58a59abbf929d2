"""The callers' side: HTTP/1.1 requests handed on before their body has arrived.

``twisted.web`` gathers a whole body in memory or in a temporary file before anybody
sees the request. Entry hosts are small and have no disks, so the request class here
begins processing at the end of the head and passes the body on as it comes.
"""

import json
from collections import deque
from dataclasses import dataclass
from typing import Any, cast, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConsumer, ITCPTransport
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from twisted.web.resource import Resource
from twisted.web.server import Request, Site
from zope.interface import implementer

from gentianwharf.errors import OutcomeUnknownError

from ._headers import connection_options

# Bodies up to this size can be sent again to another server after a refusal that
# proves "not run": reservations and postings are a few hundred bytes. With 1,000
# requests in flight this is 16 MiB at most.
MOST_REPLAY_BYTES = 16_384


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """What one caller's connection may take.

    A browser or balancer that keeps a connection idle for a minute has most likely
    forgotten it; a middlebox drops idle state about then. A caller or server that
    moves no byte for ``stall_timeout_s`` is taken for gone: browsers give up on a
    stalled page far earlier, and each stalled answer holds a slot.
    """

    most_head_bytes: int = 16_384
    most_headers: int = 100
    idle_timeout_s: float = 60.0
    stall_timeout_s: float = 30.0


@implementer(IBodyProducer)
class CallerBody:
    """A request's body on its way from the caller to a backend server.

    Nothing is read ahead: until a server takes the body, and whenever that server
    is slower than the caller, reading from the caller's connection stops. At most
    one read of the transport (64 KiB) waits here.
    """

    def __init__(self, *, length: int | None, channel: "CallerChannel") -> None:
        self.length: Any = UNKNOWN_LENGTH if length is None else length
        self.complete = False
        self.started = False
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

    def received(self, data: bytes) -> None:
        """Take a piece of the body from the caller."""
        self._keep(data)
        if self._paused or self._consumer is None:
            self._waiting.append(data)
            self._channel.pause_reading()
            return
        self._consumer.write(data)

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


class CallerRequest(Request):
    """A caller's request, processed as soon as its head is complete."""

    body: CallerBody | None = None
    answered_early = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin processing now when a body is to follow."""
        if length == 0:
            super().gotLength(0)
            return
        channel = cast(CallerChannel, self.channel)
        self.body = CallerBody(length=length, channel=channel)
        if self.requestHeaders.hasHeader(b"expect"):
            self._take_expectation()
        self._take_head(channel)
        self.process()

    def _take_expectation(self) -> None:
        # Removed, so that the channel does not ask for the body by itself: a
        # request that is refused must not be uploaded first.
        values = self.requestHeaders.getRawHeaders(b"expect") or []
        self.requestHeaders.removeHeader(b"expect")
        if values[0].lower() == b"100-continue" and self.body is not None:
            self.body.expect_continue()

    def _take_head(self, channel: "CallerChannel") -> None:
        self.set_head(*channel.head())

    def set_head(self, method: bytes, uri: bytes, version: bytes) -> None:
        self.method, self.uri, self.clientproto = method, uri, version
        """Take method, target and version."""
        # klein has one route for everything and is not to take the target apart:
        # it would refuse octets that are no UTF-8, which are the server's business.
        self.path = b"/"
        self.args = {}

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies alone: they belong to the caller and its server."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a piece of the body on."""
        if self.body is not None:
            self.body.received(data)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Note the body's end; begin processing when there is no body."""
        if self.body is not None:
            self.body.end()
            return
        self.set_head(command, path, version)
        self.process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Tell the body's consumer that no more will come."""
        if self.body is not None and not self.body.complete:
            self.body.lost()
        super().connectionLost(reason)

    def finish(self) -> None:
        """End the answer; close the connection if the body is not all read.

        What is left of an unread body would otherwise be parsed as the caller's
        next request.
        """
        if self.body is not None and not self.body.complete:
            self.answered_early = True
            cast(CallerChannel, self.channel).close_after_answer()
        super().finish()

    def abort(self) -> None:
        """Break the connection, so that the caller sees that the answer is cut."""
        if self.channel is not None:
            cast(CallerChannel, self.channel).abort()


class CallerChannel(HTTPChannel):
    """A caller's connection, with problem documents for malformed requests."""

    requestFactory = CallerRequest  # noqa: N815
    site: "CallerSite"
    _closing = False

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        """Forget the connection."""
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def close_if_idle(self) -> None:
        """Close unless a request is being received or served."""
        if not self.requests:
            self._closing = True
            self.loseConnection()

    def head(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""
        return self._command, self._path, self._version

    def send_continue(self) -> None:
        """Ask the caller to send the body that it announced."""
        self._send100Continue()

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        self._networkProducer.pauseProducing()

    def resume_reading(self) -> None:
        """Read from the caller again."""
        if not self._closing:
            self._networkProducer.resumeProducing()

    def close_after_answer(self) -> None:
        """Close once the answer is written; read nothing more."""
        self._closing = True
        self.persistent = 0

    def abort(self) -> None:
        """Close at once, whatever is still unsent."""
        self._closing = True
        if self.transport is not None:
            cast(ITCPTransport, self.transport).abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take data, unless the connection is about to be closed."""
        if not self._closing:
            super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a piece of a body, unless the connection is about to be closed."""
        if not self._closing:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """End a body, unless its request was answered before."""
        if not self._closing:
            super().allContentReceived()

    def checkPersistence(self, request: Any, version: bytes) -> bool:  # noqa: N802
        """Say whether the connection stays open, by every Connection header.

        Twisted reads the first header line only and splits it at spaces, so that a
        caller that asks for ``X-Mine, close`` would wait for a close in vain.
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
        self._closing = True
        self.transport.write(_malformed(too_large=too_large))
        self.loseConnection()


def _malformed(*, too_large: bool) -> bytes:
    status = b"431 Request Header Fields Too Large" if too_large else b"400 Bad Request"
    title = "the request's head is too large" if too_large else "malformed request"
    problem = {"title": title, "status": int(status[:3]), "run": "not-run"}
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


class CallerSite(Site):
    """The callers' port."""

    protocol = CallerChannel  # type: ignore[assignment]

    def __init__(
        self,
        *,
        resource: Resource,
        reactor: Any,
        request_class: type[CallerRequest] = CallerRequest,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.limits = limits or ConnectionLimits()
        super().__init__(
            resource,
            requestFactory=request_class,
            timeout=self.limits.idle_timeout_s,
            reactor=reactor,
        )
        self.channels: set[CallerChannel] = set()
        self.stopping = False

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Make a caller's connection, and remember it."""
        channel = super().buildProtocol(addr)
        channel.totalHeadersSize = self.limits.most_head_bytes
        channel.MAX_LENGTH = self.limits.most_head_bytes
        channel.maxHeaders = self.limits.most_headers
        self.channels.add(channel)
        return channel

    def stop_keeping(self) -> None:
        """Ask for the close of every connection with its next answer."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being served."""
        for channel in list(self.channels):
            channel.close_if_idle()

    def log(self, request: Any) -> None:
        """Write no access log here: every answer is recorded by the relay."""
