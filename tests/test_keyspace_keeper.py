"""Tests of ``GrantManager``: no shard has two holders, whatever fails."""

import logbook
from twisted.internet.task import Clock

from gentianwharf.keyspace import Release
from gentianwharf.keyspace._grant_manager import MAX_ORDERS_IN_FLIGHT
from tests.builders_keyspace import (
    GrantingServer,
    Servers,
    holder,
    manager_of,
    run_manager,
    span,
    table,
)


def test_grants_are_renewed_before_they_run_out() -> None:
    clock = Clock()
    servers = Servers(clock, 1)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 0.1)
    run_manager(manager, clock, 20.0, check=lambda: _assert_holds(servers[1], 5))


def _assert_holds(server: GrantingServer, shard: int) -> None:
    assert server.holds(shard)


def test_move_waits_for_the_work_on_its_shards() -> None:
    """The next holder is granted a shard only after the work on it has finished.

    A former holder still executes requests when it gets the release, and answers when
    they have ended. Granted earlier, two servers would change the same record at a
    time.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].release_takes_s = 0.5
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 0.4)
    assert not servers[2].holds(5)
    run_manager(manager, clock, 0.4)
    assert servers[2].holds(5)


def test_finished_move_is_known_as_long_as_the_table_lists_it() -> None:
    """Guards against notices that are repeated for ever, or not at all."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].release_takes_s = 0.5
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    moved = span(0, 9, 2, token=2, former_holders=(1,))
    manager.follow(table(moved))
    run_manager(manager, clock, 0.4)
    assert manager.granted_moves() == []
    run_manager(manager, clock, 0.4)
    assert manager.granted_moves() == [("roster", moved)]
    manager.follow(table(span(0, 9, 2, token=2)))
    assert manager.granted_moves() == []


def test_handover_goes_to_the_next_holder() -> None:
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 0.2)
    assert servers[2].orders[0].handover == "handover of 10.0.0.1:80"  # type: ignore[union-attr]


def test_silent_holder_is_waited_out() -> None:
    """A former holder that does not answer keeps the shard until its grant expires.

    It is cut off from the leader, but not from callers, and goes on until its last
    grant has expired by its own clock, which is 2 % slow. Until then no other server
    may hold the shard.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].drift = 1.02
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    # By then all grants of an earlier leader have expired.
    run_manager(manager, clock, 16.0)
    servers[1].is_silent = True
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 8.0, check=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)


def _assert_one(servers: Servers, shard: int) -> None:
    assert len(servers.holders(shard)) <= 1


def test_new_leader_waits_for_grants_of_an_earlier_leader() -> None:
    """The leader is lost together with a server, and the server comes back.

    The new leader does not have the times of the last renewals. The earlier leader may
    have renewed without the store for a while, for the longest duration that servers
    accept.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].is_silent = True
    manager = manager_of(servers, led_for_s=0.0)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 16.0)
    assert not servers[2].holds(5)
    run_manager(manager, clock, 1.0)
    assert servers[2].holds(5)


def test_renewal_that_arrives_after_the_release_is_refused() -> None:
    """A renewal that is overtaken by the release must not give the keys back."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 0.1)
    late = servers[1].orders[0]
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 0.2)
    try:
        servers[1].apply_grant(late)  # type: ignore[arg-type]
    except Exception as error:
        assert "higher token" in str(error)
    assert servers.holders(5) == ["10.0.0.2:80"]


def test_leader_without_the_store_stops_renewing_in_time() -> None:
    """A leader that is cut off from the store must not renew grants for ever.

    Another host leads by then, and waits until the last of these grants has expired.
    """
    clock = Clock()
    servers = Servers(clock, 1)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    run_manager(manager, clock, 20.0, store_contact=False)
    assert not servers[1].holds(5)
    renewals = len(servers[1].orders)
    run_manager(manager, clock, 5.0, store_contact=False)
    assert len(servers[1].orders) == renewals


def test_grants_bridge_an_outage_of_the_store() -> None:
    """Keys stay served while the store is down for ten seconds."""
    clock = Clock()
    servers = Servers(clock, 1)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 3.0)
    run_manager(
        manager,
        clock,
        12.0,
        store_contact=False,
        check=lambda: _assert_holds(servers[1], 5),
    )


def test_grants_of_an_unreachable_server_expire() -> None:
    """Guards against keys that are not served for seconds after a domain is cut off.

    Each attempt to renew a grant counted as if it had arrived, so that the wait for the
    last grant started again with each, although no connection was made.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 16.0)
    servers[1].is_unreachable = True
    run_manager(manager, clock, 3.0)
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 1.0, check=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)


def test_restarted_server_is_not_waited_for() -> None:
    """A server was restarted under its id, and answers for its former instance."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    servers.by_address[holder(1).address] = GrantingServer(clock=clock, id="s1")
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    manager.note_listed([holder(1, born_ms=2)])
    run_manager(manager, clock, 0.2)
    assert servers[2].holds(5)


def test_server_whose_address_was_reassigned_is_not_waited_for() -> None:
    """Guards against a wait for a grant that no server has any more.

    The machine of a lost server was assigned to a server of another service, which
    answers that it is not the intended one: the first server and its grant have ended.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    servers.by_address[holder(1).address] = GrantingServer(clock=clock, id="other")
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 0.2)
    assert servers[2].holds(5)


