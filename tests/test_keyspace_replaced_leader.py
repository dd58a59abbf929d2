"""Orders of a leader that another host may have replaced."""

from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Release, Span
from gentianwharf.keyspace._timing import RENEW_EVERY_S, RENEW_WITHOUT_STORE_S
from tests.builders_keyspace import (
    TIMING,
    Servers,
    manager_of,
    run_manager,
    span,
    table,
)
from tests.builders_lives import Addresses, OrderSender

PAUSE_S = 4.0
"""Longer than a grant lasts."""


def test_no_grant_follows_a_release_that_ends_too_late_without_the_store() -> None:
    """Guards against a grant that the next leader does not wait for.

    The next leader assumes that the leader before it sent its last grant within the
    time for which it may renew without the store. The last release of a span that moved
    several times may be answered after it.
    """
    clock = Clock()
    former = (1, 2, 3, 4, 5)
    servers = Servers(clock, *former, 6)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    for number in former:
        servers[number].release_takes_s = 0.75
    run_manager(manager, clock, 1.0, store_contact=False)
    manager.follow(table(span(0, 9, 6, token=2, former_holders=former)))
    run_manager(manager, clock, 5.0, store_contact=False)
    assert servers[5].orders[-1] == Release(first=0, last=9, token=2)
    assert servers[6].orders == []


def test_no_queued_grant_is_sent_too_late_without_the_store() -> None:
    """Guards against grants that the next leader does not wait for.

    Grants to a holder are sent one at a time, so the last one of a slow holder with
    many spans would be sent seconds after the first.
    """
    clock = Clock()
    addresses = Addresses(clock)
    slow = addresses.start("s1", "10.0.0.1:80")
    addresses.running[slow.address].answer_s = 0.3
    spans = [Span(first=n, last=n, holder=slow, token=1) for n in range(12)]
    manager = GrantManager(
        orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds
    )
    manager.take_over(clock.seconds(), held_s=0.0)
    manager.follow(table(*spans))
    run_manager(manager, clock, 5.0)
    run_manager(manager, clock, RENEW_WITHOUT_STORE_S + 0.5, store_contact=False)
    assert addresses.running[slow.address].granting == 0


def test_leader_that_may_be_replaced_does_not_act_on_a_table() -> None:
    """Guards against moving by the table of the next leader.

    A host that was cut off from the store may receive the next leader's table before
    that leader's item. It does not know the grants that the next leader sent to the
    former holder, and must not grant the span by its own.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 16.0)
    servers[1].is_unreachable = True
    run_manager(manager, clock, 3.0, store_contact=False)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 1.0, store_contact=False)
    assert servers[2].orders == []
    run_manager(manager, clock, 0.1)
    assert servers[2].holds(5)


def test_grant_that_a_pause_delays_holds_until_its_call_has_ended() -> None:
    """Guards against a grant that is written after its time to arrive has passed.

    A paused leader resumes with the grant unwritten and its timer not yet handled.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.take_over(clock.seconds(), held_s=0.0)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    servers.is_sender_paused = True
    run_manager(manager, clock, RENEW_EVERY_S)
    clock.advance(PAUSE_S)
    servers.is_sender_paused = False
    servers[1].is_unreachable = True
    manager.note_store_contact(clock.seconds())
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    manager.tick()
    servers.resume_sender()
    assert not servers[2].holds(5)
    servers.time_out_calls()
    manager.tick()
    assert not servers[2].holds(5)
    run_manager(manager, clock, 5.0, check=lambda: check_one_holder(servers))
    assert servers[2].holds(5)


def check_one_holder(servers: Servers) -> None:
    assert len(servers.holders(5)) <= 1
