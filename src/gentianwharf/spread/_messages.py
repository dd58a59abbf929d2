"""Replication messages between hosts: typed, versioned and limited in size.

A message is one byte of format version followed by a msgpack array. A host drops
messages of another format version; it still has the store and peers of its own version.
"""

from typing import final

import msgspec

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES

FORMAT_VERSION = 1

MAX_MESSAGE_BYTES = MOST_VALUE_BYTES + 4_096
"""The largest value of the store plus its key and the other fields."""

MAX_KEYS = 4_096
"""Maximum number of keys; a vector of more keys could exceed the size of a value."""

Version = tuple[str, int]
"""A key and the store's revision of its value."""


class Message(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", kw_only=True
):
    """Base class of the messages."""


@final
class Push(Message, tag="push", frozen=True, array_like=True, kw_only=True):
    """A complete value; the receiver forwards it in the tree of ``root``, if set."""

    key: str
    packed: bytes
    revision: int
    root: str = ""


@final
class Delta(Message, tag="delta", frozen=True, array_like=True, kw_only=True):
    """The difference of a value from revision ``base``; forwarded like ``Push``.

    ``checksum`` is that of the complete new value. A host that lacks the base also
    forwards the message, and pulls the complete value.
    """

    key: str
    base: int
    packed: bytes
    revision: int
    checksum: int
    root: str = ""


@final
class Have(Message, tag="have", frozen=True, array_like=True, kw_only=True):
    """Versions that the sender holds; forwarded like ``Push``, without bodies."""

    versions: list[Version]
    root: str = ""


@final
class Digest(Message, tag="digest", frozen=True, array_like=True, kw_only=True):
    """A checksum over all versions that the sender holds.

    ``store_age_ms`` is the time since the sender, or a host with the same versions, had
    contact with the store; -1 if there was none.
    """

    checksum: int
    store_age_ms: int
    ready: bool


@final
class VectorRequest(Message, tag="ask", frozen=True, array_like=True, kw_only=True):
    """Requests a ``Vector``."""


@final
class Vector(Message, tag="vector", frozen=True, array_like=True, kw_only=True):
    """All versions that the sender holds."""

    versions: list[Version]
    store_age_ms: int
    ready: bool


@final
class Pull(Message, tag="pull", frozen=True, array_like=True, kw_only=True):
    """Requests the values of some keys."""

    keys: list[str]


AnyMessage = Push | Delta | Have | Digest | VectorRequest | Vector | Pull

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the wire format of a message."""
    return bytes([FORMAT_VERSION]) + _encoder.encode(message)


def decode(data: bytes, *, peer: str) -> AnyMessage:
    """Decode and validate a message; raises ``PeerMismatchError``.

    >>> decode(encode(Pull(keys=["rules"])), peer="lac-1")
    Pull(keys=['rules'])
    """
    if not data or len(data) > MAX_MESSAGE_BYTES:
        raise _mismatch(
            f"expected 1 to {MAX_MESSAGE_BYTES} bytes, got {len(data)}", peer
        )
    if data[0] != FORMAT_VERSION:
        raise _mismatch(f"expected format {FORMAT_VERSION}, got {data[0]}", peer)
    try:
        message = _decoder.decode(memoryview(data)[1:])
    except msgspec.DecodeError as error:
        raise _mismatch(
            f"expected a message: {error}; is the peer of another version?", peer
        ) from error
    if isinstance(message, Have | Vector) and len(message.versions) > MAX_KEYS:
        raise _mismatch(
            f"expected at most {MAX_KEYS} versions, got {len(message.versions)}", peer
        )
    return message


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread decode", peer=peer)
