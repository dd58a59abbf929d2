"""The delay of the leader's updates."""

import pytest

from gentianwharf.entryhost._update_delay import WINDOW_S, UpdateDelay


@pytest.mark.parametrize("difference_s", [0.0, -5_000.0, 70_000.0])
def test_delay_is_what_an_update_took_longer_than_others(difference_s: float) -> None:
    delay = UpdateDelay()
    for sent_s, took_s, expected_s in [(1, 0.01, 0), (2, 0.81, 0.8), (3, 0.01, 0)]:
        received_s = sent_s + took_s + difference_s
        late_s = delay.note(sent_s=sent_s, received_s=received_s)
        assert late_s == pytest.approx(expected_s, abs=1e-6)


def test_clock_that_stood_still_counts_as_a_delay_for_a_while() -> None:
    """Guards against a host that never trusts a leader again that was suspended."""
    delay = UpdateDelay()
    delay.note(sent_s=0.0, received_s=0.0)
    late_s = [
        delay.note(sent_s=float(second), received_s=second + 1.0)
        for second in range(1, round(3 * WINDOW_S))
    ]
    assert late_s[0] == 1.0
    assert late_s[-1] == 0.0


def test_another_leader_has_another_clock() -> None:
    delay = UpdateDelay()
    delay.note(sent_s=100.0, received_s=0.0)
    delay.reset()
    assert delay.note(sent_s=0.0, received_s=0.0) == 0.0
