"""Tests for the requests for rights: their number, and the loss of asked hosts."""

from collections.abc import Callable, Iterable
from itertools import product

import pytest

from gentianwharf.ownership import Send, _asking, _pace
from gentianwharf.ownership._asking import tree_order
from gentianwharf.ownership._pace import ASKERS
from gentianwharf.ownership._tables import WitnessList
from gentianwharf.ownership._timing import RIGHT_ASK_EVERY_S, RIGHT_USE_S
from tests.builders_ownership import SERVICE, FakeHost, World

ROUNDS_PER_S = 1 / RIGHT_ASK_EVERY_S


def build(**options: object) -> World:
    world = World(**options)  # type: ignore[arg-type]
    world.settle()
    world.advance(3.0)
    return world


def askers(world: World, domain: str) -> list[str]:
    system = next(host for host in world.hosts.values()).system
    listed = system._context.tables.witnesses(domain)
    hosts = [host for host in world.hosts if world.domain_of(host) == domain]
    return tree_order(hosts, listed, hosts)[:ASKERS]


def rate(world: World, message: str, span_s: float = 2.0) -> float:
    before = world.sent[message]
    world.advance(span_s)
    return (world.sent[message] - before) / span_s


def count_refused(world: World, hosts: Iterable[FakeHost], span_s: float) -> int:
    """Count, every 10 ms, requests to ``hosts`` that would not be sent at once."""
    refused = 0
    for _ in range(round(span_s / 0.01)):
        world.advance(0.01)
        for host, shard in product(hosts, range(world.shards)):
            refused += not isinstance(host.system.route(SERVICE, shard), Send)
    return refused


def shortest_right_s(world: World, span_s: float) -> float:
    shortest_s = RIGHT_USE_S
    for _ in range(round(span_s / 0.01)):
        world.advance(0.01)
        for host in world.hosts.values():
            left_s = host.system.state().right_left_s.values()
            shortest_s = min(shortest_s, *left_s)
    return shortest_s


@pytest.mark.parametrize(
    ("hosts", "fan_out"),
    [
        pytest.param(3, 16, id="all-witnesses"),
        pytest.param(12, 16, id="one-step"),
        pytest.param(15, 2, id="three-steps"),
    ],
)
def test_requests_grow_linearly_with_hosts(
    hosts: int, fan_out: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As a domain grows, its witnesses still receive requests from two hosts of it.

    Some hosts are three steps away from the witnesses. If each step added a round to
    the age of a right, they would have to ask the witnesses themselves.
    """
    monkeypatch.setattr(_pace, "FAN_OUT", fan_out)
    world = build(hosts_a_domain=hosts, servers_a_domain=1, shards=3)
    domains = len(world.domains)
    witnessed = rate(world, "RightAsk")
    majority = min(hosts, 5) // 2 + 1
    assert witnessed <= domains * ASKERS * (majority - 1) * ROUNDS_PER_S * 1.1
    shared = rate(world, "ShareAsk")
    # Askers ask one host of each other domain, and the second one the first.
    children = domains * (hosts - ASKERS) + domains * ((domains - 1) * ASKERS + 1)
    assert shared <= children * ROUNDS_PER_S * 1.1
    assert shortest_right_s(world, 1.0) > RIGHT_USE_S / 3


def test_unsynchronized_requests_age_a_right_with_each_step(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without synchronization with the hosts nearer to the witnesses, rights age.

    They arrive so old that many hosts ask the witnesses in every round.
    """
    monkeypatch.setattr(_pace, "FAN_OUT", 2)
    monkeypatch.setattr(_asking, "late_s", lambda age_s, aimed_s: 0.0)
    world = build(hosts_a_domain=15, servers_a_domain=1, shards=3)
    usual = len(world.domains) * ASKERS * 2 * ROUNDS_PER_S
    assert rate(world, "RightAsk") > 1.2 * usual


def stop_one(world: World) -> None:
    world.stop_host(askers(world, "lac")[0])


def stop_both(world: World) -> None:
    for host in askers(world, "lac"):
        world.stop_host(host)


def pause_one(world: World) -> None:
    world.hosts[askers(world, "lac")[0]].clock.paused = True


def restart_one(world: World) -> None:
    world.start_host(askers(world, "lac")[0])


@pytest.mark.parametrize(
    "fault",
    [stop_one, stop_both, pause_one, restart_one],
    ids=lambda fault: fault.__name__,
)
def test_no_host_lacks_a_right_when_askers_are_lost(
    fault: Callable[[World], None],
) -> None:
    """A host that asks the witnesses for its domain is lost, paused or restarted.

    Every other host, in its own domain and in others, must find another host to ask
    before its right ends. Otherwise callers are refused.
    """
    world = build(hosts_a_domain=6, servers_a_domain=1, shards=3)
    known = dict(world.hosts)
    fault(world)
    # A paused host sends nothing, and a restarted one has no tables yet.
    running = [
        host
        for name, host in known.items()
        if world.hosts.get(name) is host and not host.clock.paused
    ]
    assert count_refused(world, running, 2.0) == 0


def test_domain_that_lost_another_does_not_overload_its_witnesses() -> None:
    """A domain cannot reach another one for minutes; all of its hosts lack the right.

    Its askers continue to ask. If all hosts did, the witnesses would receive thousands
    of requests at once when the connection is restored.
    """
    world = build(hosts_a_domain=12, servers_a_domain=1, shards=3)
    usual = rate(world, "RightAsk")
    world.cut("lac", "ariana")
    world.advance(2.0)
    lost = rate(world, "RightAsk")
    slow = 10 * 5 / _asking.DIRECT_BACKOFF_INTERVAL_S
    quick = ASKERS * 5 * ROUNDS_PER_S
    assert lost - usual <= 2 * (slow + quick) * 1.1
    world.cuts.clear()
    world.advance(0.5)
    assert shortest_right_s(world, 0.5) > 0


def test_host_that_receives_from_few_others_does_not_act_as_an_asker() -> None:
    """A domain has thousands of hosts, and each receives messages from a dozen.

    If positions were counted among those only, one host in six would ask the witnesses
    and every other domain.
    """
    hosts = [f"host-{number}" for number in range(2_000)]
    witnesses = WitnessList(hosts=tuple(hosts[:5]))
    own = hosts[700]
    received_from = {own, *hosts[1_000:1_010]}
    assert own not in tree_order(hosts, witnesses, received_from)[:ASKERS]
    assert set(tree_order(hosts, witnesses, received_from)[:ASKERS]) < set(
        witnesses.hosts
    )
