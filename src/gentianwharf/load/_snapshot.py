"""The gate's state as frozen data, for metrics and ``status``."""

from dataclasses import dataclass
from typing import final

from ._requests import RefuseReason
from ._server_state import Standing


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ClassSnapshot:
    """A class within a pool; times in milliseconds."""

    name: str
    waiting: int
    in_flight: int
    mean_ms: float
    expected_wait_ms: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class PoolSnapshot:
    """A service, or one server that requests are bound to."""

    service: str
    server: str | None
    limit: float
    in_flight: int
    long_servers: int
    classes: tuple[ClassSnapshot, ...]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSnapshot:
    """A backend server as this daemon sees it."""

    id: str
    service: str
    standing: Standing
    in_flight: int
    slowness: float
    ramping: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class GateSnapshot:
    """Everything, at one moment."""

    pools: tuple[PoolSnapshot, ...]
    servers: tuple[ServerSnapshot, ...]
    refused: dict[RefuseReason, int]
    started: int
    retried: int
    hedged: int
    retries_saved: dict[str, float]
