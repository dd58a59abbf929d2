"""Servers that state in their answers that they leave, on a virtual clock."""

import pytest

from tests.builders_notices import NoticeFleet, notice_server

DRAIN_TIMEOUT_S = 2.0
"""Requests that callers send later than this after the notice may not reach it."""


@pytest.mark.parametrize("hosts", [1, 10])
@pytest.mark.parametrize(
    ("keyed", "answers_queries"),
    [
        pytest.param(True, False, id="owners"),
        pytest.param(False, False, id="any-server"),
        pytest.param(True, True, id="queried-owners"),
        pytest.param(False, True, id="queried-servers"),
    ],
)
def test_server_that_states_to_leave_gets_no_later_requests(
    hosts: int, keyed: bool, answers_queries: bool
) -> None:
    """Guards against hosts that learn of a leaving server from the store alone."""
    leaving = notice_server(0, leaves=True)
    fleet = NoticeFleet(
        hosts=hosts,
        servers=[leaving, *(notice_server(number) for number in range(1, 4))],
        keyed=keyed,
        answers_queries=answers_queries,
    )
    fleet.run(8.0, requests_per_s=40.0)
    late = [
        sent
        for sent in fleet.sent
        if sent.server == leaving.server.id and sent.late_s > DRAIN_TIMEOUT_S
    ]
    assert not late
