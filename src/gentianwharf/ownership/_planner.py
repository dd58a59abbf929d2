"""Which shards have to move, decided from the table and what is known of servers."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import final

from gentianwharf.placement import (
    Candidate,
    Demand,
    PlacementWeights,
    SiteOfShard,
    place,
    rebalance,
)

from ._table import Entry, EntryState

MOST_PLANNED_MOVES = 64
"""Moves of shards whose owner still serves, under way at a time in a service.

Each holds its shard's requests for some milliseconds; more at once would hold a
noticeable share of a service's requests together.
"""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStates:
    """What the control holder knows of the service's servers."""

    candidates: Sequence[Candidate]
    lost: AbstractSet[str]
    leaving: AbstractSet[str]

    def usable(self) -> list[Candidate]:
        """Return the servers that may take shards."""
        out = self.lost | self.leaving
        return [one for one in self.candidates if one.id not in out]


Intents = dict[int, tuple[str, EntryState]]


def plan_lost(
    entries: Mapping[int, Entry],
    *,
    states: ServerStates,
    demand: Demand,
    busy: Callable[[], Mapping[str, float]],
    site_of: SiteOfShard,
) -> Intents:
    """Return intents for shards that a lost server owns, holds or should take."""
    lost = states.lost
    touched = {
        shard: entry
        for shard, entry in entries.items()
        if entry.owner in lost
        or entry.target in lost
        or not lost.isdisjoint(entry.holders)
    }
    # A move that already waits for its lost holders to lapse, towards a live
    # target, must be let alone: a new intent would start the wait again.
    waiting = {
        shard
        for shard, entry in touched.items()
        if entry.state is EntryState.LAPSING and entry.target not in lost
    }
    to_place = [shard for shard in touched if shard not in waiting]
    # Looked for on every tick while a server is lost: the sums cost more than that.
    if not to_place:
        return {}
    targets = place(
        to_place,
        demand=demand,
        busy=busy(),
        candidates=states.usable(),
        site_of=site_of,
    )
    return {shard: (target, EntryState.LAPSING) for shard, target in targets.items()}


def plan_rebalance(
    owned: Mapping[str, AbstractSet[int]],
    *,
    states: ServerStates,
    demand: Demand,
    is_bound: bool,
    is_movable: Callable[[int], bool],
    weights: PlacementWeights,
    room: int,
) -> Intents:
    """Return intents that even out the load, none while servers are lost."""
    if states.lost:
        return {}
    moves = rebalance(
        owned,
        demand=demand,
        candidates=states.usable(),
        is_bound=is_bound,
        weights=weights,
        room=room,
        is_movable=is_movable,
    )
    return {move.shard: (move.target, EntryState.RELEASING) for move in moves}


def plan_leaving(
    entries: Mapping[int, Entry],
    *,
    shards: Iterable[int],
    states: ServerStates,
    demand: Demand,
    busy: Mapping[str, float],
    site_of: SiteOfShard,
    room: int,
) -> Intents:
    """Return intents for those of ``shards`` that should leave a live owner.

    At most ``room`` of them, since each holds requests for a moment.
    """
    owned = [
        shard
        for shard in shards
        if (entry := entries.get(shard)) and entry.state is EntryState.OWNED
    ]
    targets = place(
        owned[: max(room, 0)],
        demand=demand,
        busy=busy,
        candidates=states.usable(),
        site_of=site_of,
    )
    return {
        shard: (target, EntryState.RELEASING)
        for shard, target in targets.items()
        if target != entries[shard].owner
    }
