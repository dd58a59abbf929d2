"""The capacity of servers for shards, with and without a handover."""

from collections.abc import Mapping, Sequence
from dataclasses import replace

from ._demand import Demand
from ._plan_types import Candidate

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


LIMIT_FILL = 0.3
"""Part of a server's limit that the requests for its shards should use: they arrive at
random times, and at hosts with a share of the limit each."""

MAX_SHIFTED_UTILIZATION = 0.8
"""Share of the slots of the other servers that may be in use after shards moved to
them; up to its whole limit, a limited server keeps what is beyond."""

MIN_LIMITED_SHARE = 0.001
"""Share of all load that remains for a server whose limit allows next to nothing."""


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


def current_capacities(
    candidates: Sequence[Candidate],
    demand: Demand,
    limits_per_s: Mapping[str, float],
    *,
    utilization: float,
) -> list[Candidate]:
    """Return the candidates with the capacities that they have at the moment.

    A server that rejects every request counts as one whose limit is 0.
    """
    names = [candidate.holder.server_id for candidate in candidates]
    rejecting = dict.fromkeys(filter(demand.rejects_all, names), 0.0)
    return within_limits(
        [scale_by_speed(candidate, demand) for candidate in candidates],
        {**limits_per_s, **rejecting},
        requests_per_s=demand.requests_per_s,
        utilization=utilization,
    )


def within_limits(
    candidates: Sequence[Candidate],
    limits_per_s: Mapping[str, float],
    *,
    requests_per_s: float,
    utilization: float,
) -> list[Candidate]:
    """Return the candidates, with less capacity where a server names a limit.

    Shards are divided in proportion to the capacities. That of a limited server is such
    that its part of ``requests_per_s`` fits into its limit, and as small as the other
    servers have slots for, by the ``utilization`` of all slots. If no server is left
    that can take more, the capacities remain as they are.

    >>> from ._table import Holder
    >>> candidates = [
    ...     Candidate(
    ...         holder=Holder(server_id=name, born_ms=1, address="10.0.0.1:80"),
    ...         capacity=3.0)
    ...     for name in ("s1", "s2", "s3")]
    >>> [round(candidate.capacity, 2) for candidate in within_limits(
    ...     candidates, {"s1": 5.0}, requests_per_s=35.0, utilization=0.5)]
    [0.27, 3.0, 3.0]
    """
    total = sum(candidate.capacity for candidate in candidates)
    max_shares: dict[str, float] = {}
    for candidate in candidates:
        name = candidate.holder.server_id
        limit_per_s = limits_per_s.get(name)
        if limit_per_s is None or not requests_per_s:
            continue
        max_share = max(MIN_LIMITED_SHARE, limit_per_s / requests_per_s)
        if max_share * LIMIT_FILL < candidate.capacity / total:
            max_shares[name] = max_share
    others = sum(
        candidate.capacity
        for candidate in candidates
        if candidate.holder.server_id not in max_shares
    )
    if not max_shares or not others:
        return list(candidates)
    movable = MAX_SHIFTED_UTILIZATION * others / (utilization * total)
    wanted_fill = (1 - movable) / sum(max_shares.values())
    fill = min(1.0, max(LIMIT_FILL, wanted_fill))
    shares = {
        candidate.holder.server_id: min(
            max_shares[candidate.holder.server_id] * fill, candidate.capacity / total
        )
        for candidate in candidates
        if candidate.holder.server_id in max_shares
    }
    scale = others / (1 - sum(shares.values()))
    return [
        replace(candidate, capacity=shares[candidate.holder.server_id] * scale)
        if candidate.holder.server_id in shares
        else candidate
        for candidate in candidates
    ]


def scale_by_speed(candidate: Candidate, demand: Demand) -> Candidate:
    """Return a candidate with its capacity scaled by its measured speed."""
    speed = demand.speed(candidate.holder.server_id)
    return replace(candidate, capacity=candidate.capacity * speed)
