"""pynng sockets in the Twisted event loop, without additional threads.

Uses Push and Pull, with one Push socket for each peer. Each peer then has its own
queue, which reports when it is full (``TryAgain``), and a link that stopped responding
can be closed without affecting the others. A single Pair1 socket in polyamorous mode
would serve all peers, but it queues only two messages per peer and drops the rest
silently.
"""

from collections.abc import Callable
from typing import Any, final

import pynng
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from gentianwharf.errors import InputError
from gentianwharf.logs import log

SEND_QUEUE_FRAMES = 64
"""Frames queued for a slow or unreachable peer. Further frames are dropped, since every
message is either sent again by its sender or soon outdated."""

RECEIVE_QUEUE_FRAMES = 64

MAX_FRAMES_PER_ITERATION = 64
"""Frames handled per loop iteration, since callers' requests run on the same loop."""

MAX_ITERATION_S = 0.02
"""Time in one loop iteration after which no further frame is handled. Ten queued frames
with a long list of rules each blocked a busy host for 3 s in one iteration."""

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000


@final
class NngLink:
    """A ``Link`` over one Push socket; nng reconnects if the connection is closed."""

    def __init__(self, *, address: str) -> None:
        self._socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Queue a frame; returns False if the queue is full."""
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Close immediately and drop queued frames."""
        self._socket.close()


def dial(address: str) -> NngLink:
    """Open a link to ``ip:port`` without waiting for the connection."""
    return NngLink(address=address)


@final
@implementer(IReadDescriptor)
class NngListener:
    """A Pull socket that passes received frames to ``on_data`` on the reactor."""

    def __init__(
        self,
        *,
        reactor: Any,
        address: str,
        on_data: Callable[[bytes], None],
        max_bytes: int,
    ) -> None:
        self._reactor = reactor
        self._on_data = on_data
        self._socket = pynng.Pull0(
            recv_max_size=max_bytes, recv_buffer_size=RECEIVE_QUEUE_FRAMES
        )
        self._socket.tcp_keepalive = True
        try:
            listener = self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as error:
            self._socket.close()
            raise InputError(
                f"can't listen: {error}; expected a free ip:port of this host",
                step="listen for peers",
                peer=address,
            ) from error
        self.address = str(listener.local_address)
        self._closed = False
        self._fileno = self._socket.recv_fd
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the file descriptor that is readable while frames are queued."""
        return self._fileno

    def doRead(self) -> None:  # noqa: N802
        """Handle queued frames; the descriptor stays readable if some remain."""
        end_s = self._reactor.seconds() + MAX_ITERATION_S
        for _ in range(MAX_FRAMES_PER_ITERATION):
            if self._closed or self._reactor.seconds() >= end_s:
                return
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle(data)

    def _handle(self, data: bytes) -> None:
        try:
            self._on_data(data)
        except Exception:
            # The reactor removes a reader that raises, so one message that can't be
            # handled would prevent this host from receiving any other.
            log.exception(
                "message from a peer could not be handled", extra={"bytes": len(data)}
            )

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Close when the reactor removes its readers."""
        self.close()

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of this reader in logs."""
        return "peers"

    def close(self) -> None:
        """Stop listening."""
        if self._closed:
            return
        self._closed = True
        # Removed from the reactor first, since nng closes the descriptor and its number
        # may be reused.
        self._reactor.removeReader(self)
        self._socket.close()
