"""The delay of the leader's updates."""

import pytest

from gentianwharf.entryhost._peer_messages import HostIdentity
from gentianwharf.entryhost._update_delay import (
    MAX_LEADERS,
    WINDOW_S,
    UpdateDelay,
    UpdateDelays,
)


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


def leader(number: int, *, incarnation: int = 1) -> HostIdentity:
    return HostIdentity(f"h{number}", f"10.0.0.{number}:90", incarnation)


@pytest.mark.parametrize("other", [leader(2), leader(1, incarnation=2)])
def test_another_leader_has_another_clock(other: HostIdentity) -> None:
    delays = UpdateDelays()
    delays.of(leader(1)).note(sent_s=100.0, received_s=0.0)
    assert delays.of(other).note(sent_s=0.0, received_s=0.0) == 0.0


def test_leader_that_leads_again_is_compared_with_its_earlier_updates() -> None:
    """Guards against a late link that counts as fast since another host led."""
    delays = UpdateDelays()
    delays.of(leader(1)).note(sent_s=100.0, received_s=0.0)
    delays.of(leader(2)).note(sent_s=0.0, received_s=5.0)
    assert delays.of(leader(1)).note(sent_s=160.0, received_s=60.5) == 0.5


def test_number_of_known_leaders_is_bounded() -> None:
    delays = UpdateDelays()
    for number in range(MAX_LEADERS + 1):
        delays.of(leader(number)).note(sent_s=100.0, received_s=0.0)
    assert delays.of(leader(MAX_LEADERS)).note(sent_s=0.0, received_s=0.0) == 100.0
    assert delays.of(leader(0)).note(sent_s=0.0, received_s=0.0) == 0.0
