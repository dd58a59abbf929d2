"""The spare capacity of servers for shards that move without a handover."""

from collections.abc import Sequence
from dataclasses import replace

from ._demand import Demand
from ._plan import Candidate

COLD_COST = 3.0
"""Extra cost of a shard that moved without a handover while it warms up, relative to
its usual cost: servers are about four times as slow for it."""

NO_SPARE_UTILIZATION = 0.9
"""Share of all slots in use from which there is no spare capacity for cold shards."""

DEFAULT_UTILIZATION = 0.5
MIN_UTILIZATION = 0.05

MIN_COLD_LOAD, MAX_COLD_LOAD = 0.06, 0.5
"""Bounds of the load that may move without a handover at a time. The lower one is one
server's share of sixteen; the upper one keeps at least half of the load warm."""


def movable_cold_load(demand: Demand, candidates: Sequence[Candidate]) -> float:
    """Return the share of all load that may be cold, given the number of free slots.

    >>> from twisted.internet.task import Clock
    >>> from ._demand import ObservedLoad
    >>> from ._table import Holder
    >>> demand = Demand(now_s=Clock().seconds)
    >>> holder = Holder(server_id="s1", born_ms=1, address="10.0.0.1:80")
    >>> candidates = [Candidate(holder=holder, capacity=6.0)]
    >>> demand.note_load("s1", ObservedLoad(running=30.0, waiting=0.0, answers=10.0))
    >>> round(movable_cold_load(demand, candidates), 3)
    0.267
    """
    used = utilization(demand, candidates)
    return min(
        MAX_COLD_LOAD,
        max(MIN_COLD_LOAD, (NO_SPARE_UTILIZATION - used) / (COLD_COST * used)),
    )


def utilization(demand: Demand, candidates: Sequence[Candidate]) -> float:
    """Return the share of all slots in use, a default if nothing is known."""
    slots = used = 0.0
    for candidate in candidates:
        running = demand.running(candidate.holder.server_id)
        if running is not None:
            slots += candidate.capacity
            used += min(candidate.capacity, running)
    return max(used / slots, MIN_UTILIZATION) if slots else DEFAULT_UTILIZATION


def scale_by_speed(candidate: Candidate, demand: Demand) -> Candidate:
    """Return a candidate with its capacity scaled by its measured speed."""
    speed = demand.speed(candidate.holder.server_id)
    return replace(candidate, capacity=candidate.capacity * speed)
