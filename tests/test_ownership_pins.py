"""Pinned keys: single keys with an entry of their own."""

import pytest

from gentianwharf.keys import shard_of
from gentianwharf.ownership._mover import Mover
from tests.builders_ownership import SERVICE, World

KEY = "faculte-des-sciences"


def build(**options: object) -> World:
    world = World(**options)  # type: ignore[arg-type]
    world.settle()
    world.advance(0.5)
    return world


def owner_of_key(world: World) -> str:
    system = world.hosts["lac-1"].system
    return system.owner(SERVICE, shard_of(KEY, world.shards), KEY).owner


def pin_and_unpin(world: World) -> None:
    shard = shard_of(KEY, world.shards)
    first = world.owner(shard)
    new = next(server for server in world.servers if server != first)
    world.hosts["lac-1"].system.pin(SERVICE, KEY, new)
    world.key_traffic(KEY, 1.0)
    assert owner_of_key(world) == new
    assert world.owners(shard, KEY) == {new}
    assert world.owner(shard) == first
    world.hosts["lac-1"].system.pin(SERVICE, KEY, "")
    world.key_traffic(KEY, 1.0)
    assert owner_of_key(world) == first
    assert world.owners(shard, KEY) == {first}


@pytest.mark.parametrize(
    "stamps",
    [pytest.param(False, id="tokens-alone"), pytest.param(True, id="stamps")],
)
def test_pinned_key_has_one_owner_on_its_way_out_and_back(stamps: bool) -> None:
    pin_and_unpin(build(knows_validity=stamps, gives_stamp=stamps))


@pytest.mark.parametrize(
    "guarded", [pytest.param(True, id="guard"), pytest.param(False, id="no-guard")]
)
def test_pin_waits_for_the_shard_to_get_a_new_token(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server freezes with a key's request in its buffers, then the key is pinned.

    The server still accepts the request under the shard's token. If the key's own entry
    were granted at once, two servers would run the key.
    """
    if not guarded:
        monkeypatch.setattr(Mover, "_shard_is_renewed", lambda mover, move: True)
    world = build()
    frozen = world.servers[world.owner(shard_of(KEY, world.shards))]
    new = next(server for server in world.servers if server != frozen.entity.id)
    frozen.frozen = True
    world.hosts["lac-1"].system.pin(SERVICE, KEY, new)
    if guarded:
        world.key_traffic(KEY, 3.0)
        assert owner_of_key(world) == new
    else:
        with pytest.raises(AssertionError, match="two owners"):
            world.key_traffic(KEY, 3.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rule_for_a_key_moves_it_alone_and_its_end_brings_it_back(seed: int) -> None:
    """A rule moves one key to the new site, separately from its shard, and is removed.

    The seed determines whether the entry is then first removed or first moved to the
    shard's site. After such a move it must still be removed.
    """
    world = build(seed=seed)
    shard = shard_of(KEY, world.shards)
    world.sites.update(dict.fromkeys(range(world.shards), "ancien"))
    world.traffic(3.0)
    world.single_keys[KEY] = "nouveau"
    world.key_traffic(KEY, 1.0)
    assert "-lac-" not in owner_of_key(world)
    assert "-lac-" in world.owner(shard)
    world.single_keys.clear()
    world.key_traffic(KEY, 1.0)
    assert owner_of_key(world) == world.owner(shard)


def test_lost_owner_of_a_pinned_key_is_replaced() -> None:
    world = build()
    shard = shard_of(KEY, world.shards)
    new = next(server for server in world.servers if server != world.owner(shard))
    world.hosts["lac-1"].system.pin(SERVICE, KEY, new)
    world.key_traffic(KEY, 0.5)
    world.servers[new].lost = True
    world.key_traffic(KEY, 1.5)
    assert owner_of_key(world) not in ("", new)
    assert len(world.owners(shard, KEY)) == 1
