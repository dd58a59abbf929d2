"""What of a value differs from the version before it.

A change of the rules is one rule of hundreds. The values are JSON, so that they are cut
behind each brace that ends a member; what stands in the version before is named by its
place. The work grows with the values' size and no faster: a hostile document may not
hold the loop.
"""

import re
from typing import final

import msgspec
import xxhash

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES

PIECE = re.compile(rb"[^}]*\}?")


@final
class Copy(msgspec.Struct, frozen=True, array_like=True):
    """So many pieces of the version before, from one on."""

    first: int
    count: int


Step = Copy | bytes
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Step]] = msgspec.msgpack.Decoder(list[Step])


def checksum(value: bytes) -> int:
    """Return what tells two values apart; the result of a delta is checked by it."""
    return xxhash.xxh3_64_intdigest(value)


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return the steps that make ``after`` of ``before``.

    >>> before = b'[{"a":1},{"b":2},{"c":3}]'
    >>> delta = make_delta(before, b'[{"a":1},{"b":9},{"c":3}]')
    >>> apply_delta(before, delta, peer="lac-1")
    b'[{"a":1},{"b":9},{"c":3}]'
    """
    old = _pieces(before)
    places: dict[bytes, int] = {}
    for number, piece in enumerate(old):
        places.setdefault(piece, number)
    steps: list[tuple[int, int] | bytearray] = []
    expected = 0
    for piece in _pieces(after):
        if expected < len(old) and old[expected] == piece:
            place: int | None = expected
        else:
            place = places.get(piece)
        _add(steps, piece, place, expected)
        expected = expected if place is None else place + 1
    return _encoder.encode(
        [bytes(step) if isinstance(step, bytearray) else Copy(*step) for step in steps]
    )


def _add(
    steps: list[tuple[int, int] | bytearray],
    piece: bytes,
    place: int | None,
    expected: int,
) -> None:
    last = steps[-1] if steps else None
    if place is None:
        if isinstance(last, bytearray):
            last.extend(piece)
        else:
            steps.append(bytearray(piece))
    elif isinstance(last, tuple) and place == expected:
        steps[-1] = (last[0], last[1] + 1)
    else:
        steps.append((place, 1))


def apply_delta(before: bytes, delta: bytes, *, peer: str) -> bytes:
    """Return the value; raises ``PeerMismatchError``.

    Stops at the largest value that the store takes: a few steps could name the whole
    version before a million times.
    """
    try:
        steps = _decoder.decode(delta)
    except msgspec.MsgspecError as error:
        raise _mismatch(f"expected the steps of a delta: {error}", peer) from error
    old = _pieces(before)
    parts: list[bytes] = []
    size = 0
    for step in steps:
        part = _copied(old, step, peer) if isinstance(step, Copy) else step
        size += len(part)
        if size > MOST_VALUE_BYTES:
            raise _mismatch(f"expected at most {MOST_VALUE_BYTES} bytes", peer)
        parts.append(part)
    return b"".join(parts)


def _copied(old: list[bytes], step: Copy, peer: str) -> bytes:
    if step.first < 0 or step.count < 1 or step.first + step.count > len(old):
        raise _mismatch(
            f"expected pieces 0 to {len(old)}, got {step.count} from {step.first}", peer
        )
    return b"".join(old[step.first : step.first + step.count])


def _pieces(value: bytes) -> list[bytes]:
    return [piece for piece in PIECE.findall(value) if piece]


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread delta", peer=peer)
