"""Requests of services whose slots are granted by dispatchers.

Load pattern: many hosts send to the same servers, and each server has few slots. No
host sees the requests of the others, so that they overfill some servers while others
are idle, and a less urgent request on one host takes the slot that a more urgent one on
another host waits for. A request of a dispatched service is therefore sent only after a
dispatcher, which knows the requests of all hosts, has granted it a slot.

Without a dispatcher, all hosts together still keep within the slots of each server: as
many hosts as the server has slots, which all hosts choose alike, may each have one
request in flight there.
"""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import final

from gentianwharf.retry_after import MIN_RETRY_AFTER_S, within_time_left

from ._choose import choose_server
from ._class_state import ClassState
from ._flights import Flights
from ._pool import Pool
from ._refusals import Refusals
from ._registry import Registry
from ._requests import (
    AcquireSlot,
    Decision,
    Outcome,
    OutcomeKind,
    Refuse,
    RefuseReason,
    Ticket,
)
from ._server_state import Flight, HealthStatus, ServerState
from ._work_times import WorkTimes

MAX_GRANTS = 3
"""Slots that are acquired for one try of a request if their servers can't be used."""

MIN_WAIT_SHARE = 0.25
"""Part of its class's maximum wait that a request may wait in any case. A class whose
work usually takes as long as its target would otherwise get no slot under load."""

JITTER_LOW, JITTER_HIGH = 0.8, 1.3


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Pending:
    ticket: Ticket
    avoid: str | None
    grants: int = 0


