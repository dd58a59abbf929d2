"""Decoding of the operators' configuration, which the platform's store holds."""

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

from ._decoded_targets import DecodedTargets, TargetAndKind
from ._request_kind import RequestKind
from ._units import decode_time_s, decode_version

CONFIG_KEY = "op/config"
"""Store key of the newest configuration, which is always complete."""

SHARD_HEADER = "shard-key"
"""Request header that holds the shard number, for services that are sharded by key."""

SHARD_KEY = DecodedKeySource(place=KeyPlace.HEADER, name=SHARD_HEADER, is_shard=True)

SHARDS = 65_536
"""Number of shards of each service that is sharded by key."""

SAFE_KIND = "safe"
"""Requests of this kind may run more than once; all others run at most once."""

UNREADABLE_SERVICE = "unread"
"""Placeholder service of rules that can't be decoded; no request is sent to it."""

MAX_REASON_CHARACTERS = 200

STEP = "read-configuration"


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfiguredService:
    """A service as the operators configured it."""

    name: str
    keyed: bool
    health_path: str
    connections: int
    """Maximum number of connections to one server from all hosts together."""
    warm_up_s: float
    cold_requests_per_s: float | None
    """How many requests a cold server tolerates from all hosts together, None if it has
    no such limit."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Size limits of callers' requests, and timeouts for heads and idle connections."""

    max_header_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class UnreadablePart:
    """A part of a configuration that this release can't decode, and the reason."""

    part: str
    reason: str


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """One version of the operators' configuration, decoded into the router's rules.

    A rule whose target can't be decoded stays in ``document``, so that its requests
    don't match a later rule; ``unread_rules`` contains its name. ``limits`` is None
    if the limits can't be decoded.
    """

    version: int
    document: DecodedRules
    services: Mapping[str, ConfiguredService]
    kinds: Mapping[str, RequestKind]
    limits: CallerLimits | None
    unread_rules: frozenset[str]
    unread: tuple[UnreadablePart, ...]


# A part with a value outside these ranges can't be applied and counts as unreadable.
_Weight = Annotated[float, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(ge=0)]
_Priority = Annotated[int, msgspec.Meta(ge=0)]
_Attempts = Annotated[int, msgspec.Meta(gt=0)]
_Prefix = Annotated[str, msgspec.Meta(pattern="^/")]


class _Share(msgspec.Struct):
    service: str
    weight: _Weight


class _RouteMatch(msgspec.Struct):
    """The host and path prefix whose requests a route applies to."""

    host: str
    prefix: _Prefix


class _Route(msgspec.Struct, rename="kebab"):
    host: str
    prefix: str
    kind: str
    timeout: str
    target_latency: str
    # 0 is the highest priority.
    priority: _Priority
    max_attempts: _Attempts
    service: str | None = None
    traffic_split: tuple[_Share, ...] = ()


class _Service(msgspec.Struct, rename="kebab"):
    max_connections: int
    health_check_path: str = "/health"
    sharded: bool = False
    warm_up: msgspec.Raw = msgspec.Raw(b'"0ms"')
    cold_per_s: msgspec.Raw = msgspec.Raw(b"null")


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Config(msgspec.Struct):
    """The outer structure; each part is decoded separately.

    A part that can't be decoded then doesn't affect the others.
    """

    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw


Encoded = TypeVar("Encoded")
Part = TypeVar("Part")


