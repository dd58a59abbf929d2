"""Decoding of the settings file that the platform provides to each process."""

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError

from ._units import decode_time_s

SETTINGS_PATH_VARIABLE = "GENTIANWHARF_NODE_FILE"
"""Environment variable with the path of the settings file."""

STEP = "read-settings"

BYTES_PER_MEGABIT = 125_000


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StoreLimits:
    """Rate limits of the platform's store for all hosts together, and lease limits."""

    address: str
    writes_per_s: float
    reads_per_s: float
    min_lease_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Agreements:
    """Limits and timeouts that the operators require of every host."""

    drain_timeout_s: float
    """Time after a server starts draining within which it may still get requests."""
    grace_period_s: float
    """From SIGTERM to SIGKILL."""
    rules_delay_s: float
    """Time within which accepted rules must be in force on every host."""
    longest_grant_s: float
    """Longest duration of a grant that servers accept."""
    retry_budget_ratio: float
    """Retries allowed per request of a service, over all hosts."""
    retry_budget_extra: float
    """Additional retries allowed in each window, over all hosts."""
    retry_window_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class HostSettings:
    """A host's own identity and limits, and its environment.

    When the file is read again, the names of the fields that changed are logged.
    """

    name: str
    ip: str
    domain: str
    domains: tuple[str, ...]
    callers_address: str
    readiness_address: str
    first_internal_port: int
    last_internal_port: int
    cores: float
    """CPU cores that the host may use; the platform throttles it above that."""
    link_bytes_per_s: float
    """Bandwidth of the host's own link in each direction."""
    heartbeat_interval_s: float
    """Interval at which a backend server renews its entry in the store."""
    first_start: bool
    store: StoreLimits
    agreements: Agreements


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Platform(msgspec.Struct, rename="kebab"):
    address: str
    # ``writes-per-s`` in the file, since fields are renamed to kebab case.
    writes_per_s: float
    reads_per_s: float
    min_ttl: str = "1000ms"


class _Limits(msgspec.Struct, rename="kebab"):
    cpu_share: float = 1.0
    cpu_cores: float = 1.0
    link_mbps: float = 5.0


class _File(msgspec.Struct, rename="kebab"):
    node_name: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    heartbeat_interval: str
    zones: dict[str, str]
    listen: _Listen
    platform: _Platform
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Each item has the form ``name=value``.
    bounds: tuple[str, ...] = ()


def read_host_settings(path: Path) -> HostSettings:
    """Read and check the settings file; raises ``InputError``."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f"can't read the settings: {error}; set the path of a readable file in"
            f" {SETTINGS_PATH_VARIABLE}",
            step=STEP,
            peer=str(path),
        ) from error
    return decode_host_settings(text, peer=str(path))


def decode_host_settings(text: str, *, peer: str) -> HostSettings:
    """Return the settings in ``text``; ``peer`` names its origin in errors.

    Unknown fields are ignored, since the platform may add some. Raises
    ``InputError``.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), _File)
        return _settings(file)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise InputError(
            f"invalid settings: {error}; see docs/OPERATIONS.md for their format",
            step=STEP,
            peer=peer,
        ) from error


def _settings(file: _File) -> HostSettings:
    bounds = _Bounds(file.bounds)
    return HostSettings(
        name=file.node_name,
        ip=file.ip,
        domain=file.zone,
        domains=tuple(sorted(file.zones)),
        callers_address=file.listen.front,
        readiness_address=file.listen.ready,
        first_internal_port=file.internal_port_range[0],
        last_internal_port=file.internal_port_range[1],
        cores=file.limits.cpu_share * file.limits.cpu_cores,
        link_bytes_per_s=file.limits.link_mbps * BYTES_PER_MEGABIT,
        heartbeat_interval_s=decode_time_s(file.heartbeat_interval),
        first_start=file.bootstrap,
        store=StoreLimits(
            address=file.platform.address,
            writes_per_s=file.platform.writes_per_s,
            reads_per_s=file.platform.reads_per_s,
            min_lease_s=decode_time_s(file.platform.min_ttl),
        ),
        agreements=Agreements(
            drain_timeout_s=bounds.time_s("drain-timeout"),
            grace_period_s=bounds.time_s("grace-period"),
            rules_delay_s=bounds.time_s("config-apply"),
            longest_grant_s=bounds.time_s("max-hold"),
            retry_budget_ratio=bounds.number("retry-budget-ratio"),
            retry_budget_extra=bounds.number("budget-extra-retries"),
            retry_window_s=bounds.time_s("budget-window"),
        ),
    )


@final
class _Bounds:
    """Typed access to the list of ``name=value`` strings by name."""

    def __init__(self, texts: Sequence[str]) -> None:
        pairs = (text.partition("=") for text in texts)
        self._values: Mapping[str, str] = {name: value for name, _, value in pairs}

    def time_s(self, name: str) -> float:
        return decode_time_s(self._value(name))

    def number(self, name: str) -> float:
        return float(self._value(name))

    def _value(self, name: str) -> str:
        value: Any = self._values.get(name)
        if value is None:
            raise ValueError(f"bounds: expected an item '{name}=...', got none")
        return str(value)
