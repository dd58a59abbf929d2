"""The operators' configuration as it stands in the platform's store."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Annotated, TypeVar, final

import msgspec

from gentianwharf.errors import InputError
from gentianwharf.matching import (
    DecodedCondition,
    DecodedKeySource,
    DecodedRule,
    DecodedRules,
    DecodedShare,
    DecodedTarget,
    KeyPlace,
)

from ._units import decode_time_s, decode_version

CONFIG_KEY = "op/config"
"""Holds the newest configuration in full."""

SHARD_HEADER = "shard-key"
"""Names the shard of a request to a service that is divided by key."""

SHARD_KEY = DecodedKeySource(place=KeyPlace.HEADER, name=SHARD_HEADER, is_shard=True)

SHARDS = 65_536
"""How many shards the platform divides a service into."""

SAFE_KIND = "safe"
"""Requests of this kind may run more than once; all others at most once."""

UNREAD_SERVICE = "unread"
"""Stands in a rule whose treatment can't be read; no request is sent there."""

MAX_REASON_CHARACTERS = 200

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

    max_header_bytes: int
    max_body_bytes: int
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
class UnreadablePart:
    """A part of a configuration that this release can't read, and why."""

    part: str
    reason: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operators' configuration, as the router's own rules.

    A rule whose treatment can't be read keeps its place in ``document``, so that its
    requests meet no other rule; its name stands in ``unread_rules``. ``limits`` is
    None when they can't be read.
    """

    version: int
    document: DecodedRules
    services: Mapping[str, ConfiguredService]
    kinds: Mapping[str, RequestKind]
    limits: CallerLimits | None
    unread_rules: frozenset[str]
    unread: tuple[UnreadablePart, ...]


# Bounds without which a rule can't be followed; the part that breaks one is unread.
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Rank = Annotated[int, msgspec.Meta(ge=0)]
_Tries = Annotated[int, msgspec.Meta(gt=0)]
_Prefix = Annotated[str, msgspec.Meta(pattern="^/")]


class _Share(msgspec.Struct):
    service: str
    weight: _Weight


class _Place(msgspec.Struct):
    """Which requests a route is for."""

    host: str
    prefix: _Prefix


class _Route(msgspec.Struct, rename="kebab"):
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    # The rank of its requests; 0 is the highest.
    priority: _Rank
    max_attempts: _Tries
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()


class _Service(msgspec.Struct, rename="kebab"):
    max_connections: int
    health_check_path: str = "/health"
    sharded: bool = False
    warm_up: msgspec.Raw = msgspec.Raw(b'"0ms"')


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Config(msgspec.Struct):
    """Its parts are decoded one by one, so that each costs only itself."""

    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw


Written = TypeVar("Written")
Part = TypeVar("Part")


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration in an item's value.

    The store has already acknowledged it to the operators: a part that can't be read
    leaves all others in force. Raises ``InputError`` where that isn't safe:
    without a version, or with a route that doesn't say which requests it is for.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
        return _Reader(config).configuration()
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        # Values nested too deeply to be read raise the last one.
        raise InputError(
            f"the configuration doesn't fit: {_reason(error)}; the one in force stays",
            step=STEP,
            peer=CONFIG_KEY,
        ) from error


@final
class _Reader:
    """Reads one configuration and collects what it can't read."""

    def __init__(self, config: _Config) -> None:
        self._config = config
        self._unread: list[UnreadablePart] = []
        self._unread_rules: set[str] = set()
        self._kinds: dict[str, RequestKind] = {}
        self._services = self._read_services()

    def configuration(self) -> Configuration:
        config = self._config
        rules = tuple(self._rule(name, place) for name, place in self._places())
        return Configuration(
            version=decode_version(config.version),
            document=DecodedRules(rules=rules),
            services=self._services,
            kinds=self._kinds,
            limits=self._part("limits", config.limits, _limits),
            unread_rules=frozenset(self._unread_rules),
            unread=tuple(self._unread),
        )

    def _places(self) -> list[tuple[str, _Place]]:
        """Return the routes' names and places, in the order in which they match.

        The first matching rule decides; among the routes of a host the platform wants
        the longest prefix, so that one stands first.
        """
        places = [
            (name, msgspec.json.decode(raw, type=_Place))
            for name, raw in self._config.routes.items()
        ]
        return sorted(places, key=lambda one: (-len(one[1].prefix), one[0]))

    def _read_services(self) -> dict[str, ConfiguredService]:
        services = {}
        for name, raw in self._config.services.items():
            part = f"services.{name}"
            service = self._part(part, raw, _decode_service)
            if service is None:
                continue
            # It only tunes how soon keys move: no reason to refuse requests.
            warm_up_s = self._part(f"{part}.warm-up", service.warm_up, _time_s)
            services[name] = ConfiguredService(
                name=name,
                keyed=service.sharded,
                health_path=service.health_check_path,
                connections=service.max_connections,
                warm_up_s=warm_up_s or 0.0,
            )
        return services

    def _rule(self, name: str, place: _Place) -> DecodedRule:
        then = self._part(f"routes.{name}", self._config.routes[name], self._target)
        if then is None:
            self._unread_rules.add(name)
            then = DecodedTarget(service=UNREAD_SERVICE)
        when = DecodedCondition(host=place.host.lower(), path_prefix=place.prefix)
        return DecodedRule(name=name, when=when, then=then)

    def _target(self, raw: msgspec.Raw) -> DecodedTarget:
        route = msgspec.json.decode(raw, type=_Route)
        kind = _kind(route)
        target = _target(route, kind, self._services)
        self._kinds[kind.name] = kind
        return target

    def _part(
        self, part: str, written: Written, decode: Callable[[Written], Part]
    ) -> Part | None:
        """Return what a part says, None where it can't be read."""
        try:
            return decode(written)
        except (msgspec.DecodeError, ValueError, ArithmeticError) as error:
            # A number too large for a time is an arithmetic error.
            self._unread.append(UnreadablePart(part=part, reason=_reason(error)))
            return None


