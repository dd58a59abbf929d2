"""A simulation of hosts that share the only server of some keys, in virtual time."""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from gentianwharf.load import (
    Gate,
    Outcome,
    OutcomeKind,
    RequestClass,
    Start,
    Ticket,
)
from gentianwharf.topology import BackendServer, Service

TICK_S = 0.02


@dataclass
class SimulatedRequest:
    """A request and its state; times in seconds."""

    id: str
    host: int
    submitted_s: float
    state: str = "submitted"
    sent_s: float = 0.0
    took_s: float = 0.0


@dataclass
class SharedOwner:
    """Hosts with a gate each, and one server with slots and a FIFO queue.

    A host stops waiting for an answer after ``timeout_s``; the server runs the request
    all the same. With each answer it reports how many requests are waiting.
    """

    hosts: int
    slots: int
    queue: int
    request_class: RequestClass
    timeout_s: float
    work_s: float
    seed: int = 1
    now_s: float = 0.0
    requests: list[SimulatedRequest] = field(default_factory=list)
    running: int = 0
    waiting: deque[SimulatedRequest] = field(default_factory=deque)
    _events: list[tuple[float, int, Any, tuple[Any, ...]]] = field(default_factory=list)
    _numbers: Any = field(default_factory=count)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.by_id: dict[str, SimulatedRequest] = {}
        self.server = BackendServer(
            id="owner",
            service="roster",
            domain="hall-a",
            address="127.0.0.1:1",
            slots=self.slots,
            connections=120,
        )
        self.gates = [self._gate(number) for number in range(self.hosts)]
        self.after(0.0, self._tick)

    def _gate(self, number: int) -> Gate:
        gate = Gate(
            services=[Service(name="roster", keyed=True, shards=0)],
            classes=[self.request_class],
            domain="hall-a",
            rng=Random(number),
            daemons=self.hosts,
        )
        gate.set_servers("roster", [self.server], 0.0)
        return gate

    def after(self, delay_s: float, call: Any, *args: Any) -> None:
        """Schedule a call."""
        heappush(self._events, (self.now_s + delay_s, next(self._numbers), call, args))

    def run(self, until_s: float) -> None:
        """Advance the clock and run the calls that are due."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, args = heappop(self._events)
            call(*args)
        self.now_s = until_s

    def submit_for(self, duration_s: float, per_s: float) -> None:
        """Schedule requests at random times from now on, ``per_s`` on average."""
        at_s = self.rng.expovariate(per_s)
        while at_s < duration_s:
            self.after(at_s, self._submit)
            at_s += self.rng.expovariate(per_s)

    def count_answered(self, from_s: float, to_s: float) -> int:
        """Return how many requests submitted in this interval were answered."""
        return sum(
            request.state == "answered" and from_s <= request.submitted_s < to_s
            for request in self.requests
        )

    def count(self, state: str, from_s: float, to_s: float) -> int:
        """Return how many requests submitted in this interval are in ``state``."""
        return sum(
            request.state == state and from_s <= request.submitted_s < to_s
            for request in self.requests
        )

    def _tick(self) -> None:
        for host, gate in enumerate(self.gates):
            self._apply(host, gate.tick(self.now_s))
        self.after(TICK_S, self._tick)

    def _submit(self) -> None:
        host = self.rng.randrange(self.hosts)
        number = str(len(self.requests))
        request = SimulatedRequest(id=number, host=host, submitted_s=self.now_s)
        self.requests.append(request)
        self.by_id[number] = request
        ticket = Ticket(
            id=number,
            service="roster",
            request_class=self.request_class.name,
            caller=number,
            deadline_s=self.now_s + self.timeout_s,
            key=number,
            shard=7,
            repeatable=True,
            server="owner",
        )
        self._apply(host, [self.gates[host].submit(ticket, self.now_s)])

    def _apply(self, host: int, decisions: list[Any]) -> None:
        for decision in decisions:
            request = self.by_id[decision.ticket_id]
            if isinstance(decision, Start):
                self._send(request)
            elif type(decision).__name__ == "Refuse":
                request.state = "refused"
                request.took_s = self.now_s - request.submitted_s

    def _send(self, request: SimulatedRequest) -> None:
        request.state, request.sent_s = "sent", self.now_s
        if self.running < self.slots:
            self._run(request)
        elif len(self.waiting) < self.queue:
            self.waiting.append(request)
        else:
            self._end(request, "shed", OutcomeKind.SHED)
            return
        remaining_s = request.submitted_s + self.timeout_s - self.now_s
        self.after(remaining_s, self._time_out, request)

    def _run(self, request: SimulatedRequest) -> None:
        self.running += 1
        self.after(self.work_s * self.rng.uniform(0.5, 1.5), self._done, request)

    def _done(self, request: SimulatedRequest) -> None:
        self.running -= 1
        if self.waiting:
            self._run(self.waiting.popleft())
        if request.state != "sent":
            return
        gate = self.gates[request.host]
        gate.note_load(
            "owner", waiting=len(self.waiting), slots=self.slots, now_s=self.now_s
        )
        self._end(request, "answered", OutcomeKind.OK)

    def _time_out(self, request: SimulatedRequest) -> None:
        if request.state == "sent":
            self._end(request, "timed out", OutcomeKind.TIMEOUT)

    def _end(self, request: SimulatedRequest, state: str, kind: OutcomeKind) -> None:
        request.state = state
        request.took_s = self.now_s - request.submitted_s
        outcome = Outcome(kind=kind, elapsed_s=self.now_s - request.sent_s)
        gate = self.gates[request.host]
        self._apply(
            request.host, gate.finished(request.id, outcome, self.now_s, "owner")
        )
