"""The ownership system as a whole, on virtual clocks."""

from tests.builders_ownership import World

ALL = set(range(12))


def test_first_start_makes_a_table_and_serves_every_shard() -> None:
    world = World()
    world.settle()
    assert {len(world.owners(shard)) for shard in ALL} == {1}
    counts = [sum(world.owner(s) == one for s in ALL) for one in world.servers]
    assert counts == [2] * 6


def lose(world: World, server: str) -> float:
    """Lose a server; return how long until every shard is served again."""
    world.servers[server].lost = True
    lost_s = world.clock.seconds()
    world.settle()
    return world.clock.seconds() - lost_s


def test_lost_server_is_replaced_within_a_second() -> None:
    """A server dies; families get errors for its keys.

    Probes of two hosts go unanswered, the domain's witnesses agree, its shards
    move once no grant of it can be alive.
    """
    world = World()
    world.settle()
    assert lose(world, world.owner(0)) < 1.0


def test_planned_move_holds_briefly_and_refuses_nothing() -> None:
    world = World()
    world.settle()
    old = world.owner(3)
    new = next(one for one in world.servers if one != old)
    world.hosts["lac-1"].system.move("calendrier", 3, new)
    while world.owner(3) != new:
        world.advance(0.005)
    world.settle()
    assert world.owner(3) == new
