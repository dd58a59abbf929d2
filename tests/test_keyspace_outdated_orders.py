"""Orders of outdated tables that wait for a connection."""

from typing import final

import pytest
from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager, Holder, Span
from tests.builders_keyspace import TIMING, run_manager, table
from tests.builders_lives import Addresses, OrderSender

SHARD = 5
CONNECT_S = 0.3


@final
class Fleet:
    """Two servers, and the grant manager of a leader with a valid lease."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.addresses = Addresses(self.clock)
        self.first, self.second = (
            self.addresses.start(f"s{number}", f"10.0.0.{number}:80", born_ms=1)
            for number in (1, 2)
        )
        self.sender = OrderSender(self.addresses)
        self.manager = GrantManager(
            orders=self.sender, timing=TIMING, now_s=self.clock.seconds
        )
        self.manager.take_over(self.clock.seconds(), held_s=0.0)

    def follow(self, *spans: Span) -> None:
        """Let the leader apply a table."""
        highest_token = max(span.token for span in spans)
        self.manager.follow(table(*spans, highest_token=highest_token))

    def run(self, duration_s: float) -> None:
        """Run the leader's grant manager; check that no two servers hold the shard."""
        run_manager(self.manager, self.clock, duration_s, check=self.check)
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


@pytest.mark.parametrize("moved_keys", [(0, 9), (5, 5)], ids=["whole-span", "part"])
def test_renewal_that_waits_for_a_connection_is_not_sent_after_a_move(
    moved_keys: tuple[int, int],
) -> None:
    """Guards against a renewal from an older table at a restarted server."""
    fleet = Fleet()
    fleet.follow(Span(first=0, last=9, holder=fleet.first, token=1))
    fleet.run(0.4)
    # The connection for the renewal opens later than the one for the release.
    fleet.restart(fleet.first)
    fleet.sender.connect_duration_s = CONNECT_S
    fleet.run(0.2)
    fleet.sender.connect_duration_s = 0.0
    first, last = moved_keys
    remaining = [
        Span(first=start, last=end, holder=fleet.first, token=1)
        for start, end in ((0, first - 1), (last + 1, 9))
        if start <= end
    ]
    move = Span(
        first=first,
        last=last,
        holder=fleet.second,
        token=2,
        former_holders=(fleet.first,),
    )
    fleet.follow(*sorted([*remaining, move], key=lambda span: span.first))
    assert fleet.addresses.holders(SHARD) == [fleet.second]
    fleet.restart(fleet.first)
    fleet.run(1.0)
    assert fleet.addresses.holders(SHARD) == [fleet.second]


def test_release_that_waits_for_a_connection_is_not_sent_after_a_move_back() -> None:
    """Guards against a release from an older table that withdraws granted keys."""
    fleet = Fleet()
    fleet.follow(Span(first=0, last=9, holder=fleet.first, token=1))
    fleet.run(0.4)
    fleet.restart(fleet.first)
    fleet.sender.connect_duration_s = CONNECT_S
    fleet.follow(
        Span(
            first=0,
            last=9,
            holder=fleet.second,
            token=2,
            former_holders=(fleet.first,),
        )
    )
    fleet.sender.connect_duration_s = 0.0
    fleet.follow(
        Span(
            first=0,
            last=9,
            holder=fleet.first,
            token=3,
            former_holders=(fleet.second,),
        )
    )
    for _ in range(10):
        assert [holder.born_ms for holder in fleet.addresses.holders(SHARD)] == [2]
        fleet.run(0.05)
