"""Which backend server holds which shards of a keyed service, under which token."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import final

import msgspec

from gentianwharf.errors import InputError


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """One server instance; after a restart under the same id it is another holder.

    ``born_ms`` is 0 if each start of the server has an id of its own.
    """

    server_id: str
    born_ms: int
    address: str

    @property
    def keeps_id(self) -> bool:
        """Whether the server may restart under the same id."""
        return self.born_ms != 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """Consecutive shards with one holder, both ends included.

    ``token`` is the fencing token of the holder's grant, higher than every earlier
    token of these shards. ``former_holders`` may still hold some of the shards until
    they have released them or their last grant has expired; as long as there are any,
    the move is not finished.
    """

    first: int
    last: int
    holder: Holder
    token: int
    former_holders: tuple[Holder, ...] = ()

    @property
    def shards(self) -> int:
        """How many shards the span has."""
        return self.last - self.first + 1


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class KeyTable:
    """The spans of one service in order, and the highest token that was ever used.

    ``leader_revision`` is that of the leader's item when the leader stored the table; 0
    if its version stated none.

    >>> holder = Holder(server_id="s1", born_ms=1, address="10.0.0.1:80")
    >>> table = KeyTable(service="roster", highest_token=3, spans=(
    ...     Span(first=4, last=9, holder=holder, token=3),))
    >>> table.span_of(4) is table.spans[0], table.span_of(10), table.span_of(3)
    (True, None, None)
    >>> decode_table(encode_table(table), peer="x") == table
    True
    """

    service: str
    highest_token: int = 0
    spans: tuple[Span, ...] = ()
    leader_revision: int = 0
    _firsts: tuple[int, ...] = field(default=(), repr=False, compare=False)

    def __post_init__(self) -> None:
        firsts = tuple(span.first for span in self.spans)
        object.__setattr__(self, "_firsts", firsts)

    def span_of(self, shard: int) -> Span | None:
        """Return the span that contains a shard, None if no span does."""
        index = bisect_right(self._firsts, shard) - 1
        if index < 0 or self.spans[index].last < shard:
            return None
        return self.spans[index]


def merged_in_order(spans: Iterable[Span]) -> Sequence[Span]:
    """Return the spans sorted by shard, with equivalent neighbours merged."""
    merged: list[Span] = []
    for span in sorted(spans, key=lambda span: span.first):
        last = merged[-1] if merged else None
        if last is not None and _continues(last, span):
            merged[-1] = Span(
                first=last.first, last=span.last, holder=span.holder, token=span.token
            )
        else:
            merged.append(span)
    return merged


def _continues(last: Span, span: Span) -> bool:
    return (
        last.last + 1 == span.first
        and last.holder == span.holder
        and last.token == span.token
        and not last.former_holders
        and not span.former_holders
    )


class _StoredHolder(msgspec.Struct, array_like=True):
    server_id: str
    born_ms: int
    address: str


class _StoredSpan(msgspec.Struct, array_like=True):
    first: int
    last: int
    # Indexes into the table's list of holders, where each holder is stored once.
    holder: int
    token: int
    former_holders: tuple[int, ...]


class _StoredTable(msgspec.Struct):
    service: str
    highest_token: int
    holders: tuple[_StoredHolder, ...]
    spans: tuple[_StoredSpan, ...]
    leader_revision: int = 0


def encode_table(table: KeyTable) -> bytes:
    """Return a table in its stored form."""
    indexes = {holder: index for index, holder in enumerate(_holders(table))}
    stored = _StoredTable(
        service=table.service,
        highest_token=table.highest_token,
        holders=tuple(
            _StoredHolder(holder.server_id, holder.born_ms, holder.address)
            for holder in indexes
        ),
        spans=tuple(
            _StoredSpan(
                span.first,
                span.last,
                indexes[span.holder],
                span.token,
                tuple(indexes[holder] for holder in span.former_holders),
            )
            for span in table.spans
        ),
        leader_revision=table.leader_revision,
    )
    return msgspec.json.encode(stored)


def decode_table(value: bytes, *, peer: str) -> KeyTable:
    """Return the table in a stored value; raises ``InputError`` naming ``peer``."""
    try:
        stored = msgspec.json.decode(value, type=_StoredTable)
        holders = [
            Holder(
                server_id=holder.server_id,
                born_ms=holder.born_ms,
                address=holder.address,
            )
            for holder in stored.holders
        ]
        spans = tuple(
            Span(
                first=span.first,
                last=span.last,
                holder=holders[span.holder],
                token=span.token,
                former_holders=tuple(holders[index] for index in span.former_holders),
            )
            for span in stored.spans
        )
    except (msgspec.DecodeError, IndexError, RecursionError) as error:
        raise InputError(
            f"the key table can't be decoded: {error}", step="read-table", peer=peer
        ) from error
    return KeyTable(
        service=stored.service,
        highest_token=stored.highest_token,
        spans=spans,
        leader_revision=stored.leader_revision,
    )


def _holders(table: KeyTable) -> list[Holder]:
    """Return the holders in an order that does not depend on the order of the spans.

    If holders were listed in the order of their first span, a single move could change
    the indexes in most spans, and the whole table would be sent to all hosts as
    changed.
    """
    holders = {
        holder for span in table.spans for holder in (span.holder, *span.former_holders)
    }
    return sorted(
        holders, key=lambda holder: (holder.server_id, holder.born_ms, holder.address)
    )
