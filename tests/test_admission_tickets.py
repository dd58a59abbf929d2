"""Two requests under one name are two requests."""

from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from gentianwharf.admission import GateAdmission
from gentianwharf.load import Gate, RequestClass
from gentianwharf.relay import Outcome, Ticket
from gentianwharf.topology import BackendServer, Service

LOOK_UP = RequestClass(name="look-up", deadline_ms=1000, weight=4, hedged=True)
SERVERS = {
    f"s{number}": BackendServer(
        id=f"s{number}",
        service="roster",
        domain="hall-a",
        address="127.0.0.1:1",
        slots=3,
        connections=120,
    )
    for number in range(2)
}


def ticket(serial: int) -> Ticket:
    return Ticket(
        request_id="9c41d07be2a35f68",
        service="roster",
        request_class="look-up",
        caller="10.0.0.1:5",
        key=None,
        shard=None,
        deadline_s=10.0,
        repeatable=True,
        serial=serial,
    )


def test_request_that_is_sent_again_under_its_name_ends_apart_from_the_first() -> None:
    """A family's page shows a fault of the router, twice.

    Their connection closed behind an answer, and what they had sent after it was sent
    again, under the same name, while the host still served the first. The end of one
    was taken for the other's.
    """
    gate = Gate(
        services=[
            Service(
                name="roster", keyed=False, shards=0, servers=tuple(SERVERS.values())
            )
        ],
        classes=[LOOK_UP],
        domain="hall-a",
        rng=Random(1),
        daemons=1,
    )
    admission = GateAdmission(
        gate=gate,
        servers=SERVERS,
        now_s=lambda: 1.0,
        on_server_outcome=lambda server, answered, busy_s: None,
    )
    sent: list[Any] = []
    for serial in (1, 2):
        admitted = admission.admit(ticket(serial), None, lambda server: None)
        Deferred.fromCoroutine(admitted).addCallback(sent.append)
    assert len(sent) == 2
    for serial, server in enumerate(sent, start=1):
        admission.finished(ticket(serial), server, Outcome.ANSWERED, 0.1)
        admission.discard(ticket(serial))
    assert all(not one.in_flight for one in gate.snapshot().servers)
