"""Tests that requests with the same id are kept apart by the admission adapter."""

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


def test_request_that_is_resent_with_its_id_ends_independently_of_the_first() -> None:
    """Guards against internal errors when a client resends a request with the same id.

    The connection was closed after an answer, and the client resent the requests that
    followed it with the same ids, while the host was still serving the first ones. The
    end of one request was taken for that of the other.
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
    assert all(not row.in_flight for row in gate.snapshot().servers)
