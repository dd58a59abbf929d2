"""The servers of one subject and the requests that wait for them."""

from collections.abc import Iterable, Iterator
from random import Random
from typing import final

from gentianwharf.retry_after import MIN_RETRY_AFTER_S

from ._refusals import (
    OVERLOADS,
    GrantedShares,
    RefusalReason,
    RetryBacklog,
    retry_after_s,
)
from ._server_slots import ServerSlots
from ._snapshot import SubjectSnapshot
from ._types import SlotRequest
from ._waiting import GRANTS_PER_TURN, WaitingLine, WaitingRequest

CACHE_S = 0.01
"""Age up to which the work of many servers is not computed anew."""

SLOW_RATIO = 1 / 3
"""Part of the mean speed below which a server gets only requests that it can answer in
time, and probes."""

MAX_WAITING_PER_SLOT = 64
"""Bound of the queue, for requests of unknown work."""

AHEAD_SLACK_RATIO = 4.0
"""A request for one of several servers is granted ahead of time if it could wait this
many times as long as is expected. With a smaller ratio, urgent requests are late; if
none is granted ahead, slots are idle for the messages' time."""

DEFAULT_WORK_S = 0.2
WORK_SMOOTHING = 0.05


@final
class Subject:
    """A queue, and one server or the servers of an unkeyed service in a domain."""

    def __init__(self, *, name: str, rng: Random) -> None:
        self.name = name
        self.servers: list[ServerSlots] = []
        self.line = WaitingLine()
        self.shares = GrantedShares()
        self.backlog = RetryBacklog(rng=rng)
        self._rng = rng
        self._usual_s = 0.0
        self._cached_s = float("-inf")
        self._first_free_s = 0.0
        self._slots = 1
        self._capacity = 1.0
        self._mean_speed = 1.0

    def set_servers(self, servers: Iterable[ServerSlots]) -> None:
        """Replace the subject's servers."""
        self.servers = list(servers)
        self._cached_s = float("-inf")

    def work_s(self, request: SlotRequest) -> float:
        """Return a request's usual service time, the mean one if it states none."""
        return request.work_s or self._usual_s or DEFAULT_WORK_S

    def note_work(self, work_s: float) -> None:
        """Learn the mean service time from a time that is stated or measured."""
        if work_s > 0.0:
            usual_s = self._usual_s or work_s
            self._usual_s = usual_s + (work_s - usual_s) * WORK_SMOOTHING

    def choose(
        self,
        request: SlotRequest,
        now_s: float,
        *,
        ahead: bool = False,
        among: Iterable[ServerSlots] | None = None,
    ) -> ServerSlots | None:
        """Return the fastest server with a free slot that suits the request."""
        if len(self.servers) == 1:
            only = self.servers[0]
            return only if only.has_slot(now_s, ahead=ahead) else None
        free = [
            server
            for server in (self.servers if among is None else among)
            if server.has_slot(now_s, ahead=ahead)
        ]
        if not free:
            return None
        self._update(now_s)
        suited = [server for server in free if self._suits(server, request, now_s)]
        random = self._rng.random
        return max(
            suited,
            key=lambda server: (server.speed.value, random()),
            default=None,
        )

    def choose_ahead(
        self,
        waiting: WaitingRequest,
        now_s: float,
        among: Iterable[ServerSlots] | None = None,
    ) -> ServerSlots | None:
        """Return a server for a request ahead of time, None if it had better wait.

        The request then waits at that server, while a slot of another one may become
        free. It must have time for that, and enough others must wait.
        """
        if len(self.servers) == 1:
            return self.choose(waiting.request, now_s, ahead=True)
        if len(self.line) <= len(self.servers):
            return None
        server = self.choose(waiting.request, now_s, ahead=True, among=among)
        if server is None:
            return None
        wait_s = server.remaining_s(now_s) / server.server.slots**2
        slack_s = waiting.latest_start_s - now_s
        return server if wait_s * AHEAD_SLACK_RATIO <= slack_s else None

    def expected_wait_s(self, priority: int, now_s: float) -> float:
        """Return how long a new request would wait for a slot."""
        self._update(now_s)
        ahead_s = self.line.work_before_s(priority) / self._capacity
        turns_s = self.line.grants_before(priority) * self._grant_interval_s
        return self._first_free_s + min(ahead_s, turns_s)

    def refusal_reason(
        self, request: SlotRequest, now_s: float
    ) -> RefusalReason | None:
        """Return why a request that finds no free slot must not wait, if so."""
        if not request.may_wait:
            return RefusalReason.BUSY
        wait_s = self.expected_wait_s(request.priority, now_s)
        if wait_s > min(request.max_wait_s, request.deadline_s - self.work_s(request)):
            return RefusalReason.WAIT
        if len(self.line) >= MAX_WAITING_PER_SLOT * self._slots:
            return RefusalReason.QUEUE_FULL
        if self.shares.favours(request.priority, now_s):
            return RefusalReason.MORE_URGENT
        return None

    def hopeless(self, now_s: float) -> Iterator[WaitingRequest]:
        """Return the waiting requests that would get a slot too late."""
        self._update(now_s)
        before_s = 0.0
        for _, waiting in self.line.by_priority():
            own = 0
            for entry in waiting:
                turns_s = (own + 1) * GRANTS_PER_TURN * self._grant_interval_s
                wait_s = min(before_s / self._capacity, turns_s)
                if now_s + wait_s > entry.latest_start_s:
                    yield entry
                    continue
                own += 1
                before_s += entry.work_s

    def refuse(
        self, request: SlotRequest, reason: RefusalReason, now_s: float
    ) -> float:
        """Note a refusal; return after which time the caller may come back."""
        priority, deadline_s = request.priority, request.deadline_s
        if reason not in OVERLOADS:
            delay_s = MIN_RETRY_AFTER_S
            return retry_after_s(delay_s, deadline_s=deadline_s, rng=self._rng)
        self._update(now_s)
        self.shares.record(priority, granted=False, now_s=now_s)
        return self.backlog.refuse(
            priority,
            work_s=self.work_s(request),
            waiting_s=self.line.work_before_s(priority),
            capacity=self._capacity,
            deadline_s=deadline_s,
            now_s=now_s,
        )

    def snapshot(self, now_s: float) -> SubjectSnapshot:
        """Return the state of the queue and the servers."""
        servers = tuple(server.snapshot(now_s) for server in self.servers)
        waiting = self.line.counts()
        return SubjectSnapshot(subject=self.name, waiting=waiting, servers=servers)

    @property
    def _grant_interval_s(self) -> float:
        return (self._usual_s or DEFAULT_WORK_S) / self._capacity

    def _suits(self, server: ServerSlots, request: SlotRequest, now_s: float) -> bool:
        if now_s < server.rests_until_s:
            return False
        work_s, speed = self.work_s(request), server.speed.value
        if server.is_stalled(now_s):
            return False
        if speed >= self._mean_speed * SLOW_RATIO:
            return True
        useful_s = min(request.max_wait_s + work_s, request.deadline_s)
        return work_s / speed <= useful_s or server.accepts_probe(now_s)

    def _update(self, now_s: float) -> None:
        """Sum up the servers; for many servers at most once in ``CACHE_S``."""
        if len(self.servers) > 1 and now_s < self._cached_s + CACHE_S:
            return
        self._cached_s = now_s
        slots, capacity, remaining_s, speeds = 0, 0.0, 0.0, 0.0
        for server in self.servers:
            limit = max(1, server.limit(now_s))
            slots += limit
            speeds += server.speed.value
            capacity += limit * server.speed.value
            remaining_s += server.remaining_s(now_s)
        self._slots = max(1, slots)
        self._capacity = max(1e-3, capacity)
        self._mean_speed = speeds / max(1, len(self.servers))
        # The first of several running requests ends after a fraction of their mean.
        self._first_free_s = remaining_s / self._slots**2
