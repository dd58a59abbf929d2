"""Fakes for trials of the decisions: a virtual clock, backend servers and hosts.

Servers have slots and an internal FIFO queue, shed requests when the queue is full,
honour deadlines and cancellation, and can be slow, cold, frozen or lost. Each host has
a router of its own and carries out its decisions as the relay does. Hosts do not
communicate with each other.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Protocol, final

from gentianwharf.load import (
    Decision,
    Outcome,
    OutcomeKind,
    Refuse,
    Start,
    Ticket,
)
from gentianwharf.topology import BackendServer

SAME_DOMAIN_S = 0.0001
OTHER_DOMAIN_S = 0.0005
CONNECT_S = 0.001
TICK_S = 0.02
# A server sheds requests once its queue holds this many per slot.
WAITING_PER_SLOT = 4
COLD_FACTOR = 3.0
COLD_S = 5.0


WITHDRAWN_RETRY_AFTER_S = 1.0

TakeRetry = Callable[[str, float], bool]
"""Takes a retry from the budget of a service at a time in seconds, if there is one."""


class Router(Protocol):
    """The methods of ``gentianwharf.load.Gate`` that hosts call, also in baselines."""

    def submit(self, ticket: Ticket, now_s: float) -> Decision:
        """Decide on a new request."""

    def finished(
        self, ticket_id: str, outcome: Outcome, now_s: float, server: str | None = None
    ) -> list[Decision]:
        """Record the outcome of a request."""

    def retry(
        self, ticket: Ticket, after: OutcomeKind, now_s: float, avoid: str | None = None
    ) -> Decision:
        """Decide whether to retry a request."""

    def cancel(self, ticket_id: str, now_s: float) -> list[Decision]:
        """Discard a request."""

    def tick(self, now_s: float) -> list[Decision]:
        """Return the decisions that are due."""

    def set_servers(
        self, service: str, servers: Sequence[BackendServer], now_s: float
    ) -> list[Decision]:
        """Replace the servers of a service."""


@final
class VirtualClock:
    """Runs scheduled calls in order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()

    def call_at(self, at_s: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        heappush(self._calls, (at_s, next(self._sequence), call, args))

    def run_until(self, end_s: float) -> None:
        """Run the calls that are due up to ``end_s``."""
        calls = self._calls
        while calls and calls[0][0] <= end_s:
            self.now_s, _, call, args = heappop(calls)
            call(*args)
        self.now_s = end_s


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Request:
    """A caller's request and its result."""

    ticket: Ticket
    work_s: float
    submitted_s: float
    retries: int = 0
    ended_s: float = 0.0
    result: str = ""
    runs: int = 0
    sends: int = 0
    jobs: "dict[str, Job]" = field(default_factory=dict)


@final
@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """The execution of a request on one server.

    It is ``closed`` once its host no longer waits for the answer.
    """

    request: Request
    host: "FakeHost"
    sent_s: float
    running: bool = False
    closed: bool = False


class FakeServer:
    """A backend server that runs requests in order of arrival."""

    def __init__(
        self, *, clock: VirtualClock, server: BackendServer, sheds: bool = True
    ) -> None:
        self.server = server
        self.connections = 0
        self.slowness = 1.0
        self.cold_since_s: float | None = None
        self.lost = False
        self._clock = clock
        self._frozen = False
        self._held_calls: list[tuple[Callable[[Job], None], Job]] = []
        self._running = 0
        self._waiting: deque[Job] = deque()
        per_slot = server.slots * WAITING_PER_SLOT
        self._max_waiting = per_slot if sheds else server.connections

    def receive(self, job: Job) -> None:
        """Run a request, queue it or shed it."""
        if self.lost or job.closed:
            return
        if self._frozen:
            self._held_calls.append((self.receive, job))
        elif self._running < self.server.slots:
            self._run(job)
        elif len(self._waiting) >= self._max_waiting:
            job.host.answer_later(self, job, OutcomeKind.SHED)
        else:
            self._waiting.append(job)

    def cancel(self, job: Job) -> None:
        """Stop a request that its host cancelled."""
        if job.running and not self._frozen:
            job.running = False
            self._running -= 1
            self._next()

    def freeze(self) -> None:
        """Stop processing; requests are still accepted."""
        self._frozen = True

    def thaw(self) -> None:
        """Resume, with the calls that were held back while frozen."""
        self._frozen = False
        held_calls, self._held_calls = self._held_calls, []
        for call, job in held_calls:
            call(job)

    def _run(self, job: Job) -> None:
        self._running += 1
        job.running = True
        job.request.runs += 1
        end_s = self._clock.now_s + job.request.work_s * self._factor()
        self._clock.call_at(end_s, self._finish, job)

    def _factor(self) -> float:
        if self.cold_since_s is None:
            return self.slowness
        age_s = self._clock.now_s - self.cold_since_s
        warm_share = min(1.0, age_s / COLD_S)
        return self.slowness * (COLD_FACTOR - (COLD_FACTOR - 1.0) * warm_share)

    def _finish(self, job: Job) -> None:
        if not job.running or self.lost:
            return
        if self._frozen:
            self._held_calls.append((self._finish, job))
            return
        job.running = False
        self._running -= 1
        if not job.closed:
            job.host.answer_later(self, job, OutcomeKind.OK)
        self._next()

    def _next(self) -> None:
        while self._waiting and self._running < self.server.slots:
            job = self._waiting.popleft()
            if not job.closed and self._clock.now_s < job.request.ticket.deadline_s:
                self._run(job)


@final
class FakeHost:
    """An entry host with a router and connections to the servers."""

    def __init__(
        self,
        *,
        clock: VirtualClock,
        domain: str,
        router: Router,
        servers: dict[str, FakeServer],
        on_end: Callable[["FakeHost", Request, float], None],
    ) -> None:
        self.domain = domain
        self.router = router
        self.lost = False
        self.take_retry: TakeRetry = lambda service, now_s: True
        self._clock = clock
        self._servers = servers
        self._on_end = on_end
        self._requests: dict[str, Request] = {}
        self._idle: dict[str, int] = {}

    def start(self, first_tick_s: float) -> None:
        """Start the periodic ticks of the router."""
        self._clock.call_at(first_tick_s, self._tick)

    def submit(self, request: Request) -> None:
        """Pass a caller's request to the router."""
        if self.lost:
            self._end(request, "failed", 1.0)
            return
        ticket = request.ticket
        self._requests[ticket.id] = request
        self._clock.call_at(ticket.deadline_s, self._expire, request)
        self.apply([self.router.submit(ticket, self._clock.now_s)])

    def apply(self, decisions: Sequence[Decision]) -> None:
        """Carry out the router's decisions."""
        for decision in decisions:
            request = self._requests.get(decision.ticket_id)
            if request is None:
                continue
            if isinstance(decision, Start):
                self._send(request, decision.server)
            elif isinstance(decision, Refuse):
                self._end(request, "refused", decision.retry_after_s)

    def answer_later(self, server: FakeServer, job: Job, kind: OutcomeKind) -> None:
        """Deliver an answer after the network latency."""
        at_s = self._clock.now_s + self._latency_s(server)
        self._clock.call_at(at_s, self._answer, server, job, kind)

    def _latency_s(self, server: FakeServer) -> float:
        same_domain = server.server.domain == self.domain
        return SAME_DOMAIN_S if same_domain else OTHER_DOMAIN_S

    def _tick(self) -> None:
        if not self.lost:
            self.apply(self.router.tick(self._clock.now_s))
            self._clock.call_at(self._clock.now_s + TICK_S, self._tick)

    def _send(self, request: Request, server_id: str) -> None:
        server = self._servers[server_id]
        now_s = self._clock.now_s
        job = Job(request=request, host=self, sent_s=now_s)
        request.jobs[server_id] = job
        arrival_s = now_s + self._latency_s(server)
        if self._idle.get(server_id, 0):
            self._idle[server_id] -= 1
        elif server.connections >= server.server.connections:
            refused_s = arrival_s + self._latency_s(server)
            kind = OutcomeKind.CONNECT_FAILED
            self._clock.call_at(refused_s, self._answer, server, job, kind)
            return
        else:
            server.connections += 1
            arrival_s += CONNECT_S
        if request.sends and not self.take_retry(request.ticket.service, now_s):
            self._withdraw(server, job)
            return
        request.sends += 1
        self._clock.call_at(arrival_s, server.receive, job)

    def _withdraw(self, server: FakeServer, job: Job) -> None:
        """Leave a request unsent that the retry budget does not allow any more."""
        request, server_id, now_s = job.request, server.server.id, self._clock.now_s
        job.closed = True
        del request.jobs[server_id]
        self._idle[server_id] = self._idle.get(server_id, 0) + 1
        outcome = Outcome(kind=OutcomeKind.CANCELLED, elapsed_s=0.0)
        self.apply(self.router.finished(request.ticket.id, outcome, now_s, server_id))
        if not request.jobs:
            self._end(request, "refused", WITHDRAWN_RETRY_AFTER_S)

    def _answer(self, server: FakeServer, job: Job, kind: OutcomeKind) -> None:
        if job.closed or self.lost:
            return
        job.closed = True
        request, server_id = job.request, server.server.id
        if kind is not OutcomeKind.CONNECT_FAILED:
            self._idle[server_id] = self._idle.get(server_id, 0) + 1
        del request.jobs[server_id]
        if kind is OutcomeKind.OK:
            self._end(request, "ok", 0.0)
        now_s = self._clock.now_s
        outcome = Outcome(kind=kind, elapsed_s=now_s - job.sent_s)
        ticket = request.ticket
        self.apply(self.router.finished(ticket.id, outcome, now_s, server_id))
        if kind is OutcomeKind.OK:
            self._cancel_jobs(request, OutcomeKind.CANCELLED)
        elif not request.result and not request.jobs:
            self.apply([self.router.retry(ticket, kind, now_s, server_id)])

    def _expire(self, request: Request) -> None:
        if request.result or self.lost:
            return
        self._end(request, "failed", 1.0)
        if request.jobs:
            self._cancel_jobs(request, OutcomeKind.TIMEOUT)
        else:
            self.apply(self.router.cancel(request.ticket.id, self._clock.now_s))

    def _cancel_jobs(self, request: Request, kind: OutcomeKind) -> None:
        now_s = self._clock.now_s
        for server_id, job in list(request.jobs.items()):
            server = self._servers[server_id]
            job.closed = True
            # The connection is closed, since it carries an incomplete answer.
            server.connections -= 1
            self._clock.call_at(now_s + self._latency_s(server), server.cancel, job)
            outcome = Outcome(kind=kind, elapsed_s=now_s - job.sent_s)
            self.apply(
                self.router.finished(request.ticket.id, outcome, now_s, server_id)
            )
        request.jobs.clear()

    def _end(self, request: Request, result: str, retry_after_s: float) -> None:
        request.result = result
        request.ended_s = self._clock.now_s
        self._requests.pop(request.ticket.id, None)
        self._on_end(self, request, retry_after_s)

    def lose(self) -> None:
        """Stop the host abruptly, so that the requests of its callers fail."""
        self.lost = True
        for request in list(self._requests.values()):
            for job in request.jobs.values():
                job.closed = True
            self._end(request, "failed", 1.0)


def make_rng(seed: int, name: str) -> Random:
    """Return an independent random generator for each purpose."""
    return Random(f"{seed}/{name}")
