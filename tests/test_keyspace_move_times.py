"""How long a move keeps its keys unserved, apart from the work that is running."""

from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from gentianwharf.keyspace import Grant, GrantManager, KeyTable, Release, Span
from gentianwharf.keyspace._grant_manager import MAX_ORDERS_IN_FLIGHT
from tests.builders_keyspace import (
    SERVICE,
    TIMING,
    Servers,
    holder,
    manager_of,
    run_manager,
    span,
    table,
)
from tests.builders_lives import Addresses, OrderSender, WorkingServers

ANSWER_S = 0.02
SPANS = 12
STEP_S = 0.001


def test_move_begins_and_ends_without_a_tick() -> None:
    """Guards against keys that are unserved until the next tick, up to 50 ms."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    assert servers.holders(5) == [span(0, 9, 2).holder.address]


def test_host_that_may_have_been_replaced_starts_no_move() -> None:
    """Guards against orders that a table triggers outside of the ticks."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    clock.advance(TIMING.renew_without_store_s + 0.1)
    orders = len(servers[1].orders)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    assert len(servers[1].orders) == orders
    assert servers[2].orders == []


def announcing_manager(servers: Servers) -> GrantManager:
    """Return a manager that waits for announcements, and has granted a span."""
    clock = servers.clock
    manager = GrantManager(orders=servers, timing=TIMING, now_s=clock.seconds)
    manager.announce_wait_s = 0.3
    manager.take_over(clock.seconds(), held_s=0.0)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    return manager


def test_release_waits_until_hosts_have_the_table() -> None:
    """Guards against requests that all hosts send to a holder that has released.

    The leader has the table when the store has written it. The other hosts get it with
    the leader's next watch, up to 50 ms later, and over the leader's link.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = announcing_manager(servers)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,)), highest_token=2))
    run_manager(manager, clock, 0.2)
    assert servers.holders(5) == [span(0, 9, 1).holder.address]
    manager.note_announced(SERVICE, 1)
    assert servers.holders(5) == [span(0, 9, 1).holder.address], "an older table"
    manager.note_announced(SERVICE, 2)
    assert servers.holders(5) == [span(0, 9, 2).holder.address]


def test_release_waits_a_limited_time_for_the_hosts() -> None:
    """Guards against moves that never begin if the leader's watch is not answered."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = announcing_manager(servers)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,)), highest_token=2))
    run_manager(manager, clock, 0.4)
    assert servers.holders(5) == [span(0, 9, 2).holder.address]


