"""Lets orders and writes of the store be late or lost, and disturbs leaders."""

import signal
from random import Random
from typing import final

from gentianwharf.platform.standin import LateKind, Outage, ServerOrder, StoreOrder

from ._deployment import Deployment
from ._disruptions import STORE_WRITES
from ._faults import GRACE_PERIOD_S
from ._schedule import Schedule

PAUSE_S = (0.2, 4.0)
DURATION_S = (2.0, 8.0)
OUTAGE_PROBABILITY = 0.5
OUTAGE_S = (2.5, 6.0)
AFTER_OUTAGE_S = 0.5
SERVER_SHARES = (0.3, 0.9, 1.0)
WRITE_SHARES = (0.0, 0.1, 0.3)
SLOWDOWNS = (1.0, 1.0, 10.0, 50.0)

LEADERS_IN_A_ROW = (2, 3)
BETWEEN_LEADERS_S = ((0.0, 0.05), (0.05, 1.5))
LOOK_EVERY_S = 0.02
STOPPED_S = (3.0, GRACE_PERIOD_S)
FROZEN_S = (0.3, 6.0)
FREEZE_PROBABILITY = 0.4


@final
class LateOrders:
    """Draws spans with late orders and writes, in addition to the other faults.

    In each span some leaders in a row are ended, or frozen for a time, in half of them
    after the store has hung for so long that leases lapse.
    """

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng
        self._frozen: set[str] = set()
        self._leaders_left = 0
        """How many leaders are yet to be disturbed; the next one is looked for."""

    def start(self) -> None:
        """Schedule the next span."""
        self._schedule.call_later(self._rng.uniform(*PAUSE_S), self._begin)

    def _begin(self) -> None:
        rng, deployment = self._rng, self._deployment
        keyed = deployment.keyed_servers()
        names = sorted(rng.sample(keyed, rng.choice((1, 1, 2, len(keyed)))))
        order = ServerOrder(
            late_share=rng.choice(SERVER_SHARES), late_kind=rng.choice(list(LateKind))
        )
        writes = StoreOrder(
            unanswered_share=rng.choice(WRITE_SHARES),
            late_share=rng.choice(WRITE_SHARES),
            slowdown=rng.choice(SLOWDOWNS),
        )
        outage_s = rng.uniform(*OUTAGE_S)
        if rng.random() >= OUTAGE_PROBABILITY:
            outage_s = 0.0
        late_from_s = rng.uniform(0.0, outage_s)
        duration_s = outage_s + rng.uniform(*DURATION_S)
        self._schedule.record(
            f"{order.late_share} of {order.late_kind} late at {', '.join(names)} in"
            f" {late_from_s:.2f} s; of"
            f" writes {writes.unanswered_share} unanswered, {writes.late_share} late,"
            f" answers {writes.slowdown} times slower, for {duration_s:.2f} s;"
            f" the store hangs for {outage_s:.2f} s"
        )
        for name in names:
            self._schedule.call_later(late_from_s, deployment.order_server, name, order)
        deployment.disruptions.begin(STORE_WRITES)
        deployment.order_store(writes)
        if outage_s:
            deployment.order_store(StoreOrder(outage=Outage.HANG))
            self._schedule.call_later(
                outage_s, deployment.order_store, StoreOrder(outage=Outage.NONE)
            )
        begins_s = outage_s + rng.uniform(0.0, AFTER_OUTAGE_S)
        if not self._leaders_left:
            self._schedule.call_later(begins_s, self._disturb_leaders)
        self._leaders_left = rng.randint(*LEADERS_IN_A_ROW)
        self._schedule.call_later(duration_s, self._end)

    def _disturb_leaders(self) -> None:
        """End or freeze whoever leads now, and soon after whoever leads then."""
        leader = self._deployment.leader()
        if leader is None or leader in self._frozen:
            self._schedule.call_later(LOOK_EVERY_S, self._disturb_leaders)
            return
        rng = self._rng
        stopped_s, frozen_s = rng.uniform(*STOPPED_S), rng.uniform(*FROZEN_S)
        if rng.random() < FREEZE_PROBABILITY:
            self._schedule.record(f"freeze leader {leader} for {frozen_s:.2f} s")
            self._deployment.send(leader, signal.SIGSTOP)
            self._frozen.add(leader)
            self._schedule.call_later(frozen_s, self._thaw, leader)
        else:
            self._schedule.record(f"end leader {leader}, back after {stopped_s:.2f} s")
            self._deployment.send(leader, signal.SIGTERM)
            self._schedule.call_later(stopped_s, self._deployment.restart, leader)
        self._leaders_left -= 1
        if self._leaders_left:
            pause_s = rng.uniform(*rng.choice(BETWEEN_LEADERS_S))
            self._schedule.call_later(pause_s, self._disturb_leaders)

    def _thaw(self, name: str) -> None:
        self._frozen.discard(name)
        self._deployment.send(name, signal.SIGCONT)

    def _end(self) -> None:
        for name in self._deployment.keyed_servers():
            self._deployment.order_server(name, ServerOrder())
        self._end_store_troubles()
        self.start()

    def restore(self) -> None:
        """Let servers carry out at once what is late, and end the store's troubles.

        Writes of the store that are late stay so.
        """
        for name in self._deployment.keyed_servers():
            self._deployment.order_server(name, ServerOrder(carries_out_pending=True))
        self._end_store_troubles()

    def _end_store_troubles(self) -> None:
        self._deployment.order_store(
            StoreOrder(unanswered_share=0.0, late_share=0.0, slowdown=1.0)
        )
        self._deployment.disruptions.end(STORE_WRITES)
