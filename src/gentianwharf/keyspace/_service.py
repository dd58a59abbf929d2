"""A keyed service as the planner knows it."""

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import final

from ._capacity import utilization
from ._demand import Demand
from ._plan_types import Candidate, MoveCause
from ._snapshot import PlacementSnapshot
from ._table import KeyTable

WARM_UP_S = 5.0
"""How long shards are slow after a move without a handover, unless configured."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class KeyedService:
    """One keyed service: its table as it is stored, and the servers that may hold."""

    name: str
    key: str
    demand: Demand
    table: KeyTable
    revision: int = 0
    candidates: Sequence[Candidate] = ()
    planned_for: Sequence[Candidate] | None = None
    last_joined_s: float = 0.0
    rebalanced_s: float = 0.0
    moves_finished_s: float | None = None
    due_s: float = 0.0
    writing: bool = False
    known_ids: set[str] = field(default_factory=set)
    warm_up_s: float = WARM_UP_S
    moves: Counter[MoveCause] = field(default_factory=Counter)
    """Moves that this host has planned since it started, by cause."""
    cold_loads: deque[tuple[float, float]] = field(default_factory=deque)

    def snapshot(self, shards: int) -> PlacementSnapshot:
        """Return the figures of a service whose shards are ``shards``, for metrics."""
        names = [candidate.holder.server_id for candidate in self.candidates]
        used = utilization(self.demand, self.candidates)
        mean_share = 1 / max(1, len(names))
        hot = self.demand.load(shards).shards_above(mean_share / used)
        return PlacementSnapshot(
            service=self.name,
            speeds={name: self.demand.speed(name) for name in names},
            hot_shards={
                shard: share * used / mean_share for shard, share in hot.items()
            },
            moves=dict(self.moves),
            spans=len(self.table.spans),
            moving_spans=sum(bool(span.former_holders) for span in self.table.spans),
        )
