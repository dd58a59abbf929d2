"""Lets the store hang, refuse or drop its history while operators add many rules."""

from random import Random
from typing import final

from gentianwharf.platform.standin import Outage, StoreOrder

from ._deployment import Deployment
from ._operators import GROWTH, Operators
from ._schedule import Schedule

PAUSE_S = (0.5, 4.0)
DURATION_S = (0.3, 6.0)
MAX_MOVED = 20
DROP_PROBABILITY = 0.3
"""The probability that an outage ends with a dropped history."""


@final
class StoreOutages:
    """Schedules faults of the store at random times, in addition to other faults."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        operators: Operators,
        schedule: Schedule,
        rng: Random,
    ) -> None:
        self._deployment = deployment
        self._operators = operators
        self._schedule = schedule
        self._rng = rng

    def start(self) -> None:
        """Schedule the next outage."""
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._begin)

    def _begin(self) -> None:
        outage = self._rng.choice((Outage.HANG, Outage.HANG, Outage.REFUSE, None))
        duration_s = self._rng.uniform(*DURATION_S) if outage is not None else 0.0
        self._schedule.call_later(
            self._rng.uniform(0.0, duration_s + 0.5),
            self._operators.add,
            self._rng.randint(*GROWTH),
            0,
            self._rng.randint(1, MAX_MOVED),
        )
        if outage is not None:
            self._schedule.record(f"the store will {outage} for {duration_s:.2f} s")
            self._deployment.order_store(StoreOrder(outage=outage))
        drops = outage is None or self._rng.random() < DROP_PROBABILITY
        self._schedule.call_later(duration_s, self._end, drops)

    def _end(self, drops_history: bool) -> None:
        if drops_history:
            self._schedule.record("the store drops its history")
        self._deployment.order_store(
            StoreOrder(outage=Outage.NONE, drops_history=drops_history)
        )
        self.start()
