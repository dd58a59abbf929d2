"""Servers that turn requests away and ask for rest, on a virtual clock."""

import pytest

from gentianwharf.load import Gate, Outcome, OutcomeKind, Refuse, Start
from tests.builders_load import OWNER, gate, owned, server, service
from tests.builders_notices import TOLD_S, WAYS_TO_SERVERS, NoticeFleet, notice_server

ALLOWED = 2
"""Requests of a host that may reach the server within its rest."""


@pytest.mark.parametrize("rest_s", [3.0, 8.0])
@pytest.mark.parametrize("hosts", [1, 10])
@pytest.mark.parametrize(("keyed", "answers_queries"), WAYS_TO_SERVERS)
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


def resting_gate() -> Gate:
    """Return a gate whose only owner asked for 3 s of rest at 10 s."""
    resting = gate(service(name="calendrier", servers=1, keyed=True))
    resting.submit(owned("1"), 9.9)
    outcome = Outcome(kind=OutcomeKind.SHED, elapsed_s=0.1, retry_after_s=3.0)
    resting.finished("1", outcome, 10.0)
    return resting


def test_request_for_a_resting_owner_is_refused_at_once() -> None:
    """Guards against callers who wait for an owner that refuses them later."""
    resting = resting_gate()
    assert isinstance(resting.submit(owned("2"), 10.1), Refuse)
    assert isinstance(resting.submit(owned("3"), 13.1), Start)


def test_shorter_time_does_not_end_a_rest() -> None:
    """Guards against a time that a later answer or reset overwrites."""
    resting = resting_gate()
    resting.notices.set_rest(OWNER, 0.1, 10.2)
    assert isinstance(resting.submit(owned("2"), 12.0), Refuse)


def test_rest_outlasts_a_new_entry_of_the_server() -> None:
    """Guards against a rest that is forgotten when an entry is written again."""
    resting = resting_gate()
    resting.set_servers("calendrier", [], 10.5)
    resting.set_servers("calendrier", [server(0, service="calendrier")], 11.0)
    assert isinstance(resting.submit(owned("2"), 12.0), Refuse)


def test_request_that_waited_for_a_connection_is_not_sent_into_a_rest() -> None:
    """Guards against a rest that holds for requests yet to be started only."""
    resting = resting_gate()
    assert not resting.notices.may_still_send(OWNER, 10.1)
    assert resting.notices.may_still_send(OWNER, 13.1)
