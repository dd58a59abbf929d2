"""Tests of timeouts while the host is paused."""

import pytest
from twisted.internet.task import Clock

from gentianwharf.pauses import GRACE_S, PAUSE_THRESHOLD_S, Timeout


@pytest.mark.parametrize(
    ("late_s", "expected_s"),
    [
        pytest.param(0.0, 1.0, id="in-time"),
        pytest.param(PAUSE_THRESHOLD_S / 2, 1.0 + PAUSE_THRESHOLD_S / 2, id="busy"),
        pytest.param(5.0, 6.0 + GRACE_S, id="paused"),
    ],
)
def test_timeout_that_a_pause_delayed_leaves_time_to_read_answers(
    late_s: float, expected_s: float
) -> None:
    clock, expired_s = Clock(), list[float]()
    timeout = Timeout(
        clock=clock, delay_s=1.0, expire=lambda: expired_s.append(clock.seconds())
    )
    clock.advance(1.0 + late_s)
    clock.advance(GRACE_S)
    assert expired_s == pytest.approx([expected_s])
    assert timeout.expired


def test_answer_read_after_a_pause_cancels_the_timeout() -> None:
    """Guards against an unknown outcome of a request that was answered in time."""
    clock, expired_s = Clock(), list[float]()
    timeout = Timeout(
        clock=clock, delay_s=1.0, expire=lambda: expired_s.append(clock.seconds())
    )
    clock.advance(6.0)
    timeout.stop()
    clock.advance(60.0)
    assert not expired_s
    assert not timeout.expired
