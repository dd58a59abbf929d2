"""The retry budgets of all services of one host."""

from collections.abc import Iterator, Mapping
from math import inf
from typing import final

from ._budget import DELIVERY_S, MAX_SAVED_RETRIES, RetryAgreement, RetryBudget
from ._host_shares import HostShares
from ._request_history import RequestHistory
from ._unconfirmed_writes import MAX_HELD_S, UnconfirmedWrites

CONFIRMING_SHARE = 0.25
"""Share of the repeats that may arrive from which on it is asked which have arrived."""

UNKNOWN_FACTOR = 0.5
"""Factor on the ratio for a new process, which has no share yet, as long as it does not
know what earlier ones have written."""

ARRIVAL_FACTOR = 0.95
"""Factor on the ratio for repeats that may arrive, or have arrived within a window."""


@final
class RetryBudgets:
    """Divides the retries that all hosts may save among the hosts in ``shares``.

    A host that does not know the others, or has not heard of them for a window, has no
    share: several such hosts would add up.

    A retry is also refused while as many are unconfirmed, or arrived within a window,
    as this host's part of the agreement: those that links hold arrive together. What
    ended processes have written counts as well, see ``set_inherited``.
    """

    def __init__(self, *, agreement: RetryAgreement, shares: HostShares) -> None:
        self._agreement = agreement
        self._shares = shares
        self._is_outdated = False
        self._budgets: dict[str, RetryBudget] = {}
        self._histories: dict[str, RequestHistory] = {}
        self.writes = UnconfirmedWrites(window_s=agreement.window_s)
        self._inherited: Mapping[str, float] = {}
        self._inherited_until_s = 0.0
        self._unknown_until_s = 0.0
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
        self._histories[service] = RequestHistory(window_s=self._agreement.window_s)
        self._changed.append(budget)

    def tick(self, now_s: float) -> None:
        """Note the time for new shares, also of services without requests."""
        for budget in self._changed:
            budget.note_time(now_s)
        if self._changed:
            for history in self._histories.values():
                history.note_time(now_s)
        self._changed.clear()
        self.writes.tick(now_s)

    def record_request(self, service: str, now_s: float) -> None:
        """Add to the budget of a service for a new request."""
        budget = self._budgets.get(service)
        if budget is not None:
            budget.record_request(now_s)
            self._histories[service].record(now_s)

    def available(self, service: str, now_s: float) -> float:
        """Return the number of retries of a service that may be sent now."""
        budget = self._budgets.get(service)
        if budget is None:
            return 0.0
        return max(0.0, min(budget.available(now_s), self.room(service, now_s)))

    def room(self, service: str, now_s: float) -> float:
        """Return how many more retries of a service may arrive within a window."""
        return self._allowed(service, now_s) - self.writes.repeats(service, now_s)

    def _allowed(self, service: str, now_s: float) -> float:
        if self._agreement.extra == inf:
            return inf
        ratio = self._agreement.ratio * ARRIVAL_FACTOR
        budget = self._budgets[service]
        if now_s < self._unknown_until_s:
            return UNKNOWN_FACTOR * ratio * budget.requests
        requests = self._histories[service].in_window(now_s)
        allowed = budget.share + ratio * requests
        return allowed - self.inherited(service, now_s)

    def inherited(self, service: str, now_s: float) -> float:
        """Return how many repeats of ended processes count as those of this one."""
        if now_s >= self._inherited_until_s:
            return 0.0
        return self._inherited.get(service, 0.0)

    def expect_inherited(self, now_s: float) -> None:
        """Allow half of the ratio until ``set_inherited``, or for a window."""
        self._unknown_until_s = now_s + self._agreement.window_s + DELIVERY_S

    def set_inherited(
        self, repeats: Mapping[str, float], *, is_known: bool, now_s: float
    ) -> None:
        """Set how many repeats of ended processes may arrive, by service.

        ``is_known`` is False if those of this host's previous process are not known.
        They are taken for lost in the end if no more calls follow.
        """
        self._inherited = repeats
        self._inherited_until_s = now_s + MAX_HELD_S + self._agreement.window_s
        if is_known:
            self._unknown_until_s = 0.0

    def awaits_confirmation(self, service: str, now_s: float) -> bool:
        """Return whether unconfirmed writes may soon keep others from being sent."""
        if not self.writes.unconfirmed(service):
            return False
        allowed = self._allowed(service, now_s)
        return self.writes.repeats(service, now_s) > allowed * CONFIRMING_SHARE

    def allow(self, service: str, now_s: float) -> bool:
        """Return whether a retry of a service may be sent now, without taking it."""
        budget = self._budgets.get(service)
        if budget is None or not budget.allow(now_s):
            return False
        if self.room(service, now_s) >= 1.0:
            return True
        budget.refused += 1
        return False

    def take(self, service: str, now_s: float) -> bool:
        """Take a retry from the budget of a service; return whether there was one."""
        return self.allow(service, now_s) and self._budgets[service].take(now_s)

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
