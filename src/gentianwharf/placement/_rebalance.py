"""Rebalancing of shards between live servers, where a move is worth its cost.

The gain of a move has three terms, in seconds of an average shard's work: the overload
that the move relieves over ``HORIZON_S``, less a cost for the change of owner, less a
cost for the requests that wait while the shard moves. Tunis puts a high weight on
waiting, Brazos Bend on changes of owner. The unit is an average shard: relative to a
server's load, no move would be worth its cost in a service with many small shards.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import final

from ._demand import Demand
from ._place import Candidate

HORIZON_S = 600.0
"""How long the gain of a move is expected to last; hot keys change within minutes."""

START_ABOVE = 1.08
"""Share of the mean load above which shards are moved off a server."""

START_BELOW = 0.85
"""Share of the mean load below which shards are moved to a server, as after a join."""

MIN_DEVIATION = 0.02
"""Share of a server's slots by which its load must also differ from the mean.

A single caller that sends its next request for a key upon each answer uses one slot or
less of an otherwise idle server: this load is far above the mean, but no reason for a
move. With more than a quarter of the slots in use, only ``START_ABOVE`` and
``START_BELOW`` decide.
"""

STOP_ABOVE = 1.02
"""Share of the mean load at which moves stop.

It is well below ``START_ABOVE``, so that noise around either limit doesn't move shards
back and forth.
"""

MIN_SEPARATION_GAIN = 0.05
"""Share of the mean load by which separating hot shards must reduce the load of the
busier of the two servers."""

OWNER_CHANGE_COST_S = 60.0
"""Cost of a change of owner at weight 1, in seconds of an average shard's work.

At weight 1, shards with less than a tenth of the average load aren't moved; at weight
4, shards with less than four tenths. From weight 10, a joining server no longer
receives shards of average load.
"""

MAX_MOVE_WAIT_S = 0.05
"""Upper bound of the time that requests wait while their shard moves."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementWeights:
    """The operators' weights of the three terms in the gain of a move."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable_time: float = 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedMove:
    """A move of a shard to another server, and its gain.

    ``gain_s`` is in seconds of an average shard's work.
    """

    shard: int
    source: str
    target: str
    gain_s: float


def _any_shard(shard: int) -> bool:
    return True


@final
class _Server:
    """A candidate's load and shards; these are sorted by load on first use."""

    def __init__(
        self, candidate: Candidate, owned: AbstractSet[int], demand: Demand
    ) -> None:
        self.id = candidate.id
        self.slots = candidate.slots
        self.load = demand.total(owned)
        self._owned = set(owned)
        self._demand = demand
        self._by_load: list[tuple[float, int]] | None = None

    def load_per_slot(self) -> float:
        return self.load / self.slots

    def count(self) -> int:
        return len(self._owned)

    def by_load(self, is_movable: Callable[[int], bool]) -> list[tuple[float, int]]:
        if self._by_load is None:
            self._by_load = sorted(
                (self._demand.shard_slots(shard), shard)
                for shard in self._owned
                if is_movable(shard)
            )
        return self._by_load

    def add(self, shard: int, load: float) -> None:
        self._owned.add(shard)
        self.load += load
        if self._by_load is not None:
            insort(self._by_load, (load, shard))

    def remove(self, shard: int, load: float) -> None:
        self._owned.discard(shard)
        self.load -= load
        if self._by_load is not None:
            self._by_load.remove((load, shard))


def rebalance(
    owned: Mapping[str, AbstractSet[int]],
    *,
    demand: Demand,
    candidates: Sequence[Candidate],
    within_sites: bool,
    weights: PlacementWeights,
    max_moves: int,
    is_movable: Callable[[int], bool] = _any_shard,
) -> list[PlannedMove]:
    """Return at most ``max_moves`` moves, off the most loaded servers first.

    ``owned`` holds the shards of each server. With ``within_sites``, as when the rules
    bind shards to sites, shards move only between servers of the same site. No moves
    are returned while the load of every server is near the mean (``START_BELOW``,
    ``START_ABOVE``, ``MIN_DEVIATION``); this check costs nothing for shards
    without measured demand.

    >>> servers = [Candidate(id=name, site="x", slots=1) for name in ("a", "b")]
    >>> moves = rebalance({"a": {1, 2, 3}}, demand=Demand(), candidates=servers,
    ...     within_sites=False, weights=PlacementWeights(), max_moves=8)
    >>> [(move.source, move.target) for move in moves]
    [('a', 'b')]
    """
    moves: list[PlannedMove] = []
    groups: dict[str | None, list[_Server]] = {}
    for candidate in candidates:
        site = candidate.site if within_sites else None
        server = _Server(candidate, owned.get(candidate.id, frozenset()), demand)
        groups.setdefault(site, []).append(server)
    count = sum(len(shards) for shards in owned.values())
    mean_shard = sum(s.load for group in groups.values() for s in group) / (count or 1)
    for group in groups.values():
        balancer = _GroupBalancer(
            servers=group,
            mean_shard=mean_shard,
            demand=demand,
            weights=weights,
            is_movable=is_movable,
        )
        moves += balancer.moves(max_moves - len(moves))
    return moves


