"""Wire format of values: compressed if that makes them smaller.

Rules and tables compress well and are the largest part of the control traffic: without
compression, ten thousand changes a day of a 60 KB list would take 7 KB/s per host.
"""

import zlib
from typing import final

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES, VersionedValue

PLAIN, DEFLATED = b"\x00", b"\x01"

MIN_COMPRESSED_BYTES = 256
"""Compressing smaller values costs more than it saves."""

COMPRESSION_LEVEL = 1
"""The fastest level, since compression blocks the event loop that serves callers."""


def pack(value: bytes) -> bytes:
    """Return the packed form of a value: one byte for the encoding, then the data.

    >>> len(pack(b"rule " * 1_000)) < 100
    True
    """
    if len(value) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(value, COMPRESSION_LEVEL)
        if len(compressed) < len(value):
            return DEFLATED + compressed
    return PLAIN + value


def unpack(packed: bytes, *, peer: str) -> bytes:
    """Return the value; raises ``PeerMismatchError``.

    The size is limited to that of the largest value that the store accepts: a small
    message can expand to gigabytes and exhaust the host's memory.

    >>> unpack(pack(b"rule " * 1_000), peer="lac-1") == b"rule " * 1_000
    True
    """
    kind, body = packed[:1], packed[1:]
    if kind == PLAIN:
        return body
    if kind != DEFLATED:
        raise _mismatch(f"expected a packed value, got kind {kind!r}", peer)
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(body, MOST_VALUE_BYTES + 1)
    except zlib.error as error:
        raise _mismatch(f"expected a packed value: {error}", peer) from error
    complete = decompressor.eof and not decompressor.unused_data
    if not complete or len(value) > MOST_VALUE_BYTES:
        raise _mismatch(
            f"expected a complete value of at most {MOST_VALUE_BYTES} bytes", peer
        )
    return value


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread unpack", peer=peer)


@final
class PackedValues:
    """Caches the packed form of the latest version of each value."""

    def __init__(self) -> None:
        self._packed: dict[str, tuple[int, bytes]] = {}

    def put(self, value: VersionedValue, packed: bytes) -> None:
        """Store the packed form of a value, for instance as received from a peer."""
        self._packed[value.key] = (value.revision, packed)

    def get(self, value: VersionedValue) -> bytes:
        """Return the packed form of a value."""
        revision, packed = self._packed.get(value.key, (0, b""))
        if revision != value.revision:
            packed = pack(value.value)
            self.put(value, packed)
        return packed
