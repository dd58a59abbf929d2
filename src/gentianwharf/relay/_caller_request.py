"""A caller's request, processed before its body has arrived.

``twisted.web`` stores the complete body in memory or in a temporary file before it
processes the request. Entry hosts are small and have no disks, so this request class
starts processing at the end of the head and streams the body.
"""

from math import inf
from typing import Any, Protocol, cast

from twisted.web.http import Request
from twisted.web.resource import Resource

from gentianwharf.logs import log
from gentianwharf.sockets import is_closed_by_peer

from ._caller_body import BodySource, CallerBody
from ._pipeline import BufferedResponse


class RequestChannel(BodySource, Protocol):
    """The interface of the caller's connection to a request."""

    def head(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""

    def send_now(self) -> None:
        """Send written data without waiting for the next loop iteration."""

    def disable_keep_alive(self) -> None:
        """Close once the response is written; continue reading until then."""

    def close_after_response(self) -> None:
        """Close once the response is written, without reading further."""

    def abort(self) -> None:
        """Close immediately and discard unsent data."""


class CatchAllResource(Resource):
    """A resource that serves every request, whatever its path and method."""

    isLeaf = True  # noqa: N815

    def serve(self, request: "CallerRequest") -> None:
        """Start serving ``request``; must not raise."""
        raise NotImplementedError


class CallerRequest(Request):
    """A caller's request, processed as soon as its head is complete."""

    body: CallerBody | None = None
    responded_early = False
    site: Any = None

    def has_caller_left(self) -> bool:
        """Whether the caller has closed the connection, also if it isn't read now."""
        # Without a body the connection is read, and reports its end itself.
        transport = getattr(self.channel, "transport", None)
        return self.body is not None and is_closed_by_peer(transport)

    def flush_response(self) -> None:
        """Write the buffered response, since all earlier responses are written."""
        if not isinstance(self.channel, BufferedResponse):
            return
        buffered, self.channel = self.channel, self.channel._channel
        self.queued = False
        buffered.flush()
        if self.finished:
            self._cleanup()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Start processing now if a body follows."""
        if length == 0:
            super().gotLength(0)
            return
        channel = cast(RequestChannel, self.channel)
        self.body = CallerBody(length=length, channel=channel)
        if self.requestHeaders.hasHeader(b"expect"):
            self._consume_expectation()
        self._take_head(channel)
        self.process()

    def _consume_expectation(self) -> None:
        # Removed so that the channel does not send ``100 Continue`` itself: the body of
        # a request that is refused must not be uploaded.
        values = self.requestHeaders.getRawHeaders(b"expect") or []
        self.requestHeaders.removeHeader(b"expect")
        if values[0].lower() == b"100-continue" and self.body is not None:
            self.body.expect_continue()

    def _take_head(self, channel: "RequestChannel") -> None:
        self.set_head(*channel.head())

    def set_head(self, method: bytes, uri: bytes, version: bytes) -> None:
        """Set method, target and version."""
        self.method, self.uri, self.clientproto = method, uri, version
        # The target is not parsed here, since that would refuse octets that are not
        # valid UTF-8. Interpreting them is left to the server.
        self.path = b"/"
        self.args = {}

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing: cookies are forwarded unparsed."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Forward a chunk of the body."""
        if self.body is None or self.body.is_lost:
            return
        most_bytes = cast(Any, self.channel).site.limits.most_body_bytes
        if self.body.received(data) > (most_bytes or inf):
            # A chunked body, whose head states no length. The server gets an
            # incomplete request.
            log.info(
                "request aborted: body too large", extra={"most_bytes": most_bytes}
            )
            self.abort()

    def process(self) -> None:
        """Pass the request to the site's resource, without routing by path."""
        self.site = cast(Any, self.channel).site
        self.site.resource.serve(self)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Finish the body; start processing if there is none."""
        if self.body is not None:
            self.body.end()
            return
        self.set_head(command, path, version)
        if self.queued:
            # Earlier requests on this connection are still being served.
            self.channel = cast(Any, BufferedResponse(channel=self.channel))
        self.process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Fail the body if it is incomplete."""
        if self.body is not None:
            self.body.lost()
        super().connectionLost(reason)

    def write(self, data: bytes) -> None:
        """Write data of the response, after its head.

        A response that starts before the body is read must have ``Connection: close``,
        since the connection is closed after it. Otherwise the caller would send its
        next request there and get no response.
        """
        if not self.startedWriting and self.is_receiving_body:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            cast(RequestChannel, self.channel).disable_keep_alive()
        super().write(data)

    @property
    def is_receiving_body(self) -> bool:
        """Whether the caller has not sent the complete body."""
        return self.body is not None and not self.body.complete

    def finish(self) -> None:
        """Finish the response; close the connection if the body is not read completely.

        The rest of the body would otherwise be parsed as the caller's next request.
        """
        if self.is_receiving_body:
            self.responded_early = True
            cast(RequestChannel, self.channel).close_after_response()
        if self.body is not None:
            self.body.close()
        super().finish()

    def send_now(self) -> None:
        """Send the written part of the response immediately."""
        if self.channel is not None:
            cast(RequestChannel, self.channel).send_now()

    def abort(self) -> None:
        """Abort the connection, so that the caller detects the truncated response."""
        if self.body is not None:
            self.body.lost()
        if self.channel is not None:
            cast(RequestChannel, self.channel).abort()
