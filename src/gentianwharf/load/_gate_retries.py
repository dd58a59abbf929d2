"""The part of the gate that concerns requests which are sent more than once."""

from collections import Counter
from collections.abc import Mapping
from typing import final

from ._confirmation_queries import ConfirmationQueries
from ._registry import Registry
from ._snapshot import RetryBudgetSnapshot, retry_budget_snapshots
from ._unconfirmed_forecast import UnconfirmedForecast


@final
class GateRetries:
    """Counts what is written to servers, and states what the budgets allow."""

    def __init__(self, *, registry: Registry) -> None:
        self._registry = registry
        self._writes = registry.budgets.writes
        self._queries = ConfirmationQueries(budgets=registry.budgets)
        self._forecast = UnconfirmedForecast(writes=self._writes)
        self._sends: Counter[tuple[str, str]] = Counter()

    def take(self, service: str, now_s: float) -> bool:
        """Take a retry for a repeat that is about to be written; False without one."""
        return self._registry.budgets.take(service, now_s)

    def record_write(
        self, request_id: str, service: str, *, cause: str, path: str, now_s: float
    ) -> None:
        """Record that a request is written to a server of ``service``.

        ``path`` is the way to the server: its id, with a direct connection.
        """
        self._sends[service, cause] += 1
        self._writes.add(request_id, service, path=path, now_s=now_s)

    def withdraw_write(self, request_id: str) -> None:
        """Record that no byte of the last write of a request was sent."""
        self._writes.withdraw(request_id)

    def confirm_write(
        self,
        request_id: str,
        *,
        path: str,
        now_s: float,
        until_s: float | None = None,
    ) -> None:
        """Record that a write has arrived, or never will.

        With ``until_s`` all has arrived that was written on the path until then.
        """
        self._writes.confirm(request_id, path=path, now_s=now_s)
        if until_s is not None:
            self._writes.confirm_path(path, until_s=until_s, now_s=now_s)

    def confirm_path(self, path: str, *, until_s: float, now_s: float) -> None:
        """Record that all has arrived that was written on a path until then."""
        self._writes.confirm_path(path, until_s=until_s, now_s=now_s)

    def discard(self, request_id: str) -> None:
        """Forget a request that is not written any more."""
        self._writes.discard(request_id)

    def paths_to_query(self, now_s: float) -> list[str]:
        """Return paths whose servers should be queried for their load.

        An answer confirms the writes whose repeats keep others from being sent.
        """
        return self._queries.due(now_s)

    def sends(self) -> Mapping[tuple[str, str], int]:
        """Return the writes since the start, by service and cause."""
        return self._sends

    def set_view_age_s(self, age_s: float) -> None:
        """Set how old this host's list of the hosts may be."""
        self._registry.budgets.set_view_age_s(age_s)

    def next_unconfirmed(self) -> dict[str, int]:
        """Return the repeats that may be unconfirmed at the next call, by service."""
        return self._forecast.next()

    def expect_inherited(self, now_s: float) -> None:
        """Repeat less until it is known what earlier processes have written."""
        self._registry.budgets.expect_inherited(now_s)

    def set_inherited(
        self, repeats: Mapping[str, float], *, is_known: bool, now_s: float
    ) -> None:
        """Set how many repeats of ended processes may still arrive, by service."""
        self._registry.budgets.set_inherited(repeats, is_known=is_known, now_s=now_s)

    def budgets(self, now_s: float) -> list[RetryBudgetSnapshot]:
        """Return the retry budget of each service."""
        return retry_budget_snapshots(self._registry, now_s)
