"""Immutable snapshots of the gate's state, for metrics and ``status``."""

from dataclasses import dataclass
from typing import final

from ._class_state import ClassState
from ._flights import Flights
from ._pool import Pool
from ._refusals import Refusals
from ._registry import Registry
from ._requests import RefuseReason
from ._server_state import HealthStatus, ServerState


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassSnapshot:
    """A request class within a pool; times in milliseconds."""

    name: str
    waiting: int
    in_flight: int
    mean_ms: float
    expected_wait_ms: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PoolSnapshot:
    """The pool of a service, or of one server that requests are bound to."""

    service: str
    server: str | None
    limit: float
    in_flight: int
    long_servers: int
    classes: tuple[ClassSnapshot, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSnapshot:
    """A backend server's state at this daemon."""

    id: str
    service: str
    health: HealthStatus
    in_flight: int
    latency_ratio: float
    ramping: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RetryBudgetSnapshot:
    """The retry budget of a service at this host; totals since the start.

    ``available`` is the number of retries that may be made now, ``share`` how many of
    them this host may save, ``refused`` the number of retries that were not made.
    ``unconfirmed`` retries may still arrive at their servers, and ``inherited`` ones of
    ended processes.
    """

    service: str
    requests: int
    taken: int
    refused: int
    available: float
    share: float
    unconfirmed: int = 0
    inherited: float = 0.0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class GateSnapshot:
    """The state of all pools and servers, and totals since the gate was created."""

    pools: tuple[PoolSnapshot, ...]
    servers: tuple[ServerSnapshot, ...]
    refused: dict[RefuseReason, int]
    started: int
    retried: int
    hedged: int


def pool_snapshot(key: tuple[str, str | None], pool: Pool) -> PoolSnapshot:
    """Return the snapshot of a pool."""
    return PoolSnapshot(
        service=key[0],
        server=key[1],
        limit=pool.limit.value,
        in_flight=pool.short_in_flight + pool.long_in_flight,
        long_servers=len(pool.long_states),
        classes=tuple(
            ClassSnapshot(
                name=name,
                waiting=len(state.queue),
                in_flight=state.in_flight,
                mean_ms=state.mean_s * 1000,
                expected_wait_ms=_expected_wait_s(pool, state) * 1000,
            )
            for name, state in pool.classes.items()
        ),
    )


def _expected_wait_s(pool: Pool, state: ClassState) -> float:
    return len(state.queue) / pool.service_rate_per_s(state, pool.class_share(state))


def retry_budget_snapshots(
    registry: Registry, now_s: float
) -> list[RetryBudgetSnapshot]:
    """Return the retry budget of each service."""
    return [
        RetryBudgetSnapshot(
            service=service,
            requests=budget.requests,
            taken=budget.taken,
            refused=budget.refused,
            available=registry.budgets.available(service, now_s),
            share=budget.share,
            unconfirmed=registry.budgets.writes.unconfirmed(service),
            inherited=registry.budgets.inherited(service, now_s),
        )
        for service, budget in registry.budgets
    ]


def server_snapshot(state: ServerState) -> ServerSnapshot:
    """Return the snapshot of a server."""
    return ServerSnapshot(
        id=state.server.id,
        service=state.server.service,
        health=state.health,
        in_flight=len(state.flights),
        latency_ratio=state.latency_ratio,
        ramping=state.ramp_started_s is not None,
    )


def gate_snapshot(
    registry: Registry, flights: Flights, refusals: Refusals, *, retried: int
) -> GateSnapshot:
    """Return the snapshot of a gate with these parts."""
    return GateSnapshot(
        pools=tuple(pool_snapshot(key, pool) for key, pool in registry.pools.items()),
        servers=tuple(server_snapshot(state) for state in registry.servers.values()),
        refused=dict(refusals.counts),
        started=flights.started,
        retried=retried,
        hedged=flights.hedged,
    )
