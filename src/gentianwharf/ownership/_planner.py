"""Selection of shards to move, from the table and the servers' states."""

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

MAX_PLANNED_MOVES = 64
"""Maximum number of concurrent moves in a service of shards whose owner still serves.

Each move holds its shard's requests for some milliseconds; more at once would hold a
noticeable share of the service's requests.
"""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerStates:
    """States of the service's servers, as seen by the control holder."""

    candidates: Sequence[Candidate]
    lost: AbstractSet[str]
    leaving: AbstractSet[str]

    def usable(self) -> list[Candidate]:
        """Return the servers that may take shards."""
        excluded = self.lost | self.leaving
        return [server for server in self.candidates if server.id not in excluded]


Intents = dict[int, tuple[str, EntryState]]


def lost_shards(entries: Mapping[int, Entry], lost: AbstractSet[str]) -> list[int]:
    """Return the shards that a lost server owns or holds or is the target of.

    A move to a live target that already waits for its lost holders to lapse is left
    unchanged: a new intent would restart the wait.
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
    within_sites: bool,
    is_movable: Callable[[int], bool],
    weights: PlacementWeights,
    max_moves: int,
) -> Intents:
    """Return intents that balance the load, none while any server is lost."""
    if states.lost:
        return {}
    moves = rebalance(
        owned,
        demand=demand,
        candidates=states.usable(),
        within_sites=within_sites,
        weights=weights,
        max_moves=max_moves,
        is_movable=is_movable,
    )
    return {move.shard: (move.target, EntryState.RELEASING) for move in moves}
