"""Metrics of how often requests are sent, and of the retry budgets."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, final

from gentianwharf.load import Gate, RetryBudgetSnapshot

if TYPE_CHECKING:
    # Importing the client library takes 40 ms and 2 MB, and most hosts are never asked
    # for metrics.
    from gentianwharf.metrics import Sample

MAX_SERVICES = 100
"""Limit of the number of services with series of their own, which come from the
operators' configuration."""

_COUNTERS: tuple[tuple[str, str, Callable[[RetryBudgetSnapshot], float]], ...] = (
    (
        "retry_budget_requests",
        "Requests that add to the retry budget",
        lambda budget: budget.requests,
    ),
    (
        "retry_budget_taken",
        "Retries taken from the retry budget",
        lambda budget: budget.taken,
    ),
    (
        "retry_budget_refused",
        "Retries that the retry budget did not allow",
        lambda budget: budget.refused,
    ),
)
_GAUGES: tuple[tuple[str, str, Callable[[RetryBudgetSnapshot], float]], ...] = (
    (
        "retry_budget_available",
        "Retries that this host may make now",
        lambda budget: budget.available,
    ),
    (
        "retry_budget_share",
        "Retries that this host may save, of those that all hosts may",
        lambda budget: budget.share,
    ),
    (
        "retry_budget_unconfirmed",
        "Repeats that were written and may still arrive at a server",
        lambda budget: budget.unconfirmed,
    ),
    (
        "retry_budget_inherited",
        "Repeats of ended processes of hosts that count as this host's",
        lambda budget: budget.inherited,
    ),
)


@final
class RetryMetrics:
    """Reads the counters and budgets of a gate whenever metrics are requested."""

    def __init__(self, *, gate: Gate, now_s: Callable[[], float]) -> None:
        self._gate = gate
        self._now_s = now_s

    def samples(self, prefix: str) -> "Iterator[Sample]":
        """Yield the samples of all services."""
        from gentianwharf.metrics import Sample

        for (service, cause), count in self._gate.retries.sends().items():
            yield Sample(
                name=prefix + "requests_sent",
                help="Requests written to backend servers, by cause",
                labels={"service": service, "cause": cause},
                value=count,
                counter=True,
            )
        budgets = self._gate.retries.budgets(self._now_s())[:MAX_SERVICES]
        for table, is_counter in ((_COUNTERS, True), (_GAUGES, False)):
            for name, text, read in table:
                for budget in budgets:
                    yield Sample(
                        name=prefix + name,
                        help=text,
                        labels={"service": budget.service},
                        value=read(budget),
                        counter=is_counter,
                    )
