"""Cache of decoded route targets between versions of the configuration."""

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
    """The targets of one version, by encoded route.

    Most routes of a long list are unchanged in the next version. Targets also depend on
    the services, so none is reused after the services change.
    """

    def __init__(self) -> None:
        self._services: Mapping[str, object] = {}
        self._previous: dict[bytes, TargetAndKind] = {}
        self._current: dict[bytes, TargetAndKind] = {}

    def begin(self, services: Mapping[str, object]) -> None:
        """Start a new version, and discard targets that the last one did not use."""
        self._previous = self._current if services == self._services else {}
        self._services = services
        self._current = {}

    def find(self, route: bytes) -> TargetAndKind | None:
        """Return a route's target in the previous version, None if it has none."""
        found = self._previous.get(route)
        if found is not None:
            self._current[route] = found
        return found

    def add(self, route: bytes, decoded: TargetAndKind) -> None:
        """Add a target of the current version."""
        self._current[route] = decoded
