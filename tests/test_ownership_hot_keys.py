"""Hot keys are pinned automatically and unpinned when they are cold again."""

import pytest

from gentianwharf.keys import shard_of
from gentianwharf.ownership import _hot_keys
from gentianwharf.ownership._hot_keys import MAX_COUNTED_KEYS, HotKeys, KeyCounts
from gentianwharf.ownership._loads import HALF_LIFE_S, ShardLoads
from gentianwharf.ownership._messages import Loads
from gentianwharf.placement import PlacementWeights
from tests.builders_ownership import SERVICE, World

HOT = "faculte-des-sciences"
SHARDS = 12
COLD_S = 20.0
"""Shorter than in production, since these tests simulate every tick."""


def same_shard(count: int) -> list[str]:
    """Return other keys of the hot key's shard."""
    names = (f"faculte-{number}" for number in range(10_000))
    found = (name for name in names if shard_of(name, SHARDS) == shard_of(HOT, SHARDS))
    return [next(found) for _ in range(count)]


def owner(world: World, key: str) -> str:
    return world.hosts["lac-1"].system.owner(SERVICE, shard_of(key, SHARDS), key).owner


def has_entry(world: World, key: str) -> bool:
    system = world.hosts["lac-1"].system
    return system.owner(SERVICE, shard_of(key, SHARDS), key).shard >= SHARDS


def ask(world: World, key: str, *, a_second: int, seconds: float) -> None:
    for _ in range(round(seconds * 5)):
        for _ in range(a_second // 5):
            world.request("lac-1", shard_of(key, SHARDS), key)
        world.advance(0.2, 0.02)


def build(*, hosts_a_domain: int) -> World:
    world = World(
        shards=SHARDS,
        weights=PlacementWeights(),
        busy_s=0.02,
        hosts_a_domain=hosts_a_domain,
    )
    world.settle()
    world.advance(0.5)
    return world


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    monkeypatch.setattr(_hot_keys, "COLD_S", COLD_S)
    return build(hosts_a_domain=1)


def holder(world: World) -> str:
    hosts = world.hosts.items()
    return next(name for name, host in hosts if host.system.state().controls)


def test_hot_key_leaves_the_other_keys_of_its_shard_where_they_are(
    world: World,
) -> None:
    """One key uses half of a server's slots while the server gets other load too.

    Without an entry for the key its whole shard would change owner, with thousands of
    other keys.
    """
    others = same_shard(3)
    before = owner(world, HOT)
    ask(world, HOT, a_second=150, seconds=40.0)
    assert has_entry(world, HOT)
    assert not any(has_entry(world, key) for key in others)
    assert {owner(world, key) for key in others} == {before}


def test_hot_key_that_cools_goes_back_to_its_shard(world: World) -> None:
    ask(world, HOT, a_second=150, seconds=25.0)
    assert has_entry(world, HOT)
    world.advance(HALF_LIFE_S, 0.1)
    assert has_entry(world, HOT)
    world.advance(HALF_LIFE_S * 4 + COLD_S, 0.1)
    assert not has_entry(world, HOT)


def test_new_control_holder_keeps_the_hot_keys_entries() -> None:
    """The control holder is lost, and its successor has no load reports yet.

    If it unpinned keys at once, every hot key would return to its shard and be pinned
    again.
    """
    world = build(hosts_a_domain=2)
    ask(world, HOT, a_second=150, seconds=21.0)
    lost = holder(world)
    world.stop_host(lost)
    world.advance(15.0, 0.1)
    assert holder(world) != lost
    system = world.hosts[holder(world)].system
    assert system.owner(SERVICE, shard_of(HOT, SHARDS), HOT).shard >= SHARDS


def test_key_with_its_part_of_the_requests_is_never_missed() -> None:
    counts = KeyCounts()
    for number in range(MAX_COUNTED_KEYS * 40):
        counts.add(0, f"one-time-{number}")
        if number % 20 == 0:
            counts.add(0, HOT)
    found, _ = counts.take()
    assert 0 < found[HOT] <= MAX_COUNTED_KEYS * 2
    assert max(found, key=lambda key: found[key]) == HOT


def test_keys_that_are_too_long_are_not_counted() -> None:
    counts = KeyCounts()
    counts.add(0, "x" * 10_000)
    assert counts.take() == ({}, {0: 1})


def test_key_near_the_limit_neither_comes_nor_goes() -> None:
    hot_keys = HotKeys()
    slots = {HOT: 0.2}
    assert hot_keys.keys_to_pin(slots, pinned=0, slots_per_server=6) == []
    for now_s in (0.0, _hot_keys.COLD_S, 2 * _hot_keys.COLD_S):
        assert hot_keys.keys_to_unpin(slots, slots_per_server=6, now_s=now_s) == []


def test_key_that_got_an_entry_no_longer_counts_for_its_shard() -> None:
    loads = ShardLoads(shards=SHARDS)
    shard = shard_of(HOT, SHARDS)
    loads.watch([shard])
    report = Loads(
        service=SERVICE,
        rates={shard: 50.0},
        keys={HOT: 40},
        watched={shard: 50},
        answers=100,
        busy_s=2.0,
    )
    loads.hear(report, 0.0)
    before = loads.demand(slots=36)
    loads.split_off_pins({HOT: SHARDS})
    after = loads.demand(slots=36)
    moved = 0.8 * before.measured_slots[shard]
    assert after.measured_slots[SHARDS] == pytest.approx(moved)
    assert after.shard_slots(shard) == pytest.approx(before.shard_slots(shard) - moved)
    assert loads.key_slots() == {}
