"""The operators' configuration as it stands in the platform's store."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, final

import msgspec
from pydantic import ValidationError

from gentianwharf.errors import InputError
from gentianwharf.rules import RuleDocument

from ._units import decode_time_s, decode_version

CONFIG_KEY = "op/config"
"""Holds the newest configuration in full."""

SHARD_HEADER = "shard-key"
"""Names the shard of a request to a service that is divided by key."""

SHARDS = 65_536
"""How many shards the platform divides a service into."""

SAFE_KIND = "safe"
"""Requests of this kind may run more than once; all others at most once."""

STEP = "read-configuration"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfiguredService:
    """What the operators say of a service."""

    name: str
    keyed: bool
    health_path: str
    connections: int
    """What one server accepts from all hosts together."""
    warm_up_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    most_head_bytes: int
    most_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RequestKind:
    """How the requests of some rules are treated under load."""

    name: str
    deadline_ms: int
    target_latency_ms: int
    priority: int
    repeatable: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operators' configuration, as the router's own rules."""

    version: int
    document: RuleDocument
    services: Mapping[str, ConfiguredService]
    kinds: Mapping[str, RequestKind]
    limits: CallerLimits


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    # The rank of its requests; 0 is the highest.
    priority: int
    max_attempts: int
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()


class _Service(msgspec.Struct, rename="kebab"):
    max_connections: int
    health_check_path: str = "/health"
    sharded: bool = False
    warm_up: str = "0ms"


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Config(msgspec.Struct):
    version: str
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in an item's value; raises ``InputError``."""
    try:
        config = msgspec.json.decode(value, type=_Config)
        return _configuration(config)
    except (msgspec.DecodeError, ValidationError, ValueError) as error:
        raise InputError(
            f"the configuration doesn't fit: {error}; the one in force stays",
            step=STEP,
            peer=CONFIG_KEY,
        ) from error


def _configuration(config: _Config) -> Configuration:
    # The first matching rule decides; among the routes of a host the platform wants
    # the longest prefix, so that one stands first.
    routes = sorted(
        config.routes.items(), key=lambda one: (-len(one[1].prefix), one[0])
    )
    kinds = [_kind(route) for _, route in routes]
    keyed = frozenset(name for name, one in config.services.items() if one.sharded)
    rules = [
        _rule(name, route, kind, keyed)
        for (name, route), kind in zip(routes, kinds, strict=True)
    ]
    return Configuration(
        version=decode_version(config.version),
        document=RuleDocument.model_validate({"rules": rules}),
        services={
            name: _service(name, service) for name, service in config.services.items()
        },
        kinds={kind.name: kind for kind in kinds},
        limits=CallerLimits(
            most_head_bytes=config.limits.max_header_bytes,
            most_body_bytes=config.limits.max_body_bytes,
            head_timeout_s=decode_time_s(config.limits.header_timeout),
            idle_timeout_s=decode_time_s(config.limits.idle_timeout),
        ),
    )


def _kind(route: _Route) -> RequestKind:
    target_ms = round(decode_time_s(route.target_latency) * 1000)
    return RequestKind(
        name=f"{route.kind}-{route.priority}-{target_ms}ms",
        deadline_ms=round(decode_time_s(route.timeout) * 1000),
        target_latency_ms=target_ms,
        priority=route.priority,
        repeatable=route.kind == SAFE_KIND,
    )


def _rule(
    name: str, route: _Route, kind: RequestKind, keyed: frozenset[str]
) -> dict[str, Any]:
    services = [part.service for part in route.traffic_split]
    if route.service is not None:
        services.insert(0, route.service)
    if not services:
        raise ValueError(f"routes.{name}: expected service or traffic-split")
    then: dict[str, Any] = {
        "service": services[0],
        "request_class": kind.name,
        "repeatable": kind.repeatable,
        "deadline_ms": kind.deadline_ms,
        "target_latency_ms": kind.target_latency_ms,
        "priority": kind.priority,
        "most_tries": route.max_attempts,
        "split": [
            {"service": part.service, "weight": part.weight}
            for part in route.traffic_split
        ],
    }
    if keyed.intersection(services):
        then["key"] = {"place": "header", "name": SHARD_HEADER, "is_shard": True}
    when = {"host": route.host.lower(), "path_prefix": route.prefix}
    return {"name": name, "when": when, "then": then}


def _service(name: str, service: _Service) -> ConfiguredService:
    return ConfiguredService(
        name=name,
        keyed=service.sharded,
        health_path=service.health_check_path,
        connections=service.max_connections,
        warm_up_s=decode_time_s(service.warm_up),
    )
