"""A host's own lateness is not held against the servers."""

from gentianwharf.ownership import Hold, Refuse, Send
from gentianwharf.ownership._lag import LoopLag
from gentianwharf.ownership._timing import RIGHT_HOLD_S, TICK_S
from tests.builders_ownership import SERVICE, World


def test_busy_loop_gives_answers_more_time_and_a_quick_one_takes_it_back() -> None:
    """A rule change moves 500 shards, and every server is taken for lost.

    The loop is busy with the moves; probes' answers wait unread past their timeout,
    the suspicions start more moves, and the keys stay unserved.
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


def test_timeout_that_ran_out_in_a_pause_is_told_from_a_missing_answer() -> None:
    """An entry host is paused for seconds; on its return all servers seem silent."""
    assert LoopLag.was_paused(begun_s=1.0, timeout_s=0.1, now_s=4.0)
    assert not LoopLag.was_paused(begun_s=1.0, timeout_s=0.1, now_s=1.12)


def test_host_that_was_paused_holds_requests_until_its_right_is_back() -> None:
    """A host stands still for two seconds, and requests wait in its sockets.

    All were refused when it went on, though its right was back 100 ms later.
    """
    world = World()
    world.settle()
    host = world.hosts["lac-1"]
    shard = next(one for one in range(world.shards) if "-lac-" in world.owner(one))
    host.clock.paused = True
    world.advance(2.0)
    host.clock.resume()
    found = host.system.route(SERVICE, shard)
    assert isinstance(found, Hold)
    world.advance(found.until_s - host.clock.seconds() - 0.001)
    assert isinstance(host.system.route(SERVICE, shard), Send)


def test_host_that_is_cut_off_holds_only_the_first_requests() -> None:
    world = World()
    world.settle()
    host = world.hosts["lac-1"]
    shard = next(one for one in range(world.shards) if "-lac-" not in world.owner(one))
    world.cut_off("lac-1")
    world.advance(1.0)
    assert isinstance(host.system.route(SERVICE, shard), Hold)
    world.advance(RIGHT_HOLD_S)
    for _ in range(3):
        assert isinstance(host.system.route(SERVICE, shard), Refuse)
