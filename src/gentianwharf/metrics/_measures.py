"""The three measures: imbalance, churn and unavailable time, over plain inputs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final


def imbalance(loads: Mapping[str, float]) -> float:
    """Return the greatest load over the mean one; 1.0 is perfectly even.

    ``loads`` gives each live server's load in any one unit (requests/s, busy
    slots). A server without load belongs in it; a server that has left does not.

    >>> imbalance({"clubdesk-1": 30.0, "clubdesk-2": 10.0})
    1.5
    """
    total = sum(loads.values())
    if total <= 0:
        return 1.0
    return max(loads.values()) * len(loads) / total


def churn(before: Mapping[int, str], after: Mapping[int, str]) -> int:
    """Return how many shards changed owner; one that was lost counts once.

    A shard that had no owner before has not changed it.

    >>> churn({1: "a", 2: "a", 3: "b"}, {1: "a", 2: "b", 4: "b"})
    2
    """
    return sum(after.get(shard) != owner for shard, owner in before.items())


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Whether a request for a key or shard was served, and when that was known."""

    at_s: float
    served: bool


def unavailable_s(outcomes: Iterable[Outcome], *, until_s: float) -> float:
    """Return for how many seconds a key or shard could not be served.

    An unavailable span runs from the first request that was not served to the next
    one that was, or to ``until_s``. Time in which nobody asked counts only inside
    such a span.

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
    """The shards that are unavailable now, and the time that the others were.

    Holds an entry for each shard that is failing at the moment alone, so that it
    does not grow with the number of shards.
    """

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, int], float] = {}
        self._total_s: dict[str, float] = {}
        self._longest_s: dict[str, float] = {}

    def record(self, service: str, shard: int, *, at_s: float, served: bool) -> None:
        """Take in the outcome of one request."""
        shard_key = (service, shard)
        if not served:
            self._since_s.setdefault(shard_key, at_s)
            return
        if not self._since_s:
            return
        since_s = self._since_s.pop(shard_key, None)
        if since_s is None:
            return
        spent_s = at_s - since_s
        self._total_s[service] = self._total_s.get(service, 0.0) + spent_s
        self._longest_s[service] = max(self._longest_s.get(service, 0.0), spent_s)

    def services(self) -> list[str]:
        """Return the services of which a shard was ever unavailable."""
        open_now = {name for name, _ in self._since_s}
        return sorted(open_now | set(self._total_s))

    def total_s(self, service: str, *, now_s: float) -> float:
        """Return the shard-seconds of unavailable time, open spans included."""
        return self._total_s.get(service, 0.0) + sum(
            now_s - since_s
            for (name, _), since_s in self._since_s.items()
            if name == service
        )

    def longest_s(self, service: str, *, now_s: float) -> float:
        """Return the longest span of one shard, open spans included."""
        spans_s = [
            now_s - since_s
            for (name, _), since_s in self._since_s.items()
            if name == service
        ]
        return max([self._longest_s.get(service, 0.0), *spans_s])

    def unavailable_count(self, service: str) -> int:
        """Return how many shards are unavailable at the moment."""
        return sum(name == service for name, _ in self._since_s)
