"""Computes which server should hold which shards.

Load pattern: some shards are far busier than others, busy shards are next to each
other, and the set of busy shards changes within seconds. Servers join with no shards
and leave with many. Ranges of equal size would put all busy shards on one server.

The shards of a server that leaves are split into pieces and assigned to the servers
with the least load for their capacity. Apart from that, shards move only to reduce a
clear imbalance, since each move makes some shards unavailable for a moment.

Load pattern: a failure domain is cut off, and with it a third of all shards. Their new
holders get no handover state and need several times the usual work for some seconds. If
all of these shards moved at once, the remaining servers would be overloaded and every
request would suffer. Shards of lost servers therefore move only as fast as the
remaining servers have spare capacity for that work.
"""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace
from math import sqrt
from typing import final

from ._plan_types import NO_LOST_HOLDERS, Candidate, LostHolders, MoveCause, Plan
from ._shard_load import ShardLoad
from ._table import Holder, KeyTable, Span, merged_in_order

PIECES_PER_SERVER = 4
"""A lost server's shards are split into at least this many pieces, so that no single
server takes them all."""

OVERLOADED_ABOVE = 1.25
"""Load relative to the mean above which a server gives shards away; a smaller excess is
not worth a move."""

NOISE_DEVIATIONS = 1.5
"""Standard deviations by which the load of a server must also exceed the mean. With
forty requests counted, every other server deviates by six or more by chance."""

FULL_UTILIZATION = 0.6
"""Slot utilization up to which a server gives no shards away: hardly any request is
queued below it, and each move costs every host a call to the store."""

NEARLY_IDLE_BELOW = 0.15
"""Load relative to the mean below which a server is sent shards although no server is
full: it has just joined, and would be idle when its capacity is needed."""

UNDERLOADED_BELOW = 0.6
"""Load relative to the mean below which a server is sent shards in general."""


MIN_SPLIT_LOAD = 0.01
"""Share of all load; a lost server's span is not split for less."""

HOT_SHARD_SHARE = 0.7
"""Share of a server's fair load from which a single shard counts as hot."""

MIN_SPEED_RATIO = 1.2
"""Ratio of speeds from which a hot shard moves to a faster server. Speeds are measured
to within about a tenth, and each move makes the shard unavailable for a moment."""

MAX_PIECE_RATIO = 1.2
"""Ratio by which a piece may exceed the wanted load."""

MIN_PIECE_SHARE = 0.7
"""Share of the load of the busiest piece. Of the pieces with at least this load the one
with the fewest shards moves, since each key that moves has a cost of its own, however
little it is used."""

MAX_PIECES = 12
"""Pieces of one span that are considered."""

MIN_MOVES = 8
SERVERS_PER_MOVE = 2
"""Moves in one round of rebalancing, one for so many servers; the next round sees their
effect."""

MAX_MOVES = 60
"""Moves in one round at most. Each changes the table of every host: with 89 hosts, 112
moves each half second would fill a leader's link of 10 Mbit/s."""


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
    """Return the planned table, which is ``table`` itself if nothing has to change.

    ``utilization`` is the share of all slots in use, 1 if that is unknown. Without
    candidates nothing moves, since the current holders may come back.
    """
    if not candidates:
        return Plan(table=table)
    planning = _Planning(table, candidates, load, utilization=utilization)
    planning.fill_gaps(shards)
    planning.reassign_orphans(lost_holders)
    if rebalance:
        planning.rebalance()
    return planning.result()