def test_new_leader_releases_at_once() -> None:
    """Guards against a pause in moves that the former leader has announced."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    announcing_manager(servers).stop()
    manager = GrantManager(orders=servers, timing=TIMING, now_s=clock.seconds)
    manager.announce_wait_s = 0.3
    manager.take_over(clock.seconds())
    former = replace(holder(1), born_ms=0)
    moved = replace(span(0, 9, 2, token=2), former_holders=(former,))
    manager.follow(table(moved, highest_token=2))
    assert servers.holders(5) == [span(0, 9, 2).holder.address]


def test_releases_that_wait_for_work_do_not_delay_others() -> None:
    """Guards against moves that wait for the work on the keys of other moves.

    A domain of 46 servers was evacuated, and its releases were limited to 64 at a time,
    each of which lasted as long as the work that was running.
    """
    clock = Clock()
    count = 2 * MAX_ORDERS_IN_FLIGHT
    servers = Servers(clock, *range(1, count + 2))
    manager = manager_of(servers)
    spans = [span(n, n, n) for n in range(1, count + 1)]
    manager.follow(table(*spans))
    run_manager(manager, clock, 2.0)
    for number in range(1, count + 1):
        servers[number].release_takes_s = 0.6
    moved = [
        span(n, n, count + 1, token=2, former_holders=(n,)) for n in range(1, count + 1)
    ]
    manager.follow(table(*moved))
    released = [
        any(isinstance(order, Release) for order in servers[number].orders)
        for number in range(1, count + 1)
    ]
    assert sum(released) <= MAX_ORDERS_IN_FLIGHT
    run_manager(manager, clock, 0.2)
    for number in range(1, count + 1):
        assert any(isinstance(order, Release) for order in servers[number].orders)


def test_first_grant_goes_before_renewals() -> None:
    """Guards against keys that wait for the renewals of a dozen other spans."""
    clock = Clock()
    addresses = Addresses(clock)
    former, holder = (addresses.start(f"s{n}", f"10.0.0.{n}:80") for n in (1, 2))
    manager = GrantManager(
        orders=OrderSender(addresses), timing=TIMING, now_s=clock.seconds
    )
    manager.take_over(clock.seconds())
    kept = [Span(first=n, last=n, holder=holder, token=1) for n in range(SPANS)]
    last = Span(first=SPANS, last=SPANS, holder=former, token=1)
    manager.follow(
        KeyTable(service=SERVICE, highest_token=1, spans=(*kept, last)),
    )
    run_manager(manager, clock, 1.0)
    addresses.running[holder.address].answer_s = ANSWER_S
    clock.advance(TIMING.renew_every_s)
    manager.note_store_contact(clock.seconds())
    manager.tick()
    moved = Span(
        first=SPANS, last=SPANS, holder=holder, token=2, former_holders=(former,)
    )
    manager.follow(KeyTable(service=SERVICE, highest_token=2, spans=(*kept, moved)))
    for _ in range(round(2 * ANSWER_S / STEP_S)):
        clock.advance(STEP_S)
    assert addresses.holders(SPANS) == [holder]


def test_first_grant_does_not_wait_for_the_orders_to_other_servers() -> None:
    """Guards against a released span that no server holds until the next tick."""
    clock = Clock()
    count = MAX_ORDERS_IN_FLIGHT + 20
    servers = Servers(clock, *range(1, count + 2))
    manager = manager_of(servers)
    spans = [span(n, n, n) for n in range(1, count + 1)]
    manager.follow(table(*spans))
    run_manager(manager, clock, 2.0)
    servers[1].release_takes_s = 0.01
    moved = span(1, 1, count + 1, token=2, former_holders=(1,))
    manager.follow(table(moved, *spans[1:]))
    for number in range(2, count + 1):
        # The grant is applied, but not answered.
        servers[number].loses_answers = True
    clock.advance(0.005)
    manager.note_store_contact(clock.seconds())
    manager.tick()
    clock.advance(0.006)
    assert any(isinstance(order, Grant) for order in servers[count + 1].orders)


@pytest.mark.parametrize("work_s", [1.0, 2.0, 3.5])
@pytest.mark.parametrize("servers", [4, 140])
def test_move_ends_soon_after_long_work(servers: int, work_s: float) -> None:
    """Guards against keys that are unserved although the work on them has ended.

    A release that waited for 0.8 s was repeated after a pause of 0.3 s.
    """
    working = WorkingServers(servers=servers, spans=4 * servers)
    working.run(5.0)
    working.move_first(work_s=work_s)
    working.run(work_s + 0.15)
    assert working.is_moved


@pytest.mark.parametrize("work_s", [2.0, 3.5, 6.0])
@pytest.mark.parametrize("servers", [4, 140])
def test_server_with_long_work_is_not_lost(servers: int, work_s: float) -> None:
    """Guards against moving all keys of a server that is only busy.

    An order without an answer counted from the time when it was sent, although the
    server had answered others since. A release that waited for 1.2 s of work made its
    holder count as unreachable, and all its other keys were moved too.
    """
    working = WorkingServers(servers=servers, spans=4 * servers)
    working.run(5.0)
    working.move_first(work_s=work_s)
    working.run(work_s + 1.0)
    assert working.ever_unreachable == set()


def test_server_that_is_silent_during_a_move_is_lost_soon() -> None:
    """Guards against keys that stay at a frozen server because of a move from it."""
    working = WorkingServers(servers=4, spans=16)
    working.run(5.0)
    working.move_first(work_s=9.0)
    working.first.is_silent = True
    working.run(2.3)
    assert working.ever_unreachable == {"s0"}
