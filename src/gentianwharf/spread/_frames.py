"""The envelope of everything that goes between two hosts."""

from collections.abc import Iterable
from enum import IntEnum
from typing import final

import msgspec

from gentianwharf.errors import PeerMismatchError
from gentianwharf.topology import Host

from ._messages import MOST_MESSAGE_BYTES

FRAME_VERSION = 1

MOST_FRAME_BYTES = MOST_MESSAGE_BYTES + 1_024
"""The largest message and its envelope; nng closes a connection that brings more."""


class Channel(IntEnum):
    """Whose message it is; a receiver that doesn't know the channel drops it."""

    SPREAD = 1
    OWNERSHIP = 2
    LOAD = 3
    QUERIES = 4


class FrameKind(IntEnum):
    """What a frame is for."""

    DATA = 0
    PROBE = 1
    PROBE_ANSWER = 2
    HOSTS_ASK = 3
    HOSTS = 4


@final
class Frame(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One frame.

    ``receiver`` guards against an address that passed to another host: what was meant
    for its former holder is dropped there, and goes unanswered, so that the sender
    notices. ``incarnation`` is new with each start of ``sender``; an answer to a probe
    carries the prober's, so that one for its former life is not taken for its own.
    ``address`` is where the sender listens, for a receiver that has no list of hosts.
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
    """One host in the body of a ``HOSTS`` frame."""

    id: str
    domain: str
    address: str


_encoder = msgspec.msgpack.Encoder()
_hosts_decoder = msgspec.msgpack.Decoder(list[ListedPeer])
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as it goes over the wire."""
    return _encoder.encode(frame)


def decode_frame(data: bytes, *, peer: str) -> Frame:
    """Check and return a frame; raises ``PeerMismatchError``."""
    try:
        frame = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise PeerMismatchError(
            f"expected a frame: {error}; does a host of ours listen there?",
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
    """Return a list of hosts as the body of a frame."""
    return _encoder.encode(
        [
            ListedPeer(id=one.id, domain=one.domain, address=one.peer_address)
            for one in hosts
        ]
    )


def decode_hosts(body: bytes, *, peer: str) -> tuple[Host, ...]:
    """Check and return a list of hosts; raises ``PeerMismatchError``."""
    try:
        listed = _hosts_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise PeerMismatchError(
            f"expected a list of hosts: {error}; is the peer of another version?",
            step="hosts decode",
            peer=peer,
        ) from error
    return tuple(
        Host(id=one.id, domain=one.domain, peer_address=one.address) for one in listed
    )
