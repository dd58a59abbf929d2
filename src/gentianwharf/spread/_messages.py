"""What hosts say to each other about versions: typed, versioned, size-limited.

A message is one byte of format version and a msgpack array. A host that meets another
format version drops the message: it still has the store, and peers of its own version.
"""

from typing import final

import msgspec

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES

FORMAT_VERSION = 1

MOST_MESSAGE_BYTES = MOST_VALUE_BYTES + 4_096
"""The largest value of the store, its key and the rest of the message."""

MOST_KEYS = 4_096
"""Values that one feed carries; more would make a vector larger than a value."""

Version = tuple[str, int]
"""A key and the store's revision of its value."""


class Message(
    msgspec.Struct, frozen=True, array_like=True, tag_field="t", kw_only=True
):
    """Base of the messages."""


@final
class Push(Message, tag="push", frozen=True, array_like=True, kw_only=True):
    """A value; the receiver passes it on down the tree of ``root``, if one is named."""

    key: str
    packed: bytes
    revision: int
    root: str = ""


@final
class Delta(Message, tag="delta", frozen=True, array_like=True, kw_only=True):
    """What of a value differs from revision ``base``; passed on like ``Push``.

    ``checksum`` is the whole new value's. A host that lacks the base passes it on all
    the same and pulls the whole.
    """

    key: str
    base: int
    packed: bytes
    revision: int
    checksum: int
    root: str = ""


@final
class Have(Message, tag="have", frozen=True, array_like=True, kw_only=True):
    """Versions that the sender has; passed on like ``Push``, without the bodies."""

    versions: list[Version]
    root: str = ""


@final
class Digest(Message, tag="digest", frozen=True, array_like=True, kw_only=True):
    """A checksum over all versions that the sender has.

    ``store_age_ms`` is how long ago the sender, or a host with the same versions,
    heard the store; -1 for never.
    """

    checksum: int
    store_age_ms: int
    ready: bool


@final
class Ask(Message, tag="ask", frozen=True, array_like=True, kw_only=True):
    """Asks for a ``Vector``."""


@final
class Vector(Message, tag="vector", frozen=True, array_like=True, kw_only=True):
    """Every version that the sender has."""

    versions: list[Version]
    store_age_ms: int
    ready: bool


@final
class Pull(Message, tag="pull", frozen=True, array_like=True, kw_only=True):
    """Asks for the values of some keys."""

    keys: list[str]


AnyMessage = Push | Delta | Have | Digest | Ask | Vector | Pull

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return a message as it goes to a peer."""
    return bytes([FORMAT_VERSION]) + _encoder.encode(message)


def decode(data: bytes, *, peer: str) -> AnyMessage:
    """Check and return a message; raises ``PeerMismatchError``.

    >>> decode(encode(Pull(keys=["rules"])), peer="lac-1")
    Pull(keys=['rules'])
    """
    if not data or len(data) > MOST_MESSAGE_BYTES:
        raise _mismatch(
            f"expected 1 to {MOST_MESSAGE_BYTES} bytes, got {len(data)}", peer
        )
    if data[0] != FORMAT_VERSION:
        raise _mismatch(f"expected format {FORMAT_VERSION}, got {data[0]}", peer)
    try:
        message = _decoder.decode(memoryview(data)[1:])
    except msgspec.DecodeError as error:
        raise _mismatch(
            f"expected a message: {error}; is the peer of another version?", peer
        ) from error
    if isinstance(message, Have | Vector) and len(message.versions) > MOST_KEYS:
        raise _mismatch(
            f"expected at most {MOST_KEYS} versions, got {len(message.versions)}", peer
        )
    return message


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread decode", peer=peer)
