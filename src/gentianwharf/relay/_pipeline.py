"""Requests that a caller sends before the answer to an earlier one.

Load pattern: archivists' browsers send several reads of half a second to two seconds
on one connection. One at a time, the third is late before anybody has begun with it.
They are served side by side; each answer is held until those before it are written.
"""

from typing import Any, final

MOST_AHEAD = 8
"""Requests of one connection that are served at a time: browsers that pipeline send up
to about six. More wait unread, so that one caller can't fill a host with them."""

MOST_HELD_BYTES = 64 * 1024
"""Of an answer that waits for its turn; its server is paused beyond that. With eight on
each of a hundred connections it is 50 MiB at the very most."""

_SAFE_METHODS = (b"GET ", b"HEAD ")
_BODY_FIELDS = (b"content-length:", b"transfer-encoding:", b"expect:", b"upgrade:")


def whole_safe_head(data: bytes) -> int:
    r"""Return how long the head is that begins ``data``, 0 if it has to wait.

    Only a whole head of a safe request without a body may pass: with half a head or a
    body in the parser, the end of an earlier request would set it back.

    >>> whole_safe_head(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /")
    27
    >>> whole_safe_head(b"GET / HTTP/1.1\r\nHost: a\r\n")
    0
    >>> whole_safe_head(b"POST / HTTP/1.1\r\nHost: a\r\n\r\n")
    0
    >>> whole_safe_head(b"GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
    0
    """
    if not data.startswith(_SAFE_METHODS):
        return 0
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return 0
    lines = data[:end].lower().split(b"\r\n")
    if any(line.startswith(_BODY_FIELDS) for line in lines):
        return 0
    return end + 4


@final
class HeldAnswer:
    """Stands in for the caller's connection until it is an answer's turn."""

    def __init__(self, *, channel: Any) -> None:
        self._channel = channel
        self._pieces: list[bytes] = []
        self._bytes = 0
        self._head: tuple[Any, ...] | None = None
        self._producer: Any = None
        self._streaming = True
        self._paused = False
        self._broken = False

    def __getattr__(self, name: str) -> Any:
        """Return what the connection itself knows or does."""
        return getattr(self._channel, name)

    def writeHeaders(self, *head: Any) -> None:  # noqa: N802
        """Hold the answer's head."""
        self._head = head

    def write(self, data: bytes) -> None:
        """Hold a piece of the answer."""
        self._pieces.append(data)
        self._bytes += len(data)
        if self._bytes > MOST_HELD_BYTES and self._producer and not self._paused:
            self._paused = True
            self._producer.pauseProducing()

    def writeSequence(self, pieces: Any) -> None:  # noqa: N802
        """Hold several pieces of the answer."""
        self.write(b"".join(pieces))

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Remember what the answer's pieces come from."""
        self._producer, self._streaming = producer, streaming

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget what the answer's pieces came from."""
        self._producer = None

    def send_now(self) -> None:
        """Send nothing: it is not this answer's turn."""

    def abort(self) -> None:
        """End the connection behind this answer when it is its turn.

        The answers before it are whole, and their caller gets them.
        """
        self._broken = True

    def hand_over(self) -> None:
        """Write to the connection all that was held."""
        channel = self._channel
        if self._head is not None:
            channel.writeHeaders(*self._head)
        if self._pieces:
            channel.write(b"".join(self._pieces))
        if self._broken:
            # Not aborted: answers before it that are still unsent would go as well.
            # What it lacks of its length, or its last chunk, shows that it is cut.
            channel.loseConnection()
            return
        if self._producer is not None:
            channel.registerProducer(self._producer, self._streaming)
            if self._paused:
                self._producer.resumeProducing()
        channel.send_now()
