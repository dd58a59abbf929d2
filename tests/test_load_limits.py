"""Limits that servers name, on a virtual clock: all hosts together keep to them."""

import pytest

from tests.builders_notices import NoticeFleet, notice_server

LIMIT_PER_S = 2.2
WINDOW_S = 4.0
FACTOR, EXTRA = 1.5, 5
"""A server may get this factor of its limit, and so many requests more."""


def allowed(limit_per_s: float) -> float:
    return limit_per_s * FACTOR * WINDOW_S + EXTRA


@pytest.mark.parametrize("hosts", [1, 10, 84, 300])
@pytest.mark.parametrize(
    ("keyed", "answers_queries"),
    [
        pytest.param(True, False, id="owners"),
        pytest.param(False, False, id="any-server"),
        pytest.param(True, True, id="queried-owners"),
        pytest.param(False, True, id="queried-servers"),
    ],
)
def test_hosts_together_keep_to_the_limit_of_a_server(
    hosts: int, keyed: bool, answers_queries: bool
) -> None:
    """Guards against a limit that no host applies, or each host as if it were alone."""
    limited = notice_server(0, max_requests_per_s=LIMIT_PER_S)
    fleet = NoticeFleet(
        hosts=hosts,
        servers=[limited, *(notice_server(number) for number in range(1, 4))],
        keyed=keyed,
        answers_queries=answers_queries,
    )
    fleet.run(14.0, requests_per_s=40.0)
    assert fleet.most_in(WINDOW_S, limited) <= allowed(LIMIT_PER_S)
