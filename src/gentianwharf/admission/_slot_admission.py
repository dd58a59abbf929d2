"""Slots for the requests of dispatched services, from acquisition to return."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, final

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError

from gentianwharf import load
from gentianwharf.dispatch import (
    SlotDemand,
    SlotLease,
    SlotOutcome,
    SlotRefusal,
    SlotSource,
)
from gentianwharf.logs import log
from gentianwharf.relay import Outcome, ServerLoad, Ticket
from gentianwharf.retry_after import MIN_RETRY_AFTER_S, within_time_left

_SLOT_OUTCOMES = {
    Outcome.ANSWERED: SlotOutcome.ANSWERED,
    Outcome.NOT_OWNER: SlotOutcome.NOT_OWNER,
    Outcome.SHED: SlotOutcome.SHED,
    Outcome.CONNECT_FAILED: SlotOutcome.FAILED,
    Outcome.LOST: SlotOutcome.FAILED,
    Outcome.TIMED_OUT: SlotOutcome.TIMED_OUT,
    Outcome.CANCELLED: SlotOutcome.WITHDRAWN,
}

MAX_REPORT_AGE_S = 0.1
"""Age up to which a server's report is returned with a slot. It comes with the head of
the answer, and the slot is returned after the body. The dispatcher takes a report for
the present state, and would grant more slots than the server has."""

Clock = Callable[[], float]


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRecord:
    """How the acquisition of a slot ended, for metrics and the log.

    ``dispatcher`` is empty if it is not known. ``reason`` is that of a refusal, empty
    if the request was sent. ``waited_s`` is the time from the request's arrival.
    """

    request_id: str
    service: str
    subject: str
    dispatcher: str
    priority: int
    waited_s: float
    reason: str = ""


class SlotObserver(Protocol):
    """Records how acquisitions of slots ended."""

    def record_acquired(self, record: SlotRecord) -> None:
        """Record that a request is sent with a slot."""

    def record_refused(self, record: SlotRecord) -> None:
        """Record that a request was refused, by its dispatcher or after a grant."""

    def record_undispatched(self, record: SlotRecord) -> None:
        """Record a decision that was made without a dispatcher."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _HeldSlot:
    lease: SlotLease
    work_s: float | None = None
    load: ServerLoad | None = None
    reported_s: float = 0.0
    """When ``load`` was reported."""


