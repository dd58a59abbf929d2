"""Builders of requests of dispatched services, and a fake source of slots."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from random import Random
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.admission import GateAdmission, SlotAdmission, SlotRecord
from gentianwharf.dispatch import (
    SlotDemand,
    SlotLease,
    SlotOutcome,
    SlotRefusal,
)
from gentianwharf.load import (
    AcquireSlot,
    Decision,
    Gate,
    Outcome,
    OutcomeKind,
    RequestClass,
    Ticket,
)
from gentianwharf.relay import Problem
from gentianwharf.relay import Ticket as RelayTicket
from gentianwharf.topology import BackendServer
from tests import builders_load as build

KEYED, UNKEYED = "calendrier", "inscription"
ORDER = RequestClass(
    name="order",
    deadline_ms=2000,
    max_wait_ms=150.0,
    hedged=True,
    priority=1,
    target_latency_ms=300,
)
PAGE = replace(ORDER, name="page", priority=2, target_latency_ms=600)
HOSTS = tuple(f"host-{number}" for number in range(64))
SLOTS = 4
DISPATCHER = "host-7"


def gate(*, name: str = HOSTS[0], servers: int = 3) -> Gate:
    """Return the gate of one of 64 hosts, with a keyed and an unkeyed service.

    It has run long enough to retry from time 0 on.
    """
    made = Gate(
        services=[
            build.service(name=KEYED, servers=servers, slots=SLOTS, keyed=True),
            build.service(name=UNKEYED, servers=servers, slots=SLOTS),
            build.service(name="other", servers=servers, slots=SLOTS),
        ],
        classes=(ORDER, PAGE),
        domain=build.DOMAINS[0],
        rng=Random(1),
        daemons=len(HOSTS),
        name=name,
    )
    made.set_hosts(HOSTS)
    made.set_dispatched({KEYED, UNKEYED})
    made.retries.budgets(-build.RUN_S)
    return made


def owned(id_: str, *, server: int = 0, deadline_s: float = 2.0) -> Ticket:
    """Return a request that only the owner of its key may run."""
    return build.ticket(
        id_,
        service=KEYED,
        request_class="order",
        key=id_,
        server=f"{KEYED}-{server}",
        deadline_s=deadline_s,
    )


def unkeyed(id_: str, *, service: str = UNKEYED, deadline_s: float = 2.0) -> Ticket:
    """Return a request that any server of the service may run."""
    return build.ticket(
        id_, service=service, request_class="order", deadline_s=deadline_s
    )


def wanted(decision: Decision) -> AcquireSlot:
    """Return the decision, which has to be to acquire a slot."""
    assert isinstance(decision, AcquireSlot)
    return decision


def answer_requests(
    gate: Gate, *, count: int, work_s: float, server: int = 0, now_s: float = 0.0
) -> None:
    """Let a server answer requests, each after ``work_s``."""
    for number in range(count):
        ticket = owned(f"answered-{number}", server=server, deadline_s=now_s + 2.0)
        gate.submit(ticket, now_s)
        gate.place_granted(ticket.id, f"{KEYED}-{server}", now_s)
        outcome = Outcome(kind=OutcomeKind.OK, elapsed_s=work_s)
        gate.finished(ticket.id, outcome, now_s + work_s)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """A returned lease, with what was returned with it."""

    lease: SlotLease
    outcome: SlotOutcome
    work_s: float | None
    running: int | None
    waiting: int | None


@final
class FakeSlotSource:
    """Leaves each acquisition pending until the test answers it."""

    def __init__(self, services: Collection[str] = (KEYED, UNKEYED)) -> None:
        self.services = services
        self.demands: list[SlotDemand] = []
        self.pending: list[Deferred[SlotLease | SlotRefusal | None]] = []
        self.leases: list[SlotLease] = []
        self.releases: list[Release] = []
        self.cancelled = 0

    def is_dispatched(self, service: str) -> bool:
        """Return whether a service is one of the dispatched ones."""
        return service in self.services

    async def acquire(self, demand: SlotDemand) -> SlotLease | SlotRefusal | None:
        """Wait until the test answers."""
        self.demands.append(demand)
        answer: Deferred[SlotLease | SlotRefusal | None] = Deferred(self._cancel)
        self.pending.append(answer)
        return await answer

    def _cancel(self, answer: object) -> None:
        self.cancelled += 1

    def release(
        self,
        lease: SlotLease,
        outcome: SlotOutcome,
        *,
        work_s: float | None = None,
        running: int | None = None,
        waiting: int | None = None,
    ) -> None:
        """Record a returned lease."""
        self.releases.append(
            Release(
                lease=lease,
                outcome=outcome,
                work_s=work_s,
                running=running,
                waiting=waiting,
            )
        )

    def grant(self, server: str) -> SlotLease:
        """Grant a slot to the acquisition that was made last."""
        lease = SlotLease(
            request_id=len(self.leases) + 1,
            subject=server,
            server=server,
            dispatcher=DISPATCHER,
        )
        self.leases.append(lease)
        self.pending[-1].callback(lease)
        return lease

    def refuse(self, *, reason: str = "overload", retry_after_s: float = 0.4) -> None:
        """Refuse the acquisition that was made last."""
        refusal = SlotRefusal(request_id=1, retry_after_s=retry_after_s, reason=reason)
        self.pending[-1].callback(refusal)

    def outcomes(self) -> list[SlotOutcome]:
        """Return the outcomes of the returned leases."""
        return [release.outcome for release in self.releases]

    def is_balanced(self) -> bool:
        """Return whether each lease was returned exactly once."""
        returned = sorted(release.lease.request_id for release in self.releases)
        return returned == [lease.request_id for lease in self.leases]


@final
class FakeSlotObserver:
    """Stores the records of acquisitions."""

    def __init__(self) -> None:
        self.acquired: list[SlotRecord] = []
        self.refused: list[SlotRecord] = []
        self.undispatched: list[SlotRecord] = []

    def record_acquired(self, record: SlotRecord) -> None:
        """Store the record."""
        self.acquired.append(record)

    def record_refused(self, record: SlotRecord) -> None:
        """Store the record."""
        self.refused.append(record)

    def record_undispatched(self, record: SlotRecord) -> None:
        """Store the record."""
        self.undispatched.append(record)


@final
class DispatchedHost:
    """A host's admission with a fake source of slots, on a virtual clock."""

    def __init__(self, *, name: str = HOSTS[0]) -> None:
        self.clock = Clock()
        self.gate = gate(name=name)
        self.source = FakeSlotSource()
        self.observer = FakeSlotObserver()
        self.servers = {
            f"{service}-{number}": build.server(number, service=service, slots=SLOTS)
            for service in (KEYED, UNKEYED, "other")
            for number in range(3)
        }
        self.admission = GateAdmission(
            gate=self.gate,
            servers=self.servers,
            now_s=self.clock.seconds,
            on_server_outcome=lambda server, answered, busy_s: None,
        )
        self.slots = SlotAdmission(
            gate=self.gate,
            source=self.source,
            observer=self.observer,
            domain=build.DOMAINS[0],
            reactor=self.clock,
            dispatcher_of=lambda subject: f"dispatcher of {subject}",
        )
        self.admission.set_slots(self.slots)

    def admit(self, ticket: RelayTicket) -> "Admitted":
        """Start to admit a request."""
        owner = self.servers[f"{KEYED}-0"] if ticket.shard is not None else None
        return Admitted(
            Deferred.fromCoroutine(
                self.admission.admit(ticket, owner, lambda server: None)
            )
        )

    def in_flight(self) -> int:
        """Return the number of requests that the gate counts as in flight."""
        return sum(server.in_flight for server in self.gate.snapshot().servers)

    def remove_server(self, service: str, number: int) -> None:
        """List the service without a server."""
        listed = build.service(name=service, slots=SLOTS).servers
        kept = [server for server in listed if server.id != f"{service}-{number}"]
        self.admission.set_servers(service, kept)


@final
class Admitted:
    """The result of an admission, once there is one."""

    def __init__(self, done: "Deferred[BackendServer]") -> None:
        self.done = done
        self.server: BackendServer | None = None
        self.error: BaseException | None = None
        done.addCallbacks(self._set_server, self._set_error)

    def _set_server(self, server: BackendServer) -> None:
        self.server = server

    def _set_error(self, failure: object) -> None:
        self.error = getattr(failure, "value", None)

    @property
    def problem(self) -> Problem:
        """The problem that the request was refused with."""
        assert isinstance(self.error, Problem), self.error
        return self.error


def request(
    id_: str = "1",
    *,
    service: str = KEYED,
    deadline_s: float = 2.0,
    repeatable: bool = True,
) -> RelayTicket:
    """Return a request as the relay has it."""
    return RelayTicket(
        request_id=id_,
        service=service,
        request_class="order",
        caller="famille",
        key=id_ if service == KEYED else None,
        shard=3 if service == KEYED else None,
        deadline_s=deadline_s,
        repeatable=repeatable,
    )
