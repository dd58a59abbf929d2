"""In large domains updates are forwarded down a tree and reach every host."""

from collections import Counter

import pytest

from gentianwharf.ownership import OwnershipSystem
from gentianwharf.ownership._fanout import DIRECT_HOSTS, Fanout
from tests.builders_ownership import SERVICE, World

HOSTS_A_DOMAIN = DIRECT_HOSTS + 1


def fanout(system: OwnershipSystem) -> Fanout:
    return system._fanout


@pytest.fixture(scope="module")
def world() -> World:
    world = World(hosts_a_domain=HOSTS_A_DOMAIN, servers_a_domain=1, shards=4)
    world.settle()
    world.advance(2.0, 0.05)
    return world


def test_every_host_of_a_domain_hears_from_one_other(world: World) -> None:
    """A host without updates would send to a former owner until the next digest."""
    hosts = [host for host in world.hosts if host.startswith("lac-")]
    received = Counter(
        child for host in hosts for child in fanout(world.hosts[host].system).children()
    )
    first = fanout(world.hosts["ariana-1"].system).first_hosts("lac")
    assert max(received.values()) == 1
    assert set(received) | set(first) == set(hosts)
    assert len(first) < DIRECT_HOSTS / 2


def test_hosts_of_a_large_domain_know_the_control_holder(world: World) -> None:
    holders = {host.system.state().holders[SERVICE] for host in world.hosts.values()}
    assert len(holders) == 1
    assert None not in holders


def test_table_reaches_all_hosts_of_large_domains_at_once(world: World) -> None:
    """After a move, hosts without the new table still send to the former owner.

    The table must reach all hosts in less than the time for which a refused request
    is held.
    """
    system = world.hosts["lac-1"].system
    other = next(server for server in world.servers if server != world.owner(0))
    system.move(SERVICE, 0, other)
    moved_s = None
    for step in range(100):
        world.advance(0.005)
        owners = {host.system.owner(SERVICE, 0).owner for host in world.hosts.values()}
        if owners == {other}:
            moved_s = step * 0.005
            break
    assert moved_s is not None
    assert moved_s < 0.2
