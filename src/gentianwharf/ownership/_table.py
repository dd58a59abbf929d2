"""The assignment table of a service: chunks of shards, packed into store values.

An entry is either owned or moving. While it moves, ``holders`` lists every server
that may still hold the shard: the old owner, and each target of an earlier intent,
since a delayed order could still make such a target an owner. Tokens come from the
chunk's ``counter``, which increases with each intent and never decreases, so a token
of a shard is never reused.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import final

import msgspec

from gentianwharf.errors import InputError

CHUNK_SHARDS = 4096
"""Shards in one store value; packed, that is about 40 kB, far below a megabyte."""

MAX_PINS_PER_CHUNK = 1024
"""Limit of pinned keys in a chunk; it bounds the size of the store value."""

FORMAT = 1


class EntryState(IntEnum):
    """The state of a shard in the store."""

    OWNED = 0
    RELEASING = 1
    LAPSING = 2


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One shard's assignment; ``owner`` is empty before the first assignment.

    While RELEASING, hosts may go on sending to ``owner`` under ``token``; the owner
    refuses requests once it has released the shard. While LAPSING, hosts must not
    send to the owner.
    """

    owner: str
    token: int
    state: EntryState = EntryState.OWNED
    target: str = ""
    next_token: int = 0
    holders: tuple[str, ...] = ()

    def intend(self, *, target: str, token: int, state: EntryState) -> "Entry":
        """Return the entry with a new intent; earlier targets become holders.

        >>> owned = Entry(owner="a", token=1)
        >>> first = owned.intend(target="b", token=2, state=EntryState.RELEASING)
        >>> first.intend(target="c", token=3, state=EntryState.RELEASING).holders
        ('a', 'b')
        """
        if self.state is EntryState.OWNED:
            holders: tuple[str, ...] = (self.owner,) if self.owner else ()
        else:
            holders = self.holders
            if self.target and self.target not in holders:
                holders = (*holders, self.target)
        return replace(
            self, state=state, target=target, next_token=token, holders=holders
        )

    def confirm(self) -> "Entry":
        """Return the entry after its target has accepted the grant.

        >>> Entry(owner="a", token=1, target="b", next_token=2).confirm().owner
        'b'
        """
        return Entry(owner=self.target, token=self.next_token)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """A range of a service's shards; ``entries`` has real shards and pinned keys.

    ``pins`` maps a pinned key to the number of its entry, which is a shard number
    beyond the service's real shards. ``fixed`` holds the keys that an operator
    pinned, which the rules don't unpin.
    """

    service: str
    number: int
    counter: int = 0
    entries: Mapping[int, Entry] = field(default_factory=dict)
    pins: Mapping[str, int] = field(default_factory=dict)
    fixed: frozenset[str] = frozenset()

    def edit(self, changes: Mapping[int, Entry], *, counter: int) -> "Chunk":
        """Return the chunk with ``changes`` applied to its entries."""
        return replace(self, entries={**self.entries, **changes}, counter=counter)

    def pin(self, key: str, *, shard: int, number: int, target: str) -> "Chunk":
        """Return the chunk with a separate entry for ``key``, numbered ``number``.

        The owner of ``shard`` would go on running the key's requests under the
        shard's token, so the same write gives the shard a new token. The key's entry
        waits for that token: its ``token`` is the lowest that the shard must have.
        """
        entry = self.entries[shard]
        token = self.counter + 1
        renewed = entry.intend(
            target=entry.owner, token=token, state=EntryState.RELEASING
        )
        own = Entry(
            owner="",
            token=token,
            state=EntryState.LAPSING,
            target=target,
            next_token=token + 1,
        )
        changed = self.edit({shard: renewed, number: own}, counter=token + 1)
        return replace(changed, pins={**self.pins, key: number})

    def unpin(self, number: int) -> "Chunk":
        """Return the chunk without a pinned entry; no server may hold it any more."""
        entries = {
            shard: entry for shard, entry in self.entries.items() if shard != number
        }
        pins = {key: shard for key, shard in self.pins.items() if shard != number}
        return replace(
            self, entries=entries, pins=pins, fixed=self.fixed.intersection(pins)
        )

    def free_pin(self, shards: int) -> int | None:
        """Return a free number for a pinned entry, or None when the chunk is full."""
        first = shards + self.number * MAX_PINS_PER_CHUNK
        used = set(self.pins.values())
        numbers = range(first, first + MAX_PINS_PER_CHUNK)
        return next((number for number in numbers if number not in used), None)


class _PackedMove(msgspec.Struct, array_like=True, frozen=True):
    shard: int
    state: int
    target: int
    next_token: int
    holders: list[int]


