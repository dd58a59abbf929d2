"""Operators' moves and pins are accepted once the store has committed them."""

from collections.abc import Callable

import pytest
from twisted.internet.defer import Deferred

from gentianwharf.errors import InputError
from gentianwharf.keys import shard_of
from gentianwharf.ownership import RequestOutcome, _requests
from gentianwharf.ownership._messages import MoveRequest
from tests.builders_ownership import SERVICE, World

KEY = "faculte-des-sciences"
Outcomes = list[RequestOutcome]


def build() -> World:
    world = World()
    world.settle()
    world.advance(0.5)
    return world


def holder(world: World) -> str:
    return next(
        name for name, host in world.hosts.items() if host.system.state().controls
    )


def operator_host(world: World) -> str:
    return next(name for name in world.hosts if name != holder(world))


def note(outcome: Deferred[RequestOutcome]) -> Outcomes:
    outcomes: Outcomes = []
    outcome.addCallback(outcomes.append)
    return outcomes


def move(world: World, host: str, server: str) -> Outcomes:
    return note(world.hosts[host].system.move(SERVICE, 3, server))


def pin(world: World, host: str, server: str) -> Outcomes:
    return note(world.hosts[host].system.pin(SERVICE, KEY, server))


def moved_to(world: World) -> str:
    return world.owner(3)


def pinned_to(world: World) -> str:
    system = next(iter(world.hosts.values())).system
    return system.owner(SERVICE, shard_of(KEY, world.shards), KEY).owner


def other_server(world: World) -> str:
    owners = {moved_to(world), pinned_to(world)}
    return next(server for server in world.servers if server not in owners)


CASES = [
    pytest.param(move, moved_to, id="move"),
    pytest.param(pin, pinned_to, id="pin"),
]
Ask = Callable[[World, str, str], Outcomes]
Found = Callable[[World], str]


@pytest.mark.parametrize("sent_again", [True, False], ids=["guard", "no-guard"])
@pytest.mark.parametrize(("ask", "found"), CASES)
def test_request_outlives_the_control_holder(
    ask: Ask, found: Found, sent_again: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator moves a key, and the control holder is lost before it begins.

    The operator received "accepted", but the key was never moved.
    """
    if not sent_again:
        monkeypatch.setattr(_requests, "RESEND_INTERVAL_S", float("inf"))
    world = build()
    new = other_server(world)
    host, lost = operator_host(world), holder(world)
    outcomes = ask(world, host, new)
    world.stop_host(lost)
    world.advance(6.0)
    assert (found(world) == new) is sent_again
    assert outcomes == [
        RequestOutcome.CONFIRMED if sent_again else RequestOutcome.UNKNOWN
    ]


@pytest.mark.parametrize(("ask", "found"), CASES)
def test_confirmed_request_is_carried_on_when_every_host_is_lost(
    ask: Ask, found: Found
) -> None:
    """A confirmed request must be in the store, since all hosts may be lost next."""
    world = build()
    new = other_server(world)
    outcomes = ask(world, operator_host(world), new)
    while not outcomes:
        world.advance(0.001, 0.001)
    assert outcomes == [RequestOutcome.CONFIRMED]
    for host in list(world.hosts):
        world.start_host(host)
    world.advance(5.0)
    assert found(world) == new


@pytest.mark.parametrize(("ask", "found"), CASES)
def test_request_is_unknown_while_the_store_is_down(ask: Ask, found: Found) -> None:
    world = build()
    new = other_server(world)
    world.store.down = True
    outcomes = ask(world, operator_host(world), new)
    world.advance(4.9)
    assert not outcomes
    world.advance(0.3)
    assert outcomes == [RequestOutcome.UNKNOWN]
    assert found(world) != new


def test_request_for_a_server_that_there_is_not_is_refused_at_once() -> None:
    world = build()
    with pytest.raises(InputError, match="servers list"):
        move(world, operator_host(world), "nobody")


def test_request_is_forgotten_with_the_lease() -> None:
    """A host loses its lease before it has planned a request.

    The request used to be kept and executed once the host held the lease again, at any
    later time and overriding newer requests.
    """
    world = build()
    control = world.hosts[holder(world)].system._controls[SERVICE]
    before, target = moved_to(world), other_server(world)
    control.plans.request(MoveRequest(service=SERVICE, shard=3, server=target))
    Deferred.fromCoroutine(control.lease.revoke())
    world.advance(5.0)
    assert moved_to(world) == before
    assert control.plans._requested == {}