@final
class SlotAdmission:
    """Acquires a slot for each request, and returns it when the attempt has ended.

    ``domain`` is this host's failure domain. ``dispatcher_of`` returns the name of the
    dispatcher of a subject as far as this host knows it, otherwise an empty string.
    """

    def __init__(
        self,
        *,
        gate: load.Gate,
        source: SlotSource,
        observer: SlotObserver,
        domain: str,
        reactor: Any,
        dispatcher_of: Callable[[str], str] = lambda subject: "",
    ) -> None:
        self._gate = gate
        self.source = source
        self._observer = observer
        self._domain = domain
        self._reactor = reactor
        self._now_s: Clock = reactor.seconds
        self._dispatcher_of = dispatcher_of
        self._arrived_s: dict[str, float] = {}
        self._held: dict[str, _HeldSlot] = {}

    @property
    def held(self) -> int:
        """The number of slots that requests of this host hold."""
        return len(self._held)

    async def place(self, ticket: Ticket, wanted: load.AcquireSlot) -> load.Decision:
        """Acquire a slot for a request, and return what the gate decides about it."""
        self._arrived_s.setdefault(ticket.id, self._now_s())
        unused: list[SlotLease] = []
        decision: load.Decision = wanted
        try:
            while isinstance(decision, load.AcquireSlot):
                decision = await self._place_once(ticket, decision, unused)
            return decision
        finally:
            # Kept until here: the dispatcher would grant a free slot of the same server
            # again.
            for lease in unused:
                self.source.release(lease, SlotOutcome.WITHDRAWN)

    async def _place_once(
        self, ticket: Ticket, wanted: load.AcquireSlot, unused: list[SlotLease]
    ) -> load.Decision:
        try:
            answer = await self._acquire(ticket, wanted)
        except CancelledError:
            self._gate.cancel(ticket.id, self._now_s())
            raise
        now_s = self._now_s()
        if answer is None:
            decision = self._gate.admit_without_dispatcher(ticket.id, now_s)
            record = self._record(ticket, wanted, decision=decision)
            self._observer.record_undispatched(record)
            return decision
        if isinstance(answer, SlotRefusal):
            refusal = self._gate.refuse_slot(
                ticket.id, reason=answer.reason, retry_after_s=answer.retry_after_s
            )
            record = self._record(ticket, wanted, reason=answer.reason)
            self._observer.record_refused(record)
            return refusal
        unused.append(answer)
        decision = self._gate.place_granted(ticket.id, answer.server, now_s)
        record = self._record(ticket, wanted, lease=answer, decision=decision)
        if isinstance(decision, load.Start):
            unused.remove(answer)
            self._held[ticket.id] = _HeldSlot(lease=answer)
            self._observer.record_acquired(record)
        elif isinstance(decision, load.Refuse):
            self._observer.record_refused(record)
        return decision

    async def _acquire(
        self, ticket: Ticket, wanted: load.AcquireSlot
    ) -> SlotLease | SlotRefusal | None:
        demand = self._demand(ticket, wanted)
        acquisition = Deferred.fromCoroutine(self.source.acquire(demand))
        # After this time no answer can come by the deadline.
        limit_s = max(0.0, demand.deadline_s - demand.work_s)
        acquisition.addTimeout(limit_s, self._reactor)
        try:
            return await acquisition
        except CancelledError:
            raise
        except DeferredTimeoutError:
            left_s = ticket.deadline_s - self._now_s()
            return SlotRefusal(
                request_id=0,
                retry_after_s=within_time_left(MIN_RETRY_AFTER_S, left_s=left_s),
                reason=load.RefuseReason.DEADLINE,
            )
        except Exception:
            log.exception(
                "slot not acquired",
                extra={"request_id": ticket.request_id, "step": "acquire-slot"},
            )
            return None

    def _demand(self, ticket: Ticket, wanted: load.AcquireSlot) -> SlotDemand:
        now_s = self._now_s()
        waited_s = now_s - self._arrived_s[ticket.id]
        return SlotDemand(
            request_id=ticket.request_id,
            service=ticket.service,
            server=wanted.server,
            priority=wanted.priority,
            caller=ticket.caller,
            work_s=wanted.work_s,
            max_wait_s=max(0.0, wanted.max_wait_s - waited_s),
            target_s=wanted.target_s,
            deadline_s=ticket.deadline_s - now_s,
            in_flight=wanted.in_flight,
        )

    def note_load(
        self, ticket: Ticket, server_load: ServerLoad, work_s: float | None
    ) -> None:
        """Record the load that a server reported in the answer to a request.

        ``work_s`` is the time until the head of the answer, None for a refusal.
        """
        held = self._held.get(ticket.id)
        if held is not None:
            held.load, held.work_s = server_load, work_s
            held.reported_s = self._now_s()

    def finished(
        self, ticket: Ticket, server_id: str, outcome: Outcome, elapsed_s: float
    ) -> float | None:
        """Return the slot of an attempt that ended.

        Returns the time that the server took for the request, None if it did not run
        the request or no slot was held for it.
        """
        held = self._held.get(ticket.id)
        if held is None or held.lease.server != server_id:
            return None
        del self._held[ticket.id]
        slot_outcome, work_s = _SLOT_OUTCOMES[outcome], held.work_s
        if outcome is Outcome.ANSWERED and work_s is None:
            work_s = elapsed_s
        elif outcome is Outcome.CANCELLED and work_s is not None:
            # The caller left while the answer was being forwarded.
            slot_outcome = SlotOutcome.ANSWERED
        self._release(held, slot_outcome, work_s)
        return work_s

    def discard(self, ticket: Ticket) -> None:
        """Forget a request after its final answer, and return a slot it still holds."""
        self._arrived_s.pop(ticket.id, None)
        held = self._held.pop(ticket.id, None)
        if held is None:
            return
        # Sending never began, because of an internal error.
        self._release(held, SlotOutcome.WITHDRAWN, None)
        self._gate.cancel(ticket.id, self._now_s())

    def _release(
        self, held: _HeldSlot, outcome: SlotOutcome, work_s: float | None
    ) -> None:
        running = waiting = None
        is_recent = self._now_s() <= held.reported_s + MAX_REPORT_AGE_S
        if held.load is not None and is_recent:
            # A server's report with an answer counts the answered request as running.
            running = max(0, held.load.running - (held.work_s is not None))
            waiting = held.load.waiting
        self.source.release(
            held.lease,
            outcome,
            work_s=work_s if outcome is SlotOutcome.ANSWERED else None,
            running=running,
            waiting=waiting,
        )

    def _record(
        self,
        ticket: Ticket,
        wanted: load.AcquireSlot,
        *,
        lease: SlotLease | None = None,
        decision: load.Decision | None = None,
        reason: str = "",
    ) -> SlotRecord:
        if isinstance(decision, load.Refuse):
            reason = decision.reason
        subject = lease.subject if lease is not None else self._subject(ticket, wanted)
        return SlotRecord(
            request_id=ticket.request_id,
            service=ticket.service,
            subject=subject,
            dispatcher=(
                lease.dispatcher if lease is not None else self._dispatcher_of(subject)
            ),
            priority=wanted.priority,
            waited_s=self._now_s() - self._arrived_s[ticket.id],
            reason=reason,
        )

    def _subject(self, ticket: Ticket, wanted: load.AcquireSlot) -> str:
        if ticket.shard is not None and wanted.server is not None:
            return wanted.server
        return f"{ticket.service}/{self._domain}"
