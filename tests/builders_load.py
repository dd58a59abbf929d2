"""Builders of servers, classes, requests and gates for the tests of load."""

from random import Random

from gentianwharf.daemon._hosts import HostTable
from gentianwharf.infra import ListedHost
from gentianwharf.load import Gate, Outcome, OutcomeKind, RequestClass, Ticket
from gentianwharf.topology import BackendServer, Host, Service

CONSULTATION = RequestClass.from_deadline(
    name="consultation", deadline_ms=2000, weight=8
)
POSTING = RequestClass.from_deadline(name="posting", deadline_ms=5000, weight=8)
UPLOAD = RequestClass.from_deadline(name="upload", deadline_ms=30_000, weight=4)
ARCHIVE = RequestClass.from_deadline(name="archive", deadline_ms=60_000, weight=1)
CLASSES = (CONSULTATION, POSTING, UPLOAD, ARCHIVE)
OWNER = "calendrier-0"
DOMAINS = ("lac", "charguia", "ariana")


def server(
    number: int, *, service: str = "inscription", slots: int = 6
) -> BackendServer:
    return BackendServer(
        id=f"{service}-{number}",
        service=service,
        domain=DOMAINS[number % len(DOMAINS)],
        address=f"127.0.0.1:{9200 + number}",
        slots=slots,
        connections=130,
    )


def service(
    *, name: str = "inscription", servers: int = 3, slots: int = 6, keyed: bool = False
) -> Service:
    return Service(
        name=name,
        keyed=keyed,
        shards=16 if keyed else 0,
        servers=tuple(
            server(number, service=name, slots=slots) for number in range(servers)
        ),
    )


RUN_S = 15.0
"""Time after which a gate's retries are available."""


def gate(*services: Service, daemons: int = 1, seed: int = 1) -> Gate:
    """Return a gate that has run long enough to retry from time 0 on."""
    made = Gate(
        services=services or (service(),),
        classes=CLASSES,
        domain=DOMAINS[0],
        rng=Random(seed),
        daemons=daemons,
    )
    made.retries.budgets(-RUN_S)
    return made


def ticket(
    id_: str,
    *,
    service: str = "inscription",
    request_class: str = "consultation",
    caller: str = "famille",
    key: str | None = None,
    deadline_s: float = 1000.0,
    repeatable: bool = True,
    server: str | None = None,
) -> Ticket:
    return Ticket(
        id=id_,
        service=service,
        request_class=request_class,
        caller=caller,
        key=key,
        deadline_s=deadline_s,
        repeatable=repeatable,
        server=server,
    )


def ok(elapsed_s: float = 0.01) -> Outcome:
    return Outcome(kind=OutcomeKind.OK, elapsed_s=elapsed_s)


def owned(
    id_: str, *, request_class: str = "consultation", caller: str = "famille"
) -> Ticket:
    """Return a request that only the owner of its key may run."""
    return ticket(
        id_,
        service="calendrier",
        request_class=request_class,
        caller=caller,
        key=caller,
        server=OWNER,
    )


def host_table() -> HostTable:
    own = Host(id="lac-1", domain="lac", peer_address="127.0.0.1:9301")
    return HostTable(own=own, known=(), servers=(), now_s=lambda: 0.0)


def listed_hosts(
    names: tuple[str, ...], *, leaving: tuple[str, ...] = ()
) -> list[ListedHost]:
    return [
        ListedHost(
            id=name,
            domain=name.split("-", maxsplit=1)[0],
            address=f"127.0.0.1:{9300 + number}",
            leaving=name in leaving,
        )
        for number, name in enumerate(names, 1)
    ]
