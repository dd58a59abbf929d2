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
    """One life of a server: one that is born again under its id holds nothing."""

    server_id: str
    born_ms: int
    address: str


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
    """The spans of one service in order, and the highest token ever used.

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
    _firsts: tuple[int, ...] = field(default=(), repr=False, compare=False)

    def __post_init__(self) -> None:
        firsts = tuple(span.first for span in self.spans)
        object.__setattr__(self, "_firsts", firsts)

    def span_of(self, shard: int) -> Span | None:
        """Return the span that a shard stands in."""
        index = bisect_right(self._firsts, shard) - 1
        if index < 0 or self.spans[index].last < shard:
            return None
        return self.spans[index]


def merged_in_order(spans: Iterable[Span]) -> Sequence[Span]:
    """Return spans by their shards; neighbours that are alike become one."""
    joined: list[Span] = []
    for span in sorted(spans, key=lambda one: one.first):
        last = joined[-1] if joined else None
        if last is not None and _continues(last, span):
            joined[-1] = Span(
                first=last.first, last=span.last, holder=span.holder, token=span.token
            )
        else:
            joined.append(span)
    return joined


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
    # Places in the table's list of holders: a server's words stand there once.
    holder: int
    token: int
    former_holders: tuple[int, ...]


class _StoredTable(msgspec.Struct):
    service: str
    highest_token: int
    holders: tuple[_StoredHolder, ...]
    spans: tuple[_StoredSpan, ...]


def encode_table(table: KeyTable) -> bytes:
    """Return a table as it stands in the store."""
    places = {holder: place for place, holder in enumerate(_holders(table))}
    stored = _StoredTable(
        service=table.service,
        highest_token=table.highest_token,
        holders=tuple(
            _StoredHolder(one.server_id, one.born_ms, one.address) for one in places
        ),
        spans=tuple(
            _StoredSpan(
                span.first,
                span.last,
                places[span.holder],
                span.token,
                tuple(places[one] for one in span.former_holders),
            )
            for span in table.spans
        ),
    )
    return msgspec.json.encode(stored)


def decode_table(value: bytes, *, peer: str) -> KeyTable:
    """Return the table in a stored value; raises ``InputError`` naming ``peer``."""
    try:
        stored = msgspec.json.decode(value, type=_StoredTable)
        holders = [
            Holder(server_id=one.server_id, born_ms=one.born_ms, address=one.address)
            for one in stored.holders
        ]
        spans = tuple(
            Span(
                first=one.first,
                last=one.last,
                holder=holders[one.holder],
                token=one.token,
                former_holders=tuple(holders[place] for place in one.former_holders),
            )
            for one in stored.spans
        )
    except (msgspec.DecodeError, IndexError) as error:
        raise InputError(
            f"the table of keys can't be read: {error}", step="read-table", peer=peer
        ) from error
    return KeyTable(
        service=stored.service, highest_token=stored.highest_token, spans=spans
    )


def _holders(table: KeyTable) -> list[Holder]:
    """Return the holders in an order that moves between them do not change.

    By the order in which they appear, one move would shift the places in most spans,
    and the whole table would be told to all hosts as changed.
    """
    holders = {
        one for span in table.spans for one in (span.holder, *span.former_holders)
    }
    return sorted(holders, key=lambda one: (one.server_id, one.born_ms, one.address))
