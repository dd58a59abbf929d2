"""Servers that do not answer while the leader may send no further orders."""

from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Holder, Span
from gentianwharf.keyspace._timing import LEADER_LEASE_S, UNREACHABLE_S
from tests.builders_keyspace import SERVICE, TIMING, run_manager, table
from tests.builders_lives import Addresses, OrderSender


class _Fleet:
    """One server, and a leader that has lost contact with the store."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.addresses = Addresses(self.clock)
        self.holder: Holder = self.addresses.start("s1", "10.0.0.1:80", born_ms=1)
        self.manager = GrantManager(
            orders=OrderSender(self.addresses), timing=TIMING, now_s=self.clock.seconds
        )
        self.manager.take_over(self.clock.seconds(), held_s=0.0)
        span = Span(first=0, last=9, holder=self.holder, token=1)
        self.manager.follow(table(span, highest_token=1))
        self.run(1.0)
        self.run(LEADER_LEASE_S + 0.1, store_contact=False)

    def run(self, duration_s: float, *, store_contact: bool = True) -> None:
        """Run the leader's grant manager."""
        run_manager(self.manager, self.clock, duration_s, store_contact=store_contact)


def _leave_one_order_unanswered(fleet: _Fleet) -> None:
    """Let one order time out, so that the leader's connection is closed."""
    server = fleet.addresses.running[fleet.holder.address]
    server.is_silent = True
    fleet.run(1.0, store_contact=False)
    server.is_silent = False


def test_time_without_orders_is_no_silence_of_a_server_that_failed_once() -> None:
    """Guards against moving the keys of a server that could not be sent an order."""
    fleet = _Fleet()
    _leave_one_order_unanswered(fleet)
    fleet.run(UNREACHABLE_S, store_contact=False)
    # The store answers again, and holders are evaluated before the next order is sent.
    fleet.manager.note_store_contact(fleet.clock.seconds())
    assert fleet.manager.holders.unreachable() == frozenset()


def test_time_without_any_order_is_no_silence_of_a_server_that_failed_once() -> None:
    """Guards against moving the keys of a server after a longer outage of the store."""
    fleet = _Fleet()
    _leave_one_order_unanswered(fleet)
    fleet.run(TIMING.renew_without_store_s, store_contact=False)
    fleet.manager.note_store_contact(fleet.clock.seconds())
    assert fleet.manager.holders.unreachable() == frozenset()


def test_server_that_stays_silent_is_lost_once_orders_may_be_sent_again() -> None:
    """Guards against a lost server that goes undetected after an outage."""
    fleet = _Fleet()
    fleet.addresses.running[fleet.holder.address].is_silent = True
    fleet.run(2.0, store_contact=False)
    fleet.run(UNREACHABLE_S + 0.5)
    assert fleet.manager.holders.unreachable() == {fleet.holder}


def test_withheld_releases_are_no_silence_of_a_former_holder() -> None:
    """Guards against a former holder counted as lost although no order was sent."""
    fleet = _Fleet()
    second = fleet.addresses.start("s2", "10.0.0.2:80", born_ms=1)
    fleet.manager.note_store_contact(fleet.clock.seconds())
    fleet.manager.announce_wait_s = 10.0
    move = Span(first=0, last=9, holder=second, token=2, former_holders=(fleet.holder,))
    fleet.manager.follow(table(move, highest_token=2))
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.addresses.end(fleet.holder.address)
    fleet.addresses.start("s1", fleet.holder.address, born_ms=2)
    fleet.manager.note_announced(SERVICE, 2)
    fleet.run(UNREACHABLE_S + 0.5, store_contact=False)
    fleet.manager.note_store_contact(fleet.clock.seconds())
    assert fleet.manager.holders.unreachable() == frozenset()
    assert fleet.addresses.holders(0) == []
    fleet.run(0.5)
    assert fleet.addresses.holders(0) == [second]
