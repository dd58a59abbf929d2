"""Deltas between two versions of a value.

A change of the rules typically affects one rule of hundreds. The values are JSON, so
they are split after each closing brace. Chunks that the previous version contains are
referenced by index. The work is linear in the size of the values, so that a hostile
document can't block the event loop.
"""

import re
from typing import final

import msgspec
import xxhash

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import MOST_VALUE_BYTES

CHUNK = re.compile(rb"[^}]*\}?")


@final
class Copy(msgspec.Struct, frozen=True, array_like=True):
    """A run of ``count`` chunks of the previous version, from index ``first``."""

    first: int
    count: int


Step = Copy | bytes
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[list[Step]] = msgspec.msgpack.Decoder(list[Step])


def checksum(value: bytes) -> int:
    """Return the checksum by which the result of a delta is verified."""
    return xxhash.xxh3_64_intdigest(value)


def make_delta(before: bytes, after: bytes) -> bytes:
    """Return the encoded steps that turn ``before`` into ``after``.

    >>> before = b'[{"a":1},{"b":2},{"c":3}]'
    >>> delta = make_delta(before, b'[{"a":1},{"b":9},{"c":3}]')
    >>> apply_delta(before, delta, peer="lac-1")
    b'[{"a":1},{"b":9},{"c":3}]'
    """
    old = _split(before)
    positions: dict[bytes, int] = {}
    for index, chunk in enumerate(old):
        positions.setdefault(chunk, index)
    steps: list[tuple[int, int] | bytearray] = []
    expected = 0
    for chunk in _split(after):
        if expected < len(old) and old[expected] == chunk:
            position: int | None = expected
        else:
            position = positions.get(chunk)
        _append_step(steps, chunk, position, expected)
        expected = expected if position is None else position + 1
    return _encoder.encode(
        [bytes(step) if isinstance(step, bytearray) else Copy(*step) for step in steps]
    )


def _append_step(
    steps: list[tuple[int, int] | bytearray],
    chunk: bytes,
    position: int | None,
    expected: int,
) -> None:
    last = steps[-1] if steps else None
    if position is None:
        if isinstance(last, bytearray):
            last.extend(chunk)
        else:
            steps.append(bytearray(chunk))
    elif isinstance(last, tuple) and position == expected:
        steps[-1] = (last[0], last[1] + 1)
    else:
        steps.append((position, 1))


def apply_delta(before: bytes, delta: bytes, *, peer: str) -> bytes:
    """Return the new value; raises ``PeerMismatchError``.

    The size is limited to that of the largest value that the store accepts: a few steps
    could reference the complete previous version a million times.
    """
    try:
        steps = _decoder.decode(delta)
    except msgspec.MsgspecError as error:
        raise _mismatch(f"expected the steps of a delta: {error}", peer) from error
    old = _split(before)
    parts: list[bytes] = []
    size = 0
    for step in steps:
        part = _copied_chunks(old, step, peer) if isinstance(step, Copy) else step
        size += len(part)
        if size > MOST_VALUE_BYTES:
            raise _mismatch(f"expected at most {MOST_VALUE_BYTES} bytes", peer)
        parts.append(part)
    return b"".join(parts)


def _copied_chunks(old: list[bytes], step: Copy, peer: str) -> bytes:
    if step.first < 0 or step.count < 1 or step.first + step.count > len(old):
        raise _mismatch(
            f"expected pieces 0 to {len(old)}, got {step.count} from {step.first}", peer
        )
    return b"".join(old[step.first : step.first + step.count])


def _split(value: bytes) -> list[bytes]:
    return [chunk for chunk in CHUNK.findall(value) if chunk]


def _mismatch(message: str, peer: str) -> PeerMismatchError:
    return PeerMismatchError(message, step="spread delta", peer=peer)
