"""Values as they travel: compressed where that helps.

Rules and tables repeat themselves, and are the largest part of what control work
sends: ten thousand changes a day of a 60 KB list would take 7 KB/s of each host.
"""

import zlib
from typing import final

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES, VersionedValue

PLAIN, DEFLATED = b"\x00", b"\x01"

LEAST_BYTES = 256
"""Smaller values gain less than they cost."""

LEVEL = 1
"""The fastest: the loop that compresses also serves callers."""


def pack(value: bytes) -> bytes:
    """Return a value as it travels: one byte that says how, and the rest.

    >>> len(pack(b"rule " * 1_000)) < 100
    True
    """
    if len(value) >= LEAST_BYTES:
        deflated = zlib.compress(value, LEVEL)
        if len(deflated) < len(value):
            return DEFLATED + deflated
    return PLAIN + value


def unpack(packed: bytes, *, peer: str) -> bytes:
    """Return the value; raises ``PeerMismatchError``.

    Stops at the largest value that the store takes: a small message may claim to hold
    gigabytes, and the host would run out of memory over it.

    >>> unpack(pack(b"rule " * 1_000), peer="lac-1") == b"rule " * 1_000
    True
    """
    kind, body = packed[:1], packed[1:]
    if kind == PLAIN:
        return body
    if kind != DEFLATED:
        raise _mismatch(f"expected a packed value, got kind {kind!r}", peer)
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(body, MOST_VALUE_BYTES + 1)
    except zlib.error as error:
        raise _mismatch(f"expected a packed value: {error}", peer) from error
    whole = inflater.eof and not inflater.unused_data
    if not whole or len(value) > MOST_VALUE_BYTES:
        raise _mismatch(
            f"expected one whole value of at most {MOST_VALUE_BYTES} bytes", peer
        )
    return value


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread unpack", peer=peer)


@final
class PackedValues:
    """Packs each version once, and keeps one that came packed as it came."""

    def __init__(self) -> None:
        self._packed: dict[str, tuple[int, bytes]] = {}

    def keep(self, value: VersionedValue, packed: bytes) -> None:
        """Keep the packed form of a value that came from a peer."""
        self._packed[value.key] = (value.revision, packed)

    def of(self, value: VersionedValue) -> bytes:
        """Return the packed form of a value."""
        revision, packed = self._packed.get(value.key, (0, b""))
        if revision != value.revision:
            packed = pack(value.value)
            self.keep(value, packed)
        return packed
