"""Tests for deadlines beyond the sender's right and the wait for them after a loss."""

from collections.abc import Callable
from contextlib import nullcontext

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from gentianwharf.ownership import Refuse, Send, _deadlines, _lapse, _route
from gentianwharf.ownership._deadlines import DeadlineMemory
from gentianwharf.ownership._messages import DeadlineAsk
from tests import test_ownership_interleavings as interleavings
from tests.builders_ownership import SERVICE, World

Patch = pytest.MonkeyPatch
CAP_S = 2.0


def build(**options: object) -> World:
    world = World(
        deadline_cap_s=CAP_S,
        knows_validity=False,
        gives_stamp=False,
        **options,  # type: ignore[arg-type]
    )
    world.settle()
    # A witness confirms no deadline until it has run for the longest deadline.
    world.advance(CAP_S + 1.0)
    return world


def served_again_after_s(world: World, shard: int) -> float:
    start_s = world.clock.seconds()
    while any(shard not in world.served(host) for host in world.hosts):
        assert world.clock.seconds() < start_s + 10.0
        world.advance(0.005)
    return world.clock.seconds() - start_s


def test_shard_is_served_again_within_a_second_though_long_deadlines_are_allowed() -> (
    None
):
    """A server that checks only tokens is lost; its service allows deadlines of 2 s.

    No host sent such a request for its shards, yet they were unserved for 2.9 s as if
    one had.
    """
    world = build()
    world.servers[world.owner(0)].lost = True
    assert served_again_after_s(world, 0) < 1.0


def test_only_the_shard_with_a_long_request_waits_for_it() -> None:
    """One shard of a lost server had a request of 2 s in transit, the others none."""
    world = build()
    lost = world.owner(0)
    other = next(s for s in range(1, world.shards) if world.owner(s) == lost)
    assert not world.request("lac-1", 0, wanted_s=CAP_S)
    world.advance(0.01, 0.001)
    assert world.servers[lost].requests or world.runs
    world.servers[lost].lost = True
    assert served_again_after_s(world, other) < 1.0
    assert CAP_S - 1.0 < served_again_after_s(world, 0) < CAP_S + 0.3


def test_request_gets_the_deadline_that_it_asks_for() -> None:
    """A posting may take 2 s; a shorter deadline leaves its outcome unknown."""
    world = build()
    system = world.hosts["lac-1"].system
    clock = world.hosts["lac-1"].clock
    route = system.route(SERVICE, 0, deadline_s=clock.seconds() + CAP_S)
    assert not isinstance(route, Send)
    world.advance(0.004, 0.001)
    route = system.route(SERVICE, 0, deadline_s=clock.seconds() + CAP_S)
    assert isinstance(route, Send)
    assert route.deadline_cap_s == pytest.approx(CAP_S)


def test_request_is_refused_as_not_run_when_no_majority_allows_its_deadline() -> None:
    """The witnesses do not answer; a posting must not be sent and then cut off."""
    world = build()
    found = world.hosts["lac-1"]
    for host in world.hosts.values():
        host.system._handlers[DeadlineAsk] = lambda *_: None
    routes = []
    for _ in range(60):
        deadline_s = found.clock.seconds() + CAP_S
        routes.append(found.system.route(SERVICE, 0, deadline_s=deadline_s))
        world.advance(0.005)
    assert not [route for route in routes if isinstance(route, Send)]
    assert isinstance(routes[-1], Refuse)