@final
class DispatchedPlacement:
    """Starts the requests of dispatched services at the servers granted to them."""

    def __init__(
        self,
        *,
        registry: Registry,
        flights: Flights,
        refusals: Refusals,
        rng: Random,
    ) -> None:
        self._registry = registry
        self._flights = flights
        self._refusals = refusals
        self._rng = rng
        self._services: frozenset[str] = frozenset()
        self._pending: dict[str, _Pending] = {}
        self._work_times = WorkTimes()
        self._is_sender: dict[tuple[str, int], bool] = {}
        """Whether this host may send without a dispatcher, by server and its slots."""

    def set_services(self, services: Collection[str]) -> None:
        """Set the services whose slots are granted by dispatchers."""
        self._services = frozenset(services)

    def is_dispatched(self, service: str) -> bool:
        """Return whether the slots of a service are granted by dispatchers."""
        return service in self._services

    def update_senders(self) -> None:
        """Choose the hosts that may send without a dispatcher again, on new hosts."""
        self._is_sender.clear()

    def begin(self, ticket: Ticket, now_s: float, *, avoid: str | None) -> Decision:
        """Decide on a request that arrives, or that ``avoid`` has just failed."""
        return self._acquire(_Pending(ticket=ticket, avoid=avoid), now_s)

    def cancel(self, ticket_id: str) -> bool:
        """Drop a request whose caller has disconnected; return whether it was known."""
        return self._pending.pop(ticket_id, None) is not None

    def place_granted(self, ticket_id: str, server: str, now_s: float) -> Decision:
        """Start a request at the server that was granted, if it may still be sent."""
        pending = self._pending.pop(ticket_id)
        ticket = pending.ticket
        refusal = self._refuse_hopeless(ticket, now_s)
        if refusal is not None:
            return refusal
        pool = self._registry.pool_of(ticket)
        # It may have left, or the grant may be for another server than the owner.
        state = next((item for item in pool.states if item.server.id == server), None)
        if state is None or not _accepts(state, pool, ticket, now_s):
            return self._acquire_other(pending, pool, server, now_s)
        has_just_failed = server == pending.avoid and pending.grants < MAX_GRANTS
        if has_just_failed and _has_other(pool, ticket, server, now_s):
            return self._acquire_other(pending, pool, server, now_s)
        return self._start(pool, state, ticket, now_s)

    def refuse(self, ticket_id: str, reason: str, retry_after_s: float) -> Refuse:
        """Refuse a request for the reason that the dispatcher gave."""
        ticket = self._pending.pop(ticket_id).ticket
        known = reason in RefuseReason.__members__.values()
        refuse_reason = RefuseReason(reason) if known else RefuseReason.OVERLOAD
        return self._refusals.refuse_with(ticket, refuse_reason, retry_after_s)

    def place_alone(self, ticket_id: str, now_s: float) -> Decision:
        """Decide on a request for which no dispatcher could be reached."""
        ticket = self._pending.pop(ticket_id).ticket
        refusal = self._refuse_hopeless(ticket, now_s)
        if refusal is not None:
            return refusal
        pool = self._registry.pool_of(ticket)
        state = self._choose_alone(pool, ticket, now_s)
        if state is not None:
            return self._start(pool, state, ticket, now_s)
        return self._refuse_overload(pool, ticket, now_s)

    def record_outcome(self, flight: Flight, outcome: Outcome) -> None:
        """Record how long the work of an answered request took."""
        ticket = flight.ticket
        if flight.paused or ticket.service not in self._services:
            return
        if outcome.kind in (OutcomeKind.OK, OutcomeKind.SLOW):
            work_s = outcome.elapsed_s if outcome.work_s is None else outcome.work_s
            self._work_times.record(ticket.service, ticket.request_class, work_s)

    def _acquire(self, pending: _Pending, now_s: float) -> Decision:
        ticket = pending.ticket
        refusal = self._refuse_hopeless(ticket, now_s)
        if refusal is not None:
            return refusal
        pool = self._registry.pool_of(ticket)
        class_state = pool.classes[ticket.request_class]
        if pool.accepted_in_s(now_s) > class_state.max_wait_s:
            return self._refuse_overload(pool, ticket, now_s)
        pending.grants += 1
        self._pending[ticket.id] = pending
        request_class = class_state.request_class
        work_s = self._usual_work_s(ticket)
        target_ms = request_class.target_latency_ms or request_class.deadline_ms
        return AcquireSlot(
            ticket_id=ticket.id,
            server=ticket.server,
            priority=request_class.priority,
            work_s=work_s,
            max_wait_s=_max_wait_s(class_state, work_s),
            target_s=target_ms / 1000,
            in_flight=len(pool.states[0].flights) if pool.pinned else 0,
        )

    def _acquire_other(
        self, pending: _Pending, pool: Pool, server: str, now_s: float
    ) -> Decision:
        """Ask again if another server could be granted, otherwise refuse."""
        ticket = pending.ticket
        may_ask = pending.grants < MAX_GRANTS
        if may_ask and _has_other(pool, ticket, server, now_s):
            return self._acquire(pending, now_s)
        return self._refuse_overload(pool, ticket, now_s)

    def _refuse_hopeless(self, ticket: Ticket, now_s: float) -> Refuse | None:
        """Refuse a request that no server can run, or none in the time left."""
        if not self._registry.can_be_served(ticket, now_s):
            reason = RefuseReason.NO_SERVER
        elif now_s + self._usual_work_s(ticket) > ticket.deadline_s:
            reason = RefuseReason.DEADLINE
        else:
            return None
        return self._refuse(ticket, reason, now_s)

    def _refuse_overload(self, pool: Pool, ticket: Ticket, now_s: float) -> Refuse:
        pool.classes[ticket.request_class].record_decision(refused=True)
        wait_s = pool.accepted_in_s(now_s)
        return self._refuse(ticket, RefuseReason.OVERLOAD, now_s, wait_s=wait_s)

    def _refuse(
        self, ticket: Ticket, reason: RefuseReason, now_s: float, *, wait_s: float = 0.0
    ) -> Refuse:
        """Refuse a request; ``wait_s`` is the time until its servers accept one."""
        jitter = self._rng.uniform(JITTER_LOW, JITTER_HIGH)
        retry_after_s = within_time_left(
            max(MIN_RETRY_AFTER_S, wait_s) * jitter, left_s=ticket.deadline_s - now_s
        )
        return self._refusals.refuse_with(ticket, reason, retry_after_s)

    def _usual_work_s(self, ticket: Ticket) -> float:
        return self._work_times.usual_s(ticket.service, ticket.request_class)

    def _start(
        self, pool: Pool, state: ServerState, ticket: Ticket, now_s: float
    ) -> Decision:
        class_state = pool.classes[ticket.request_class]
        class_state.record_decision(refused=False)
        return self._flights.start(pool, class_state, state, ticket, now_s)

    # Without a dispatcher.

    def _choose_alone(
        self, pool: Pool, ticket: Ticket, now_s: float
    ) -> ServerState | None:
        states = [
            state
            for state in pool.preferred_states
            if not state.flights
            and now_s >= state.shed_until_s
            and _accepts(state, pool, ticket, now_s)
            and self._may_send_alone(state)
        ]
        if pool.pinned:
            return states[0] if states else None
        for state in states:
            if state.health is HealthStatus.SUSPECT:
                return state
        return choose_server(states, now_s=now_s, rng=self._rng)

    def _may_send_alone(self, state: ServerState) -> bool:
        server_id, slots = state.server.id, state.server.slots
        is_sender = self._is_sender.get((server_id, slots))
        if is_sender is None:
            shares = self._registry.notices.shares
            is_sender = shares.senders(f"slots/{server_id}", burst=slots) > 0
            self._is_sender[server_id, slots] = is_sender
        return is_sender


def _max_wait_s(class_state: ClassState, work_s: float) -> float:
    """Return the longest wait after which an answer still comes within its target."""
    target_s = class_state.request_class.target_latency_ms / 1000
    if not target_s or not work_s:
        return class_state.max_wait_s
    return max(target_s - work_s, class_state.max_wait_s * MIN_WAIT_SHARE)


def _accepts(state: ServerState, pool: Pool, ticket: Ticket, now_s: float) -> bool:
    """Whether a request may be sent, by what the server states and by its health.

    That the server has recently shed a request does not count: the dispatcher, which
    knows it, has granted the slot since.
    """
    if state.accepts_probe(now_s, repeatable=ticket.repeatable):
        return True
    if len(state.flights) >= state.max_connections:
        return False
    if pool.pinned:
        return state.accepts_pinned(now_s) and not state.notices.accepted_in_s(now_s)
    if state.health is not HealthStatus.ACTIVE or not state.notices.may_send(now_s):
        return False
    return state.has_ramp_capacity(now_s)


def _has_other(pool: Pool, ticket: Ticket, server: str, now_s: float) -> bool:
    return any(
        state.server.id != server and _accepts(state, pool, ticket, now_s)
        for state in pool.states
    )
