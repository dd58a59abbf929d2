"""Decoded targets of routes, reused in later versions of the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from gentianwharf.matching import DecodedTarget

from ._request_kind import RequestKind


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class TargetAndKind:
    """A decoded target, and the request kind that its route defines."""

    target: DecodedTarget
    kind: RequestKind


@final
class DecodedTargets:
    """The targets of one version by their encoded routes.

    Most routes of a long list are the same in the next version. A target depends on the
    services as well, so that none is reused after a change of these.
    """

    def __init__(self) -> None:
        self._services: Mapping[str, object] = {}
        self._former: dict[bytes, TargetAndKind] = {}
        self._current: dict[bytes, TargetAndKind] = {}

    def begin(self, services: Mapping[str, object]) -> None:
        """Begin another version, and discard what only older ones have used."""
        self._former = self._current if services == self._services else {}
        self._services = services
        self._current = {}

    def find(self, route: bytes) -> TargetAndKind | None:
        """Return the target of a route in the version before, None if unknown."""
        found = self._former.get(route)
        if found is not None:
            self._current[route] = found
        return found

    def add(self, route: bytes, decoded: TargetAndKind) -> None:
        """Keep a target for the next version."""
        self._current[route] = decoded
