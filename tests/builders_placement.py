"""Demands and owned shards for tests and benchmarks of placement."""

from collections.abc import Mapping

from gentianwharf.placement import UNIFORM_DEMAND, Demand


def demand_of(loads: Mapping[int, float]) -> Demand:
    """Return the demand with ``loads`` as slots in use, uniform if there are none."""
    return Demand(measured_slots=loads, idle_slots=0.0) if loads else UNIFORM_DEMAND


def shards_of(owners: Mapping[int, str]) -> dict[str, set[int]]:
    """Return the set of shards of each owner."""
    owned: dict[str, set[int]] = {}
    for shard, owner in owners.items():
        owned.setdefault(owner, set()).add(shard)
    return owned
