"""The soak's disturbance of answers hits whole answers only."""

from random import Random

import pytest
from soak._answer_faults import AnswerFaults, is_whole

from tests.builders_relay import response

FIRST, SECOND = response(b"first"), response(b"second")


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(FIRST, True, id="whole"),
        pytest.param(FIRST[:-1], False, id="part"),
        pytest.param(FIRST + SECOND, False, id="two"),
        pytest.param(b"first", False, id="rest-of-a-body"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n", False, id="no-length"),
    ],
)
def test_whole_answer_is_recognized(data: bytes, expected: bool) -> None:
    assert is_whole(data) is expected


def test_answers_are_sent_late_twice_and_in_part() -> None:
    faults = AnswerFaults(rng=Random(1), is_active=lambda: True)
    sent = {faults.disturb(FIRST, SECOND) for _ in range(200)}
    assert sent == {
        (SECOND, False),
        (FIRST + SECOND, False),
        (SECOND + SECOND, False),
        (SECOND[: len(SECOND) // 2], True),
    }


def test_nothing_is_disturbed_after_the_faults_are_over() -> None:
    faults = AnswerFaults(rng=Random(1), is_active=lambda: False)
    assert {faults.disturb(FIRST, SECOND) for _ in range(200)} == {(SECOND, False)}
