"""Who should hold which shards.

Load pattern: some shards are far busier than others, the busy ones stand close
together, and which they are changes within seconds. Servers join empty and leave full.
Parts of equal size would put all busy shards on one server.

Shards of a server that leaves are dealt out in pieces to those with the least load for
their capacity. Beyond that only what evens out a clear difference moves, since each
move keeps some shards from being served for a moment.

Load pattern: a failure domain is cut off, and a third of all shards with it. They come
without what their holder knew of them, and take several times the work for some
seconds; all at once they fill the servers that are left, and nobody is served well.
Shards of lost servers move only as fast as there is room for that work.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from math import sqrt
from typing import final

from ._shard_load import ShardLoad
from ._table import Holder, KeyTable, Span, merged_in_order

PIECES_PER_SERVER = 4
"""A lost server's shards go out in so many pieces or more, so that no single other
server takes them all."""

START_ABOVE = 1.25
"""Load above the mean at which a server gives shards away; below a quarter too much
there is little to gain."""

CHANCE = 1.5
"""Standard deviations by which a server's count must differ as well: of forty requests
in sight, every other server has six more or less than its part by chance."""

FULL = 0.6
"""Part of its slots that a server may use before it gives shards away: up to there
hardly anything waits, and each move costs every host a call to the store."""

NEWCOMER = 0.15
"""Load below the mean at which a server is sent shards though none is full: it joined
just now, and would be idle when it is needed."""

START_BELOW = 0.6
"""Load below the mean at which a server is sent shards, as after it joined."""


MIN_CUT_LOAD = 0.01
"""Of all load: for less a lost server's span is not cut."""

FILLS = 0.7
"""The part of a server's fair load at which one shard counts as filling it."""

FASTER = 1.2
"""How much more a server must be able to do for a hot shard to move there: speeds are
known to a tenth or so, and each move keeps the shard from being served for a moment."""

MOST_OVER = 1.2
"""How much more than wanted a piece may have."""

ENOUGH = 0.7
"""Of the load of the busiest piece: among those with so much the narrowest moves. Each
key that moves has a price of its own, however little it is used."""

MOST_PIECES = 12
"""Of one span that are looked at."""

MOST_MOVES = 8
"""Of one round of evening out; the next one sees what they did."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may hold shards; ``capacity`` is relative to the others'."""

    holder: Holder
    capacity: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class LostHolders:
    """Holders that can't hand over what they have, and how much load may leave them."""

    holders: frozenset[Holder] = frozenset()
    movable_load: float = 1.0


NO_LOST_HOLDERS = LostHolders()


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """A table as it should be, and the load that moves without a handover."""

    table: KeyTable
    cold_load: float = 0.0


def plan(
    table: KeyTable,
    candidates: Sequence[Candidate],
    load: ShardLoad,
    *,
    shards: int,
    rebalance: bool,
    utilization: float = 1.0,
    lost_holders: LostHolders = NO_LOST_HOLDERS,
) -> Plan:
    """Return the table as it should be, the same one where nothing is to change.

    ``utilization`` is the part of all slots that are in use, 1 where that is not known.
    Without candidates nothing moves: whoever holds shards may come back.
    """
    if not candidates:
        return Plan(table=table)
    planning = _Planning(table, candidates, load, utilization=utilization)
    planning.fill_gaps(shards)
    planning.place_orphans(lost_holders)
    if rebalance:
        planning.rebalance()
    return planning.result()


