"""Refusals: the final answer of a request that is not run.

Load pattern: three times more requests than slots, two thirds of which must be told
so. Each gets its answer at once with a time to come back, and is counted by reason.
Without a time from the real backlog all come back together and are the next overload.

>>> refusals = Refusals(rng=Random(1))
>>> look_up = Ticket(id="1", service="ledger", request_class="look-up",
...                  caller="round-rock", deadline_s=2.0)
>>> refused = refusals.refuse(look_up, RefuseReason.NO_SERVER, None, 0.0)
>>> 1.0 <= refused.retry_after_s <= 2.0, refusals.counts[RefuseReason.NO_SERVER]
(True, 1)
"""

from random import Random
from typing import final

from ._class_state import ClassState
from ._pool import Pool
from ._requests import Refuse, RefuseReason, Ticket

# Without a pool nothing is known of the backlog: a moment, spread over a second.
UNKNOWN_RETRY_AFTER_S = 1.0


@final
class Refusals:
    """Makes refusals and counts them."""

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self.counts = dict.fromkeys(RefuseReason, 0)

    def refuse(
        self, ticket: Ticket, reason: RefuseReason, pool: Pool | None, now_s: float
    ) -> Refuse:
        """Return the refusal of a request; ``pool`` is where it would have gone."""
        if pool is None:
            self.counts[reason] += 1
            retry_after_s = UNKNOWN_RETRY_AFTER_S + self._rng.random()
            return Refuse(
                ticket_id=ticket.id, reason=reason, retry_after_s=retry_after_s
            )
        class_state = pool.classes[ticket.request_class]
        rate_per_s = pool.service_rate_per_s(class_state, pool.class_share(class_state))
        return self._refuse(ticket, reason, class_state, rate_per_s, now_s)

    def refuse_overload(
        self, ticket: Ticket, class_state: ClassState, rate_per_s: float, now_s: float
    ) -> Refuse:
        """Return the refusal of a request that finds no place in its class's queue."""
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
