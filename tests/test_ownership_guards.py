"""Each guard of the protocol, with and without it; without it the test must fail."""

from collections.abc import Callable

import pytest

from gentianwharf.ownership import _announce, _mover
from gentianwharf.ownership._rights import Rights
from tests.builders_ownership import SERVICE, World
from tests.builders_ownership_servers import Request

Patch = pytest.MonkeyPatch


def no_wait_for_rights(patch: Patch) -> None:
    patch.setattr(_announce, "RIGHT_WAIT_S", 0.0)
    patch.setattr(_mover, "RIGHT_WAIT_S", 0.0)


def no_wait_for_deadlines(patch: Patch) -> None:
    patch.setattr(_mover, "RIGHT_WAIT_S", -10.0)


def any_right_renews_a_cold_server(patch: Patch) -> None:
    patch.setattr(Rights, "asked_s", lambda rights, domain: float("inf"))


def build(**options: object) -> World:
    world = World(**options)  # type: ignore[arg-type]
    world.settle()
    world.advance(0.5)
    return world


def stale_host_still_sends() -> None:
    """Partition a server from all hosts but one, and that host from the others.

    The isolated host is not informed of the move and keeps sending until its right
    expires. The shard must not be granted to the new owner before then.
    """
    world = build(deadline_cap_s=0.1, knows_validity=False, gives_stamp=False)
    server = next(name for name in world.servers if "-lac-" in name)
    stale = "ariana-1"
    for host in world.hosts:
        if host != stale:
            world.cut(host, server)
    while not world.has_logged("owners-lost"):
        world.traffic(0.005, step_s=0.005)
    for host in world.hosts:
        if host != stale:
            world.cut(host, stale)
    world.cut(stale, "store")
    world.traffic(3.0)
    assert world.owner(0) != server


def pending_requests(world: World) -> list[Request]:
    return [request for server in world.servers.values() for request in server.requests]


def frozen_server_thaws_with_full_buffers() -> None:
    """Freeze a server that checks only tokens, with requests in its buffers.

    Its shards move. When it thaws, it runs the buffered requests, unless the new owner
    waited until their deadlines had passed.
    """
    world = build(deadline_cap_s=2.0, knows_validity=False, gives_stamp=False)
    world.servers[world.owner(0)].frozen = True
    # This deadline needs an allowance of the witnesses. Shorter deadlines pass soon
    # after the rights expire, so whether one is still open when the new owner starts
    # would depend on when hosts asked for their rights.
    host = world.hosts["lac-1"]
    host.system.route(SERVICE, 0, deadline_s=host.clock.seconds() + 2.0)
    world.advance(0.02)
    assert world.request("lac-1", 0)
    assert (
        max(request.deadline_s for request in pending_requests(world))
        > world.clock.seconds() + 1.5
    )
    world.traffic(4.0)


def cold_server_is_granted_what_it_released() -> None:
    """Restart a server just after it released a shard, without its state.

    A host that was partitioned shortly before is not informed of the move. It finds
    the server without the shard and grants the shard again under the old token.
    """
    world = build(knows_validity=False, gives_stamp=False)
    old = world.owner(0)
    domain = world.servers[old].entity.domain
    stale = next(name for name in world.hosts if name.startswith(domain))
    new = next(name for name in world.servers if domain not in name)
    for host in world.hosts:
        if host != stale:
            world.cut(host, stale)
    world.cut(stale, "store")
    controller = next(h for h in world.hosts.values() if h.system.state().controls)
    controller.system.move(SERVICE, 0, new)
    server = world.servers[old]
    while 0 in server.table.held(now_s=server.now_s()):
        world.traffic(0.002, step_s=0.002)
    server.cold_start()
    world.traffic(1.0, step_s=0.002)


GUARDS: list[tuple[str, Callable[[], None], Callable[[Patch], None]]] = [
    ("wait-for-rights", stale_host_still_sends, no_wait_for_rights),
    (
        "wait-for-deadlines",
        frozen_server_thaws_with_full_buffers,
        no_wait_for_deadlines,
    ),
    (
        "fresh-right-after-cold-start",
        cold_server_is_granted_what_it_released,
        any_right_renews_a_cold_server,
    ),
]


@pytest.mark.parametrize("case", GUARDS, ids=[guard[0] for guard in GUARDS])
def test_guard_keeps_one_owner(
    case: tuple[str, Callable[[], None], Callable[[Patch], None]],
) -> None:
    case[1]()


@pytest.mark.parametrize("case", GUARDS, ids=[guard[0] for guard in GUARDS])
def test_fault_shows_without_the_guard(
    case: tuple[str, Callable[[], None], Callable[[Patch], None]],
    monkeypatch: Patch,
) -> None:
    case[2](monkeypatch)
    with pytest.raises(AssertionError, match="two owners"):
        case[1]()
