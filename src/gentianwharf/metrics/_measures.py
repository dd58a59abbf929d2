"""The three measures, imbalance, churn and unavailable time, as plain functions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final


def imbalance(loads: Mapping[str, float]) -> float:
    """Return the maximum load divided by the mean load; 1.0 is perfectly even.

    ``loads`` holds the load of each live server, all in the same unit (requests/s,
    busy slots). It includes idle servers, but not servers that have left.

    >>> imbalance({"clubdesk-1": 30.0, "clubdesk-2": 10.0})
    1.5
    """
    total = sum(loads.values())
    if total <= 0:
        return 1.0
    return max(loads.values()) * len(loads) / total


def churn(before: Mapping[int, str], after: Mapping[int, str]) -> int:
    """Return how many shards changed owner; one that lost its owner counts once.

    A shard without an owner before does not count.

    >>> churn({1: "a", 2: "a", 3: "b"}, {1: "a", 2: "b", 4: "b"})
    2
    """
    return sum(after.get(shard) != owner for shard, owner in before.items())


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Whether a request for a key or shard was served, and when that became known."""

    at_s: float
    served: bool


def unavailable_s(outcomes: Iterable[Outcome], *, until_s: float) -> float:
    """Return for how many seconds a key or shard could not be served.

    An unavailable span runs from the first request that was not served to the next
    request that was, or to ``until_s``. Time without any requests counts only within
    such a span. The outcomes must be in order of time.

    >>> unavailable_s([Outcome(at_s=1.0, served=False), Outcome(at_s=1.5, served=False),
    ...                Outcome(at_s=1.75, served=True)], until_s=9.0)
    0.75
    """
    total_s = 0.0
    since_s: float | None = None
    for outcome in outcomes:
        if not outcome.served and since_s is None:
            since_s = outcome.at_s
        elif outcome.served and since_s is not None:
            total_s += outcome.at_s - since_s
            since_s = None
    if since_s is not None:
        total_s += until_s - since_s
    return total_s


@final
class UnavailableShards:
    """The currently unavailable shards, and the unavailable time of each service.

    Only shards that are failing at the moment have an entry, so that memory does not
    grow with the number of shards.
    """

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, int], float] = {}
        self._total_s: dict[str, float] = {}
        self._longest_s: dict[str, float] = {}

    def record(self, service: str, shard: int, *, at_s: float, served: bool) -> None:
        """Record the outcome of one request."""
        service_shard = (service, shard)
        if not served:
            self._since_s.setdefault(service_shard, at_s)
            return
        if not self._since_s:
            return
        since_s = self._since_s.pop(service_shard, None)
        if since_s is None:
            return
        duration_s = at_s - since_s
        self._total_s[service] = self._total_s.get(service, 0.0) + duration_s
        self._longest_s[service] = max(self._longest_s.get(service, 0.0), duration_s)

    def services(self) -> list[str]:
        """Return the services with a shard that is or was unavailable."""
        unavailable = {name for name, _ in self._since_s}
        return sorted(unavailable | set(self._total_s))

    def total_s(self, service: str, *, now_s: float) -> float:
        """Return the shard-seconds of unavailable time, including open spans."""
        return self._total_s.get(service, 0.0) + sum(
            now_s - since_s
            for (name, _), since_s in self._since_s.items()
            if name == service
        )

    def longest_s(self, service: str, *, now_s: float) -> float:
        """Return the longest unavailable span of one shard, including open spans."""
        spans_s = [
            now_s - since_s
            for (name, _), since_s in self._since_s.items()
            if name == service
        ]
        return max([self._longest_s.get(service, 0.0), *spans_s])

    def unavailable_count(self, service: str) -> int:
        """Return the number of currently unavailable shards."""
        return sum(name == service for name, _ in self._since_s)
