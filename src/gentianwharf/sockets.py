"""The kernel's state of a TCP connection, and limits that the kernel enforces."""

import fcntl
import socket
import struct
import termios
from typing import Any

__all__ = [
    "is_closed_by_peer",
    "is_reset",
    "limit_delivery_time",
    "queued_bytes",
    "unacknowledged_bytes",
]

_STATE = struct.Struct("=B")
"""The field ``tcpi_state`` of Linux's ``struct tcp_info``."""

_RESET = frozenset({7})
"""The state ``TCP_CLOSE``, after a reset or a timeout if not closed locally."""

_CLOSED_BY_PEER = frozenset({7, 8})
"""The states ``TCP_CLOSE``, after a reset, and ``TCP_CLOSE_WAIT``."""

_UNACKNOWLEDGED_SEGMENTS = struct.Struct("=24xI")
"""The field ``tcpi_unacked`` of Linux's ``struct tcp_info``."""

_QUEUED_BYTES = struct.Struct("=i")

_LINGER = struct.Struct("=ii")
"""Linux's ``struct linger``: whether lingering is enabled, and the time in seconds."""


def is_closed_by_peer(transport: Any) -> bool:
    """Return whether the peer has closed or reset the connection.

    This is known also while received data waits to be read.
    """
    return _state(transport) in _CLOSED_BY_PEER


def is_reset(transport: Any) -> bool:
    """Return whether the connection was reset by the peer or has timed out.

    This is known also while received data waits to be read.
    """
    return _state(transport) in _RESET


def _state(transport: Any) -> int | None:
    try:
        info = transport.getHandle().getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _STATE.size
        )
        (state,) = _STATE.unpack(info)
    except (OSError, AttributeError, struct.error):
        return None
    return int(state)


def unacknowledged_bytes(transport: Any) -> int:
    """Return how many bytes wait to be acknowledged, some of which are on their way.

    It is 0 if all bytes that were sent are acknowledged, also while the peer's window
    is closed and more bytes wait to be sent: then the peer is alive, and only slow.
    """
    try:
        handle = transport.getHandle()
        info = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _UNACKNOWLEDGED_SEGMENTS.size
        )
        (segments,) = _UNACKNOWLEDGED_SEGMENTS.unpack(info)
    except (OSError, AttributeError, struct.error):
        return 0
    return queued_bytes(transport) if segments else 0


def queued_bytes(transport: Any) -> int:
    """Return how many bytes in the send buffer the peer has not acknowledged.

    A peer that does not read acknowledges at most what fits in its receive buffer.
    """
    try:
        handle = transport.getHandle()
        queued = fcntl.ioctl(handle, termios.TIOCOUTQ, bytes(_QUEUED_BYTES.size))
        (size,) = _QUEUED_BYTES.unpack(queued)
    except (OSError, AttributeError, TypeError, struct.error):
        return 0
    return int(size)


def limit_delivery_time(transport: Any, *, timeout_s: float) -> None:
    """Let the kernel discard bytes that the peer does not acknowledge in time.

    After ``timeout_s``, the kernel closes the connection, even while this process is
    stopped. When the process exits or closes the connection, unsent bytes are
    discarded. By default the kernel retries for minutes in both cases.

    Raises ``OSError`` if the connection is closed.
    """
    handle = transport.getHandle()
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(timeout_s * 1000)
    )
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(1, 0))
