"""A leader whose loop is late judges servers by the time in which it could hear."""

import pytest
from twisted.internet.task import Clock

from gentianwharf.keyspace import GrantManager
from gentianwharf.keyspace._timing import UNREACHABLE_S
from gentianwharf.pauses import PAUSE_THRESHOLD_S
from tests.builders_keyspace import Servers, holder, manager_of, span, table

TICK_S = 0.05


def run_ticks(manager: GrantManager, clock: Clock, duration_s: float) -> None:
    """Let time pass with the ticks of a host that is not paused."""
    for _ in range(round(duration_s / TICK_S)):
        clock.advance(TICK_S)
        manager.note_store_contact(clock.seconds())
        manager.holders.note_tick()
        manager.tick()


def silent_servers(clock: Clock) -> tuple[Servers, GrantManager]:
    servers = Servers(clock, 1, 2)
    servers[1].is_silent = servers[2].is_silent = True
    manager = manager_of(servers)
    manager.holders.note_tick()
    manager.follow(table(span(0, 9, 1), span(10, 19, 2)))
    return servers, manager


@pytest.mark.parametrize("pause_s", [2 * PAUSE_THRESHOLD_S, 0.5, UNREACHABLE_S])
@pytest.mark.parametrize("before_s", [0.1, 0.6])
def test_pauses_of_a_leader_are_no_silence_of_its_servers(
    before_s: float, pause_s: float
) -> None:
    """Guards against a leader that resigns because its own loop stood still."""
    clock = Clock()
    servers, manager = silent_servers(clock)
    live_s = 0.0
    while live_s + before_s < UNREACHABLE_S:
        run_ticks(manager, clock, before_s)
        live_s += before_s
        clock.advance(pause_s)
        manager.holders.note_tick()
        assert not manager.holders.unreachable()
        manager.tick()
    servers[1].is_silent = servers[2].is_silent = False
    run_ticks(manager, clock, 1.5)
    assert not manager.holders.unreachable()
    assert servers[1].holds(5)
    assert servers[2].holds(15)


def test_servers_that_are_silent_after_a_pause_are_unreachable_in_time() -> None:
    """Guards against a pause after which lost servers keep their keys."""
    clock = Clock()
    _, manager = silent_servers(clock)
    run_ticks(manager, clock, 0.6)
    clock.advance(2.0)
    run_ticks(manager, clock, UNREACHABLE_S)
    assert manager.holders.unreachable() == {holder(1), holder(2)}
