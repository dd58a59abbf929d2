"""Moving shards of live servers so that load is even, where it is worth the move.

Three things are weighed, in seconds of one average server's work: the overload
that a move relieves over ``HORIZON_S``, a price for each change of owner, and the
requests that wait while the shard moves. Tunis sets a high price on waiting,
Brazos Bend on changes of owner.
"""

from bisect import bisect_right, insort
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import final

from ._place import Candidate, SiteOfShard

HORIZON_S = 600.0
"""How long a gain is expected to last; hot keys change within minutes."""

START_ABOVE = 1.08
"""Share of the mean load above which a server's shards start to move."""

START_BELOW = 0.85
"""Share of the mean load below which a server is sent shards, as after a join."""

STOP_ABOVE = 1.02
"""Share of the mean load at which moving stops: well below ``START_ABOVE``, so that
noise around one of them does not move shards back and forth."""

LEAST_PARTING_GAIN = 0.05
"""Share of the mean by which a move must lower the busier of two servers."""

CHURN_PRICE_S = 1.0
"""Price of one change of owner at weight 1, in seconds of a server's work."""

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


@final
class _Server:
    """A candidate's load and its shards in order of load."""

    def __init__(self, candidate: Candidate) -> None:
        self.id = candidate.id
        self.site = candidate.site
        self.slots = candidate.slots
        self.load = 0.0
        self.shards: list[tuple[float, int]] = []

    def share(self) -> float:
        return self.load / self.slots

    def add(self, shard: int, load: float) -> None:
        insort(self.shards, (load, shard))
        self.load += load

    def take(self, index: int) -> tuple[float, int]:
        load, shard = self.shards.pop(index)
        self.load -= load
        return load, shard


def rebalance(
    owners: Mapping[int, str],
    *,
    loads: Mapping[int, float],
    candidates: Sequence[Candidate],
    site_of: SiteOfShard,
    weights: PlacementWeights,
    room: int,
) -> list[PlannedMove]:
    """Return at most ``room`` moves, the most worthwhile first.

    Nothing moves while every server is within ``START_BELOW`` and ``START_ABOVE``
    of the mean of its site.

    >>> two = [Candidate(id=name, site="x", slots=1) for name in ("a", "b")]
    >>> moves = rebalance({1: "a", 2: "a", 3: "a"}, loads={}, candidates=two,
    ...     site_of=lambda shard: None, weights=PlacementWeights(), room=8)
    >>> [(move.source, move.target) for move in moves]
    [('a', 'b')]
    """
    moves: list[PlannedMove] = []
    groups: dict[str | None, list[_Server]] = {}
    is_bound = any(site_of(shard) is not None for shard in owners)
    for candidate in candidates:
        site = candidate.site if is_bound else None
        groups.setdefault(site, []).append(_Server(candidate))
    by_id = {one.id: one for group in groups.values() for one in group}
    for shard, owner in owners.items():
        if owner in by_id:
            by_id[owner].add(shard, loads.get(shard, 1.0))
    for group in groups.values():
        moves += _even_out(group, weights, room - len(moves))
    return moves


def _even_out(
    servers: list[_Server], weights: PlacementWeights, room: int
) -> list[PlannedMove]:
    mean = sum(one.load for one in servers) / sum(one.slots for one in servers)
    shares = [one.share() for one in servers]
    if mean <= 0 or (
        max(shares) <= mean * START_ABOVE and min(shares) >= mean * START_BELOW
    ):
        return []
    moves: list[PlannedMove] = []
    while len(moves) < room:
        move = _best_move(servers, mean, weights)
        if move is None:
            break
        moves.append(move)
    return moves


def _best_move(
    servers: list[_Server], mean: float, weights: PlacementWeights
) -> PlannedMove | None:
    target = min(servers, key=lambda one: (one.share(), one.id))
    sources = sorted(servers, key=lambda one: (-one.share(), one.id))
    for source in sources:
        if source.share() <= mean * STOP_ABOVE and target.share() >= (
            mean * START_BELOW
        ):
            return None
        index = _fitting(source, target, mean)
        if index is None:
            index = _parting(source, target, mean)
        if index is None:
            continue
        load = source.shards[index][0]
        gain_s = _gain_s(load, mean * source.slots, weights)
        if gain_s <= 0:
            continue
        load, shard = source.take(index)
        target.add(shard, load)
        return PlannedMove(
            shard=shard, source=source.id, target=target.id, gain_s=gain_s
        )
    return None


def _fitting(source: _Server, target: _Server, mean: float) -> int | None:
    """Return the heaviest shard that leaves the target no busier than the mean.

    The heaviest that fits, since that takes the fewest moves.
    """
    over = source.load - mean * source.slots * START_BELOW
    under = mean * target.slots * STOP_ABOVE - target.load
    index = bisect_right(source.shards, (min(over, under), 1 << 62)) - 1
    if index < 0 or source.shards[index][0] <= 0:
        return None
    load = source.shards[index][0]
    after = (target.load + load) / target.slots
    return index if after < source.share() else None


def _parting(source: _Server, target: _Server, mean: float) -> int | None:
    """Return the shard that best parts two hot ones, when none fits below the mean.

    Without a least gain two hot shards of a server would change places for ever.
    """

    def busier(index: int) -> float:
        load = source.shards[index][0]
        left = (source.load - load) / source.slots
        return max(left, (target.load + load) / target.slots)

    if not source.shards:
        return None
    index = min(range(len(source.shards)), key=busier)
    gain = source.share() - busier(index)
    return index if gain >= mean * LEAST_PARTING_GAIN else None


def _gain_s(load: float, mean_load: float, weights: PlacementWeights) -> float:
    relieved_s = HORIZON_S * load / mean_load
    unserved_s = MOVE_UNSERVED_S * load / mean_load
    cost_s = weights.churn * CHURN_PRICE_S + weights.unavailable_time * unserved_s
    return weights.imbalance * relieved_s - cost_s
