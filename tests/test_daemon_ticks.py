"""Periodic calls run at their intervals."""

from twisted.internet.task import Clock

from gentianwharf.lifecycle import PeriodicCalls

# Exact in binary, so that the clock's sums are too.
STEP_S = 1 / 64
BUSY_INTERVAL_S = 1 / 32
INTERVAL_S = 1 / 16
IDLE_INTERVAL_S = 1 / 8


def test_periodic_calls_keep_their_schedule_after_an_error() -> None:
    """Guards against a loss of all grants in a domain after one error.

    An exception in one periodic call ended the loop, and no grant was renewed.
    """
    clock = Clock()
    calls = PeriodicCalls(reactor=clock)
    at_s: list[float] = []

    def failing() -> None:
        at_s.append(clock.seconds())
        raise ValueError("a fault")

    calls.every(INTERVAL_S, failing)
    clock.pump([STEP_S] * 15)
    assert at_s == [0.0, INTERVAL_S, 2 * INTERVAL_S, 3 * INTERVAL_S]
    calls.stop()
    clock.pump([STEP_S] * 15)
    assert len(at_s) == 4


def test_missed_calls_of_a_busy_loop_are_skipped() -> None:
    """Guards against a host that runs all missed calls after a pause of a minute."""
    clock = Clock()
    calls = PeriodicCalls(reactor=clock)
    at_s: list[float] = []
    calls.every(INTERVAL_S, lambda: at_s.append(clock.seconds()))
    clock.advance(60.0)
    clock.advance(INTERVAL_S)
    assert len(at_s) == 3


def test_rescheduled_call_uses_the_shorter_interval_at_once() -> None:
    """Guards against hedging the first request 0.1 s too late.

    The gate runs at a long interval while idle, and its next call had been scheduled
    before the request arrived.
    """
    clock = Clock()
    calls = PeriodicCalls(reactor=clock)
    at_s: list[float] = []
    interval_s = IDLE_INTERVAL_S
    gate = calls.every_dynamic(lambda: interval_s, lambda: at_s.append(clock.seconds()))
    clock.advance(STEP_S)
    interval_s = BUSY_INTERVAL_S
    gate.reschedule()
    clock.pump([STEP_S] * 6)
    assert at_s == [0.0, 3 * STEP_S, 5 * STEP_S, 7 * STEP_S]
    interval_s = IDLE_INTERVAL_S
    clock.pump([STEP_S] * 16)
    assert at_s[4:] == [9 * STEP_S, 17 * STEP_S]
