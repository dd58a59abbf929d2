"""How many calls of the store ownership takes, counted on 6 hosts of 3 domains."""

from collections.abc import Callable

import pytest

from tests.builders_ownership import SERVICE, World


def build(shards: int, hosts_a_domain: int = 2) -> World:
    world = World(shards=shards, hosts_a_domain=hosts_a_domain)
    world.settle()
    world.advance(1.0)
    return world


def stay(world: World) -> None:
    world.advance(60.0)


def move_one(world: World) -> None:
    new = next(one for one in world.servers if one != world.owner(3))
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
    ("act", "shards", "most_writes", "most_reads", "most_watches"),
    [
        pytest.param(stay, 12, 0, 73, 18, id="idle-for-a-minute"),
        pytest.param(move_one, 12, 2, 1, 12, id="one-move"),
        pytest.param(move_a_thousand, 1500, 80, 40, 240, id="a-thousand-moves"),
        pytest.param(restart_every_host, 12, 12, 40, 6, id="all-hosts-restart"),
    ],
)
def test_store_calls(
    act: Callable[[World], None],
    shards: int,
    most_writes: int,
    most_reads: int,
    most_watches: int,
) -> None:
    world = build(shards)
    world.store.calls.clear()
    act(world)
    calls = world.store.calls
    assert calls["swap"] <= most_writes, calls
    assert calls["get"] + calls["get_many"] <= most_reads, calls
    assert calls["watch"] <= most_watches, calls


def test_idle_reads_do_not_grow_with_the_hosts_of_a_domain() -> None:
    """A domain has more hosts than witnesses; those others never have a memory.

    Were they to wait for one, each would read the whole table twice a second.
    """
    world = build(12, hosts_a_domain=7)
    world.store.calls.clear()
    world.advance(20.0)
    assert world.store.calls["get_many"] <= 3 * 2 * 3


@pytest.mark.parametrize("seed", [2, 3, 7])
def test_a_loss_takes_one_write_for_the_intents_and_one_for_the_owners(
    seed: int,
) -> None:
    """Suspicions went on coming in while the intents were on their way to the store.

    They were written a second time, under other tokens, and the wait began anew.
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
