"""Imbalance and churn of placement against modulo and rendezvous hashing.

Prints one JSON line per figure: 1,024 shards, Zipf 1.0 keys, and a
server that joins and one that leaves.
"""

import json
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from random import Random

from tests.builders_placement import demand_of, shards_of

from gentianwharf.keys import shard_of
from gentianwharf.placement import (
    UNIFORM_DEMAND,
    Candidate,
    PlacementWeights,
    place,
    rebalance,
    rendezvous_rank,
)

SHARDS = 1024
SERVER_COUNTS = (16, 12)
KEYS = 200_000
SEED = 7
ROOM = 64
MOST_ROUNDS = 100
SLOTS = 6
BUSY_SHARE = 0.7

Owners = dict[int, str]
Assign = Callable[[list[str]], Owners]


def names(count: int) -> list[str]:
    """Return server names."""
    return [f"server-{number}" for number in range(count)]


def candidates(servers: list[str]) -> list[Candidate]:
    """Return equal servers of one site."""
    return [Candidate(id=one, site="x", slots=SLOTS) for one in servers]


def zipf_loads() -> dict[int, float]:
    """Return the load of each shard when key ``n`` has weight ``1/n``."""
    loads: Counter[int] = Counter()
    order = list(range(KEYS))
    Random(SEED).shuffle(order)
    for rank, key in enumerate(order, start=1):
        loads[shard_of(f"key-{key}", SHARDS)] += 1 / rank  # type: ignore[assignment]
    return dict(loads)


def imbalance(owners: Owners, loads: Mapping[int, float], servers: list[str]) -> float:
    """Return the largest load over the mean load."""
    carried = dict.fromkeys(servers, 0.0)
    for shard, owner in owners.items():
        carried[owner] += loads.get(shard, 1.0)
    return max(carried.values()) * len(servers) / sum(carried.values())


def changed(before: Owners, after: Owners) -> int:
    """Return how many shards have another owner."""
    return sum(before[shard] != after[shard] for shard in before)


def modulo(servers: list[str]) -> Owners:
    """Assign by the remainder of the shard's number."""
    return {shard: servers[shard % len(servers)] for shard in range(SHARDS)}


def rendezvous(servers: list[str]) -> Owners:
    """Assign by the highest hash of shard and server."""
    return {shard: rendezvous_rank(str(shard), servers)[0] for shard in range(SHARDS)}


def settle(
    owners: Owners, loads: Mapping[int, float], servers: list[str]
) -> tuple[Owners, int]:
    """Rebalance until nothing moves; return the owners and the moves it took."""
    owners = dict(owners)
    count = 0
    for _ in range(MOST_ROUNDS):
        moves = rebalance(
            shards_of(owners),
            demand=demand_of(loads),
            candidates=candidates(servers),
            within_sites=False,
            weights=PlacementWeights(),
            max_moves=ROOM,
        )
        owners.update({move.shard: move.target for move in moves})
        count += len(moves)
        if not moves:
            break
    return owners, count


def leave(owners: Owners, servers: list[str], gone: str) -> Owners:
    """Place the shards of a server that is gone."""
    left = [one for one in servers if one != gone]
    kept = {shard: owner for shard, owner in owners.items() if owner != gone}
    busy = Counter[str]()
    for owner in kept.values():
        busy[owner] += 1
    placed = place(
        [shard for shard in owners if shard not in kept],
        demand=UNIFORM_DEMAND,
        current_load=busy,
        candidates=candidates(left),
        site_of=lambda shard: None,
    )
    return kept | placed


def figures(count: int) -> Iterator[dict[str, object]]:
    """Yield every figure."""
    weights = zipf_loads()
    busy_slots = BUSY_SHARE * SLOTS * count
    total = sum(weights.values())
    loads = {shard: one * busy_slots / total for shard, one in weights.items()}
    servers = names(count)
    first = place(
        range(SHARDS),
        demand=UNIFORM_DEMAND,
        current_load={},
        candidates=candidates(servers),
        site_of=lambda shard: None,
    )
    hottest = max(loads.values()) * count / sum(loads.values())
    yield {"figure": "hottest shard over mean server", "value": hottest}
    settled, moves = settle(first, loads, servers)
    yield {
        "figure": "imbalance zipf",
        "ours_before": imbalance(first, loads, servers),
        "ours": imbalance(settled, loads, servers),
        "moves": moves,
        "modulo": imbalance(modulo(servers), loads, servers),
        "rendezvous": imbalance(rendezvous(servers), loads, servers),
    }
    yield from churn_figures(first, count)


def churn_figures(first: Owners, count: int) -> Iterator[dict[str, object]]:
    """Yield churn on join and leave, with even loads, against the least possible."""
    more = names(count + 1)
    fewer = names(count - 1)
    servers = names(count)
    joined, moves = settle(first, {}, more)
    least = SHARDS // len(more)
    yield {
        "figure": "churn join",
        "least": least,
        "ours": moves,
        "modulo": changed(modulo(servers), modulo(more)),
        "rendezvous": changed(rendezvous(servers), rendezvous(more)),
        "ours_imbalance": imbalance(joined, {}, more),
        "rendezvous_imbalance": imbalance(rendezvous(more), {}, more),
    }
    gone = servers[-1]
    left = leave(first, servers, gone)
    yield {
        "figure": "churn leave",
        "least": sum(owner == gone for owner in first.values()),
        "ours": changed(first, left),
        "modulo": changed(modulo(servers), modulo(fewer)),
        "rendezvous": changed(rendezvous(servers), rendezvous(fewer)),
        "ours_imbalance": imbalance(left, {}, fewer),
        "rendezvous_imbalance": imbalance(rendezvous(fewer), {}, fewer),
    }


def main() -> None:
    """Print the figures."""
    for count in SERVER_COUNTS:
        sizes = {"shards": SHARDS, "servers": count, "keys": KEYS, "seed": SEED}
        for figure in figures(count):
            print(json.dumps({"bench": "placement", **figure, **sizes}))


if __name__ == "__main__":
    main()