@final
class _Planning:
    """One round over a service's spans."""

    def __init__(
        self,
        table: KeyTable,
        candidates: Sequence[Candidate],
        load: ShardLoad,
        *,
        utilization: float,
    ) -> None:
        self._table = table
        self._utilization = utilization
        self._load = load
        self._by_holder: Mapping[Holder, Candidate] = {
            one.holder: one for one in candidates
        }
        self._capacity = sum(one.capacity for one in candidates)
        self._spans: list[Span] = list(table.spans)
        self._token = table.highest_token + 1
        self._changed = False
        self._cold_load = 0.0
        for_each = load.total / len(candidates)
        self._chance = CHANCE / sqrt(for_each) if for_each else 0.0
        self._carried = {one.holder: 0.0 for one in candidates}
        for span in table.spans:
            if span.holder in self._carried:
                self._carried[span.holder] += load.share(span.first, span.last)

    def result(self) -> Plan:
        if not self._changed:
            return Plan(table=self._table)
        table = KeyTable(
            service=self._table.service,
            highest_token=self._token,
            spans=tuple(merged_in_order(self._spans)),
        )
        return Plan(table=table, cold_load=self._cold_load)

    def fill_gaps(self, shards: int) -> None:
        """Deal out shards that nobody ever held."""
        nobody: list[tuple[int, int]] = []
        next_first = 0
        for span in self._spans:
            if span.first > next_first:
                nobody.append((next_first, span.first - 1))
            next_first = span.last + 1
        if next_first < shards:
            nobody.append((next_first, shards - 1))
        if not self._spans:
            self._divide(0, shards - 1)
            return
        for first, last in nobody:
            self._deal_out(first, last, former_holders=())

    def _divide(self, first: int, last: int) -> None:
        """Give each server one part, as large as its capacity."""
        total = self._load.share(first, last)
        candidates = sorted(
            self._by_holder.values(), key=lambda one: one.holder.server_id
        )
        for index, candidate in enumerate(candidates):
            if first > last:
                return
            wanted = total * candidate.capacity / self._capacity
            is_last = index == len(candidates) - 1
            end = last if is_last else self._load.cut(first, last, wanted)
            self._give(first, end, candidate.holder, former_holders=())
            first = end + 1

    def place_orphans(self, lost_holders: LostHolders) -> None:
        """Deal out the shards of servers that no longer take any."""
        orphans = [span for span in self._spans if span.holder not in self._by_holder]
        for span in orphans:
            if span.holder in lost_holders.holders:
                self._place_lost(span, lost_holders.movable_load - self._cold_load)
            else:
                self._place(span, span.last)

    def _place_lost(self, span: Span, movable_load: float) -> None:
        """Deal out as much of a lost server's span as there is room for."""
        if movable_load < MIN_CUT_LOAD:
            return
        last = self._load.cut(span.first, span.last, movable_load)
        self._cold_load += self._load.share(span.first, last)
        self._place(span, last)

    def _place(self, span: Span, last: int) -> None:
        self._spans.remove(span)
        if last < span.last:
            self._spans.append(replace(span, first=last + 1))
        former_holders = _with(span.former_holders, span.holder)
        self._deal_out(span.first, last, former_holders=former_holders)

    def _deal_out(
        self, first: int, last: int, *, former_holders: tuple[Holder, ...]
    ) -> None:
        most = 1.0 / len(self._by_holder) / PIECES_PER_SERVER
        while first <= last:
            end = self._load.cut(first, last, most)
            self._give(first, end, self._least_busy(), former_holders=former_holders)
            first = end + 1

    def _least_busy(self) -> Holder:
        return min(
            self._carried,
            key=lambda one: (
                self._carried[one] / self._by_holder[one].capacity,
                one.server_id,
            ),
        )

    def _busyness(self, holder: Holder) -> float:
        """Return a server's load relative to its fair part; 1 is the mean."""
        fair = self._by_holder[holder].capacity / self._capacity
        return self._carried[holder] / fair

    def _give(
        self,
        first: int,
        last: int,
        holder: Holder,
        *,
        former_holders: tuple[Holder, ...],
    ) -> None:
        self._spans.append(
            Span(
                first=first,
                last=last,
                holder=holder,
                token=self._token,
                former_holders=tuple(one for one in former_holders if one != holder),
            )
        )
        self._carried[holder] += self._load.share(first, last)
        self._changed = True

    def rebalance(self) -> None:
        """Move load from servers with far too much to those with far too little."""
        self._place_hottest()
        stuck: set[Holder] = set()
        for _ in range(MOST_MOVES):
            least = self._least_busy()
            busiest = [one for one in self._carried if one not in stuck]
            if not busiest:
                return
            most = max(busiest, key=self._busyness)
            above = self._busyness(most)
            below = self._busyness(least)
            is_uneven = above > START_ABOVE + self._chance
            is_full = above * self._utilization > FULL
            if not (is_uneven and is_full) and below > self._least():
                return
            if most == least or not self._move(most, least, above, below):
                stuck.add(most)

    def _least(self) -> float:
        """Return how little a server may have before it is sent shards."""
        return START_BELOW if self._utilization > FULL * START_BELOW else NEWCOMER

    def _place_hottest(self) -> None:
        """Let the fastest server have a shard that fills a server by itself.

        One shard can't be parted. The faster its holder, the fewer of its requests are
        turned away; what else that server has moves off by evening out.
        """
        found = self._hottest()
        if found is None:
            return
        span, shard = found
        fastest = max(self._by_holder.values(), key=lambda one: one.capacity)
        holder = self._by_holder[span.holder]
        if fastest.capacity < holder.capacity * FASTER:
            return
        self._take_out(span, shard, shard)
        self._give(shard, shard, fastest.holder, former_holders=(span.holder,))

    def _hottest(self) -> tuple[Span, int] | None:
        shard = self._load.hottest()
        if shard is None:
            return None
        span = next(
            (one for one in self._spans if one.first <= shard <= one.last), None
        )
        if span is None or span.former_holders or span.holder not in self._by_holder:
            return None
        fair = self._by_holder[span.holder].capacity / self._capacity
        is_hot = self._load.share(shard, shard) > fair * FILLS
        return (span, shard) if is_hot else None

    def _move(self, most: Holder, least: Holder, above: float, below: float) -> bool:
        fair_most = self._by_holder[most].capacity / self._capacity
        fair_least = self._by_holder[least].capacity / self._capacity
        wanted = min((above - 1.0) * fair_most, (1.0 - below) * fair_least)
        if wanted <= 0:
            return False
        pieces = [
            (span, first, last)
            for span in self._spans
            if span.holder == most and not span.former_holders
            for first, last in self._pieces(span, wanted)
        ]
        if not pieces:
            return False
        loads = [self._load.share(first, last) for _, first, last in pieces]
        enough = max(loads) * ENOUGH
        span, first, last = min(
            (one for one, load in zip(pieces, loads, strict=True) if load >= enough),
            key=lambda one: one[2] - one[1],
        )
        self._take_out(span, first, last)
        self._give(first, last, least, former_holders=(most,))
        return True

    def _pieces(self, span: Span, wanted: float) -> Iterator[tuple[int, int]]:
        """Yield parts of a span with about the load that is wanted, or less.

        They end before a shard that has more by itself.
        """
        first = span.first
        for _ in range(MOST_PIECES):
            if first > span.last:
                return
            last = self._load.cut(first, span.last, wanted)
            if self._load.share(first, last) <= wanted * MOST_OVER:
                yield first, last
            elif last > first:
                yield first, last - 1
            first = last + 1

    def _take_out(self, span: Span, first: int, last: int) -> None:
        """Take shards out of a span; what is left keeps its holder and its token."""
        self._spans.remove(span)
        self._carried[span.holder] -= self._load.share(first, last)
        if span.first < first:
            self._spans.append(replace(span, last=first - 1))
        if last < span.last:
            self._spans.append(replace(span, first=last + 1))


def _with(former_holders: tuple[Holder, ...], holder: Holder) -> tuple[Holder, ...]:
    return former_holders if holder in former_holders else (*former_holders, holder)
