"""Limits that servers name, on a virtual clock: all hosts together keep to them."""

from dataclasses import replace

import pytest

from gentianwharf.load import Gate, OutcomeKind, Refuse, Start, Ticket
from tests.builders_load import OWNER, gate, ok, owned, server, service, ticket
from tests.builders_notices import WAYS_TO_SERVERS, NoticeFleet, notice_server

LIMIT_PER_S = 2.2
WINDOW_S = 4.0
FACTOR, EXTRA = 1.5, 5
"""A server may get this factor of its limit, and so many requests more."""


def allowed(limit_per_s: float) -> float:
    return limit_per_s * FACTOR * WINDOW_S + EXTRA


@pytest.mark.parametrize("hosts", [1, 10, 84, 300])
@pytest.mark.parametrize(("keyed", "answers_queries"), WAYS_TO_SERVERS)
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


def limited_gate(*, keyed: bool) -> tuple[Gate, str]:
    """Return a gate of the only host, and its server, which takes one in 2 s."""
    name = "calendrier" if keyed else "inscription"
    limited = gate(service(name=name, servers=1, keyed=keyed))
    limited.set_hosts([""])
    limited.notices.set_limit(f"{name}-0", 0.5, 9.0)
    return limited, f"{name}-0"


def test_request_beyond_an_owner_s_limit_is_refused_at_once() -> None:
    """Guards against requests that wait for a turn which can't come in time."""
    limited, _ = limited_gate(keyed=True)
    assert isinstance(limited.submit(owned("1"), 10.0), Start)
    limited.finished("1", ok(), 10.1)
    refused = limited.submit(owned("2"), 10.2)
    assert isinstance(refused, Refuse)
    assert isinstance(limited.submit(owned("3"), 12.1), Start)


def test_retry_waits_for_the_limit_too() -> None:
    """Guards against retries that pass by a server's limit."""
    limited, name = limited_gate(keyed=False)
    limited.submit(ticket("1"), 10.0)
    limited.finished("1", ok(), 10.1)
    assert not isinstance(
        limited.retry(ticket("2"), OutcomeKind.CONNECT_FAILED, 10.2), Start
    )
    assert not isinstance(
        limited.retry(ticket("3", server=name), OutcomeKind.NOT_OWNER, 10.3), Start
    )


@pytest.mark.parametrize("keyed", [True, False])
def test_waiting_request_waits_for_the_limit(keyed: bool) -> None:
    """Guards against a queue that is sent as soon as a slot is free."""
    limited, name = limited_gate(keyed=keyed)
    limited.notices.set_limit(name, None, 9.5)
    sent = [limited.submit(_request(str(n), keyed), 10.0) for n in range(12)]
    assert not all(isinstance(item, Start) for item in sent)
    limited.notices.set_limit(name, 0.5, 10.0)
    later = limited.finished("0", ok(), 10.01) + limited.tick(10.02)
    assert not [item for item in later if isinstance(item, Start)]


def _request(id_: str, keyed: bool) -> Ticket:
    return owned(id_) if keyed else ticket(id_)


@pytest.mark.parametrize("change", ["removed-and-listed-again", "new-address"])
def test_limit_outlasts_a_new_entry_of_the_server(change: str) -> None:
    """Guards against a limit that is forgotten when an entry is written again."""
    limited, name = limited_gate(keyed=True)
    entry = server(0, service="calendrier")
    if change == "new-address":
        entry = replace(entry, address="127.0.0.1:9999")
    else:
        limited.set_servers("calendrier", [], 10.0)
    limited.set_servers("calendrier", [entry], 10.0)
    assert isinstance(limited.submit(owned("1"), 20.0), Start)
    limited.finished("1", ok(), 20.1)
    assert name == OWNER
    assert not isinstance(limited.submit(owned("2"), 20.2), Start)


def test_server_without_a_limit_any_more_is_used_fully() -> None:
    """Guards against a limit that never ends."""
    limited, name = limited_gate(keyed=True)
    assert isinstance(limited.submit(owned("1"), 10.0), Start)
    limited.finished("1", ok(), 10.1)
    limited.notices.set_limit(name, None, 10.1)
    assert isinstance(limited.submit(owned("2"), 10.2), Start)


def test_host_without_a_share_learns_that_a_limit_has_ended() -> None:
    """Guards against a host that never sends again, since it gets no answers."""
    limited, name = limited_gate(keyed=True)
    limited.set_hosts(["another"])
    assert not isinstance(limited.submit(owned("1"), 20.0), Start)
    limited.notices.set_reported_limit(name, None, 20.1)
    assert isinstance(limited.submit(owned("2"), 20.2), Start)


def test_own_answer_is_newer_than_a_report() -> None:
    """Guards against an old report that lifts a limit just named."""
    limited, name = limited_gate(keyed=True)
    limited.submit(owned("1"), 10.0)
    limited.notices.set_limit(name, 0.5, 10.1)
    limited.finished("1", ok(), 10.1)
    limited.notices.set_reported_limit(name, None, 10.2)
    assert not isinstance(limited.submit(owned("2"), 10.3), Start)


def test_hosts_whose_lists_differ_keep_to_the_limit() -> None:
    """Guards against hosts that choose other senders while a host joins or leaves."""
    limited = notice_server(0, max_requests_per_s=LIMIT_PER_S)
    fleet = NoticeFleet(hosts=40, servers=[limited], keyed=True)
    names = [f"host-{number}" for number in range(40)]
    for number, fleet_gate in enumerate(fleet.gates):
        fleet_gate.set_hosts(names if number % 2 else names[:-1])
    fleet.run(30.0, requests_per_s=60.0)
    assert fleet.most_in(WINDOW_S, limited) <= allowed(LIMIT_PER_S)
