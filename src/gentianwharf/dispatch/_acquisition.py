"""The acquisition of one slot: which dispatchers are asked, and the result."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import final

from twisted.internet.defer import Deferred

from gentianwharf.retry_after import MIN_RETRY_AFTER_S, within_time_left

from ._pending import MOVED, Failure, Outcome, PendingRequest, PendingRequests
from ._selection import DispatchHost
from ._types import (
    SlotDemand,
    SlotGrant,
    SlotLease,
    SlotRefusal,
    SlotRequest,
    SlotWaiting,
)

ANSWER_TIMEOUT_SHARE = 1 / 8
"""Share of the target latency within which a dispatcher has to answer."""

MAX_ANSWER_TIMEOUT_S = 0.06

MAX_TIMEOUTS = 2
"""Dispatchers that don't answer a request before it is decided without them."""

NO_ANSWER = "no-answer"
"""Reason of a refusal after a wait that no dispatcher ended in time."""

MAX_RETRY_AFTER_S = 0.5
"""Upper bound of the Retry-After of such a refusal, which is drawn at random."""

Result = SlotLease | SlotRefusal | None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Subject:
    """A subject, and its candidates in the order in which to ask them."""

    name: str
    candidates: Sequence[DispatchHost]


@final
class Acquisition:
    """Requests a slot of ``subjects[0]``, and of the others if that has none free.

    Only the first subject's dispatcher lets the request wait. ``result`` is the outcome
    of the acquisition; ``close`` withdraws it.
    """

    def __init__(
        self,
        *,
        demand: SlotDemand,
        caller: int,
        subjects: Sequence[Subject],
        pending: PendingRequests,
        now_s: Callable[[], float],
        rng: Random,
    ) -> None:
        self.result: Deferred[Result] = Deferred()
        self._demand = demand
        self._caller = caller
        self._first, self._others = subjects[0], subjects[1:]
        self._pending = pending
        self._now_s = now_s
        self._rng = rng
        self._started_s = now_s()
        self._timeout_s = min(
            MAX_ANSWER_TIMEOUT_S, demand.target_s * ANSWER_TIMEOUT_SHARE
        )
        self._asked: set[str] = set()
        self._timeouts = 0
        self._open: set[PendingRequest] = set()
        self._is_first_decided = False
        self._first_result: Result = None

    def start(self) -> None:
        """Ask the first dispatcher."""
        self._ask_first()

    def close(self) -> None:
        """Withdraw all open requests."""
        entries, self._open = self._open, set()
        for entry in entries:
            self._pending.withdraw(entry)

    def _ask_first(self) -> None:
        dispatcher = self._next_candidate()
        if dispatcher is None:
            self._decide_first(None)
            return
        self._asked.add(dispatcher)
        self._ask(self._first, dispatcher, may_wait=True, on_outcome=self._on_first)

    def _next_candidate(self) -> str | None:
        if self._timeouts >= MAX_TIMEOUTS:
            return None
        for candidate in self._first.candidates:
            is_new = candidate.name not in self._asked
            if is_new and self._pending.silent.may_ask(candidate.name):
                return candidate.name
        return None

    def _on_first(self, entry: PendingRequest, outcome: Outcome) -> None:
        if isinstance(outcome, SlotWaiting):
            self._ask_others()
            return
        self._open.discard(entry)
        if isinstance(outcome, SlotGrant):
            self._finish(self._lease(entry, outcome))
        elif isinstance(outcome, SlotRefusal):
            if outcome.reason == MOVED:
                self._ask_first()
                return
            self._ask_others()
            self._decide_first(outcome)
        elif outcome is Failure.EXPIRED:
            self._decide_first(self._late_refusal())
        else:
            if outcome is Failure.RESTARTED:
                self._asked.discard(entry.dispatcher)
            else:
                self._timeouts += 1
            self._ask_first()

    def _decide_first(self, result: Result) -> None:
        self._is_first_decided, self._first_result = True, result
        self._finish_if_decided()

    def _ask_others(self) -> None:
        others, self._others = self._others, ()
        for subject in others:
            for candidate in subject.candidates:
                if self._pending.silent.may_ask(candidate.name):
                    self._ask(
                        subject,
                        candidate.name,
                        may_wait=False,
                        on_outcome=self._on_other,
                    )
                    break

    def _on_other(self, entry: PendingRequest, outcome: Outcome) -> None:
        self._open.discard(entry)
        if isinstance(outcome, SlotGrant):
            self._finish(self._lease(entry, outcome))
            return
        # Does nothing unless the dispatcher let the request wait, although it must not.
        self._pending.withdraw(entry)
        self._finish_if_decided()

    def _finish_if_decided(self) -> None:
        if self._is_first_decided and not self._open:
            self._finish(self._first_result)

    def _finish(self, result: Result) -> None:
        self.close()
        if not self.result.called:
            self.result.callback(result)

    def _ask(
        self,
        subject: Subject,
        dispatcher: str,
        *,
        may_wait: bool,
        on_outcome: Callable[[PendingRequest, Outcome], None],
    ) -> None:
        demand = self._demand
        elapsed_s = self._now_s() - self._started_s
        request = SlotRequest(
            id=self._pending.next_id(),
            subject=subject.name,
            service=demand.service,
            server=demand.server,
            priority=demand.priority,
            caller=self._caller,
            work_s=demand.work_s,
            max_wait_s=max(0.0, demand.max_wait_s - elapsed_s),
            deadline_s=max(0.0, demand.deadline_s - elapsed_s),
            in_flight=demand.in_flight,
            may_wait=may_wait,
        )
        self._open.add(
            self._pending.send(
                request,
                dispatcher=dispatcher,
                timeout_s=self._timeout_s,
                on_outcome=on_outcome,
            )
        )

    def _lease(self, entry: PendingRequest, grant: SlotGrant) -> SlotLease:
        return SlotLease(
            request_id=entry.request.id,
            subject=entry.request.subject,
            server=grant.server,
            dispatcher=entry.dispatcher,
        )

    def _late_refusal(self) -> SlotRefusal:
        left_s = self._demand.deadline_s - (self._now_s() - self._started_s)
        retry_after_s = self._rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
        return SlotRefusal(
            request_id=0,
            retry_after_s=within_time_left(retry_after_s, left_s=left_s),
            reason=NO_ANSWER,
        )
