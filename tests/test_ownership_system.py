"""The ownership system as a whole, on virtual clocks."""

from tests.builders_ownership import World

ALL = set(range(12))


def test_first_start_makes_a_table_and_serves_every_shard() -> None:
    world = World()
    world.settle()
    assert {len(world.owners(shard)) for shard in ALL} == {1}
    counts = [sum(world.owner(s) == one for s in ALL) for one in world.servers]
    assert counts == [2] * 6
