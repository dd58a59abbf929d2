"""Many hosts that share the one server of some keys, on a virtual clock."""

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
class Asked:
    """One request, from its host to its end."""

    id: str
    host: int
    asked_s: float
    state: str = "asked"
    sent_s: float = 0.0
    took_s: float = 0.0


@dataclass
class SharedOwner:
    """Hosts with a gate each, and one server with slots and a queue, first come first.

    A host gives up an answer after ``timeout_s``; the server runs what it was sent all
    the same. With each answer it says how many requests run and wait there.
    """

    hosts: int
    slots: int
    queue: int
    request_class: RequestClass
    timeout_s: float
    work_s: float
    seed: int = 1
    now_s: float = 0.0
    asked: list[Asked] = field(default_factory=list)
    running: int = 0
    waiting: deque[Asked] = field(default_factory=deque)
    _events: list[tuple[float, int, Any, tuple[Any, ...]]] = field(default_factory=list)
    _numbers: Any = field(default_factory=count)

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.by_id: dict[str, Asked] = {}
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
        """Call something later."""
        heappush(self._events, (self.now_s + delay_s, next(self._numbers), call, args))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call, args = heappop(self._events)
            call(*args)
        self.now_s = until_s

    def ask_for(self, duration_s: float, per_s: float) -> None:
        """Let callers ask at random times from now on."""
        at_s = self.rng.expovariate(per_s)
        while at_s < duration_s:
            self.after(at_s, self._ask)
            at_s += self.rng.expovariate(per_s)

    def good(self, from_s: float, to_s: float) -> int:
        """Return how many of those asked meanwhile were answered."""
        return sum(
            one.state == "answered" and from_s <= one.asked_s < to_s
            for one in self.asked
        )

    def count(self, state: str, from_s: float, to_s: float) -> int:
        """Return how many of those asked meanwhile ended so."""
        return sum(
            one.state == state and from_s <= one.asked_s < to_s for one in self.asked
        )

    def _tick(self) -> None:
        for host, gate in enumerate(self.gates):
            self._apply(host, gate.tick(self.now_s))
        self.after(TICK_S, self._tick)

    def _ask(self) -> None:
        host = self.rng.randrange(self.hosts)
        number = str(len(self.asked))
        asked = Asked(id=number, host=host, asked_s=self.now_s)
        self.asked.append(asked)
        self.by_id[number] = asked
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
        for one in decisions:
            asked = self.by_id[one.ticket_id]
            if isinstance(one, Start):
                self._send(asked)
            elif type(one).__name__ == "Refuse":
                asked.state = "refused"
                asked.took_s = self.now_s - asked.asked_s

    def _send(self, asked: Asked) -> None:
        asked.state, asked.sent_s = "sent", self.now_s
        if self.running < self.slots:
            self._run(asked)
        elif len(self.waiting) < self.queue:
            self.waiting.append(asked)
        else:
            self._end(asked, "shed", OutcomeKind.SHED)
            return
        left_s = asked.asked_s + self.timeout_s - self.now_s
        self.after(left_s, self._give_up, asked)

    def _run(self, asked: Asked) -> None:
        self.running += 1
        self.after(self.work_s * self.rng.uniform(0.5, 1.5), self._done, asked)

    def _done(self, asked: Asked) -> None:
        self.running -= 1
        if self.waiting:
            self._run(self.waiting.popleft())
        if asked.state != "sent":
            return
        gate = self.gates[asked.host]
        gate.note_load(
            "owner", waiting=len(self.waiting), slots=self.slots, now_s=self.now_s
        )
        self._end(asked, "answered", OutcomeKind.OK)

    def _give_up(self, asked: Asked) -> None:
        if asked.state == "sent":
            self._end(asked, "timed out", OutcomeKind.TIMEOUT)

    def _end(self, asked: Asked, state: str, kind: OutcomeKind) -> None:
        asked.state = state
        asked.took_s = self.now_s - asked.asked_s
        outcome = Outcome(kind=kind, elapsed_s=self.now_s - asked.sent_s)
        gate = self.gates[asked.host]
        self._apply(asked.host, gate.finished(asked.id, outcome, self.now_s, "owner"))
