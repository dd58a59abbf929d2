"""The soak's record of times in which it forwarded nothing."""

from pathlib import Path

from soak._disruptions import SOAK
from soak._stalls import LOOK_EVERY_S, MIN_STALL_S, Stalls

from .builders_soak_drawn import Drawn


def test_only_a_soak_that_stood_still_is_recorded(tmp_path: Path) -> None:
    """Guards against orders that only the soak has held, and count as the hosts'."""
    drawn = Drawn(tmp_path)
    disruptions = drawn.deployment.disruptions
    stalls = Stalls(
        reactor=drawn.clock, disruptions=disruptions, schedule=drawn.schedule
    )
    stalls.start()
    drawn.clock.pump([LOOK_EVERY_S + MIN_STALL_S / 2] * 10)
    assert not drawn.schedule.records
    before_s = drawn.clock.seconds()
    drawn.clock.advance(LOOK_EVERY_S + 2 * MIN_STALL_S)
    after_s = drawn.clock.seconds()
    assert len(drawn.schedule.records) == 1
    assert disruptions.ended_within(SOAK, after_s, 0.01)
    assert disruptions.overlaps(SOAK, before_s + LOOK_EVERY_S, after_s)
    assert not disruptions.overlaps(SOAK, 0.0, before_s)
    stalls.stop()
    assert not drawn.clock.getDelayedCalls()