def _reason(error: Exception) -> str:
    """Return on one line, for the log, what a decoder said."""
    return " ".join(str(error).split())[:MAX_REASON_CHARACTERS]


def _limits(raw: msgspec.Raw) -> CallerLimits:
    limits = msgspec.json.decode(raw, type=_Limits)
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=decode_time_s(limits.header_timeout),
        idle_timeout_s=decode_time_s(limits.idle_timeout),
    )


def _kind(route: _Route) -> RequestKind:
    deadline_ms = round(decode_time_s(route.timeout) * 1000)
    target_ms = round(decode_time_s(route.target_latency) * 1000)
    if deadline_ms <= 0 or target_ms <= 0:
        raise ValueError(
            f"expected times above 0, got {route.timeout!r} and"
            f" {route.target_latency!r}"
        )
    return RequestKind(
        name=f"{route.kind}-{route.priority}-{target_ms}ms",
        deadline_ms=deadline_ms,
        target_latency_ms=target_ms,
        priority=route.priority,
        repeatable=route.kind == SAFE_KIND,
    )


def _target(
    route: _Route, kind: RequestKind, services: Mapping[str, ConfiguredService]
) -> DecodedTarget:
    names = [part.service for part in route.traffic_split]
    if route.service is not None:
        names.insert(0, route.service)
    if not names:
        raise ValueError("expected service or traffic-split, got neither")
    unknown = [name for name in names if name not in services]
    if unknown:
        raise ValueError(f"expected services that are listed, got {unknown}")
    keyed = any(services[name].keyed for name in names)
    return DecodedTarget(
        service=names[0],
        request_class=kind.name,
        repeatable=kind.repeatable,
        deadline_ms=kind.deadline_ms,
        target_latency_ms=kind.target_latency_ms,
        priority=kind.priority,
        most_tries=route.max_attempts,
        split=tuple(
            DecodedShare(service=part.service, weight=part.weight)
            for part in route.traffic_split
        ),
        key=SHARD_KEY if keyed else None,
    )


def _time_s(raw: msgspec.Raw) -> float:
    return decode_time_s(msgspec.json.decode(raw, type=str))


def _decode_service(raw: msgspec.Raw) -> _Service:
    return msgspec.json.decode(raw, type=_Service)
