"""Ends leaders' leases early, or removes their items while they renew them."""

from enum import StrEnum
from random import Random
from typing import final

from gentianwharf.platform.standin import Revoked, StoreOrder

from ._deployment import Deployment
from ._late_orders import BETWEEN_LEADERS_S, LOOK_EVERY_S
from ._proxy import LinkFault
from ._schedule import Schedule

SPAN_S = (1.0, 8.0)
REVOKE_AFTER_S = ((0.0, 0.0), (0.0, 1.0))
"""From the loss of contact; a leader's lease runs out by itself after 1.2 s."""

AGAIN_WITHIN_S = 2.5
CUT_FROM_HOSTS_PROBABILITY = 0.4


class Contact(StrEnum):
    """How a leader reaches the store meanwhile."""

    KEPT = "in touch"
    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"
    TURNED_AWAY = "turned away"


LINK_FAULTS = {
    Contact.SILENT: LinkFault.SILENCE,
    Contact.REFUSED: LinkFault.REFUSE,
    Contact.RESET: LinkFault.RESET,
}


class Repeat(StrEnum):
    """What follows in the same span."""

    ONCE = "once"
    TWICE = "twice"
    NEXT_LEADER = "again at the next leader"


@final
class EarlyLeases:
    """Takes leases or items away from leaders, with or without contact."""

    def __init__(
        self, *, deployment: Deployment, schedule: Schedule, rng: Random
    ) -> None:
        self._deployment = deployment
        self._schedule = schedule
        self._rng = rng
        self._former: str | None = None
        """The leader whose successor is to be disturbed as well, if any."""

    def begin(self, leader: str) -> float:
        """Disturb a leader, and in a part of the spans once more or the next one."""
        repeat = self._rng.choice(list(Repeat))
        span_s = self._rng.uniform(*SPAN_S)
        self._schedule.record(f"a span of {span_s:.2f} s, {repeat}")
        self._disturb(leader)
        if repeat is Repeat.TWICE:
            again_s = self._rng.uniform(0.0, AGAIN_WITHIN_S)
            revoked = self._rng.choice(list(Revoked))
            self._schedule.call_later(again_s, self._revoke, leader, revoked)
        elif repeat is Repeat.NEXT_LEADER:
            self._former = leader
            self._disturb_next()
        return span_s

    def _disturb(self, leader: str) -> None:
        rng, deployment = self._rng, self._deployment
        contact, revoked = rng.choice(list(Contact)), rng.choice(list(Revoked))
        after_s = rng.uniform(*rng.choice(REVOKE_AFTER_S))
        is_cut_from_hosts = rng.random() < CUT_FROM_HOSTS_PROBABILITY
        self._schedule.record(
            f"leader {leader} is {contact}, {revoked} revoked in {after_s:.2f} s,"
            f" {'without' if is_cut_from_hosts else 'with'} links to other hosts"
        )
        if contact is Contact.TURNED_AWAY:
            deployment.turn_away(leader)
        if is_cut_from_hosts or contact in LINK_FAULTS:
            fault = LINK_FAULTS.get(contact)
            deployment.links.cut_off(leader, fault, from_hosts=is_cut_from_hosts)
        self._schedule.call_later(after_s, self._revoke, leader, revoked)

    def _revoke(self, host: str, revoked: Revoked) -> None:
        self._schedule.record(f"{revoked} of {host} are revoked")
        address = self._deployment.links.store_address(host)
        self._deployment.order_store(StoreOrder(revokes=revoked, addresses=(address,)))

    def _disturb_next(self) -> None:
        """Disturb whoever leads after the former leader, soon after it began."""
        leader = self._deployment.leader()
        if self._former is None:
            return
        if leader in (None, self._former):
            self._schedule.call_later(LOOK_EVERY_S, self._disturb_next)
            return
        self._former = None
        after_s = self._rng.uniform(*self._rng.choice(BETWEEN_LEADERS_S))
        self._schedule.call_later(after_s, self._disturb, leader)

    def end(self) -> None:
        """Restore all ways to the store and between hosts."""
        self._former = None
        self._deployment.links.end_cuts_off()
        self._deployment.end_turning_away()
