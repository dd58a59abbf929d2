"""Servers that state in their answers that they leave, on a virtual clock."""

import pytest

from gentianwharf.load import Start
from tests.builders_load import OWNER, gate, ok, owned, server, service
from tests.builders_notices import (
    DRAIN_TIMEOUT_S,
    WAYS_TO_SERVERS,
    NoticeFleet,
    notice_server,
)


@pytest.mark.parametrize("hosts", [1, 10])
@pytest.mark.parametrize(("keyed", "answers_queries"), WAYS_TO_SERVERS)
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


def test_leaving_outlasts_a_new_entry_of_the_server() -> None:
    """Guards against a notice that is forgotten when an entry is written again."""
    leaving = gate(service(name="calendrier", servers=1, keyed=True))
    leaving.notices.set_leaving(OWNER, 10.0)
    leaving.set_servers("calendrier", [], 11.0)
    leaving.set_servers("calendrier", [server(0, service="calendrier")], 12.0)
    assert not isinstance(leaving.submit(owned("1"), 14.0), Start)


def test_owner_that_leaves_is_used_until_its_shards_have_moved() -> None:
    """Guards against refused callers in the moment that a move takes."""
    leaving = gate(service(name="calendrier", servers=1, keyed=True))
    leaving.notices.set_leaving(OWNER, 10.0)
    assert isinstance(leaving.submit(owned("1"), 10.5), Start)
    leaving.finished("1", ok(), 10.6)
