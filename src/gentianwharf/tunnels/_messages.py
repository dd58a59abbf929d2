"""Messages at the start of a connection between hosts, each in a frame of its own."""

import hmac
from enum import StrEnum

import msgspec
from twisted.protocols.basic import Int16StringReceiver

MAX_MESSAGE_BYTES = 1024

TUNNEL_PORT_OFFSET = 1
"""The port for tunnels, relative to the one on which hosts send each other messages."""


def tunnel_address(address: str) -> str | None:
    """Return where a host accepts tunnels, from its address for other hosts.

    None if that is no ``ip:port``.

    >>> tunnel_address("10.1.0.18:7200"), tunnel_address("somewhere")
    ('10.1.0.18:7201', None)
    """
    ip, _, port = address.rpartition(":")
    if not ip or not port.isdecimal():
        return None
    return f"{ip}:{int(port) + TUNNEL_PORT_OFFSET}"


class OpenTunnel(msgspec.Struct, array_like=True, tag="open"):
    """Asks for a connection to a server, for which this connection is then used."""

    secret: str
    host: str
    server_id: str


class Subscribe(msgspec.Struct, array_like=True, tag="subscribe"):
    """Asks for ``HostState`` now, at each change and periodically."""

    secret: str
    host: str


class TunnelOpened(msgspec.Struct, array_like=True, tag="opened"):
    """Everything that follows comes from the server."""


class TunnelRefused(msgspec.Struct, array_like=True, tag="refused"):
    """No byte reaches the server; ``reason`` is a ``RefusalReason``."""

    reason: str


class HostState(msgspec.Struct, array_like=True, tag="state"):
    """Whether a host accepts tunnels: it has links to servers and is not stopping."""

    accepts: bool


class SharedNotice(msgspec.Struct, array_like=True, tag="notice"):
    """What a server stated to one of two hosts, for which it takes both of them.

    To the server, a host's requests through a tunnel come from the host that carries
    it. ``rest_s`` is the time for which it wants no requests from there.
    """

    server_id: str
    rest_s: float | None = None
    is_leaving: bool = False


Request = OpenTunnel | Subscribe | SharedNotice
Reply = TunnelOpened | TunnelRefused | HostState | SharedNotice

_REQUESTS = msgspec.msgpack.Decoder(Request)
_REPLIES = msgspec.msgpack.Decoder(Reply)


def decode_request(frame: bytes) -> Request:
    """Return the request in a frame; raises ``msgspec.DecodeError``."""
    return _REQUESTS.decode(frame)


def decode_reply(frame: bytes) -> Reply:
    """Return the reply in a frame; raises ``msgspec.DecodeError``."""
    return _REPLIES.decode(frame)


def is_same_secret(received: str, expected: str) -> bool:
    """Compare secrets in a time that does not depend on them; none is never equal.

    >>> is_same_secret("", ""), is_same_secret("a", "a"), is_same_secret("a", "b")
    (False, True, False)
    """
    equal = hmac.compare_digest(received.encode(), expected.encode())
    return bool(expected) and equal


class FramedProtocol(Int16StringReceiver):
    """Sends and receives messages in frames."""

    MAX_LENGTH = MAX_MESSAGE_BYTES

    def send(self, message: Request | Reply) -> None:
        """Send a message."""
        self.sendString(msgspec.msgpack.encode(message))

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close: nothing that hosts send each other here is that long."""
        self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]


class RefusalReason(StrEnum):
    """Why a host refuses a tunnel."""

    CUT_OFF = "cut-off"
    STOPPING = "stopping"
    FULL = "full"
    UNKNOWN_SERVER = "unknown-server"
    UNREACHABLE = "unreachable"
    RESTING = "resting"
