"""Hosts on a virtual clock, whose servers give notices in their answers."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import pytest

from gentianwharf.entryhost._host import LEAVING_GRACE_SHARE
from gentianwharf.load import (
    Decision,
    Gate,
    Outcome,
    OutcomeKind,
    QueryLoad,
    Refuse,
    Start,
)
from gentianwharf.topology import BackendServer, Service
from tests.builders_load import CLASSES, DOMAINS, ticket
from tests.builders_shared_machines import Clock

SERVICE = "clubdesk"
WAYS_TO_SERVERS = [
    pytest.param(True, False, id="owners"),
    pytest.param(False, False, id="any-server"),
    pytest.param(True, True, id="queried-owners"),
    pytest.param(False, True, id="queried-servers"),
]
"""Whether requests are keyed, and whether servers answer queries for their load."""

WORK_S = 0.12
REFUSAL_S = 0.003
QUERY_S = 0.003
TICK_S = 0.02
DEADLINE_S = 2.5
NOTICE_S = 1.0
"""When the servers begin to give notice."""

FIRST_COUNTED_S = NOTICE_S + 3.0
"""Hosts have this time to learn of a notice: ``contact`` on the users' pages."""

DRAIN_TIMEOUT_S = 2.0
TOLD_S = 0.5
"""A host is bound by an answer from this time after it."""


@dataclass
class NoticeServer:
    """A server and what its answers state from ``NOTICE_S`` on."""

    server: BackendServer
    max_requests_per_s: float | None = None
    leaves: bool = False
    rest_s: float | None = None
    """While notice is given, every request is turned away for this time."""
    running: int = 0

    def limit_at(self, now_s: float) -> float | None:
        return self.max_requests_per_s if now_s >= NOTICE_S else None


@dataclass
class Sent:
    """A request that reached a server, and whether its host was bound by then.

    ``late_s`` is how long after the first notice of the server to this host the caller
    sent it, minus infinity without a notice.
    """

    at_s: float
    late_s: float
    host: int
    server: str
    bound: bool


@dataclass
class TurnedAway:
    """A request that a server turned away, asking the host for rest."""

    at_s: float
    host: int
    server: str


@dataclass
class Refused:
    """A request that a host refused, and how long it was held."""

    at_s: float
    server: str | None
    held_s: float


