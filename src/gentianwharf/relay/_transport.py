"""Writes that leave at once."""

from collections.abc import Iterable
from typing import Any, final


def send_now(transport: Any) -> None:
    """Hand what was written to the kernel now instead of in the loop's next turn.

    A turn costs about 0.1 ms, and a request that is alone would wait for two of them.
    What the kernel does not take stays with the loop, which also finds a broken
    connection by itself. A transport that is about to close is left alone: it closes
    when the loop has seen its buffer empty.
    """
    write = getattr(transport, "doWrite", None)
    if write is not None and not transport.disconnecting and transport.connected:
        write()


@final
class JoinedLines:
    """Writes a head in one piece: the transport looks at each piece it is given."""

    def __init__(self, *, transport: Any) -> None:
        self._transport = transport

    def writeSequence(self, lines: Iterable[bytes]) -> None:  # noqa: N802
        """Write the lines of a head."""
        self._transport.write(b"".join(lines))
