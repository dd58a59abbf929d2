"""Orders of outdated tables that still wait for a connection."""

import pytest

from gentianwharf.keyspace import Span
from tests.builders_restarts import SHARD, RestartingServers, whole_span

CONNECT_S = 0.3


@pytest.mark.parametrize("moved_keys", [(0, 9), (5, 5)], ids=["whole-span", "part"])
def test_renewal_that_waits_for_a_connection_is_not_sent_after_a_move(
    moved_keys: tuple[int, int],
) -> None:
    """Guards against a renewal from an older table at a restarted server."""
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
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
    fleet = RestartingServers()
    fleet.follow(whole_span(fleet.first, token=1))
    fleet.run(0.4)
    fleet.restart(fleet.first)
    fleet.sender.connect_duration_s = CONNECT_S
    fleet.follow(whole_span(fleet.second, token=2, former=fleet.first))
    fleet.sender.connect_duration_s = 0.0
    fleet.follow(whole_span(fleet.first, token=3, former=fleet.second))
    for _ in range(10):
        assert [holder.born_ms for holder in fleet.addresses.holders(SHARD)] == [2]
        fleet.run(0.05)
