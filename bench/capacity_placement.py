"""Time to place all shards anew, by shards and by servers."""

from collections.abc import Iterator
from random import Random

from gentianwharf.placement import Candidate, Demand, PlacementWeights, place, rebalance

from ._figure import Figure
from ._timing import time_us

SEED = 1
SHARD_SIZES = (1_024, 4_096, 16_384, 65_536)
SERVER_SIZES = (16, 64, 256, 1_024)
FEW_SERVERS = 64
MOVES = 8
FEW_SHARDS = 16_384
MOST_MEASURED = 6_144


def _placed_us(shards: int, servers: int) -> float:
    random = Random(SEED)
    demand = Demand(
        measured_slots={shard: random.paretovariate(1.2) for shard in range(shards)}
    )
    candidates = [
        Candidate(id=f"server-{number}", site="a", slots=6) for number in range(servers)
    ]
    return time_us(
        lambda: place(
            range(shards),
            demand=demand,
            current_load={},
            candidates=candidates,
            site_of=lambda shard: None,
        ),
        times=1,
    )


def _rebalanced_us(shards: int) -> float:
    random = Random(SEED)
    # As many as the reports of a dozen hosts name at the most.
    busy = random.sample(range(shards), min(MOST_MEASURED, shards))
    demand = Demand(measured_slots={shard: random.paretovariate(1.2) for shard in busy})
    owned: dict[str, set[int]] = {}
    for shard in range(shards):
        owned.setdefault(f"server-{shard % FEW_SERVERS}", set()).add(shard)
    candidates = [
        Candidate(id=f"server-{number}", site="a", slots=6)
        for number in range(FEW_SERVERS)
    ]
    return time_us(
        lambda: rebalance(
            owned,
            demand=demand,
            candidates=candidates,
            within_sites=False,
            weights=PlacementWeights(),
            max_moves=MOVES,
        ),
        times=1,
    )


def figures() -> Iterator[Figure]:
    """Yield the time of one placement."""
    for shards in SHARD_SIZES:
        yield Figure(
            name="placement_by_shards",
            value=_placed_us(shards, FEW_SERVERS),
            unit="us",
            size={"shards": shards, "servers": FEW_SERVERS},
            seed=SEED,
        )
    for shards in SHARD_SIZES:
        yield Figure(
            name="rebalance_by_shards",
            value=_rebalanced_us(shards),
            unit="us",
            size={"shards": shards, "servers": FEW_SERVERS},
            seed=SEED,
        )
    for servers in SERVER_SIZES:
        yield Figure(
            name="placement_by_servers",
            value=_placed_us(FEW_SHARDS, servers),
            unit="us",
            size={"shards": FEW_SHARDS, "servers": servers},
            seed=SEED,
        )
