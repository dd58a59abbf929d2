"""Servers that turn requests away and ask for rest, on a virtual clock."""

import pytest

from tests.builders_notices import TOLD_S, NoticeFleet, notice_server

ALLOWED = 2
"""Requests of a host that may reach the server within its rest."""


@pytest.mark.parametrize("rest_s", [3.0, 8.0])
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
def test_server_that_asks_for_rest_gets_it(
    rest_s: float, hosts: int, keyed: bool, answers_queries: bool
) -> None:
    """Guards against hosts that cut short the rest that a server asks for."""
    resting = notice_server(0, rest_s=rest_s)
    fleet = NoticeFleet(
        hosts=hosts,
        servers=[resting, *(notice_server(number) for number in range(1, 4))],
        keyed=keyed,
        answers_queries=answers_queries,
    )
    fleet.run(12.0, requests_per_s=160.0)
    assert fleet.turned_away
    for turned_away in fleet.turned_away:
        begins_s, ends_s = turned_away.at_s + TOLD_S, turned_away.at_s + rest_s
        within = [
            sent
            for sent in fleet.sent
            if (sent.server, sent.host) == (turned_away.server, turned_away.host)
            and begins_s <= sent.at_s < ends_s
        ]
        assert len(within) <= ALLOWED
