"""Values compressed against the value that they replace."""

import zlib

from gentianwharf.errors import InputError

LEVEL = 1
"""The quickest: what repeats is found by the former value, not by effort."""


def compressed(value: bytes, base: bytes) -> bytes:
    """Return a value in few bytes, for who has ``base``.

    >>> base = bytes(range(256)) * 20
    >>> changed = base[:700] + b"another" + base[707:]
    >>> packed = compressed(changed, base)
    >>> len(packed) < 100, decompressed(packed, base) == changed
    (True, True)
    >>> decompressed(compressed(b"alone", b""), b"")
    b'alone'
    """
    packer = zlib.compressobj(LEVEL, zdict=base) if base else zlib.compressobj(LEVEL)
    return packer.compress(value) + packer.flush()


def decompressed(data: bytes, base: bytes) -> bytes:
    """Return the value that was compressed against ``base``.

    Raises ``InputError`` when it was compressed against another one.

    >>> decompressed(compressed(b"alone", b"alone?"), b"else")
    Traceback (most recent call last):
    ...
    gentianwharf.errors.InputError: can't be unpacked: ...
    """
    unpacker = zlib.decompressobj(zdict=base) if base else zlib.decompressobj()
    try:
        return unpacker.decompress(data) + unpacker.flush()
    except zlib.error as error:
        raise InputError(
            f"can't be unpacked: {error}", step="unpack", peer="leader"
        ) from error
