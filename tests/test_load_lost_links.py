"""What the gate learnt of servers over links that are lost is no evidence."""

import pytest

from gentianwharf.load import Outcome, OutcomeKind, Refuse, Start
from tests.builders_load import OWNER, gate, owned, service, ticket

TICK_S = 0.02
SILENT_TICKS = 100
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


def test_requests_that_hang_on_lost_links_make_no_owner_suspect() -> None:
    """Guards against an owner that is refused because of requests sent before the cut.

    They may not be sent again, and wait for their answers until their deadlines.
    """
    tested = gate(service(name="calendrier", keyed=True))
    now_s = 10.0
    for number in range(3):
        first = tested.submit(owned(f"warm{number}"), now_s)
        assert isinstance(first, Start)
        answered = Outcome(kind=OutcomeKind.OK, elapsed_s=0.02)
        now_s += 0.02
        tested.finished(f"warm{number}", answered, now_s, OWNER)
    assert isinstance(tested.submit(owned("hangs"), now_s), Start)
    for _ in range(20):
        now_s += TICK_S
        tested.tick(now_s)
    tested.forget_failures(now_s)
    for _ in range(SILENT_TICKS):
        now_s += TICK_S
        tested.tick(now_s)
    assert isinstance(tested.submit(owned("after"), now_s), Start)
