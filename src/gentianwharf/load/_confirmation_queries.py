"""Which servers to ask whether what was written to them has arrived.

A server that answers a query has received everything that was written to it before.
Queries cost servers time, so that they are sent only if unconfirmed writes may soon
keep other requests from being sent again.
"""

from typing import final

from ._retry_budgets import RetryBudgets

INTERVAL_S = 0.25
MAX_QUERIES = 2
"""Queries in an interval, over all services."""

MIN_AGE_S = 0.3
"""Age of a write at which its answer is late enough for a query."""

REPEAT_S = 2.0
"""Time after which a server is queried again that has not answered."""


@final
class ConfirmationQueries:
    """Chooses paths with unconfirmed writes, the oldest first."""

    def __init__(self, *, budgets: RetryBudgets) -> None:
        self._budgets = budgets
        self._next_s = float("-inf")
        self._queried_s: dict[str, float] = {}

    def due(self, now_s: float) -> list[str]:
        """Return the paths to query now."""
        if now_s < self._next_s:
            return []
        self._next_s = now_s + INTERVAL_S
        services = [
            service
            for service, _ in self._budgets
            if self._budgets.awaits_confirmation(service, now_s)
        ]
        if not services:
            return []
        self._queried_s = {
            path: queried_s
            for path, queried_s in self._queried_s.items()
            if queried_s > now_s - REPEAT_S
        }
        paths = [
            path
            for service in services
            for path in self._budgets.writes.unconfirmed_paths(
                service, before_s=now_s - MIN_AGE_S
            )
            if path not in self._queried_s
        ][:MAX_QUERIES]
        self._queried_s.update(dict.fromkeys(paths, now_s))
        return paths