def decode_configuration(
    value: bytes, *, targets: DecodedTargets | None = None
) -> Configuration:
    """Return the configuration in an item's value.

    The store has already acknowledged the configuration to the operators, so a part
    that can't be decoded doesn't keep the others from being applied. ``targets``
    caches the targets of the previously decoded version, and is updated to this one.
    Raises ``InputError`` where that isn't safe: if the version is missing or malformed,
    or if a route has no valid host and path prefix.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
        decoder = _ConfigurationDecoder(config, targets=targets or DecodedTargets())
        return decoder.configuration()
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        # RecursionError is raised for values that are nested too deeply.
        raise InputError(
            f"can't decode the configuration: {_summary(error)}; the current one stays"
            " in force",
            step=STEP,
            peer=CONFIG_KEY,
        ) from error


@final
class _ConfigurationDecoder:
    """Decodes one configuration and collects the parts that can't be decoded."""

    def __init__(self, config: _Config, *, targets: DecodedTargets) -> None:
        self._config = config
        self._targets = targets
        self._unread: list[UnreadablePart] = []
        self._unread_rules: set[str] = set()
        self._kinds: dict[str, RequestKind] = {}
        self._services = self._decode_services()
        targets.begin(self._services)

    def configuration(self) -> Configuration:
        config = self._config
        rules = tuple(
            self._decode_rule(name, match) for name, match in self._route_matches()
        )
        return Configuration(
            version=decode_version(config.version),
            document=DecodedRules(rules=rules),
            services=self._services,
            kinds=self._kinds,
            limits=self._decode_part("limits", config.limits, _decode_limits),
            unread_rules=frozenset(self._unread_rules),
            unread=tuple(self._unread),
        )

    def _route_matches(self) -> list[tuple[str, _RouteMatch]]:
        """Return the routes' names and conditions in matching order.

        The first rule that matches is applied. The platform requires the longest
        matching prefix among the routes of a host, so longer prefixes come first.
        """
        matches = [
            (name, msgspec.json.decode(raw, type=_RouteMatch))
            for name, raw in self._config.routes.items()
        ]
        return sorted(matches, key=lambda match: (-len(match[1].prefix), match[0]))

    def _decode_services(self) -> dict[str, ConfiguredService]:
        services = {}
        for name, raw in self._config.services.items():
            part = f"services.{name}"
            service = self._decode_part(part, raw, _decode_service)
            if service is None:
                continue
            # The warm-up time only affects how soon keys move, so an invalid one does
            # not make the service unusable.
            warm_up_s = self._decode_part(
                f"{part}.warm-up", service.warm_up, _decode_json_time_s
            )
            services[name] = ConfiguredService(
                name=name,
                keyed=service.sharded,
                health_path=service.health_check_path,
                connections=service.max_connections,
                warm_up_s=warm_up_s or 0.0,
                cold_requests_per_s=self._decode_part(
                    f"{part}.cold-per-s", service.cold_per_s, _decode_cold_per_s
                ),
            )
        return services

    def _decode_rule(self, name: str, match: _RouteMatch) -> DecodedRule:
        then = self._decode_part(
            f"routes.{name}", self._config.routes[name], self._decode_target
        )
        if then is None:
            self._unread_rules.add(name)
            then = DecodedTarget(service=UNREADABLE_SERVICE)
        when = DecodedCondition(host=match.host.lower(), path_prefix=match.prefix)
        return DecodedRule(name=name, when=when, then=then)

    def _decode_target(self, raw: msgspec.Raw) -> DecodedTarget:
        encoded = bytes(raw)
        decoded = self._targets.find(encoded)
        if decoded is None:
            route = msgspec.json.decode(raw, type=_Route)
            kind = _request_kind(route)
            target = _target(route, kind, self._services)
            decoded = TargetAndKind(target=target, kind=kind)
            self._targets.add(encoded, decoded)
        self._kinds[decoded.kind.name] = decoded.kind
        return decoded.target

    def _decode_part(
        self, part: str, encoded: Encoded, decode: Callable[[Encoded], Part]
    ) -> Part | None:
        """Return a decoded part, or None and record it if it can't be decoded."""
        try:
            return decode(encoded)
        except (msgspec.DecodeError, ValueError, ArithmeticError) as error:
            # ArithmeticError is raised for a number that is too large for a time.
            self._unread.append(UnreadablePart(part=part, reason=_summary(error)))
            return None


def _summary(error: Exception) -> str:
    """Return a decoder's message on one line and shortened, for the log."""
    return " ".join(str(error).split())[:MAX_REASON_CHARACTERS]


def _decode_limits(raw: msgspec.Raw) -> CallerLimits:
    limits = msgspec.json.decode(raw, type=_Limits)
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=decode_time_s(limits.header_timeout),
        idle_timeout_s=decode_time_s(limits.idle_timeout),
    )


def _request_kind(route: _Route) -> RequestKind:
    deadline_ms = round(decode_time_s(route.timeout) * 1000)
    target_ms = round(decode_time_s(route.target_latency) * 1000)
    if deadline_ms <= 0 or target_ms <= 0:
        raise ValueError(
            f"expected timeout and target-latency above 0, got {route.timeout!r} and"
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
        raise ValueError(f"expected names of configured services, got {unknown}")
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


def _decode_json_time_s(raw: msgspec.Raw) -> float:
    return decode_time_s(msgspec.json.decode(raw, type=str))


def _decode_cold_per_s(raw: msgspec.Raw) -> float | None:
    return msgspec.json.decode(raw, type=_Rate | None) or None


def _decode_service(raw: msgspec.Raw) -> _Service:
    return msgspec.json.decode(raw, type=_Service)
