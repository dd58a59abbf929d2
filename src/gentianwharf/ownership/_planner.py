"""Which shards have to move, decided from the table and what is known of servers."""

from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import final

from gentianwharf.placement import (
    Candidate,
    Demand,
    PlacementWeights,
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


def lost_shards(entries: Mapping[int, Entry], lost: AbstractSet[str]) -> list[int]:
    """Return the shards that a lost server owns, holds or should take.

    A move that already waits for its lost holders to lapse, towards a live target, is
    let alone: a new intent would start the wait again.
    """
    return [
        shard
        for shard, entry in entries.items()
        if (
            entry.owner in lost
            or entry.target in lost
            or not lost.isdisjoint(entry.holders)
        )
        and (entry.state is not EntryState.LAPSING or entry.target in lost)
    ]


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
        within_sites=is_bound,
        weights=weights,
        max_moves=room,
        is_movable=is_movable,
    )
    return {move.shard: (move.target, EntryState.RELEASING) for move in moves}
