"""Deadlines while the host itself stands still."""

import pytest
from twisted.internet.task import Clock

from gentianwharf.pauses import GRACE_S, PAUSE_THRESHOLD_S, Timeout


@pytest.mark.parametrize(
    ("late_s", "expired_at_s"),
    [
        pytest.param(0.0, 1.0, id="in-time"),
        pytest.param(PAUSE_THRESHOLD_S / 2, 1.0 + PAUSE_THRESHOLD_S / 2, id="busy"),
        pytest.param(5.0, 6.0 + GRACE_S, id="paused"),
    ],
)
def test_deadline_that_a_pause_held_up_leaves_time_to_read(
    late_s: float, expired_at_s: float
) -> None:
    clock, at_s = Clock(), list[float]()
    timeout = Timeout(
        clock=clock, delay_s=1.0, expire=lambda: at_s.append(clock.seconds())
    )
    clock.advance(1.0 + late_s)
    clock.advance(GRACE_S)
    assert at_s == pytest.approx([expired_at_s])
    assert timeout.expired


def test_answer_read_after_a_pause_stops_the_deadline() -> None:
    """A posting that was answered in time is called unknown after a pause."""
    clock, at_s = Clock(), list[float]()
    timeout = Timeout(
        clock=clock, delay_s=1.0, expire=lambda: at_s.append(clock.seconds())
    )
    clock.advance(6.0)
    timeout.stop()
    clock.advance(60.0)
    assert not at_s
    assert not timeout.expired
