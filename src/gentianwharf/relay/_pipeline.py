"""HTTP pipelining: requests sent before the response to an earlier one.

Archivists' browsers send several reads of 0.5 s to 2 s each on one connection. Served
one after another, the third would be late before it starts. They are served
concurrently; each response is buffered until the earlier ones are written.
"""

from typing import Any, final

MAX_PIPELINED = 8
"""Requests of one connection that are served concurrently. Browsers pipeline about six
requests at most. Others stay unread, so that one caller can't overload a host."""

MAX_BUFFERED_BYTES = 64 * 1024
"""Limit per buffered response, beyond which the server's connection is paused. Eight
responses on each of 100 connections take at most 50 MiB."""

_SAFE_METHODS = (b"GET ", b"HEAD ")
_BODY_FIELDS = (b"content-length:", b"transfer-encoding:", b"expect:", b"upgrade:")


def safe_head_length(data: bytes) -> int:
    r"""Return the length of the request head at the start of ``data``.

    Returns 0 unless it is the complete head of a safe request without a body. Otherwise
    the parser would hold a partial head or a body when an earlier request ends, and be
    reset.

    >>> safe_head_length(b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /")
    27
    >>> safe_head_length(b"GET / HTTP/1.1\r\nHost: a\r\n")
    0
    >>> safe_head_length(b"POST / HTTP/1.1\r\nHost: a\r\n\r\n")
    0
    >>> safe_head_length(b"GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
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
class BufferedResponse:
    """Buffers a response until the earlier responses on its connection are written.

    Replaces the channel of the request.
    """

    def __init__(self, *, channel: Any) -> None:
        self._channel = channel
        self._chunks: list[bytes] = []
        self._bytes = 0
        self._head: tuple[Any, ...] | None = None
        self._producer: Any = None
        self._streaming = True
        self._paused = False
        self._aborted = False

    def __getattr__(self, name: str) -> Any:
        """Delegate to the channel."""
        return getattr(self._channel, name)

    def writeHeaders(self, *head: Any) -> None:  # noqa: N802
        """Buffer the head of the response."""
        self._head = head

    def write(self, data: bytes) -> None:
        """Buffer a chunk of the body."""
        self._chunks.append(data)
        self._bytes += len(data)
        if self._bytes > MAX_BUFFERED_BYTES and self._producer and not self._paused:
            self._paused = True
            self._producer.pauseProducing()

    def writeSequence(self, chunks: Any) -> None:  # noqa: N802
        """Buffer several chunks of the body."""
        self.write(b"".join(chunks))

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Store the producer of the body."""
        self._producer, self._streaming = producer, streaming

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer of the body."""
        self._producer = None

    def send_now(self) -> None:
        """Do nothing: earlier responses have not been written."""

    def abort(self) -> None:
        """Drop this response, and close the connection instead of sending it.

        The earlier responses are complete and must still be delivered.
        """
        self._aborted = True
        self._chunks.clear()

    def flush(self) -> None:
        """Write the buffered response to the channel."""
        channel = self._channel
        if self._aborted:
            # A reset would also discard unsent data of earlier responses. No part
            # of this one is sent, since HTTP/1.0 clients would consider it complete.
            channel.loseConnection()
            return
        if self._head is not None:
            channel.writeHeaders(*self._head)
        if self._chunks:
            channel.write(b"".join(self._chunks))
        if self._producer is not None:
            channel.registerProducer(self._producer, self._streaming)
            if self._paused:
                self._producer.resumeProducing()
        channel.send_now()
