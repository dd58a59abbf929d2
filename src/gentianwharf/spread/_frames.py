"""The envelope of everything that goes between two hosts."""

from enum import IntEnum
from typing import final

import msgspec

from gentianwharf.errors import PeerMismatchError

from ._messages import MOST_MESSAGE_BYTES

FRAME_VERSION = 1

MOST_FRAME_BYTES = MOST_MESSAGE_BYTES + 1_024
"""The largest message and its envelope; nng closes a connection that brings more."""


class Channel(IntEnum):
    """Whose message it is; a receiver that doesn't know the channel drops it."""

    SPREAD = 1
    OWNERSHIP = 2
    LOAD = 3


class FrameKind(IntEnum):
    """What a frame is for."""

    DATA = 0
    PROBE = 1
    PROBE_ANSWER = 2


@final
class Frame(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One frame.

    ``receiver`` guards against an address that passed to another host: what was meant
    for its former holder is dropped there, and goes unanswered, so that the sender
    notices. ``incarnation`` is new with each start of ``sender``; an answer to a probe
    carries the prober's, so that one for its former life is not taken for its own.
    """

    version: int
    kind: FrameKind
    sender: str
    receiver: str
    incarnation: int
    sequence: int = 0
    channel: int = 0
    body: bytes = b""


_encoder = msgspec.msgpack.Encoder()
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
            f"not a frame: {error}", step="frame decode", peer=peer
        ) from error
    if frame.version != FRAME_VERSION:
        raise PeerMismatchError(
            f"expected frame version {FRAME_VERSION}, got {frame.version}",
            step="frame decode",
            peer=peer,
        )
    return frame