class _PackedChunk(msgspec.Struct, array_like=True, frozen=True):
    format: int
    counter: int
    servers: list[str]
    shards: list[int]
    owners: list[int]
    tokens: list[int]
    moves: list[_PackedMove]
    pins: dict[str, int]
    fixed: list[str]


_MOVING = frozenset({EntryState.RELEASING, EntryState.LAPSING})

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_PackedChunk)


def pack_chunk(chunk: Chunk) -> bytes:
    """Pack ``chunk`` into a store value."""
    numbers: dict[str, int] = {}

    def number(server: str) -> int:
        return numbers.setdefault(server, len(numbers))

    shards = sorted(chunk.entries)
    entries = [chunk.entries[shard] for shard in shards]
    moves = [
        _PackedMove(
            shard=shard,
            state=int(entry.state),
            target=number(entry.target),
            next_token=entry.next_token,
            holders=[number(holder) for holder in entry.holders],
        )
        for shard, entry in zip(shards, entries, strict=True)
        if entry.state is not EntryState.OWNED
    ]
    owners = [number(entry.owner) for entry in entries]
    packed = _PackedChunk(
        format=FORMAT,
        counter=chunk.counter,
        servers=list(numbers),
        shards=shards,
        owners=owners,
        tokens=[entry.token for entry in entries],
        moves=moves,
        pins=dict(chunk.pins),
        fixed=sorted(chunk.fixed),
    )
    return _encoder.encode(packed)


def unpack_chunk(value: bytes, *, service: str, number: int) -> Chunk:
    """Unpack a store value; raises ``InputError`` when it is not a valid chunk."""
    store_key = f"table/{service}/{number}"
    try:
        packed = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise InputError(
            f"expected a packed chunk, got {len(value)} undecodable bytes: {error};"
            " restore the value or upgrade this host",
            step="unpack table",
            peer=store_key,
        ) from error
    if packed.format != FORMAT:
        raise InputError(
            f"expected chunk format {FORMAT}, got {packed.format}; upgrade this host",
            step="unpack table",
            peer=store_key,
        )
    inconsistency = _find_inconsistency(packed, number)
    if inconsistency is not None:
        raise InputError(
            f"{inconsistency}; restore the value or upgrade this host",
            step="unpack table",
            peer=store_key,
        )
    servers = packed.servers
    entries = {
        shard: Entry(owner=servers[owner], token=token)
        for shard, owner, token in zip(
            packed.shards, packed.owners, packed.tokens, strict=True
        )
    }
    for move in packed.moves:
        entries[move.shard] = replace(
            entries[move.shard],
            state=EntryState(move.state),
            target=servers[move.target],
            next_token=move.next_token,
            holders=tuple(servers[holder] for holder in move.holders),
        )
    return Chunk(
        service=service,
        number=number,
        counter=packed.counter,
        entries=entries,
        pins=packed.pins,
        fixed=frozenset(packed.fixed),
    )


def _find_inconsistency(packed: _PackedChunk, number: int) -> str | None:
    """Return the first inconsistency in a decoded chunk, or None.

    Unchecked, a value that was damaged or written by hand could assign shards of
    another chunk, or, by a negative server number, assign shards to the wrong server.
    """
    shards, pins = set(packed.shards), set(packed.pins.values())
    first = number * CHUNK_SHARDS
    out_of_range = [
        shard for shard in shards - pins if not first <= shard < first + CHUNK_SHARDS
    ]
    if out_of_range:
        last = first + CHUNK_SHARDS - 1
        return f"expected shards {first} to {last}, got {min(out_of_range)}"
    if not len(packed.shards) == len(packed.owners) == len(packed.tokens):
        return (
            f"expected an owner and a token for each of {len(packed.shards)} shards,"
            f" got {len(packed.owners)} and {len(packed.tokens)}"
        )
    server_numbers = [*packed.owners]
    for move in packed.moves:
        server_numbers += [move.target, *move.holders]
        if move.shard not in shards or move.state not in _MOVING:
            return f"expected a move of a listed shard, got {move.shard}"
    if server_numbers and not (
        0 <= min(server_numbers) <= max(server_numbers) < len(packed.servers)
    ):
        return f"expected servers 0 to {len(packed.servers) - 1}, got another number"
    return None


def first_chunk(service: str, number: int, targets: Mapping[int, str]) -> Chunk:
    """Return a new chunk with an intent for each of ``targets`` and no holders."""
    unowned = Entry(owner="", token=0)
    entries = {
        shard: unowned.intend(target=target, token=1, state=EntryState.LAPSING)
        for shard, target in targets.items()
    }
    return Chunk(service=service, number=number, counter=1, entries=entries)
