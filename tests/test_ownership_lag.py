"""A host's own lateness is not held against the servers."""

from gentianwharf.ownership._lag import LoopLag
from gentianwharf.ownership._timing import TICK_S


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
