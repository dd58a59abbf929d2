"""No shard has two holders, whatever becomes of orders and of those who give them."""

import logbook
from twisted.internet.task import Clock

from gentianwharf.keyspace._grant_manager import MOST_ORDERS
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
    run_manager(manager, clock, 20.0, look=lambda: _assert_holds(servers[1], 5))


def _assert_holds(server: GrantingServer, shard: int) -> None:
    assert server.holds(shard)


def test_move_waits_for_the_work_on_its_shards() -> None:
    """Two servers change one member's record at the same time.

    The former holder still works on the shard when it is told to release it; it
    answers when that work has ended. Only then may the next one be granted it.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].release_takes_s = 0.5
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 0.4)
    assert not servers[2].holds(5)
    run_manager(manager, clock, 0.4)
    assert servers[2].holds(5)


def test_handover_goes_to_the_next_holder() -> None:
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 0.2)
    assert servers[2].orders[0].handover == "handover of 10.0.0.1:80"  # type: ignore[union-attr]


def test_silent_holder_is_waited_out() -> None:
    """A dues posting runs on two servers, each of which thinks that it has the key.

    The holder is cut off from us, but not from others: it goes on until its last
    grant has run out by its own clock, which is two in a hundred slow.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].drift = 1.02
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    # Past the time in which an earlier leader's grants may still hold.
    run_manager(manager, clock, 16.0)
    servers[1].is_silent = True
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 8.0, look=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)


def _assert_one(servers: Servers, shard: int) -> None:
    assert len(servers.holders(shard)) <= 1


def test_new_leader_waits_for_what_an_earlier_one_may_have_granted() -> None:
    """The leader is lost together with a server, and the server comes back.

    The next leader knows nothing of the last renewals. The earlier one may go on
    renewing for a while without the store, for as long as servers take.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    servers[1].is_silent = True
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 15.0)
    assert not servers[2].holds(5)
    run_manager(manager, clock, 1.0)
    assert servers[2].holds(5)


def test_renewal_that_arrives_after_the_release_is_shut_out() -> None:
    """A renewal overtaken by the release gives the former holder its keys again."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 0.1)
    late = servers[1].orders[0]
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 0.2)
    try:
        servers[1].take_grant(late)  # type: ignore[arg-type]
    except Exception as error:
        assert "higher token" in str(error)
    assert servers.holders(5) == ["10.0.0.2:80"]


def test_leader_without_the_store_stops_renewing_in_time() -> None:
    """A leader that is cut off from the store renews grants for ever.

    Another host leads by now, and waits until the last of them has run out.
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
    """The store is away for ten seconds, and no key is served for most of them."""
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
        look=lambda: _assert_holds(servers[1], 5),
    )


def test_server_that_can_t_be_reached_runs_out_of_its_grants() -> None:
    """A failure domain is cut off, and its keys are served nowhere for seven seconds.

    Each try to renew a grant counted as if it had arrived, so that the wait for the
    last grant began anew with each, though no connection was made.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 16.0)
    servers[1].is_unreachable = True
    run_manager(manager, clock, 3.0)
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 1.0, look=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)


def test_server_that_was_born_again_is_not_waited_for() -> None:
    """A server was born again, and answers at its address for its former life."""
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    servers.by_address[holder(1).address] = GrantingServer(clock=clock, id="s1")
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    manager.note_listed([holder(1, born_ms=2)])
    run_manager(manager, clock, 0.2)
    assert servers[2].holds(5)


def test_server_whose_address_another_has_is_not_waited_for() -> None:
    """A lost server's keys wait for a grant that nobody has any more.

    Its machine was given to a server of another service, which answers that it is not
    the one that is meant: so the first one has ended, and its grant with it.
    """
    clock = Clock()
    servers = Servers(clock, 1, 2)
    manager = manager_of(servers)
    servers.by_address[holder(1).address] = GrantingServer(clock=clock, id="other")
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 0.2)
    assert servers[2].holds(5)


def test_address_of_an_ended_server_gets_no_grant_for_its_successor() -> None:
    """Two servers of one service have had the same keys under the same token.

    One ends and another starts at its address before its entry lapses. The renewal
    meant for the first one goes to the second.
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
    # The first one has ended, and nobody has to wait for its grant.
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
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
    """A server is cut off, and its keys are served again a second late.

    Its entry lapses only after three heartbeats. When the way is open again it must
    be asked for a sign of life, or it would never get keys any more.
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
    manager.follow(table(span(0, 9, 2, token=2, former=(1,))))
    run_manager(manager, clock, 2.0, look=lambda: _assert_one(servers, 5))
    assert servers[2].holds(5)
    servers[1].is_unreachable = False
    run_manager(manager, clock, 1.0)
    assert not manager.holders.unreachable()


def test_host_that_leads_no_more_gives_no_orders() -> None:
    clock = Clock()
    servers = Servers(clock, 1)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    run_manager(manager, clock, 1.0)
    manager.stop()
    orders = len(servers[1].orders)
    run_manager(manager, clock, 5.0)
    assert len(servers[1].orders) == orders


def test_refusal_that_lasts_is_one_line_in_the_log() -> None:
    """An on-call engineer looks for a cause among a thousand equal lines."""
    clock = Clock()
    servers = Servers(clock, 1)
    servers[1].tokens = dict.fromkeys(range(10), 9)
    manager = manager_of(servers)
    manager.follow(table(span(0, 9, 1)))
    with logbook.TestHandler(level="INFO") as handler:
        run_manager(manager, clock, 10.0)
    refused = [one for one in handler.records if one.message == "grant refused"]
    assert len(refused) == 1
    assert len(servers[1].orders) > 10


def test_new_leader_of_many_servers_gives_its_orders_in_turns() -> None:
    """A host with four tenths of a core takes the lead over 85 servers.

    It gave 300 grants at once, which took it longer than an answer may take: every
    server seemed out of reach, it gave the lead up, and so did the next one.
    """
    clock = Clock()
    servers = Servers(clock, *range(1, 86))
    manager = manager_of(servers)
    spans = [span(3 * n, 3 * n + 2, 1 + n % 85) for n in range(300)]
    for one in range(1, 86):
        servers[one].late_s = 0.01
    manager.follow(table(*spans))
    manager.note_store_contact(clock.seconds())
    manager.tick()
    assert sum(len(servers[one].orders) for one in range(1, 86)) <= MOST_ORDERS


def test_silent_servers_do_not_hold_up_the_others() -> None:
    """A failure domain with a third of the servers is lost at once."""
    clock = Clock()
    servers = Servers(clock, *range(1, 86))
    manager = manager_of(servers)
    spans = [span(3 * n, 3 * n + 2, 1 + n % 85) for n in range(300)]
    manager.follow(table(*spans))
    run_manager(manager, clock, 3.0)
    for one in range(1, 30):
        servers[one].is_silent = True
    run_manager(manager, clock, 1.0)

    def look() -> None:
        for one in spans[40:85]:
            assert servers.by_address[one.holder.address].holds(one.first)

    run_manager(manager, clock, 10.0, look=look)


def test_silent_server_that_answers_again_gets_all_its_shards_back() -> None:
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
    assert all(servers[1].holds(one.first) for one in spans[::2])
