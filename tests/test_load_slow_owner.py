"""Tests of an owner of keys that becomes slow while all hosts send to it."""

import pytest

from gentianwharf.load import RequestClass
from tests.builders_load_owner import SharedOwner

LOOK_UP = RequestClass(
    name="look-up", deadline_ms=1200, weight=4, max_wait_ms=150, hedged=True
)
USUAL_S, SLOW_S = 0.1, 0.5
SLOTS = 3


def make(seed: int) -> SharedOwner:
    owner = SharedOwner(
        hosts=10,
        slots=SLOTS,
        queue=12,
        request_class=LOOK_UP,
        timeout_s=1.2,
        work_s=USUAL_S,
        seed=seed,
    )
    owner.submit_for(30.0, per_s=20.0)
    owner.run(5.0)
    return owner


@pytest.mark.parametrize("seed", range(1, 6))
def test_slow_owner_still_answers_what_its_capacity_allows(seed: int) -> None:
    """Guards against a slow owner that answers no request in time.

    The owner takes five times as long for each look-up and could answer six a second.
    Each of ten hosts kept one look-up in flight there. Each look-up waited there for
    longer than its timeout, and the owner ran it although the host no longer waited.
    """
    owner = make(seed)
    owner.work_s = SLOW_S
    owner.run(20.0)
    capacity_per_s = SLOTS / SLOW_S
    assert owner.count_answered(9.0, 17.0) > 0.4 * capacity_per_s * 8
    assert owner.count("timed out", 9.0, 17.0) < 0.3 * capacity_per_s * 8


@pytest.mark.parametrize("seed", range(1, 6))
def test_requests_beyond_the_capacity_of_a_slow_owner_are_refused_at_once(
    seed: int,
) -> None:
    owner = make(seed)
    owner.work_s = SLOW_S
    owner.run(20.0)
    refused = sorted(
        request.took_s
        for request in owner.requests
        if request.state == "refused" and 7.0 <= request.submitted_s < 17.0
    )
    assert refused[int(len(refused) * 0.9)] < 0.3


@pytest.mark.parametrize("seed", range(1, 6))
def test_recovered_owner_gets_all_requests_again(seed: int) -> None:
    owner = make(seed)
    owner.work_s = SLOW_S
    owner.run(12.0)
    owner.work_s = USUAL_S
    owner.run(28.0)
    submitted = sum(16.0 <= item.submitted_s < 25.0 for item in owner.requests)
    assert owner.count_answered(16.0, 25.0) > 0.95 * submitted


@pytest.mark.parametrize("seed", range(1, 6))
def test_healthy_owner_answers_nearly_all_requests(seed: int) -> None:
    owner = make(seed)
    owner.run(20.0)
    submitted = sum(7.0 <= item.submitted_s < 17.0 for item in owner.requests)
    assert owner.count_answered(7.0, 17.0) > 0.95 * submitted
