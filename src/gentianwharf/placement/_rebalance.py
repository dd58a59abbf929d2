"""Moving shards of live servers so that load is even, where it is worth the move.

Three things are weighed, in seconds of an average shard's work: the overload that
a move relieves over ``HORIZON_S``, a price for each change of owner, and the
requests that wait while the shard moves. Tunis sets a high price on waiting,
Brazos Bend on changes of owner. An average shard is the measure, since a server's
load says nothing of a move's worth where a service has many small shards.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import final

from ._demand import Demand
from ._place import Candidate

HORIZON_S = 600.0
"""How long a gain is expected to last; hot keys change within minutes."""

START_ABOVE = 1.08
"""Share of the mean load above which a server's shards start to move."""

START_BELOW = 0.85
"""Share of the mean load below which a server is sent shards, as after a join."""

LEAST_SPREAD = 0.02
"""Share of a server's slots by which it must differ from the mean as well.

One caller that asks for a key as fast as it is answered fills a slot or less of a
server that is otherwise idle: far above the mean, and no reason to move anything.
Above a quarter of the slots in use the shares of the mean decide alone.
"""

STOP_ABOVE = 1.02
"""Share of the mean load at which moving stops: well below ``START_ABOVE``, so that
noise around one of them does not move shards back and forth."""

LEAST_PARTING_GAIN = 0.05
"""Share of the mean by which a move must lower the busier of two servers."""

CHURN_PRICE_S = 60.0
"""Price of one change of owner at weight 1, in seconds of an average shard's work.

At weight 1 a shard with less than a tenth of the average load stays where it is, at
weight 4 one with less than four tenths. At 10 a server that joins gets no shards of
average load any more.
"""

MOVE_UNSERVED_S = 0.05
"""How long a moving shard's requests wait at most."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementWeights:
    """How much the operators mind each of the brief's three measures."""

    imbalance: float = 1.0
    churn: float = 1.0
    unavailable_time: float = 1.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedMove:
    """A shard that should move, and what it is worth."""

    shard: int
    source: str
    target: str
    gain_s: float


def _any_shard(shard: int) -> bool:
    return True


