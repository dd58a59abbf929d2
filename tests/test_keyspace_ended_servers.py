"""Servers that have ended, as another server at their address shows, while listed."""

import pytest
from twisted.internet.task import Clock

from tests.builders_keyspace import (
    SERVICE,
    SHARDS,
    GrantingServer,
    Servers,
    candidate,
    holder,
)
from tests.builders_keyspace_hosts import LeadingHost, SimpleStore, run_hosts

SERVED_AGAIN_S = 1.0
CHECKED_SHARDS = range(0, SHARDS, 7)


def leader_of(count: int) -> LeadingHost:
    """Return a leader that has granted the shards of some servers."""
    clock = Clock()
    clock.advance(100.0)
    numbers = range(1, count + 1)
    leader = LeadingHost(
        name="a", store=SimpleStore(clock), servers=Servers(clock, *numbers)
    )
    leader.planner.set_candidates(SERVICE, [candidate(number) for number in numbers])
    run_hosts(clock, 5.0, leader)
    assert all(leader.servers.holders(shard) for shard in CHECKED_SHARDS)
    return leader


def end_servers(leader: LeadingHost, *numbers: int) -> None:
    """Replace servers at their addresses; their entries stay."""
    clock = leader.store.clock
    for number in numbers:
        leader.servers.by_address[holder(number).address] = GrantingServer(
            clock=clock, id=f"next-{number}"
        )


def test_leader_that_reaches_the_successors_of_most_servers_is_not_isolated() -> None:
    """Guards against leaders that resign in turn while ended servers stay listed."""
    leader = leader_of(4)
    isolations: list[None] = []
    leader.planner.on_isolated = lambda: isolations.append(None)
    end_servers(leader, 2, 3, 4)
    run_hosts(leader.store.clock, 4.0, leader)
    assert not isolations


def test_leader_that_reaches_few_servers_is_isolated() -> None:
    """Guards against a host without links to the servers that goes on leading."""
    leader = leader_of(4)
    isolations: list[None] = []
    leader.planner.on_isolated = lambda: isolations.append(None)
    for number in (2, 3, 4):
        leader.servers[number].is_unreachable = True
    run_hosts(leader.store.clock, 4.0, leader)
    assert isolations


@pytest.mark.parametrize("ended", [4, 7], ids=["less-than-half", "most"])
def test_shards_of_ended_servers_are_served_again_within_a_second(ended: int) -> None:
    """Guards against shards without a holder until other shards have warmed up."""
    leader = leader_of(9)
    end_servers(leader, *range(1, ended + 1))
    run_hosts(leader.store.clock, SERVED_AGAIN_S, leader)
    unserved = [shard for shard in CHECKED_SHARDS if not leader.servers.holders(shard)]
    assert not unserved
