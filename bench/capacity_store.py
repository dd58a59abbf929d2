"""Store calls and time: idle fleets, and the loss of a server with many shards.

The ownership systems of three failure domains on one virtual clock with the brief's
latencies (0.5 ms between hosts, 2 ms to the store).
"""

from collections.abc import Iterator

from tests.builders_ownership import World

from ._figure import Figure

SEED = 1
# All of them are witnesses at these sizes, so that reads for want of a witness's memory
# (``control_store_calls``) stay out of the slope.
HOST_SIZES = (2, 3, 4, 5)
SHARD_SIZES = (12, 24, 48, 96)
DOMAINS = 3
IDLE_S = 5.0
STEP_S = 0.02
LIMIT_S = 5.0
WRITES = ("swap", "grant", "renew", "revoke")
READS = ("get", "get_many", "watch")


def _calls(world: World, names: tuple[str, ...]) -> int:
    return sum(world.store.calls.get(name, 0) for name in names)


def _idle_figures(hosts_a_domain: int) -> Iterator[Figure]:
    world = World(seed=SEED, hosts_a_domain=hosts_a_domain)
    world.settle()
    reads, writes = _calls(world, READS), _calls(world, WRITES)
    world.advance(IDLE_S)
    size = {"hosts_a_domain": hosts_a_domain, "domains": DOMAINS}
    for name, counted in (
        ("store_idle_reads", _calls(world, READS) - reads),
        ("store_idle_writes", _calls(world, WRITES) - writes),
    ):
        yield Figure(
            name=name, value=counted / IDLE_S, unit="1/s", size=size, seed=SEED
        )


def _loss_figures(shards: int) -> Iterator[Figure]:
    world = World(seed=SEED, shards=shards)
    world.settle()
    lost = next(iter(world.servers))
    moved = sum(world.owner(shard) == lost for shard in range(shards))
    world.servers[lost].lost = True
    swaps = _calls(world, ("swap",))
    began_s = world.clock.seconds()
    host = next(iter(world.hosts))
    while len(world.served(host)) < shards:
        world.advance(STEP_S)
        if world.clock.seconds() - began_s > LIMIT_S:
            break
    spent_s = world.clock.seconds() - began_s
    world.advance(1.0)
    size = {"shards": shards, "moved": moved}
    for name, value, unit in (
        ("loss_store_writes", _calls(world, ("swap",)) - swaps, "count"),
        ("loss_unavailable", spent_s * 1_000, "ms"),
    ):
        yield Figure(name=name, value=value, unit=unit, size=size, seed=SEED)


def figures() -> Iterator[Figure]:
    """Yield store calls of idle fleets and of a server's loss."""
    for hosts_a_domain in HOST_SIZES:
        yield from _idle_figures(hosts_a_domain)
    for shards in SHARD_SIZES:
        yield from _loss_figures(shards)
