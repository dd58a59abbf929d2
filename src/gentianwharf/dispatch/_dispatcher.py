"""The dispatcher: grants the slots of its subjects' servers to all hosts.

It performs no I/O. Its methods return the replies to send.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import final

from gentianwharf.retry_after import MIN_RETRY_AFTER_S
from gentianwharf.topology import BackendServer

from ._ended_ids import EndedIds
from ._refusals import RefusalReason, retry_after_s
from ._server_slots import REPORT_LIFETIME_S, Lease, ServerSlots
from ._snapshot import DispatcherSnapshot
from ._subject import Subject
from ._subjects import Subjects
from ._types import (
    Reply,
    SlotAnswer,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWaiting,
)
from ._waiting import WaitingRequest

Key = tuple[str, int]

LEASE_GRACE_S = 0.1
"""Time after a request's deadline within which its return arrives. Without it the lease
often ends first, and a time-out would teach nothing about the server."""


@final
class Dispatcher:
    """Grants slots for the subjects that hosts name; see ``docs/HARD-LOAD.md``.

    ``now_s`` returns the time of a monotonic clock.
    """

    def __init__(self, *, now_s: Callable[[], float], rng: Random) -> None:
        self._now_s = now_s
        self._rng = rng
        self._subjects = Subjects(rng=rng)
        self._leases: dict[Key, Lease] = {}
        self._waiting: dict[Key, tuple[WaitingRequest, Subject]] = {}
        self._expiries: list[tuple[float, int, Lease]] = []
        self._ended = EndedIds()
        self._numbers = count()
        self._unsent: list[Reply] = []
        self._granted: Counter[int] = Counter()
        self._refused: Counter[str] = Counter()
        self._is_stopped = False

    def set_servers(self, service: str, servers: Iterable[BackendServer]) -> None:
        """Replace the servers of a service.

        Requests that wait for a server that is gone are refused at the next tick.
        """
        dropped = self._subjects.set_servers(service, servers, self._now_s())
        for slots in dropped.servers:
            for lease in list(slots.leases.values()):
                self._forget(lease)
                lease.subject.line.note_end(lease.request)
            slots.leases.clear()
        for waiting, subject in list(self._waiting.values()):
            if subject in dropped.subjects:
                reason = RefusalReason.NO_SERVER
                self._unsent.append(self._refuse_waiting(waiting, reason))

    def request(self, host: str, request: SlotRequest) -> list[Reply]:
        """Grant a slot, queue the request or refuse it; repeats change nothing."""
        key, now_s = (host, request.id), self._now_s()
        if key in self._leases:
            server = self._leases[key].slots.server.id
            return [_reply(host, SlotGrant(request_id=request.id, server=server))]
        if key in self._waiting:
            return [_reply(host, SlotWaiting(request_id=request.id))]
        if key in self._ended:
            return []
        if self._is_stopped:
            return [self._refuse(host, request, RefusalReason.MOVED)]
        subject = self._subjects.find(request, now_s)
        if subject is None:
            return [self._refuse(host, request, RefusalReason.NO_SERVER)]
        if request.server is not None:
            subject.servers[0].note_in_flight(host, request.in_flight, now_s)
        subject.note_work(request.work_s)
        if subject.work_s(request) > request.deadline_s:
            reason = RefusalReason.DEADLINE
            return [self._refuse(host, request, reason, subject)]
        waiting = WaitingRequest(
            number=next(self._numbers),
            host=host,
            request=request,
            work_s=subject.work_s(request),
            arrived_s=now_s,
        )
        if not subject.line:
            chosen = subject.choose(request, now_s)
            if chosen is not None:
                return [self._grant(waiting, subject, chosen)]
        refused = subject.refusal_reason(request, now_s)
        if refused is not None:
            return [self._refuse(host, request, refused, subject)]
        subject.line.push(waiting)
        self._waiting[key] = waiting, subject
        # Behind others that found no slot, it would not find one either.
        replies = self._serve(subject) if subject.line.peek() is waiting else []
        if key in self._waiting:
            replies.append(_reply(host, SlotWaiting(request_id=request.id)))
        return replies

    def returned(self, host: str, slot: SlotReturn) -> list[Reply]:
        """Take a slot back, or withdraw a waiting request; repeats change nothing."""
        key, now_s = (host, slot.request_id), self._now_s()
        self._ended.add(*key)
        if key in self._waiting:
            waiting, subject = self._waiting.pop(key)
            subject.line.remove(waiting)
            return self._serve(subject)
        lease = self._leases.pop(key, None)
        if lease is None:
            return []
        slots = lease.slots
        took_s = slots.end(lease, slot, now_s)
        if took_s is not None and not lease.request.work_s:
            lease.subject.note_work(took_s)
        lease.subject.line.note_end(lease.request)
        return self._serve_from(slots)

    def tick(self) -> list[Reply]:
        """End expired leases and refuse hopeless requests; to be called every 20 ms."""
        now_s = self._now_s()
        replies, self._unsent = self._unsent, []
        while self._expiries and self._expiries[0][0] <= now_s:
            self._expire(heappop(self._expiries)[2], now_s)
        # Only subjects for which requests wait have something to decide.
        for subject in {subject: None for _, subject in self._waiting.values()}:
            replies += self._serve(subject)
            for waiting in list(subject.hopeless(now_s)):
                replies.append(self._refuse_waiting(waiting, RefusalReason.WAIT))
        return replies

    def drop_host(self, host: str) -> list[Reply]:
        """Forget the requests of a host that restarted or is gone.

        Requests that it sent may still run: its leases last as long as a report.
        """
        now_s = self._now_s()
        self._ended.drop_host(host)
        for key in [key for key in self._waiting if key[0] == host]:
            waiting, subject = self._waiting.pop(key)
            subject.line.remove(waiting)
        for key in [key for key in self._leases if key[0] == host]:
            lease = self._leases.pop(key)
            lease.expires_s = min(lease.expires_s, now_s + REPORT_LIFETIME_S)
            heappush(self._expiries, (lease.expires_s, lease.number, lease))
        return self.tick()

    def stop(self) -> list[Reply]:
        """Refuse all waiting requests, and from now on further ones, as moved."""
        self._is_stopped = True
        return self._refuse_all()

    def reset(self) -> list[Reply]:
        """Drop all state but servers and their speeds, after a pause of this host.

        Returns refusals of the requests that waited; their hosts ask elsewhere.
        """
        replies = self._refuse_all()
        self._leases.clear()
        self._expiries.clear()
        self._ended.clear()
        self._subjects.reset()
        return replies

    def snapshot(self) -> DispatcherSnapshot:
        """Return the state of the subjects for which requests came."""
        now_s = self._now_s()
        return DispatcherSnapshot(
            subjects=tuple(subject.snapshot(now_s) for subject in self._subjects),
            granted=dict(self._granted),
            refused=dict(self._refused),
            waiting=len(self._waiting),
            leases=len(self._leases),
            is_stopped=self._is_stopped,
        )

    def _serve_from(self, slots: ServerSlots) -> list[Reply]:
        """Grant the free slots of one server to the requests that wait for it."""
        return [
            reply
            for subject in self._subjects.of_server(slots)
            for reply in self._serve(subject, [slots])
        ]

    def _serve(
        self, subject: Subject, among: list[ServerSlots] | None = None
    ) -> list[Reply]:
        """Grant free slots to waiting requests, in their order."""
        replies: list[Reply] = []
        now_s = self._now_s()
        while (waiting := subject.line.peek()) is not None:
            if now_s > waiting.latest_start_s:
                replies.append(self._refuse_waiting(waiting, RefusalReason.WAIT))
                continue
            chosen = subject.choose(waiting.request, now_s, among=among)
            if chosen is None:
                chosen = subject.choose_ahead(waiting, now_s, among)
            if chosen is None:
                break
            replies.append(self._grant(waiting, subject, chosen))
        return replies

    def _grant(
        self, waiting: WaitingRequest, subject: Subject, slots: ServerSlots
    ) -> Reply:
        request, host, now_s = waiting.request, waiting.host, self._now_s()
        key = host, request.id
        subject.line.remove(waiting)
        self._waiting.pop(key, None)
        lease = Lease(
            number=waiting.number,
            host=host,
            request=request,
            slots=slots,
            subject=subject,
            work_s=waiting.work_s,
            granted_s=now_s,
            expires_s=waiting.deadline_at_s + LEASE_GRACE_S,
        )
        slots.add(lease)
        self._leases[key] = lease
        heappush(self._expiries, (lease.expires_s, lease.number, lease))
        subject.line.note_grant(request)
        subject.shares.record(request.priority, granted=True, now_s=now_s)
        self._granted[request.priority] += 1
        return _reply(host, SlotGrant(request_id=request.id, server=slots.server.id))

    def _refuse(
        self,
        host: str,
        request: SlotRequest,
        reason: RefusalReason,
        subject: Subject | None = None,
    ) -> Reply:
        self._refused[reason.value] += 1
        if subject is None:
            delay_s = retry_after_s(
                MIN_RETRY_AFTER_S, deadline_s=request.deadline_s, rng=self._rng
            )
        else:
            delay_s = subject.refuse(request, reason, self._now_s())
        answer = SlotRefusal(
            request_id=request.id, retry_after_s=delay_s, reason=reason.value
        )
        return _reply(host, answer)

    def _refuse_waiting(self, waiting: WaitingRequest, reason: RefusalReason) -> Reply:
        key = waiting.host, waiting.request.id
        _, subject = self._waiting.pop(key)
        subject.line.remove(waiting)
        self._ended.add(*key)
        # The time that the caller has left is shorter now.
        waited_s = self._now_s() - waiting.arrived_s
        deadline_s = max(0.0, waiting.request.deadline_s - waited_s)
        request = replace(waiting.request, deadline_s=deadline_s)
        return self._refuse(waiting.host, request, reason, subject)

    def _refuse_all(self) -> list[Reply]:
        replies, self._unsent = self._unsent, []
        for waiting, _ in list(self._waiting.values()):
            replies.append(self._refuse_waiting(waiting, RefusalReason.MOVED))
        return replies

    def _expire(self, lease: Lease, now_s: float) -> None:
        if lease.number not in lease.slots.leases:
            return
        lease.slots.expire(lease, now_s)
        lease.subject.line.note_end(lease.request)
        self._forget(lease)

    def _forget(self, lease: Lease) -> None:
        key = lease.host, lease.request.id
        if self._leases.get(key) is lease:
            del self._leases[key]
            self._ended.add(*key)


def _reply(host: str, answer: SlotAnswer) -> Reply:
    return Reply(host=host, answer=answer)