@final
class _Planning:
    """One planning round over the spans of a service."""

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
            candidate.holder: candidate for candidate in candidates
        }
        self._capacity = sum(candidate.capacity for candidate in candidates)
        self._spans = {span.first: span for span in table.spans}
        self._movable: dict[Holder, dict[int, Span]] = {}
        """While rebalancing, the spans that may move, by holder and first shard."""
        self._token = table.highest_token + 1
        self._changed = False
        self._cold_load = 0.0
        self._moves: Counter[MoveCause] = Counter()
        count_per_server = load.total / len(candidates)
        self._noise = (
            NOISE_DEVIATIONS / sqrt(count_per_server) if count_per_server else 0.0
        )
        self._load_by_holder = {candidate.holder: 0.0 for candidate in candidates}
        for span in table.spans:
            if span.holder in self._load_by_holder:
                self._load_by_holder[span.holder] += load.share(span.first, span.last)

    def result(self) -> Plan:
        if not self._changed:
            return Plan(table=self._table)
        table = KeyTable(
            service=self._table.service,
            highest_token=self._token,
            spans=tuple(merged_in_order(self._spans.values())),
        )
        return Plan(table=table, cold_load=self._cold_load, moves=self._moves)

    def fill_gaps(self, shards: int) -> None:
        """Assign shards that never had a holder."""
        unassigned: list[tuple[int, int]] = []
        next_first = 0
        for span in self._spans.values():
            if span.first > next_first:
                unassigned.append((next_first, span.first - 1))
            next_first = span.last + 1
        if next_first < shards:
            unassigned.append((next_first, shards - 1))
        if not self._spans:
            self._assign_all(0, shards - 1)
            return
        for first, last in unassigned:
            self._distribute(first, last, former_holders=())

    def _assign_all(self, first: int, last: int) -> None:
        """Assign to each server one range of shards, in proportion to its capacity."""
        total = self._load.share(first, last)
        candidates = sorted(
            self._by_holder.values(), key=lambda candidate: candidate.holder.server_id
        )
        for index, candidate in enumerate(candidates):
            if first > last:
                return
            wanted = total * candidate.capacity / self._capacity
            is_last = index == len(candidates) - 1
            end = last if is_last else self._load.cut(first, last, wanted)
            self._assign(first, end, candidate.holder, former_holders=())
            first = end + 1

    def reassign_orphans(self, lost_holders: LostHolders) -> None:
        """Reassign the shards of servers that are no longer candidates."""
        orphans = [
            span for span in self._spans.values() if span.holder not in self._by_holder
        ]
        for span in orphans:
            if span.holder in lost_holders.holders:
                self._reassign_lost(span, lost_holders.movable_load - self._cold_load)
            else:
                self._moves[MoveCause.LEFT] += 1
                self._reassign(span, span.last)

    def _reassign_lost(self, span: Span, movable_load: float) -> None:
        """Reassign as much of a lost server's span as the movable load allows."""
        if movable_load < MIN_SPLIT_LOAD:
            return
        last = self._load.cut(span.first, span.last, movable_load)
        self._moves[MoveCause.LOST] += 1
        self._cold_load += self._load.share(span.first, last)
        self._reassign(span, last)

    def _reassign(self, span: Span, last: int) -> None:
        del self._spans[span.first]
        if last < span.last:
            self._spans[last + 1] = replace(span, first=last + 1)
        former_holders = _with_holder(span.former_holders, span.holder)
        self._distribute(span.first, last, former_holders=former_holders)

    def _distribute(
        self, first: int, last: int, *, former_holders: tuple[Holder, ...]
    ) -> None:
        max_load = 1.0 / len(self._by_holder) / PIECES_PER_SERVER
        while first <= last:
            end = self._load.cut(first, last, max_load)
            self._assign(
                first, end, self._least_loaded(), former_holders=former_holders
            )
            first = end + 1

    def _least_loaded(self) -> Holder:
        return min(
            self._load_by_holder,
            key=lambda holder: (
                self._load_by_holder[holder] / self._by_holder[holder].capacity,
                holder.server_id,
            ),
        )

    def _relative_load(self, holder: Holder) -> float:
        """Return a server's load relative to its fair share; 1 is the mean."""
        fair = self._by_holder[holder].capacity / self._capacity
        return self._load_by_holder[holder] / fair

    def _assign(
        self,
        first: int,
        last: int,
        holder: Holder,
        *,
        former_holders: tuple[Holder, ...],
    ) -> None:
        self._spans[first] = Span(
            first=first,
            last=last,
            holder=holder,
            token=self._token,
            former_holders=tuple(
                former for former in former_holders if former != holder
            ),
        )
        self._load_by_holder[holder] += self._load.share(first, last)
        self._changed = True

    def rebalance(self) -> None:
        """Move load from clearly overloaded servers to clearly underloaded ones."""
        self._move_hottest()
        self._movable = {}
        for span in self._spans.values():
            if not span.former_holders:
                self._movable.setdefault(span.holder, {})[span.first] = span
        immovable: set[Holder] = set()
        moves = max(MIN_MOVES, len(self._by_holder) // SERVERS_PER_MOVE)
        moves = min(moves, MAX_MOVES)
        for _ in range(moves):
            least = self._least_loaded()
            movable_from = [
                holder for holder in self._load_by_holder if holder not in immovable
            ]
            if not movable_from:
                return
            most = max(movable_from, key=self._relative_load)
            above = self._relative_load(most)
            below = self._relative_load(least)
            is_uneven = above > OVERLOADED_ABOVE + self._noise
            is_full = above * self._utilization > FULL_UTILIZATION
            if not (is_uneven and is_full) and below > self._underloaded_below():
                return
            if most == least or not self._move(most, least, above, below):
                immovable.add(most)
                continue
            is_relief = is_uneven and is_full
            cause = MoveCause.OVERLOADED if is_relief else MoveCause.UNDERLOADED
            self._moves[cause] += 1

    def _underloaded_below(self) -> float:
        """Return the relative load below which a server is sent shards."""
        return (
            UNDERLOADED_BELOW
            if self._utilization > FULL_UTILIZATION * UNDERLOADED_BELOW
            else NEARLY_IDLE_BELOW
        )

    def _move_hottest(self) -> None:
        """Move a shard that fills a server by itself to the fastest server.

        A single shard can't be split. The faster its holder, the fewer of its requests
        are rejected; rebalancing moves the other shards of that server away.
        """
        found = self._hottest()
        if found is None:
            return
        span, shard = found
        fastest = max(
            self._by_holder.values(), key=lambda candidate: candidate.capacity
        )
        holder = self._by_holder[span.holder]
        if fastest.capacity < holder.capacity * MIN_SPEED_RATIO:
            return
        self._moves[MoveCause.HOT_SHARD] += 1
        self._remove(span, shard, shard)
        self._assign(shard, shard, fastest.holder, former_holders=(span.holder,))

    def _hottest(self) -> tuple[Span, int] | None:
        shard = self._load.hottest()
        if shard is None:
            return None
        span = next(
            (span for span in self._spans.values() if span.first <= shard <= span.last),
            None,
        )
        if span is None or span.former_holders or span.holder not in self._by_holder:
            return None
        fair = self._by_holder[span.holder].capacity / self._capacity
        is_hot = self._load.share(shard, shard) > fair * HOT_SHARD_SHARE
        return (span, shard) if is_hot else None

    def _move(self, most: Holder, least: Holder, above: float, below: float) -> bool:
        fair_most = self._by_holder[most].capacity / self._capacity
        fair_least = self._by_holder[least].capacity / self._capacity
        wanted = min((above - 1.0) * fair_most, (1.0 - below) * fair_least)
        if wanted <= 0:
            return False
        pieces = [
            (span, first, last)
            for span in self._movable.get(most, {}).values()
            for first, last in self._pieces(span, wanted)
        ]
        if not pieces:
            return False
        loads = [self._load.share(first, last) for _, first, last in pieces]
        min_load = max(loads) * MIN_PIECE_SHARE
        span, first, last = min(
            (
                piece
                for piece, load in zip(pieces, loads, strict=True)
                if load >= min_load
            ),
            key=lambda piece: piece[2] - piece[1],
        )
        self._remove(span, first, last)
        self._assign(first, last, least, former_holders=(most,))
        return True

    def _pieces(self, span: Span, wanted: float) -> Iterator[tuple[int, int]]:
        """Yield parts of a span with about the wanted load, or less.

        A part ends before a shard that would exceed the wanted load by itself.
        """
        first = span.first
        for _ in range(MAX_PIECES):
            if first > span.last:
                return
            last = self._load.cut(first, span.last, wanted)
            if self._load.share(first, last) <= wanted * MAX_PIECE_RATIO:
                yield first, last
            elif last > first:
                yield first, last - 1
            first = last + 1

    def _remove(self, span: Span, first: int, last: int) -> None:
        """Remove shards from a span; the remainder keeps its holder and its token."""
        movable = self._movable.get(span.holder, {})
        del self._spans[span.first]
        movable.pop(span.first, None)
        self._load_by_holder[span.holder] -= self._load.share(first, last)
        rest: list[Span] = []
        if span.first < first:
            rest.append(replace(span, last=first - 1))
        if last < span.last:
            rest.append(replace(span, first=last + 1))
        for remainder in rest:
            self._spans[remainder.first] = movable[remainder.first] = remainder


def _with_holder(
    former_holders: tuple[Holder, ...], holder: Holder
) -> tuple[Holder, ...]:
    return former_holders if holder in former_holders else (*former_holders, holder)
