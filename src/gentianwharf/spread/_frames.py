"""The envelope of all messages between two hosts."""

from collections.abc import Iterable
from enum import IntEnum
from typing import final

import msgspec

from gentianwharf.errors import PeerMismatchError
from gentianwharf.topology import Host

from ._messages import MAX_MESSAGE_BYTES

FRAME_VERSION = 1

MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + 1_024
"""The largest message with its envelope; nng closes a connection that sends more."""


class Channel(IntEnum):
    """The system that a message belongs to; unknown channels are dropped."""

    SPREAD = 1
    OWNERSHIP = 2
    LOAD = 3
    QUERIES = 4


class FrameKind(IntEnum):
    """The purpose of a frame."""

    DATA = 0
    PROBE = 1
    PROBE_ANSWER = 2
    HOSTS_ASK = 3
    HOSTS = 4


@final
class Frame(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One frame.

    ``receiver`` guards against an address that was reassigned to another host: that
    host drops frames for the previous holder without an answer, so that the sender
    detects the change. ``incarnation`` is new with each start of ``sender``. The answer
    to a probe carries the incarnation of the probing host, which can thus ignore
    answers to probes from before its restart. ``address`` is where the sender listens;
    receivers without a host list use it.
    """

    version: int
    kind: FrameKind
    sender: str
    receiver: str
    incarnation: int
    sequence: int = 0
    channel: int = 0
    body: bytes = b""
    address: str = ""


@final
class ListedPeer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A host in the body of a ``HOSTS`` frame."""

    id: str
    domain: str
    address: str


_encoder = msgspec.msgpack.Encoder()
_hosts_decoder = msgspec.msgpack.Decoder(list[ListedPeer])
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the wire format of a frame."""
    return _encoder.encode(frame)


def decode_frame(data: bytes, *, peer: str) -> Frame:
    """Decode and validate a frame; raises ``PeerMismatchError``."""
    try:
        frame = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise PeerMismatchError(
            f"expected a frame: {error}; is the peer a gentianwharf host?",
            step="frame decode",
            peer=peer,
        ) from error
    if frame.version != FRAME_VERSION:
        raise PeerMismatchError(
            f"expected frame version {FRAME_VERSION}, got {frame.version}",
            step="frame decode",
            peer=peer,
        )
    return frame


def encode_hosts(hosts: Iterable[Host]) -> bytes:
    """Return the body of a ``HOSTS`` frame."""
    return _encoder.encode(
        [
            ListedPeer(id=host.id, domain=host.domain, address=host.peer_address)
            for host in hosts
        ]
    )


def decode_hosts(body: bytes, *, peer: str) -> tuple[Host, ...]:
    """Decode and validate a list of hosts; raises ``PeerMismatchError``."""
    try:
        listed = _hosts_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise PeerMismatchError(
            f"expected a list of hosts: {error}; is the peer of another version?",
            step="hosts decode",
            peer=peer,
        ) from error
    return tuple(
        Host(id=host.id, domain=host.domain, peer_address=host.address)
        for host in listed
    )
