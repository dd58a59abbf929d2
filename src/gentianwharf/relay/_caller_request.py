"""A caller's request, processed before its body has arrived.

``twisted.web`` gathers a whole body in memory or in a temporary file before anybody
sees the request. Entry hosts are small and have no disks, so the request class here
begins processing at the end of the head and passes the body on as it comes.
"""

from math import inf
from typing import Any, Protocol, cast

from twisted.web.http import Request
from twisted.web.resource import Resource

from gentianwharf.logs import log

from ._caller_body import BodySource, CallerBody
from ._pipeline import HeldAnswer


class RequestChannel(BodySource, Protocol):
    """The caller's connection, as its request sees it."""

    def head(self) -> tuple[bytes, bytes, bytes]:
        """Return method, target and version of the request being received."""

    def send_now(self) -> None:
        """Send what was written without waiting for the loop's next turn."""

    def disable_keep_alive(self) -> None:
        """Close once the answer is written; go on reading until then."""

    def close_after_answer(self) -> None:
        """Close once the answer is written; read nothing more."""

    def abort(self) -> None:
        """Close at once, whatever is still unsent."""


class CatchAllResource(Resource):
    """A resource that serves each request, whatever its path and method."""

    isLeaf = True  # noqa: N815

    def serve(self, request: "CallerRequest") -> None:
        """Begin to serve ``request``; nothing may be raised."""
        raise NotImplementedError


class CallerRequest(Request):
    """A caller's request, processed as soon as its head is complete."""

    body: CallerBody | None = None
    answered_early = False
    site: Any = None

    def take_turn(self) -> None:
        """Answer on the connection itself: all earlier answers are written."""
        if not isinstance(self.channel, HeldAnswer):
            return
        held, self.channel = self.channel, self.channel._channel
        self.queued = False
        held.hand_over()
        if self.finished:
            self._cleanup()

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin processing now when a body is to follow."""
        if length == 0:
            super().gotLength(0)
            return
        channel = cast(RequestChannel, self.channel)
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

    def _take_head(self, channel: "RequestChannel") -> None:
        self.set_head(*channel.head())

    def set_head(self, method: bytes, uri: bytes, version: bytes) -> None:
        """Take method, target and version."""
        self.method, self.uri, self.clientproto = method, uri, version
        # The target is not taken apart here: octets that are no UTF-8, which would be
        # refused then, are the server's business.
        self.path = b"/"
        self.args = {}

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies alone: they belong to the caller and its server."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Pass a piece of the body on."""
        if self.body is None:
            return
        most_bytes = cast(Any, self.channel).site.limits.most_body_bytes
        if self.body.received(data) > (most_bytes or inf):
            # In chunks, so that its head did not tell. The server sees a break.
            log.info(
                "request cut: its body is too large", extra={"most_bytes": most_bytes}
            )
            self.abort()

    def process(self) -> None:
        """Pass the request to the site's resource without routing by path."""
        self.site = cast(Any, self.channel).site
        self.site.resource.serve(self)

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Note the body's end; begin processing when there is no body."""
        if self.body is not None:
            self.body.end()
            return
        self.set_head(command, path, version)
        if self.queued:
            # Earlier requests of this connection are still being served.
            self.channel = cast(Any, HeldAnswer(channel=self.channel))
        self.process()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Tell the body's consumer that no more will come."""
        if self.body is not None and not self.body.complete:
            self.body.lost()
        super().connectionLost(reason)

    def write(self, data: bytes) -> None:
        """Write a piece of the answer; its head goes first.

        An answer that begins before the body is read ends with its connection, and
        has to say so: the caller's next request on it would be closed unanswered.
        """
        if not self.startedWriting and self._is_body_unread():
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            cast(RequestChannel, self.channel).disable_keep_alive()
        super().write(data)

    def _is_body_unread(self) -> bool:
        return self.body is not None and not self.body.complete

    def finish(self) -> None:
        """End the answer; close the connection if the body is not all read.

        What is left of an unread body would otherwise be parsed as the caller's
        next request.
        """
        if self._is_body_unread():
            self.answered_early = True
            cast(RequestChannel, self.channel).close_after_answer()
        super().finish()

    def send_now(self) -> None:
        """Send what was written of the answer at once."""
        if self.channel is not None:
            cast(RequestChannel, self.channel).send_now()

    def abort(self) -> None:
        """Break the connection, so that the caller sees that the answer is cut."""
        if self.channel is not None:
            cast(RequestChannel, self.channel).abort()
