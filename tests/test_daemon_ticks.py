"""Ticks come at their intervals, and cost nothing while nothing is to be done."""

from twisted.internet.task import Clock

from gentianwharf.lifecycle import PeriodicCalls

# Exact in binary, so that the clock's sums are too.
STEP_S = 1 / 64
BUSY_S = 1 / 32
TICK_S = 1 / 16
IDLE_S = 1 / 8


def test_ticks_in_step_stay_so_and_survive_a_fault() -> None:
    """Grants lapse all over a domain after one fault in one tick.

    The loop that ran the ticks ended with the exception, and nothing was renewed.
    """
    clock = Clock()
    ticks = PeriodicCalls(reactor=clock)
    at_s: list[float] = []

    def failing() -> None:
        at_s.append(clock.seconds())
        raise ValueError("a fault")

    ticks.every(TICK_S, failing)
    clock.pump([STEP_S] * 15)
    assert at_s == [0.0, TICK_S, 2 * TICK_S, 3 * TICK_S]
    ticks.stop()
    clock.pump([STEP_S] * 15)
    assert len(at_s) == 4


def test_missed_ticks_of_a_busy_loop_are_left_out() -> None:
    """A host that was paused for a minute is busy with ticks alone when it returns."""
    clock = Clock()
    ticks = PeriodicCalls(reactor=clock)
    at_s: list[float] = []
    ticks.every(TICK_S, lambda: at_s.append(clock.seconds()))
    clock.advance(60.0)
    clock.advance(TICK_S)
    assert len(at_s) == 3


def test_first_request_after_rest_has_quick_ticks_at_once() -> None:
    """A late page is hedged a tenth of a second late when it is the first one.

    The gate ticks slowly at rest, and the next tick had been set long before.
    """
    clock = Clock()
    ticks = PeriodicCalls(reactor=clock)
    at_s: list[float] = []
    interval_s = IDLE_S
    gate = ticks.every_dynamic(lambda: interval_s, lambda: at_s.append(clock.seconds()))
    clock.advance(STEP_S)
    interval_s = BUSY_S
    gate.reschedule()
    clock.pump([STEP_S] * 6)
    assert at_s == [0.0, 3 * STEP_S, 5 * STEP_S, 7 * STEP_S]
    interval_s = IDLE_S
    clock.pump([STEP_S] * 16)
    assert at_s[4:] == [9 * STEP_S, 17 * STEP_S]
