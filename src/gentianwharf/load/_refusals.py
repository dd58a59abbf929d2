"""Refusals: the final answers to requests that are not run.

Load pattern: three times the load that the slots can serve, so that two thirds of the
requests have to be refused. Each is refused at once with a time to retry, and counted
by reason. If the times did not follow the actual backlog, all refused callers would
retry together and cause the next overload.

>>> refusals = Refusals(rng=Random(1))
>>> look_up = Ticket(id="1", service="ledger", request_class="look-up",
...                  caller="round-rock", deadline_s=2.0)
>>> refusal = refusals.refuse(look_up, RefuseReason.NO_SERVER, None, 0.0)
>>> 1.0 <= refusal.retry_after_s <= 2.0, refusals.counts[RefuseReason.NO_SERVER]
(True, 1)
"""

from random import Random
from typing import final

from ._class_state import ClassState
from ._pool import Pool
from ._requests import Refuse, RefuseReason, Ticket

# Used without a pool, whose backlog is unknown; up to a second of jitter is added.
UNKNOWN_RETRY_AFTER_S = 1.0


@final
class Refusals:
    """Creates refusals and counts them by reason."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self.counts = dict.fromkeys(RefuseReason, 0)

    def refuse(
        self, ticket: Ticket, reason: RefuseReason, pool: Pool | None, now_s: float
    ) -> Refuse:
        """Return a refusal; ``pool`` is the request's pool, None if it has none."""
        if pool is None:
            self.counts[reason] += 1
            retry_after_s = UNKNOWN_RETRY_AFTER_S + self._rng.random()
            return Refuse(
                ticket_id=ticket.id, reason=reason, retry_after_s=retry_after_s
            )
        class_state = pool.classes[ticket.request_class]
        rate_per_s = pool.service_rate_per_s(class_state, pool.class_share(class_state))
        return self._refuse(ticket, reason, class_state, rate_per_s, now_s)

    def refuse_with(
        self, ticket: Ticket, reason: RefuseReason, retry_after_s: float
    ) -> Refuse:
        """Return a refusal whose time to retry is known."""
        self.counts[reason] += 1
        return Refuse(ticket_id=ticket.id, reason=reason, retry_after_s=retry_after_s)

    def refuse_overload(
        self, ticket: Ticket, class_state: ClassState, rate_per_s: float, now_s: float
    ) -> Refuse:
        """Return the refusal of a request whose class's queue is full."""
        return self._refuse(
            ticket, RefuseReason.OVERLOAD, class_state, rate_per_s, now_s
        )

    def _refuse(
        self,
        ticket: Ticket,
        reason: RefuseReason,
        class_state: ClassState,
        rate_per_s: float,
        now_s: float,
    ) -> Refuse:
        self.counts[reason] += 1
        retry_after_s = class_state.retry_schedule.retry_after_s(
            backlog=len(class_state.queue), rate_per_s=rate_per_s, now_s=now_s
        )
        return Refuse(ticket_id=ticket.id, reason=reason, retry_after_s=retry_after_s)
