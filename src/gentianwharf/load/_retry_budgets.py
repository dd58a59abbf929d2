"""The retry budgets of all services of one host."""

from collections.abc import Iterator
from math import inf
from typing import final

from ._budget import MAX_SAVED_RETRIES, RetryAgreement, RetryBudget
from ._host_shares import HostShares


@final
class RetryBudgets:
    """Divides the retries that all hosts may save among the hosts in ``shares``.

    A host that does not know the others, or has not heard of them for a window, has no
    share: several such hosts would add up.
    """

    def __init__(self, *, agreement: RetryAgreement, shares: HostShares) -> None:
        self._agreement = agreement
        self._shares = shares
        self._is_outdated = False
        self._budgets: dict[str, RetryBudget] = {}
        self._changed: list[RetryBudget] = []
        """Budgets whose shares are new since the last tick."""

    def __contains__(self, service: str) -> bool:
        return service in self._budgets

    def __iter__(self) -> Iterator[tuple[str, RetryBudget]]:
        return iter(self._budgets.items())

    def add(self, service: str) -> None:
        """Add the budget of a service."""
        budget = RetryBudget(agreement=self._agreement, share=self._share(service))
        self._budgets[service] = budget
        self._changed.append(budget)

    def tick(self, now_s: float) -> None:
        """Note the time for new shares, also of services without requests."""
        for budget in self._changed:
            budget.note_time(now_s)
        self._changed.clear()

    def record_request(self, service: str, now_s: float) -> None:
        """Add to the budget of a service for a new request."""
        budget = self._budgets.get(service)
        if budget is not None:
            budget.record_request(now_s)

    def available(self, service: str, now_s: float) -> float:
        """Return the number of retries of a service that may be sent now."""
        budget = self._budgets.get(service)
        return budget.available(now_s) if budget is not None else 0.0

    def allow(self, service: str, now_s: float) -> bool:
        """Return whether a retry of a service may be sent now, without taking it."""
        budget = self._budgets.get(service)
        return budget is not None and budget.allow(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Take a retry from the budget of a service; return whether there was one."""
        budget = self._budgets.get(service)
        return budget is not None and budget.take(now_s)

    def update_hosts(self) -> None:
        """Apply a change of the hosts among which the saved retries are divided."""
        for service, budget in self._budgets.items():
            budget.set_share(self._share(service))
        self._changed = list(self._budgets.values())

    def set_view_age_s(self, age_s: float) -> None:
        """Set how old this host's list of the hosts may be."""
        is_outdated = age_s > self._agreement.window_s
        if is_outdated != self._is_outdated:
            self._is_outdated = is_outdated
            self.update_hosts()

    def _share(self, service: str) -> float:
        extra = self._agreement.extra
        if extra == inf:
            return MAX_SAVED_RETRIES
        if self._is_outdated or not self._shares.are_known:
            return 0.0
        savers = self._shares.senders(f"retries/{service}", burst=int(extra))
        return min(MAX_SAVED_RETRIES, extra / savers) if savers else 0.0
