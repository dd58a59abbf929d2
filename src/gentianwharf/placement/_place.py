"""Selection of target servers for shards without a live owner."""

import heapq
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import final

import xxhash

from ._demand import Demand

SiteOfShard = Callable[[int], str | None]
"""Returns the site that the rules require for a shard, or None for any site."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A backend server that may own shards, in proportion to its ``slots``."""

    id: str
    site: str
    slots: int


def rendezvous_rank(name: str, choices: Iterable[str]) -> list[str]:
    """Return ``choices`` in the order of their rendezvous hashes with ``name``.

    Removing one choice doesn't change the order of the others.

    >>> rendezvous_rank("ledger", ["h1", "h2", "h3"])
    ['h1', 'h3', 'h2']
    """
    return sorted(
        choices, key=lambda choice: rendezvous_score(name, choice), reverse=True
    )


def rendezvous_score(name: str, choice: str) -> int:
    """Return the rendezvous hash of a choice; the highest one ranks first."""
    return xxhash.xxh3_64_intdigest(f"{name}/{choice}".encode())


def place(
    shards: Iterable[int],
    *,
    demand: Demand,
    current_load: Mapping[str, float],
    candidates: Sequence[Candidate],
    site_of: SiteOfShard,
) -> dict[int, str]:
    """Return a target server for each of ``shards``.

    Shards are placed in order of falling demand, each on the candidate with the lowest
    load per slot. ``current_load`` is the demand on each candidate beforehand, in
    slots. A shard whose site has no candidate is left out: it stays without an owner
    rather than being placed where the operators' rules don't allow it.

    >>> servers = [Candidate(id=name, site="x", slots=1) for name in ("a", "b")]
    >>> demand = Demand(measured_slots={1: 5.0, 2: 2.0, 3: 2.0})
    >>> place([1, 2, 3], demand=demand, current_load={}, candidates=servers,
    ...       site_of=lambda shard: None) == {1: "a", 2: "b", 3: "b"}
    True
    """
    heaps: dict[str | None, list[tuple[float, int]]] = {}
    order = sorted(range(len(candidates)), key=lambda index: candidates[index].id)
    loads = [current_load.get(candidate.id, 0.0) for candidate in candidates]

    def load_per_slot(index: int) -> float:
        return loads[index] / candidates[index].slots

    def heap_of(site: str | None) -> list[tuple[float, int]]:
        heap = heaps.get(site)
        if heap is None:
            heap = [
                (load_per_slot(index), index)
                for index in order
                if site is None or candidates[index].site == site
            ]
            heapq.heapify(heap)
            heaps[site] = heap
        return heap

    targets: dict[int, str] = {}
    heaviest_first = sorted(
        shards, key=lambda shard: (-demand.shard_slots(shard), shard)
    )
    for shard in heaviest_first:
        heap = heap_of(site_of(shard))
        while heap and heap[0][0] != load_per_slot(heap[0][1]):
            heapq.heapreplace(heap, (load_per_slot(heap[0][1]), heap[0][1]))
        if not heap:
            continue
        index = heap[0][1]
        loads[index] += demand.shard_slots(shard)
        heapq.heapreplace(heap, (load_per_slot(index), index))
        targets[shard] = candidates[index].id
    return targets
