"""How the repeats of a window are counted."""

import pytest
from soak._retry_checks import Repeats, find_excess_retries, repeats_of, worst_window

from gentianwharf.load import RetryAgreement

WINDOW_S = 10.0
AGREEMENT = RetryAgreement(ratio=0.2, extra=64.0, window_s=WINDOW_S)


@pytest.mark.parametrize(
    ("sent_s", "arrivals", "expected"),
    [
        pytest.param([0.0], [("a", 0.1)], Repeats(sent=0, allowed=64), id="no-repeat"),
        pytest.param(
            [0.0, 0.0],
            [("b", 0.2), ("a", 0.1), ("a", 0.3), ("a", 0.4)],
            Repeats(sent=2, allowed=64.4),
            id="all-but-the-first",
        ),
        pytest.param(
            [0.0],
            [("a", 0.1), ("a", 0.2), ("a", 0.2 + WINDOW_S)],
            Repeats(sent=1, allowed=64),
            id="one-window-only",
        ),
        pytest.param(
            [0.0] * 10,
            [("a", 0.1), ("a", 9.0)],
            Repeats(sent=1, allowed=66),
            id="requests-of-the-window-before",
        ),
    ],
)
def test_worst_window(
    sent_s: list[float], arrivals: list[tuple[str, float]], expected: Repeats
) -> None:
    assert worst_window(sent_s, repeats_of(arrivals), agreement=AGREEMENT) == expected


@pytest.mark.parametrize(("repeats", "lines"), [(64, 0), (65, 1)])
def test_each_service_is_checked_by_itself(repeats: int, lines: int) -> None:
    """Guards against repeats at one service that requests to another one allow."""
    arrivals = [
        {"service": service, "request_id": "a", "arrived_s": 1.0}
        for service, count in (("seats", repeats + 1), ("calendar", 60))
        for _ in range(count)
    ]
    sent_s = {"calendar": [0.0] * 100}
    violations = find_excess_retries(sent_s, arrivals, agreement=AGREEMENT)
    assert len(violations) == lines
    assert all("seats got 65 repeats" in line for line in violations)
