"""Writes to a transport without waiting for the event loop."""

from collections.abc import Iterable
from typing import Any, final


def send_now(transport: Any) -> object:
    """Pass buffered data to the kernel now instead of in the next loop iteration.

    An iteration takes about 0.1 ms, and a single request would wait for two of them.
    Data that the kernel does not accept is left to the loop, which also detects broken
    connections. A transport that is closing is skipped, since it closes only once the
    loop finds its buffer empty.

    Returns an exception if the kernel refused the data because the connection is lost,
    otherwise None.
    """
    write = getattr(transport, "doWrite", None)
    if write is not None and not transport.disconnecting and transport.connected:
        return write()
    return None


def buffered_bytes(transport: Any) -> int:
    """Return how many written bytes have not been passed to the kernel."""
    size = len(getattr(transport, "dataBuffer", b""))
    size += getattr(transport, "_tempDataLen", 0)
    return size - getattr(transport, "offset", 0)


@final
class JoinedLines:
    """Joins the lines of a head, since each write to the transport has a cost."""

    def __init__(self, *, transport: Any) -> None:
        self._transport = transport

    def writeSequence(self, lines: Iterable[bytes]) -> None:  # noqa: N802
        """Write the lines in one piece."""
        self._transport.write(b"".join(lines))
