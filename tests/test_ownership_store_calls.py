"""Number of store calls that ownership makes, counted on 6 hosts in 3 domains."""

from collections.abc import Callable

import pytest

from tests.builders_ownership import SERVICE, World


def build(shards: int, hosts_a_domain: int = 2) -> World:
    world = World(shards=shards, hosts_a_domain=hosts_a_domain)
    world.settle()
    world.advance(1.0)
    return world


def idle(world: World) -> None:
    world.advance(60.0)


def move_one(world: World) -> None:
    new = next(name for name in world.servers if name != world.owner(3))
    world.hosts["lac-1"].system.move(SERVICE, 3, new)
    world.advance(1.0)
    assert world.owner(3) == new


def move_a_thousand(world: World) -> None:
    world.sites.update(dict.fromkeys(range(world.shards), "ancien"))
    world.advance(3.0)
    assert all("-lac-" in world.owner(shard) for shard in range(world.shards))


def restart_every_host(world: World) -> None:
    for host in list(world.hosts):
        world.start_host(host)
    world.advance(5.0)


@pytest.mark.parametrize(
    ("act", "shards", "max_writes", "max_reads", "max_watches"),
    [
        pytest.param(idle, 12, 0, 73, 18, id="idle-for-a-minute"),
        pytest.param(move_one, 12, 2, 1, 12, id="one-move"),
        pytest.param(move_a_thousand, 1500, 80, 40, 240, id="a-thousand-moves"),
        pytest.param(restart_every_host, 12, 12, 40, 6, id="all-hosts-restart"),
    ],
)
def test_store_calls(
    act: Callable[[World], None],
    shards: int,
    max_writes: int,
    max_reads: int,
    max_watches: int,
) -> None:
    world = build(shards)
    world.store.calls.clear()
    act(world)
    calls = world.store.calls
    assert calls["swap"] <= max_writes, calls
    assert calls["get"] + calls["get_many"] <= max_reads, calls
    assert calls["watch"] <= max_watches, calls


def test_idle_reads_do_not_grow_with_the_hosts_of_a_domain() -> None:
    """A domain has more hosts than witnesses; only witnesses have a memory.

    If the other hosts waited for a memory, each would read the whole table twice a
    second.
    """
    world = build(12, hosts_a_domain=7)
    world.store.calls.clear()
    world.advance(20.0)
    assert world.store.calls["get_many"] <= 3 * 2 * 3


@pytest.mark.parametrize("seed", [2, 3, 7])
def test_a_loss_takes_one_write_for_the_intents_and_one_for_the_owners(
    seed: int,
) -> None:
    """More suspicions arrive while the intents are being written to the store.

    The intents were then written a second time, under other tokens, which restarted
    the wait for rights.
    """
    world = World(seed=seed, hosts_a_domain=2)
    world.settle()
    world.advance(1.0)
    world.store.calls.clear()
    lost = world.owner(3)
    world.servers[lost].lost = True
    world.advance(2.0)
    assert world.owner(3) != lost
    assert world.store.calls["swap"] == 2
