"""Servers that restart under their id and address, and lose their tokens and keys."""

from collections.abc import Callable

import pytest

from gentianwharf.keyspace._timing import LEADER_LEASE_S, UNREACHABLE_S
from tests.builders_keyspace import TIMING
from tests.builders_restarts import LONG_GRANT_S, SHARD, RestartingServers, whole_span


def pause_leader(fleet: RestartingServers) -> None:
    fleet.clock.advance(2.0)


def send_refused_renewals(fleet: RestartingServers) -> None:
    fleet.run(1.0, store_contact=False)


@pytest.mark.parametrize("before_restart", [send_refused_renewals, pause_leader])
def test_replaced_leader_does_not_renew_at_a_restarted_server(
    before_restart: Callable[[RestartingServers], None],
) -> None:
    """Guards against a renewal that is accepted by a server that lost its tokens."""
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.move_as_next_leader()
    before_restart(fleet)
    fleet.restart(fleet.first)
    fleet.run(3.0, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_grant_that_waits_for_its_connection_is_not_sent_after_the_release() -> None:
    """Guards against a restarted server that accepts a grant for released shards.

    The release was answered by the previous process.
    """
    fleet = RestartingServers()
    fleet.sender.connect_duration_s = 0.2
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(0.1)
    fleet.sender.connect_duration_s = 0.0
    fleet.follow(whole_span(fleet.second, token=2, former=fleet.first))
    fleet.run(0.05)
    assert fleet.addresses.holders(SHARD) == [fleet.second]
    fleet.restart(fleet.first)
    fleet.run(1.0)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_leader_without_the_store_renews_on_open_connections() -> None:
    """Guards against grants that expire while the store is unavailable."""
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run(TIMING.renew_without_store_s + LONG_GRANT_S - 1.0, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.first]


@pytest.mark.parametrize("outage_after_s", [1.0, 1.1, 1.2, 1.3, 1.4])
def test_keys_stay_held_if_connections_close_while_the_store_is_away(
    outage_after_s: float,
) -> None:
    """Guards against grants that expire early because connections were closed.

    The leader sends no order on a new connection once another host may lead.
    """
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(outage_after_s)
    fleet.run(LEADER_LEASE_S + 0.05, store_contact=False)
    fleet.sender.close_connections()
    fleet.run(LONG_GRANT_S - LEADER_LEASE_S, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.first]


def test_server_with_an_id_for_each_start_is_renewed_on_new_connections() -> None:
    """Guards against keys without a holder after resets in a long outage.

    The next server at the address has another id, and refuses the renewal.
    """
    fleet = RestartingServers(keeps_ids=False)
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.sender.close_connections()
    fleet.run(
        TIMING.renew_without_store_s + LONG_GRANT_S - LEADER_LEASE_S - 1.0,
        store_contact=False,
    )
    assert fleet.addresses.holders(SHARD) == [fleet.first]


def test_replaced_leader_does_not_renew_at_the_next_server_at_an_address() -> None:
    """Guards against renewals that a server accepts for one with another id."""
    fleet = RestartingServers(keeps_ids=False)
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.move_as_next_leader()
    fleet.addresses.end(fleet.first.address)
    fleet.addresses.start("s3", fleet.first.address)
    fleet.run(3.0, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_withheld_renewals_do_not_count_as_silence_of_the_server() -> None:
    """Guards against moving keys from a server that was sent no orders."""
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.restart(fleet.first)
    fleet.run(UNREACHABLE_S + 0.5, store_contact=False)
    assert fleet.addresses.holders(SHARD) == []
    fleet.manager.note_store_contact(fleet.clock.seconds())
    assert fleet.manager.holders.unreachable() == frozenset()
    fleet.run(0.5)
    assert [holder.born_ms for holder in fleet.addresses.holders(SHARD)] == [2]