@pytest.mark.parametrize("guarded", [True, False], ids=["guard", "no-guard"])
def test_short_deadlines_are_never_asked_for(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A service of 0.3 s needs no long deadlines, though rights are shorter at times.

    If hosts asked for them, its keys would wait for them after a loss.
    """
    if not guarded:
        monkeypatch.setattr(_route, "LEAST_DEADLINE_S", 0.4)
    world = build(hosts_a_domain=8)
    before, sent = world.sent["DeadlineAsk"], 0
    for _ in range(100):
        for host in world.hosts:
            sent += world.request(host, world.rng.randrange(world.shards), wanted_s=0.3)
        world.advance(0.01, 0.002)
    assert (sent == 100 * len(world.hosts)) is guarded
    assert (world.sent["DeadlineAsk"] == before) is guarded


def test_many_long_requests_cost_a_bounded_number_of_messages() -> None:
    """Every rule of a service sets 2 s, and a host serves hundreds of shards.

    Asking for each shard would cost several messages per request.
    """
    world = build(shards=200)
    before = world.sent["DeadlineAsk"]
    sent = 0
    for _ in range(100):
        for shard in world.rng.sample(range(world.shards), 20):
            sent += world.request("lac-1", shard, wanted_s=CAP_S)
        world.advance(0.01)
    domains, witnesses = 3, 3
    asked = (world.sent["DeadlineAsk"] - before) / witnesses
    assert sent > 1500
    assert asked <= domains * (_deadlines.MAX_SINGLE_SHARDS + 20)


def freeze_with_a_long_request(world: World, *, host: str = "ariana-1") -> str:
    """Let ``host`` send a long request to a server of lac that freezes first."""
    shard = next(s for s in range(world.shards) if "-lac-" in world.owner(s))
    frozen = world.owner(shard)
    world.request(host, shard, wanted_s=CAP_S)
    world.servers[frozen].frozen = True
    world.advance(0.01, 0.001)
    assert world.servers[frozen].requests
    return frozen


def long_request_in_a_frozen_server() -> None:
    """Freeze a server with a request of 2 s in its buffers, whose host is then lost.

    Only the witnesses have a record of the request when the shard gets a new owner.
    """
    world = build()
    freeze_with_a_long_request(world)
    world.stop_host("ariana-1")
    world.traffic(3.5)


def long_requests_for_every_shard() -> None:
    """Let a host send long requests for many shards, so that it asks for all at once.

    The frozen server's shards come last, when the host no longer asks for each.
    """
    world = build(shards=96)
    frozen = next(server for server in world.servers if "-lac-" in server)
    world.servers[frozen].frozen = True
    shards = sorted(range(world.shards), key=lambda shard: world.owner(shard) == frozen)
    for shard in shards:
        world.request("ariana-1", shard, wanted_s=CAP_S)
    world.advance(0.02, 0.001)
    assert len(world.servers[frozen].requests) == world.shards / len(world.servers)
    world.stop_host("ariana-1")
    world.traffic(3.0, step_s=0.05)


def witnesses_restart_after_they_allowed_it() -> None:
    """Restart two of the domain's three witnesses after they allowed 2 s.

    They have no record of it when the control holder asks, and must report when they
    started.
    """
    world = build()
    freeze_with_a_long_request(world)
    world.stop_host("ariana-1")
    for host in ("lac-1", "lac-2"):
        world.start_host(host)
        world.advance(0.1)
    world.traffic(3.0)


def deadline_ends_with_the_right() -> None:
    """Freeze a server while all hosts go on sending with short deadlines."""
    world = build()
    world.servers[world.owner(0)].frozen = True
    world.traffic(1.5, step_s=0.002)


def record_nothing(patch: Patch) -> None:
    patch.setattr(DeadlineMemory, "_note", lambda *_: float("-inf"))


def record_single_shards_only(patch: Patch) -> None:
    note = DeadlineMemory._note

    def forget(
        memory: DeadlineMemory, service: str, shard: int, wanted_s: float, now_s: float
    ) -> float:
        if shard == _deadlines.EVERY_SHARD:
            return float("-inf")
        return note(memory, service, shard, wanted_s, now_s)

    patch.setattr(DeadlineMemory, "_note", forget)


def do_not_report_restart(patch: Patch) -> None:
    patch.setattr(DeadlineMemory, "_unknown_until_s", lambda *_: float("-inf"))


def do_not_wait_for_right(patch: Patch) -> None:
    patch.setattr(_lapse, "DEADLINE_PAST_RIGHT_S", -1.0)
    patch.setattr(_route, "DEADLINE_PAST_RIGHT_S", 1.0)


GUARDS: list[tuple[str, Callable[[], None], Callable[[Patch], None]]] = [
    ("witnesses-remember", long_request_in_a_frozen_server, record_nothing),
    ("all-at-once", long_requests_for_every_shard, record_single_shards_only),
    ("restart-is-told", witnesses_restart_after_they_allowed_it, do_not_report_restart),
    ("short-ends-soon", deadline_ends_with_the_right, do_not_wait_for_right),
]


@pytest.mark.parametrize("guarded", [True, False], ids=["guard", "no-guard"])
@pytest.mark.parametrize("case", GUARDS, ids=[case[0] for case in GUARDS])
def test_one_owner_only_with_the_guard(
    case: tuple[str, Callable[[], None], Callable[[Patch], None]],
    guarded: bool,
    monkeypatch: Patch,
) -> None:
    if not guarded:
        case[2](monkeypatch)
    expected = nullcontext() if guarded else pytest.raises(AssertionError, match="two")
    with expected:
        case[1]()


class LongRequestsMachine(interleavings.OwnershipMachine):
    """The faults of ``OwnershipMachine``, with requests that may run for long."""

    @rule(
        host=interleavings.hosts,
        shard=interleavings.shards,
        wanted_s=st.sampled_from([0.6, 1.0, CAP_S]),
    )
    def send_long(self, host: str, shard: int, wanted_s: float) -> None:
        """Send a request that wants a longer deadline than the right allows."""
        self.world.request(host, shard, wanted_s=wanted_s)

    @rule(wanted_s=st.sampled_from([1.0, CAP_S]))
    def send_long_from_all(self, wanted_s: float) -> None:
        """Send long requests from each host for each shard."""
        for host in interleavings.HOSTS:
            for shard in range(interleavings.SHARDS):
                self.world.request(host, shard, wanted_s=wanted_s)


LongRequestsMachine.TestCase.settings = settings(
    interleavings.OwnershipMachine.TestCase.settings, max_examples=15
)
test_one_owner_with_long_requests = LongRequestsMachine.TestCase
