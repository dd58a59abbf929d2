"""How much room servers have for shards that come without a handover."""

from collections.abc import Sequence
from dataclasses import replace

from ._demand import Demand
from ._plan import Candidate

COLD_COST = 3.0
"""What a shard without a handover costs more than usual, while it warms up: servers are
about four times as slow then."""

FULL = 0.9
"""Part of all slots in use at which there is no room for cold shards."""

UNKNOWN_USED = 0.5
LEAST_USED = 0.05

LEAST_COLD, MOST_COLD = 0.06, 0.5
"""Least and most load that may move without a handover at a time: one server's part of
sixteen always may, and no more than half ever."""


def movable_cold_load(demand: Demand, reached: Sequence[Candidate]) -> float:
    """Return how much of all load may be cold, by the slots that are free.

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
    part = utilization(demand, reached)
    return min(MOST_COLD, max(LEAST_COLD, (FULL - part) / (COLD_COST * part)))


def utilization(demand: Demand, reached: Sequence[Candidate]) -> float:
    """Return the part of all slots in use, a half while nothing is known."""
    slots = used = 0.0
    for one in reached:
        running = demand.running(one.holder.server_id)
        if running is not None:
            slots += one.capacity
            used += min(one.capacity, running)
    return max(used / slots, LEAST_USED) if slots else UNKNOWN_USED


def scale_by_speed(candidate: Candidate, demand: Demand) -> Candidate:
    """Return a server with the capacity that its learnt speed gives it."""
    speed = demand.speed(candidate.holder.server_id)
    return replace(candidate, capacity=candidate.capacity * speed)