@final
class _GroupBalancer:
    """Balances the load of a group of servers: those of one site, or all."""

    def __init__(
        self,
        *,
        servers: list[_Server],
        mean_shard: float,
        demand: Demand,
        weights: PlacementWeights,
        is_movable: Callable[[int], bool],
    ) -> None:
        self._mean_shard = mean_shard
        self._demand = demand
        self._weights = weights
        self._is_movable = is_movable
        slots = sum(s.slots for s in servers)
        self._mean = sum(s.load for s in servers) / slots
        self._mean_count = sum(s.count() for s in servers) / slots
        self._by_id = {server.id: server for server in servers}
        # Sorted by load per slot, since only the servers at both ends are examined,
        # and there may be thousands.
        self._order = sorted((server.load_per_slot(), server.id) for server in servers)

    def moves(self, max_moves: int) -> list[PlannedMove]:
        """Return at most ``max_moves`` moves."""
        moves: list[PlannedMove] = []
        if self._is_balanced():
            return moves
        while len(moves) < max_moves:
            move = self._best_move()
            if move is None:
                break
            moves.append(move)
        return moves

    def _is_balanced(self) -> bool:
        mean, lowest, highest = self._mean, self._order[0][0], self._order[-1][0]
        above = max(mean * (START_ABOVE - 1), MIN_DEVIATION)
        below = max(mean * (1 - START_BELOW), MIN_DEVIATION)
        return highest <= mean + above and lowest >= mean - below

    def _best_move(self) -> PlannedMove | None:
        target = self._by_id[self._order[0][1]]
        for load_per_slot, server_id in reversed(self._order):
            is_underloaded = target.load_per_slot() < self._mean * START_BELOW
            if load_per_slot <= self._mean * STOP_ABOVE and not is_underloaded:
                return None
            move = self._try_move(self._by_id[server_id], target)
            if move is not None:
                return move
        return None

    def _try_move(self, source: _Server, target: _Server) -> PlannedMove | None:
        shards = source.by_load(self._is_movable)
        index = _find_fitting(source, shards, target, self._mean)
        if index is None:
            index = _find_separating(source, shards, target, self._mean)
        if index is None:
            return None
        load, shard = shards[index]
        gain_s = _gain_s(self._load_in_mean_shards(load, target), self._weights)
        if gain_s <= 0:
            return None
        self._move(shard, load, source, target)
        return PlannedMove(
            shard=shard, source=source.id, target=target.id, gain_s=gain_s
        )

    def _load_in_mean_shards(self, load: float, target: _Server) -> float:
        """Return the part of a shard's load that justifies a move, in average shards.

        The demand that is assumed for every shard counts only if the target has too
        few shards. Otherwise one hot key would cause the idle shards of its server to
        be moved away, which reduces no real load.
        """
        has_few_shards = target.count() / target.slots < self._mean_count * START_BELOW
        if has_few_shards:
            return load / self._mean_shard
        measured = load - self._demand.idle_slots
        mean_measured = self._mean_shard - self._demand.idle_slots
        return measured / mean_measured if mean_measured > 0 else 0.0

    def _move(self, shard: int, load: float, source: _Server, target: _Server) -> None:
        for server in (source, target):
            self._order.remove((server.load_per_slot(), server.id))
        source.remove(shard, load)
        target.add(shard, load)
        for server in (source, target):
            insort(self._order, (server.load_per_slot(), server.id))


def _find_fitting(
    source: _Server, shards: list[tuple[float, int]], target: _Server, mean: float
) -> int | None:
    """Return the index of the heaviest shard that keeps the target near the mean.

    Taking the heaviest shard that fits needs the fewest moves.
    """
    excess = source.load - mean * source.slots * START_BELOW
    spare = mean * target.slots * STOP_ABOVE - target.load
    index = bisect_right(shards, (min(excess, spare), 1 << 62)) - 1
    if index < 0 or shards[index][0] <= 0:
        return None
    after = (target.load + shards[index][0]) / target.slots
    return index if after < source.load_per_slot() else None


def _find_separating(
    source: _Server, shards: list[tuple[float, int]], target: _Server, mean: float
) -> int | None:
    """Return the index of the shard whose move best separates hot shards.

    Used when no shard fits within the mean. Without ``MIN_SEPARATION_GAIN``, hot shards
    would be moved back and forth between two servers without end.
    """

    def higher_load(index: int) -> float:
        load = shards[index][0]
        remaining = (source.load - load) / source.slots
        return max(remaining, (target.load + load) / target.slots)

    if not shards:
        return None
    index = min(range(len(shards)), key=higher_load)
    gain = source.load_per_slot() - higher_load(index)
    return index if gain >= mean * MIN_SEPARATION_GAIN else None


def _gain_s(load: float, weights: PlacementWeights) -> float:
    """Return the gain of moving a shard with ``load``, in average shards."""
    relieved_s = HORIZON_S * load
    waiting_s = MAX_MOVE_WAIT_S * load
    cost_s = weights.churn * OWNER_CHANGE_COST_S + weights.unavailable_time * waiting_s
    return weights.imbalance * relieved_s - cost_s
