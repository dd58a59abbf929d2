"""What the gate learnt of servers over links that are lost is no evidence."""

import pytest

from gentianwharf.load import Outcome, OutcomeKind, Refuse, Start
from tests.builders_load import gate, service, ticket

SERVERS = 3
BATCH, MAX_BATCHES = 9, 20


@pytest.mark.parametrize(
    "kind", [OutcomeKind.CONNECT_FAILED, OutcomeKind.TIMEOUT], ids=str
)
def test_servers_that_failed_over_lost_links_get_requests_at_once(
    kind: OutcomeKind,
) -> None:
    """Guards against a host that finds a way to the servers, and avoids all of them."""
    tested = gate(service(servers=SERVERS))
    now_s = 10.0
    for batch in range(MAX_BATCHES):
        if all(each.health == "suspect" for each in tested.snapshot().servers):
            break
        sent = [
            decision
            for number in range(BATCH)
            if isinstance(
                decision := tested.submit(ticket(f"f{batch}-{number}"), now_s), Start
            )
        ]
        now_s += 0.5
        failed = Outcome(kind=kind, elapsed_s=0.5)
        for start in sent:
            tested.finished(start.ticket_id, failed, now_s, start.server)
    assert {each.health for each in tested.snapshot().servers} == {"suspect"}
    assert isinstance(tested.submit(ticket("before", repeatable=False), now_s), Refuse)
    tested.forget_failures(now_s)
    started = {
        decision.server
        for number in range(2 * SERVERS)
        if isinstance(
            decision := tested.submit(ticket(f"a{number}", repeatable=False), now_s),
            Start,
        )
    }
    assert len(started) == SERVERS
