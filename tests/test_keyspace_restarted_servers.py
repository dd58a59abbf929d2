"""Servers that restart under their id and address, and lose their tokens and keys."""

from collections.abc import Callable
from typing import final

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.keyspace import Grant, GrantManager, Holder, Release, Span
from gentianwharf.keyspace._timing import LEADER_LEASE_S, UNREACHABLE_S
from tests.builders_keyspace import TIMING, may_always_send, run_manager, table
from tests.builders_lives import Addresses, OrderSender

LONG_GRANT_S = 10.0
SHARD = 5


@final
class Fleet:
    """Two servers, a leader's grant manager, and the next leader's order sender."""

    def __init__(self, *, keeps_ids: bool = True) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.addresses = Addresses(self.clock)
        self.first, self.second = (
            self.addresses.start(
                f"s{number}", f"10.0.0.{number}:80", born_ms=int(keeps_ids)
            )
            for number in (1, 2)
        )
        self.sender = OrderSender(self.addresses)
        self.manager = GrantManager(
            orders=self.sender, timing=TIMING, now_s=self.clock.seconds
        )
        self.manager.take_over(self.clock.seconds(), held_s=0.0)
        self._next_leader = OrderSender(self.addresses)

    def follow(
        self, holder: Holder, *, token: int, former: Holder | None = None
    ) -> None:
        """Let the leader follow a table of one span."""
        formers = (former,) if former is not None else ()
        self.manager.follow(
            table(
                Span(
                    first=0, last=9, holder=holder, token=token, former_holders=formers
                ),
                highest_token=token,
            )
        )

    def run(self, duration_s: float, *, store_contact: bool = True) -> None:
        """Run the leader's grant manager; check that no two servers hold the shard."""
        run_manager(
            self.manager,
            self.clock,
            duration_s,
            check=self.check,
            store_contact=store_contact,
        )
        self.check()

    def check(self) -> None:
        holders = self.addresses.holders(SHARD)
        assert len(holders) <= 1, holders

    def restart(self, holder: Holder) -> None:
        """Restart a server under its id."""
        self.addresses.end(holder.address)
        self.addresses.start(
            holder.server_id, holder.address, born_ms=holder.born_ms + 1
        )

    def move_as_next_leader(self) -> None:
        """Release the shards at the first server and grant them to the second one."""
        release = Release(first=0, last=9, token=2)
        grant = Grant(first=0, last=9, token=2, duration_s=LONG_GRANT_S)
        sender, may_send = self._next_leader, may_always_send
        for order in (
            sender.release(self.first, release, timeout_s=1.0, may_send=may_send),
            sender.grant(self.second, grant, timeout_s=1.0, may_send=may_send),
        ):
            results: list[object] = []
            Deferred.fromCoroutine(order).addBoth(results.append)
            assert results in ([None], ["handover"])


def pause_leader(fleet: Fleet) -> None:
    fleet.clock.advance(2.0)


def send_refused_renewals(fleet: Fleet) -> None:
    fleet.run(1.0, store_contact=False)


@pytest.mark.parametrize("before_restart", [send_refused_renewals, pause_leader])
def test_replaced_leader_does_not_renew_at_a_restarted_server(
    before_restart: Callable[[Fleet], None],
) -> None:
    """Guards against a renewal that is accepted by a server that lost its tokens."""
    fleet = Fleet()
    fleet.follow(fleet.first, token=1)
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
    fleet = Fleet()
    fleet.sender.connect_duration_s = 0.2
    fleet.follow(fleet.first, token=1)
    fleet.run(0.1)
    fleet.sender.connect_duration_s = 0.0
    fleet.follow(fleet.second, token=2, former=fleet.first)
    fleet.run(0.05)
    assert fleet.addresses.holders(SHARD) == [fleet.second]
    fleet.restart(fleet.first)
    fleet.run(1.0)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_leader_without_the_store_renews_on_open_connections() -> None:
    """Guards against grants that expire while the store is unavailable."""
    fleet = Fleet()
    fleet.follow(fleet.first, token=1)
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
    fleet = Fleet()
    fleet.follow(fleet.first, token=1)
    fleet.run(outage_after_s)
    fleet.run(LEADER_LEASE_S + 0.05, store_contact=False)
    fleet.sender.close_connections()
    fleet.run(LONG_GRANT_S - LEADER_LEASE_S, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.first]


def test_server_with_an_id_for_each_start_is_renewed_on_new_connections() -> None:
    """Guards against keys without a holder after resets in a long outage.

    The next server at the address has another id, and refuses the renewal.
    """
    fleet = Fleet(keeps_ids=False)
    fleet.follow(fleet.first, token=1)
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
    fleet = Fleet(keeps_ids=False)
    fleet.follow(fleet.first, token=1)
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.move_as_next_leader()
    fleet.addresses.end(fleet.first.address)
    fleet.addresses.start("s3", fleet.first.address)
    fleet.run(3.0, store_contact=False)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_withheld_renewals_do_not_count_as_silence_of_the_server() -> None:
    """Guards against moving keys from a server that was sent no orders."""
    fleet = Fleet()
    fleet.follow(fleet.first, token=1)
    fleet.run(1.0)
    fleet.run(LEADER_LEASE_S + 0.1, store_contact=False)
    fleet.restart(fleet.first)
    fleet.run(UNREACHABLE_S + 0.5, store_contact=False)
    assert fleet.addresses.holders(SHARD) == []
    fleet.manager.note_store_contact(fleet.clock.seconds())
    assert fleet.manager.holders.unreachable() == frozenset()
    fleet.run(0.5)
    assert [holder.born_ms for holder in fleet.addresses.holders(SHARD)] == [2]