@final
class _Server:
    """A candidate's load and, once one of them is looked for, its shards by load."""

    def __init__(
        self, candidate: Candidate, owned: AbstractSet[int], demand: Demand
    ) -> None:
        self.id = candidate.id
        self.slots = candidate.slots
        self.load = demand.total(owned)
        self._owned = set(owned)
        self._demand = demand
        self._by_load: list[tuple[float, int]] | None = None

    def share(self) -> float:
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
    """Return at most ``max_moves`` moves, the most worthwhile first.

    ``owned`` are each server's shards. Where the rules bind shards to sites
    (``within_sites``) they stay on theirs. Nothing moves while every server is near the
    mean of its site (``START_BELOW``, ``START_ABOVE``, ``LEAST_SPREAD``); that look
    costs nothing for a shard that nobody asks for.

    >>> two = [Candidate(id=name, site="x", slots=1) for name in ("a", "b")]
    >>> moves = rebalance({"a": {1, 2, 3}}, demand=Demand(), candidates=two,
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
    shards = sum(len(one) for one in owned.values())
    mean_shard = sum(s.load for group in groups.values() for s in group) / (shards or 1)
    for group in groups.values():
        evening = _Evening(
            servers=group,
            mean_shard=mean_shard,
            demand=demand,
            weights=weights,
            is_movable=is_movable,
        )
        moves += evening.moves(max_moves - len(moves))
    return moves


@final
class _Evening:
    """Evens out the servers of one site."""

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
        self._by_id = {one.id: one for one in servers}
        # In order of how busy they are: of thousands of servers only both ends count.
        self._order = sorted((one.share(), one.id) for one in servers)

    def moves(self, max_moves: int) -> list[PlannedMove]:
        """Return at most ``max_moves`` moves."""
        moves: list[PlannedMove] = []
        if self._is_even():
            return moves
        while len(moves) < max_moves:
            move = self._best_move()
            if move is None:
                break
            moves.append(move)
        return moves

    def _is_even(self) -> bool:
        mean, least, most = self._mean, self._order[0][0], self._order[-1][0]
        above = max(mean * (START_ABOVE - 1), LEAST_SPREAD)
        below = max(mean * (1 - START_BELOW), LEAST_SPREAD)
        return most <= mean + above and least >= mean - below

    def _best_move(self) -> PlannedMove | None:
        target = self._by_id[self._order[0][1]]
        for share, name in reversed(self._order):
            is_filling = target.share() < self._mean * START_BELOW
            if share <= self._mean * STOP_ABOVE and not is_filling:
                return None
            found = self._worthwhile(self._by_id[name], target)
            if found is not None:
                return found
        return None

    def _worthwhile(self, source: _Server, target: _Server) -> PlannedMove | None:
        shards = source.by_load(self._is_movable)
        index = _fitting(source, shards, target, self._mean)
        if index is None:
            index = _parting(source, shards, target, self._mean)
        if index is None:
            return None
        load, shard = shards[index]
        gain_s = _gain_s(self._in_mean_shards(load, target), self._weights)
        if gain_s <= 0:
            return None
        self._move(shard, load, source, target)
        return PlannedMove(
            shard=shard, source=source.id, target=target.id, gain_s=gain_s
        )

    def _in_mean_shards(self, load: float, target: _Server) -> float:
        """Return the demand that is a reason to move a shard, in average shards.

        What an idle shard counts for spreads shards over the servers. Beside one hot
        key it would send the other shards of its server away, which relieves nobody.
        """
        is_short = target.count() / target.slots < self._mean_count * START_BELOW
        if is_short:
            return load / self._mean_shard
        measured = load - self._demand.idle_slots
        mean_measured = self._mean_shard - self._demand.idle_slots
        return measured / mean_measured if mean_measured > 0 else 0.0

    def _move(self, shard: int, load: float, source: _Server, target: _Server) -> None:
        for server in (source, target):
            self._order.remove((server.share(), server.id))
        source.remove(shard, load)
        target.add(shard, load)
        for server in (source, target):
            insort(self._order, (server.share(), server.id))


def _fitting(
    source: _Server, shards: list[tuple[float, int]], target: _Server, mean: float
) -> int | None:
    """Return the heaviest shard that leaves the target no busier than the mean.

    The heaviest that fits, since that takes the fewest moves.
    """
    over = source.load - mean * source.slots * START_BELOW
    under = mean * target.slots * STOP_ABOVE - target.load
    index = bisect_right(shards, (min(over, under), 1 << 62)) - 1
    if index < 0 or shards[index][0] <= 0:
        return None
    after = (target.load + shards[index][0]) / target.slots
    return index if after < source.share() else None


def _parting(
    source: _Server, shards: list[tuple[float, int]], target: _Server, mean: float
) -> int | None:
    """Return the shard that best parts two hot ones, when none fits below the mean.

    Without a least gain two hot shards of a server would change places for ever.
    """

    def busier(index: int) -> float:
        load = shards[index][0]
        left = (source.load - load) / source.slots
        return max(left, (target.load + load) / target.slots)

    if not shards:
        return None
    index = min(range(len(shards)), key=busier)
    gain = source.share() - busier(index)
    return index if gain >= mean * LEAST_PARTING_GAIN else None


def _gain_s(load: float, weights: PlacementWeights) -> float:
    """Return what moving a shard is worth, its ``load`` in average shards."""
    relieved_s = HORIZON_S * load
    unserved_s = MOVE_UNSERVED_S * load
    cost_s = weights.churn * CHURN_PRICE_S + weights.unavailable_time * unserved_s
    return weights.imbalance * relieved_s - cost_s
