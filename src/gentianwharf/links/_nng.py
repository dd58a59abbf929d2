"""pynng sockets inside the Twisted loop, without a thread of ours.

Push and Pull, one Push socket for each peer: each peer gets a queue of its own, whose
end is seen (``TryAgain``), and a link that went silent is closed without touching the
others. Pair1 in its polyamorous mode would need one socket for all, but keeps two
messages a peer and drops the rest without a sign.
"""

from collections.abc import Callable
from typing import Any, final

import pynng
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from gentianwharf.errors import InputError
from gentianwharf.logs import log

SEND_QUEUE = 64
"""Frames queued for a peer that is slow or away; later ones are dropped, since every
message is either sent again by its system or soon stale."""

RECEIVE_QUEUE = 64

RECEIVED_A_TURN = 64
"""Frames handled before the loop gets its turn back: callers' requests share it."""

MOST_TURN_S = 0.02
"""No further frame is handled in a turn that has lasted so long. Ten with a long list
of rules each, queued for a busy host, held it for 3 s in one turn."""

RECONNECT_FIRST_MS = 100
RECONNECT_LONGEST_MS = 1_000


@final
class NngLink:
    """A ``Link`` over one Push socket; nng dials again when it is closed."""

    def __init__(self, *, address: str) -> None:
        self._socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE,
            reconnect_time_min=RECONNECT_FIRST_MS,
            reconnect_time_max=RECONNECT_LONGEST_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Queue a frame; False when the queue is full."""
        try:
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Close at once and drop what is queued."""
        self._socket.close()


def dial(address: str) -> NngLink:
    """Open a link to ``ip:port`` without waiting for it."""
    return NngLink(address=address)


@final
@implementer(IReadDescriptor)
class NngListener:
    """A Pull socket whose frames are handed on as the reactor finds them."""

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
            recv_max_size=max_bytes, recv_buffer_size=RECEIVE_QUEUE
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
        """Return the descriptor that is readable while a frame waits."""
        return self._fileno

    def doRead(self) -> None:  # noqa: N802
        """Hand on what came; what is left keeps the descriptor readable."""
        end_s = self._reactor.seconds() + MOST_TURN_S
        for _ in range(RECEIVED_A_TURN):
            if self._closed or self._reactor.seconds() >= end_s:
                return
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._hand_on(data)

    def _hand_on(self, data: bytes) -> None:
        try:
            self._on_data(data)
        except Exception:
            # The reactor drops a reader that raises: one message that can't be handled
            # would keep this host from hearing any other one.
            log.exception("a message could not be used", extra={"bytes": len(data)})

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Close when the reactor drops its readers."""
        self.close()

    def logPrefix(self) -> str:  # noqa: N802
        """Name this reader in logs."""
        return "peers"

    def close(self) -> None:
        """Stop listening."""
        if self._closed:
            return
        self._closed = True
        # The reactor first: nng closes the descriptor, and its number may come again.
        self._reactor.removeReader(self)
        self._socket.close()
