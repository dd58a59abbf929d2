"""Time until served again after losses and moves, and the store calls they cost.

Virtual clock, the brief's latencies (0.5 ms between domains), 4 hosts and 5
servers a domain; each loss is a world of its own with its own seed.
"""

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from statistics import median
from timeit import timeit

from tests.builders_ownership import SERVICE, World

LOSSES = 200
MOVES = 50
STEP_S = 0.005
"""How often it is looked whether all is served."""

CLOCK_STEP_S = 0.001
"""How far the clock goes at a time; each answer is late by up to one such step."""


def percentile(values: list[float], share: float) -> float:
    """Return the nearest-rank percentile."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def build(seed: int, *, stamps: bool, cap_s: float) -> World:
    """Return a world that has settled."""
    world = World(
        seed=seed,
        hosts_a_domain=4,
        servers_a_domain=5,
        shards=64,
        drift=0.0005,
        knows_validity=stamps,
        gives_stamp=stamps,
        deadline_cap_s=cap_s,
    )
    world.settle()
    # A witness vouches for no deadline until it has lived as long as the longest.
    world.advance((0.5 if stamps else 0.5 + cap_s) + world.rng.random())
    return world


def send_long(world: World) -> None:
    """Let each host send a request that wants the longest deadline."""
    for host in world.hosts:
        shard = world.rng.randrange(world.shards)
        world.request(host, shard, wanted_s=world.deadline_cap_s)


def nothing(_: World) -> None:
    """Send nothing."""


def unserved_s(
    world: World, limit_s: float, meanwhile: Callable[[World], None] = nothing
) -> float:
    """Return how long until every host serves every shard again."""
    start_s = world.clock.seconds()
    everything = set(range(world.shards))
    while any(world.served(host) != everything for host in world.hosts):
        if world.clock.seconds() > start_s + limit_s:
            return float("inf")
        meanwhile(world)
        world.advance(STEP_S, CLOCK_STEP_S)
    return world.clock.seconds() - start_s


def losses(
    count: int,
    *,
    stamps: bool,
    cap_s: float,
    meanwhile: Callable[[World], None] = nothing,
) -> dict[str, object]:
    """Lose a server without warning, ``count`` times."""
    times = []
    for seed in range(count):
        world = build(seed, stamps=stamps, cap_s=cap_s)
        for _ in range(int(cap_s / STEP_S) if meanwhile is send_long else 0):
            meanwhile(world)
            world.advance(STEP_S, CLOCK_STEP_S)
        world.servers[world.owner(seed % world.shards)].lost = True
        times.append(unserved_s(world, 30.0, meanwhile))
    return {
        "figure": "served again after loss",
        "longest_deadline_in_use": meanwhile is send_long,
        "capability": "validity and stamp" if stamps else "tokens alone",
        "deadline_cap_s": cap_s,
        "losses": count,
        "p50_s": round(median(times), 3),
        "p99_s": round(percentile(times, 0.99), 3),
        "max_s": round(max(times), 3),
        "step_s": STEP_S,
    }


def losses_with_control(count: int) -> dict[str, object]:
    """Lose a server together with the host that holds its service's control.

    As a rack is lost: every second time the two are of one domain.
    """
    times = []
    for seed in range(count):
        world = build(seed, stamps=True, cap_s=2.0)
        holder = next(
            name for name, one in world.hosts.items() if one.system.state().controls
        )
        domain = world.domain_of(holder)
        lost = next(
            one for one in world.servers if (f"-{domain}-" in one) is (seed % 2 == 0)
        )
        world.servers[lost].lost = True
        world.stop_host(holder)
        times.append(unserved_s(world, 30.0))
    return {
        "figure": "served again after loss with the control holder",
        "losses": count,
        "p50_s": round(median(times), 3),
        "p99_s": round(percentile(times, 0.99), 3),
        "max_s": round(max(times), 3),
    }


def moves(count: int) -> dict[str, object]:
    """Move single shards as planned and watch them each millisecond."""
    held, refused = [], 0
    for seed in range(count):
        world = build(seed, stamps=False, cap_s=2.0)
        shard = seed % world.shards
        new = next(one for one in world.servers if one != world.owner(shard))
        world.hosts["lac-1"].system.move(SERVICE, shard, new)
        held_ms = 0
        for _ in range(500):
            world.advance(0.001, 0.001)
            held_ms += any(shard not in world.served(one) for one in world.hosts)
        refused += world.owner(shard) != new
        held.append(held_ms / 1000)
    return {
        "figure": "planned move unserved",
        "moves": count,
        "not_moved": refused,
        "p50_s": median(held),
        "p99_s": percentile(held, 0.99),
        "max_s": max(held),
    }


def store_calls() -> Iterator[dict[str, object]]:
    """Count store calls of 12 hosts: idle, one move, all moves of a loss."""
    world = build(1, stamps=True, cap_s=2.0)

    def count(what: str, seconds: float) -> dict[str, object]:
        before = dict(world.store.calls)
        world.advance(seconds)
        calls = {
            name: world.store.calls[name] - before.get(name, 0)
            for name in world.store.calls
        }
        return {"figure": f"store calls {what}", "over_s": seconds, **calls}

    yield count("idle", 60.0)
    new = next(one for one in world.servers if one != world.owner(3))
    world.hosts["lac-1"].system.move(SERVICE, 3, new)
    yield count("one move", 2.0)
    world.servers[world.owner(0)].lost = True
    yield count("one server lost", 2.0)
    for host in list(world.hosts):
        world.start_host(host)
    yield count("all hosts restarted", 5.0)


def messages() -> dict[str, object]:
    """Count messages between 12 idle hosts."""
    world = build(1, stamps=True, cap_s=2.0)
    before = dict(world.sent)
    world.advance(10.0)
    rates = {
        name: round((count - before.get(name, 0)) / 10, 1)
        for name, count in world.sent.items()
    }
    return {"figure": "messages a second, idle", "hosts": len(world.hosts), **rates}


def route_time() -> dict[str, object]:
    """Time one decision of the hot path with 65,536 shards."""
    world = World(shards=65_536, hosts_a_domain=1, servers_a_domain=1)
    world.settle()
    system = next(iter(world.hosts.values())).system
    count = 100_000
    seconds = timeit(lambda: system.route(SERVICE, 41_234, "club"), number=count)
    return {"figure": "route", "shards": 65_536, "us": round(seconds / count * 1e6, 2)}


def figures(count: int, names: Sequence[str] = ()) -> Iterator[dict[str, object]]:
    """Yield every figure, or those of the groups named."""
    few = min(count, MOVES)
    groups: dict[str, Callable[[], Iterable[dict[str, object]]]] = {
        "stamps": lambda: [losses(count, stamps=True, cap_s=2.0)],
        "tokens": lambda: [losses(count, stamps=False, cap_s=2.0)],
        "short": lambda: [losses(count, stamps=False, cap_s=0.25)],
        "long": lambda: [losses(few, stamps=False, cap_s=2.0, meanwhile=send_long)],
        "rack": lambda: [losses_with_control(count)],
        "moves": lambda: [moves(few)],
        "calls": store_calls,
        "messages": lambda: [messages()],
        "route": lambda: [route_time()],
    }
    for name in names or groups:
        yield from groups[name]()


def main() -> None:
    """Print the figures; arguments give the number of losses, then groups."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else LOSSES
    for figure in figures(count, sys.argv[2:]):
        print(json.dumps({"bench": "ownership", **figure}), flush=True)


if __name__ == "__main__":
    main()
