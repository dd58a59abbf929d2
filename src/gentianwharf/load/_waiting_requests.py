"""Requests that wait in this host's queues until a server can take them."""

from collections.abc import Callable
from math import inf
from typing import final

from ._class_state import ClassState
from ._owner import may_queue
from ._pool import Pool
from ._queue_capacity import max_queue_capacity, queue_capacity
from ._refusals import Refusals
from ._registry import Registry
from ._requests import Decision, RefuseReason, Start, Ticket, Wait

StartRequest = Callable[[Pool, ClassState, Ticket, float], Start | None]
"""Starts a request at a server of the pool; None if no server can take it now."""


@final
class WaitingRequests:
    """Queues requests or refuses them, and starts them in the order of their pool."""

    def __init__(
        self, *, registry: Registry, refusals: Refusals, start: StartRequest
    ) -> None:
        self._registry = registry
        self._refusals = refusals
        self._start = start
        self._pools: dict[str, Pool] = {}

    def add(
        self, pool: Pool, class_state: ClassState, ticket: Ticket, now_s: float
    ) -> Decision:
        """Queue a request that can't be started now, or refuse it."""
        share = pool.class_share(class_state)
        rate_per_s = pool.service_rate_per_s(class_state, share)
        accepted_in_s = pool.accepted_in_s(now_s)
        wait_s = accepted_in_s + len(class_state.queue) / rate_per_s
        can_enqueue = not pool.pinned or may_queue(pool, class_state, now_s)
        is_limited = accepted_in_s > 0 or pool.accepted_per_s() < inf
        if is_limited and wait_s > class_state.max_wait_s:
            can_enqueue = False
        if can_enqueue:
            maximum = max_queue_capacity(class_state.max_wait_s, rate_per_s)
            capacity = queue_capacity(maximum, class_state.refused_share, share)
            if pool.has_other_busy_caller(ticket):
                capacity = maximum
            can_enqueue = class_state.queue.can_enqueue(
                ticket, capacity=capacity, maximum=maximum
            )
        class_state.record_decision(refused=not can_enqueue)
        if not can_enqueue:
            return self._refusals.refuse_overload(
                ticket, class_state, rate_per_s, now_s
            )
        if now_s + wait_s + class_state.mean_s > ticket.deadline_s:
            return self._refuse(ticket, RefuseReason.DEADLINE, now_s)
        pool.enqueue(class_state, ticket, now_s)
        self._pools[ticket.id] = pool
        return Wait(ticket_id=ticket.id)

    def cancel(self, ticket_id: str) -> bool:
        """Drop a request whose caller has disconnected; return whether it waited."""
        pool = self._pools.pop(ticket_id, None)
        if pool is None:
            return False
        pool.remove(ticket_id)
        return True

    def serve(self, pool: Pool, now_s: float) -> list[Decision]:
        """Start the requests of a pool that its servers can take now."""
        decisions: list[Decision] = []
        blocked: set[str] = set()
        while pool.waiting:
            class_state = pool.next_class(blocked, now_s)
            if class_state is None:
                break
            ticket = class_state.queue.peek()
            expired = now_s + class_state.mean_s > ticket.deadline_s
            started = None if expired else self._start(pool, class_state, ticket, now_s)
            if started is None and not expired:
                blocked.add(class_state.request_class.name)
                continue
            pool.dequeue(class_state)
            del self._pools[ticket.id]
            decisions.append(
                started or self._refuse(ticket, RefuseReason.DEADLINE, now_s)
            )
        return decisions

    def refuse_expired(self, pool: Pool, now_s: float) -> list[Decision]:
        """Refuse the requests of a pool that can't be answered in time any more."""
        decisions: list[Decision] = []
        if not pool.waiting:
            return decisions
        unavailable = pool.is_unavailable(now_s)
        start_s = now_s + pool.accepted_in_s(now_s)
        for class_state in pool.classes.values():
            for ticket in class_state.queue.waiting():
                if unavailable or start_s + class_state.mean_s > ticket.deadline_s:
                    pool.remove(ticket.id)
                    del self._pools[ticket.id]
                    reason = (
                        RefuseReason.NO_SERVER if unavailable else RefuseReason.DEADLINE
                    )
                    decisions.append(self._refuse(ticket, reason, now_s))
        return decisions

    def _refuse(self, ticket: Ticket, reason: RefuseReason, now_s: float) -> Decision:
        pool = self._registry.pools.get((ticket.service, ticket.server))
        return self._refusals.refuse(ticket, reason, pool, now_s)