def test_successor_at_an_address_gets_no_grant_of_the_ended_server() -> None:
    """Guards against two servers that hold the same keys under the same token.

    A server ends, and another one starts at its address before its entry expires. The
    renewal for the first server would reach the second one.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 16.0)
    successor = GrantingServer(clock=clock, id="s9")
    servers.by_address[holder(1).address] = successor
    run_manager(manager, clock, 2.0)
    assert not successor.orders
    assert manager.holders.unreachable() == {holder(1)}
    # The first server has ended, so its grant is not waited for.
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 0.5)
    assert servers[2].holds(5)


def test_grant_without_an_answer_is_sent_again() -> None:
    clock = Clock()
    servers = Servers(clock, 1)
    servers[1].is_silent = True
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 0.3)
    servers[1].is_silent = False
    run_manager(manager, clock, 1.0)
    assert servers[1].holds(5)


def test_holder_that_answers_nothing_is_unreachable_until_it_answers() -> None:
    """A server that is cut off counts as unreachable before its entry expires.

    The entry expires only after three missed heartbeats, which would leave its keys
    unserved for a second longer. Once the server can be reached again, it has to be
    probed, or it would never get keys again.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.note_listed([holder(1), holder(2)])
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 16.0)
    assert not manager.holders.unreachable()
    servers[1].is_unreachable = True
    run_manager(manager, clock, 2.0)
    assert manager.holders.unreachable() == {holder(1)}
    manager.follow(table(span(0, 9, 2, token=2, former_holders=(1,))))
    run_manager(manager, clock, 2.0, check=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)
    servers[1].is_unreachable = False
    run_manager(manager, clock, 1.0)
    assert not manager.holders.unreachable()


def test_host_that_no_longer_leads_sends_no_orders() -> None:
    clock = Clock()
    servers = Servers(clock, 1)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.stop()
    orders = len(servers[1].orders)
    run_manager(manager, clock, 5.0)
    assert len(servers[1].orders) == orders


def test_lasting_refusal_is_logged_once() -> None:
    """A refusal that is repeated with each retry must not flood the log."""
    clock = Clock()
    servers = Servers(clock, 1)
    servers[1].tokens = dict.fromkeys(range(10), 9)
    manager = manager_of(servers)
    with logbook.TestHandler(level="INFO") as handler:
        manager.follow(table(span(0, 9, 1)))
        run_manager(manager, clock, 10.0)
    refused = [
        record for record in handler.records if record.message == "grant refused"
    ]
    assert len(refused) == 1
    assert len(servers[1].orders) > 10


def test_new_leader_of_many_servers_limits_orders_in_flight() -> None:
    """A host with 0.4 of a core becomes the leader of 85 servers.

    It sent 300 grants at once, which took it longer than the timeout of an answer:
    every server appeared to be unreachable, the host gave up the leadership, and the
    next leader did the same.
    """
    clock = Clock()
    servers = Servers(clock, *range(1, 86))
    manager = manager_of(servers)
    spans = [span(3 * n, 3 * n + 2, 1 + n % 85) for n in range(300)]
    for number in range(1, 86):
        servers[number].late_s = 0.01
    manager.follow(table(*spans))
    manager.note_store_contact(clock.seconds())
    manager.tick()
    assert (
        sum(len(servers[number].orders) for number in range(1, 86))
        <= MAX_ORDERS_IN_FLIGHT
    )


def test_unanswered_orders_do_not_delay_other_servers() -> None:
    """A failure domain with a third of the servers is lost at once."""
    clock = Clock()
    servers = Servers(clock, *range(1, 86))
    manager = manager_of(servers)
    spans = [span(3 * n, 3 * n + 2, 1 + n % 85) for n in range(300)]
    manager.follow(table(*spans))
    run_manager(manager, clock, 3.0)
    for number in range(1, 30):
        servers[number].is_silent = True
    run_manager(manager, clock, 1.0)

    def check() -> None:
        for granted in spans[40:85]:
            assert servers.by_address[granted.holder.address].holds(granted.first)

    run_manager(manager, clock, 10.0, check=check)


def test_server_that_answers_again_gets_all_its_shards_back() -> None:
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    spans = [span(10 * n, 10 * n + 9, 1 + n % 2) for n in range(20)]
    manager.follow(table(*spans))
    run_manager(manager, clock, 1.0)
    servers[1].is_silent = True
    run_manager(manager, clock, 5.0)
    servers[1].is_silent = False
    run_manager(manager, clock, 5.0)
    assert all(servers[1].holds(granted.first) for granted in spans[::2])


def test_each_of_several_former_holders_gets_one_release() -> None:
    """Guards against orders of one span that multiply with its former holders.

    The end of one release ended the record of the next one, so that each tick after it
    sent another.
    """
    clock = Clock()
    former = (1, 2, 3, 4)
    servers = Servers(clock, *former, 5)
    manager = manager_of(servers)
    for number in former:
        servers[number].release_takes_s = 0.3
    manager.follow(table(span(0, 9, 5, token=2, former_holders=former)))
    run_manager(manager, clock, 1.6)
    release = Release(first=0, last=9, token=2)
    assert [servers[number].orders for number in former] == [[release]] * len(former)
    assert len(servers[5].orders) == 1
