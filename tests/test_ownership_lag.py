"""Tests that a host's own lag does not count as evidence against servers."""

from gentianwharf.ownership import Hold, Refuse, Send
from gentianwharf.ownership._lag import LoopLag
from gentianwharf.ownership._timing import RIGHT_HOLD_S, TICK_S
from tests.builders_ownership import SERVICE, World


def test_lag_of_a_busy_loop_extends_timeouts_until_it_decays() -> None:
    """Guards against taking every server for lost when a rule change moves 500 shards.

    The loop is busy with the moves, so answers to probes stay unread past their
    timeout. The suspicions start more moves, and the keys stay unserved.
    """
    lag = LoopLag()
    lag.note_tick(0.0)
    lag.note_tick(TICK_S + 0.08)
    assert lag.timeout_s(0.1) > 0.5
    now_s = TICK_S + 0.08
    for _ in range(60):
        now_s += TICK_S
        lag.note_tick(now_s)
    assert lag.timeout_s(0.1) < 0.11


def test_timeout_in_a_pause_is_distinguished_from_a_missing_answer() -> None:
    """After an entry host is paused for seconds, no server seems to have answered."""
    assert LoopLag.was_paused(begun_s=1.0, timeout_s=0.1, now_s=4.0)
    assert not LoopLag.was_paused(begun_s=1.0, timeout_s=0.1, now_s=1.12)


def test_host_that_was_paused_holds_requests_until_it_has_a_right() -> None:
    """A host is paused for two seconds, and requests wait in its sockets.

    They were all refused when it resumed, although it had a right again 100 ms later.
    """
    world = World()
    world.settle()
    host = world.hosts["lac-1"]
    shard = next(s for s in range(world.shards) if "-lac-" in world.owner(s))
    host.clock.paused = True
    world.advance(2.0)
    host.clock.resume()
    route = host.system.route(SERVICE, shard)
    assert isinstance(route, Hold)
    world.advance(route.until_s - host.clock.seconds() - 0.001)
    assert isinstance(host.system.route(SERVICE, shard), Send)


def test_host_that_is_cut_off_holds_only_the_first_requests() -> None:
    world = World()
    world.settle()
    host = world.hosts["lac-1"]
    shard = next(s for s in range(world.shards) if "-lac-" not in world.owner(s))
    world.cut_off("lac-1")
    world.advance(1.0)
    assert isinstance(host.system.route(SERVICE, shard), Hold)
    world.advance(RIGHT_HOLD_S)
    for _ in range(3):
        assert isinstance(host.system.route(SERVICE, shard), Refuse)