@dataclass
class NoticeFleet:
    """Hosts with a gate each, and requests that come to all of them alike."""

    hosts: int
    servers: Sequence[NoticeServer]
    keyed: bool = True
    seed: int = 1
    answers_queries: bool = False
    sent: list[Sent] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)
    turned_away: list[TurnedAway] = field(default_factory=list)
    answered: int = 0
    submitted: int = 0

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.by_id = {server.server.id: server for server in self.servers}
        self._rng = Random(f"{self.seed}/arrivals")
        self._told_s: dict[tuple[int, str], float] = {}
        self._begun: dict[str, tuple[float, str | None]] = {}
        names = [f"host-{number}" for number in range(self.hosts)]
        service = Service(
            name=SERVICE,
            keyed=self.keyed,
            shards=0,
            servers=tuple(server.server for server in self.servers),
        )
        self.gates = [
            Gate(
                services=[service],
                classes=CLASSES,
                domain=DOMAINS[number % len(DOMAINS)],
                rng=Random(f"{self.seed}/{number}"),
                daemons=self.hosts,
                name=name,
                leaving_grace_s=DRAIN_TIMEOUT_S * LEAVING_GRACE_SHARE,
            )
            for number, name in enumerate(names)
        ]
        for number, gate in enumerate(self.gates):
            gate.set_hosts(names)
            if self.answers_queries:
                for server in self.servers:
                    self._note_load(gate, server)
            self.clock.call_later(number * TICK_S / self.hosts, self._tick, number)

    def run(self, duration_s: float, *, requests_per_s: float) -> None:
        """Send requests for any server, or for the keys of each server alike."""

        def arrive() -> None:
            gap_s = self._rng.expovariate(requests_per_s)
            if self.clock.now_s + gap_s < duration_s:
                self.clock.call_later(gap_s, arrive)
            self._submit()

        self.clock.call_later(0.0, arrive)
        self.clock.run_until(duration_s + DEADLINE_S)

    def most_in(self, window_s: float, server: NoticeServer) -> int:
        """Return the most requests of bound hosts that a server got in a window."""
        times = [
            sent.at_s
            for sent in self.sent
            if sent.server == server.server.id
            and sent.bound
            and sent.at_s >= FIRST_COUNTED_S
        ]
        return max(
            (
                sum(start <= at_s < start + window_s for at_s in times)
                for start in times
            ),
            default=0,
        )

    def _submit(self) -> None:
        number = self._rng.randrange(self.hosts)
        server = self._rng.choice(self.servers).server.id if self.keyed else None
        self.submitted += 1
        id_ = str(self.submitted)
        self._begun[id_] = self.clock.now_s, server
        request = ticket(
            id_,
            service=SERVICE,
            caller=id_,
            deadline_s=self.clock.now_s + DEADLINE_S,
            server=server,
        )
        self._apply(number, [self.gates[number].submit(request, self.clock.now_s)])

    def _tick(self, number: int) -> None:
        self.clock.call_later(TICK_S, self._tick, number)
        self._apply(number, self.gates[number].tick(self.clock.now_s))

    def _apply(self, number: int, decisions: Sequence[Decision]) -> None:
        now_s = self.clock.now_s
        for decision in decisions:
            if isinstance(decision, Start):
                self._send(number, decision)
            elif isinstance(decision, QueryLoad):
                delay_s = decision.delay_s + QUERY_S
                self.clock.call_later(delay_s, self._place, number, decision)
            elif isinstance(decision, Refuse):
                begun_s, server = self._begun[decision.ticket_id]
                self.refused.append(
                    Refused(at_s=now_s, server=server, held_s=now_s - begun_s)
                )

    def _place(self, number: int, query: QueryLoad) -> None:
        gate = self.gates[number]
        for server_id in query.servers:
            self._note_load(gate, self.by_id[server_id])
        self._apply(number, [gate.place(query.ticket_id, self.clock.now_s)])

    def _note_load(self, gate: Gate, server: NoticeServer) -> None:
        gate.note_load(
            server.server.id,
            running=server.running,
            waiting=0,
            slots=server.server.slots,
            slowdown=1.0 if self.answers_queries else None,
            now_s=self.clock.now_s,
        )

    def _send(self, number: int, start: Start) -> None:
        now_s, server = self.clock.now_s, self.by_id[start.server]
        told_s = self._told_s.get((number, start.server), float("inf"))
        bound = now_s >= told_s + TOLD_S
        begun_s, _ = self._begun[start.ticket_id]
        self.sent.append(
            Sent(
                at_s=now_s,
                late_s=begun_s - told_s,
                host=number,
                server=start.server,
                bound=bound,
            )
        )
        if server.rest_s is not None and now_s >= NOTICE_S:
            self.clock.call_later(REFUSAL_S, self._turn_away, number, start, server)
            return
        server.running += 1
        self.clock.call_later(WORK_S, self._answer, number, start, server)

    def _turn_away(self, number: int, start: Start, server: NoticeServer) -> None:
        now_s, gate = self.clock.now_s, self.gates[number]
        assert server.rest_s is not None
        self.turned_away.append(
            TurnedAway(at_s=now_s, host=number, server=start.server)
        )
        gate.notices.set_rest(start.server, server.rest_s, now_s)
        outcome = Outcome(
            kind=OutcomeKind.SHED, elapsed_s=REFUSAL_S, retry_after_s=server.rest_s
        )
        self._apply(
            number, gate.finished(start.ticket_id, outcome, now_s, start.server)
        )
        begun_s, owner = self._begun[start.ticket_id]
        request = ticket(
            start.ticket_id,
            service=SERVICE,
            caller=start.ticket_id,
            deadline_s=begun_s + DEADLINE_S,
            server=owner,
        )
        decision = gate.retry(request, OutcomeKind.SHED, now_s, start.server)
        if isinstance(decision, Start):
            gate.retries.take(SERVICE, now_s)
        self._apply(number, [decision])

    def _answer(self, number: int, start: Start, server: NoticeServer) -> None:
        now_s, gate = self.clock.now_s, self.gates[number]
        server.running -= 1
        limit_per_s = server.limit_at(now_s)
        leaves = server.leaves and now_s >= NOTICE_S
        if limit_per_s is not None or leaves:
            self._told_s.setdefault((number, start.server), now_s)
        gate.notices.set_limit(start.server, limit_per_s, now_s)
        if leaves:
            gate.notices.set_leaving(start.server, now_s)
        self.answered += 1
        outcome = Outcome(kind=OutcomeKind.OK, elapsed_s=WORK_S)
        self._apply(
            number, gate.finished(start.ticket_id, outcome, now_s, start.server)
        )


def notice_server(
    number: int,
    *,
    max_requests_per_s: float | None = None,
    leaves: bool = False,
    rest_s: float | None = None,
) -> NoticeServer:
    """Return a server of three slots."""
    server = BackendServer(
        id=f"{SERVICE}-{number}",
        service=SERVICE,
        domain=DOMAINS[number % len(DOMAINS)],
        address=f"127.0.0.1:{9200 + number}",
        slots=3,
        connections=560,
    )
    return NoticeServer(
        server=server,
        max_requests_per_s=max_requests_per_s,
        leaves=leaves,
        rest_s=rest_s,
    )
