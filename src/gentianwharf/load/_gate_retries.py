"""The part of the gate that concerns requests which are sent more than once."""

from collections import Counter
from collections.abc import Mapping
from typing import final

from ._registry import Registry
from ._snapshot import RetryBudgetSnapshot, retry_budget_snapshots


@final
class GateRetries:
    """Counts what is written to servers, and states what the budgets allow."""

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._sends: Counter[tuple[str, str]] = Counter()

    def take(self, service: str, now_s: float) -> bool:
        """Take a retry for a repeat that is about to be written; False without one."""
        return self._registry.budgets.take(service, now_s)

    def record_send(self, service: str, cause: str) -> None:
        """Record that a request is written to a server of ``service``."""
        self._sends[service, cause] += 1

    def sends(self) -> Mapping[tuple[str, str], int]:
        """Return the writes since the start, by service and cause."""
        return self._sends

    def set_view_age_s(self, age_s: float) -> None:
        """Set how old this host's list of the hosts may be."""
        self._registry.budgets.set_view_age_s(age_s)

    def budgets(self, now_s: float) -> list[RetryBudgetSnapshot]:
        """Return the retry budget of each service."""
        return retry_budget_snapshots(self._registry, now_s)
