"""What the quarantine adds to a request, with no suspected request and with many."""

from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from gentianwharf.entryhost._guarded_run import HostGuardedRun
from gentianwharf.entryhost._peers import Peers
from gentianwharf.entryhost._quarantine import HostQuarantine
from gentianwharf.quarantine import (
    MAX_RECORDS,
    BodyPrefix,
    CrashEvidence,
    ServerCrash,
    head_digest,
)
from gentianwharf.relay import Ticket
from gentianwharf.topology import BackendServer

from ._figure import Figure
from ._timing import time_us

TIMES = 20_000
SEED = 1
BODY_BYTES = (0, 300, 60_000)
LINK_BYTES_PER_S = 12_500_000.0
SERVER = BackendServer(
    id="s1",
    service="ledger",
    domain="a",
    address="10.0.9.1:80",
    slots=2,
    connections=10,
)


def _quarantine(suspected: int) -> HostQuarantine:
    clock = Clock()
    quarantine = HostQuarantine(
        peers=Peers(
            host="h1",
            address="10.0.0.1:90",
            link_bytes_per_s=LINK_BYTES_PER_S,
            reactor=clock,
        ),
        entry_of=lambda server_id: None,
        pool_of=lambda server_id: None,
        listed=list,
        knows_hosts=lambda: True,
        dial=cast(Any, None),
        reactor=clock,
        rng=Random(SEED),
    )
    for number in range(suspected):
        head = head_digest(
            method=b"GET",
            host=b"h",
            target=b"/%d" % number,
            caller="10.1.0.1",
            body_length=0,
        )
        crash = ServerCrash(
            incarnation=f"s{number}/1",
            ended_s=0.0,
            ended_unix_ms=0,
            evidence=CrashEvidence.REFUSED,
            host="h1",
            request_id="r1",
            service="ledger",
        )
        quarantine.records.note_crash(BodyPrefix().name(head), crash)
    return quarantine


def _exchange() -> Any:
    request = SimpleNamespace(
        method=b"GET",
        uri=b"/calendrier/fst/visites?page=28&sort=new",
        requestHeaders=Headers({b"host": [b"calendrier.example"]}),
        body=None,
    )
    ticket = Ticket(
        request_id="9c41d07be2a35f68",
        service="calendrier",
        request_class="consultation",
        caller="10.1.0.1",
        key=None,
        shard=None,
        deadline_s=10.0,
        repeatable=True,
    )
    return SimpleNamespace(request=request, ticket=ticket)


def _digest(body: bytes) -> None:
    BodyPrefix().update(body)


def figures() -> Iterator[Figure]:
    """Yield the processor time that each request takes."""
    exchange = _exchange()
    for suspected in (0, MAX_RECORDS):
        quarantine = _quarantine(suspected)

        def guard(quarantine: HostQuarantine = quarantine) -> None:
            run = cast(HostGuardedRun, quarantine.watch(exchange))
            with suppress(StopIteration):
                run.admit().send(None)
            run.may_send()
            run.note_written(SERVER)
            run.note_answered(SERVER)
            run.finish()

        yield Figure(
            name="quarantine.request",
            value=time_us(guard, times=TIMES),
            unit="us",
            size={"suspected": suspected},
            seed=SEED,
        )
    for body_bytes in BODY_BYTES:
        body = b"x" * body_bytes
        yield Figure(
            name="quarantine.body",
            value=time_us(partial(_digest, body), times=TIMES),
            unit="us",
            size={"bytes": body_bytes},
            seed=SEED,
        )
