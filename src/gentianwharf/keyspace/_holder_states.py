"""Which grants each server instance may hold, as recorded by the leading host."""

from collections.abc import Callable, Iterator
from math import inf
from typing import final

from gentianwharf.logs import log
from gentianwharf.pauses import PauseDetector

from ._orders import HolderEndedError
from ._previous_leader import UNKNOWN_GRANTS, RemainingGrants
from ._states import HolderState
from ._table import Holder
from ._timing import UNREACHABLE_S, GrantTiming

Clock = Callable[[], float]


@final
class HolderStates:
    """States by holder, and the time by which grants of earlier leaders expire."""

    def __init__(self, *, timing: GrantTiming, now_s: Clock) -> None:
        self._timing = timing
        self._now_s = now_s
        self._states: dict[Holder, HolderState] = {}
        self._earlier_grants_until_s = 0.0
        self._lease_id: int | None = None
        """The lease of the term whose grants are recorded."""
        self._pauses = PauseDetector()
        self._resumed_s = -inf
        """When the last pause of this host ended."""

    def __iter__(self) -> Iterator[HolderState]:
        return iter(list(self._states.values()))

    def state_of(self, holder: Holder) -> HolderState:
        """Return the state of a holder; it is created if there is none."""
        return self._states.setdefault(holder, HolderState(held_until_s=0.0))

    def reset(self, *, earlier_grants_until_s: float, lease_id: int | None) -> None:
        """Discard all states; grants of earlier leaders expire by the given time."""
        self._states.clear()
        self._earlier_grants_until_s = earlier_grants_until_s
        self._lease_id = lease_id

    def held_until_s(self, holder: Holder) -> float:
        """Return the time by which all grants of a holder have expired."""
        state = self._states.get(holder)
        known_s = self._expire_by_s(state) if state is not None else 0.0
        return max(known_s, self._earlier_grants_until_s)

    def end_orders(self) -> None:
        """Cancel all orders; those that were sent may have arrived until now."""
        for state in self:
            state.held_until_s = self._expire_by_s(state)
            for order in list(state.orders):
                order.cancel()

    def _expire_by_s(self, state: HolderState) -> float:
        return state.expire_by_s(self._now_s(), self._timing)

    def held_s(self, lease_id: int) -> float | None:
        """Return for how long any grant may remain valid if no more are sent.

        None if this host did not take over in the term of the given lease.
        """
        if lease_id != self._lease_id:
            return None
        latest_s = max(
            # A grant of an earlier leader may be valid for longer than this host's.
            [self._earlier_grants_until_s]
            + [self._expire_by_s(state) for state in self._states.values()]
        )
        return max(0.0, latest_s - self._now_s())

    def earlier_grants_s(self) -> float:
        """Return for how long any grant of earlier leaders may remain valid."""
        return max(0.0, self._earlier_grants_until_s - self._now_s())

    def earlier_grants_expired(self) -> bool:
        """Whether all grants of earlier leaders have expired."""
        return self._now_s() >= self._earlier_grants_until_s

    def remaining_grants(self, lease_id: int) -> RemainingGrants:
        """Return for how long each grant may remain valid if no more are sent.

        Only who took over in the term of the given lease knows the grants of that term
        and of those before it. A claim may be stored without its host noticing, and a
        host that led before has forgotten, or never knew, the terms in between.
        """
        if lease_id != self._lease_id:
            return UNKNOWN_GRANTS
        now_s = self._now_s()
        others_s = self.earlier_grants_s()
        held_s = {
            holder: self._expire_by_s(state) - now_s
            for holder, state in self._states.items()
        }
        longer_s = {holder: held for holder, held in held_s.items() if held > others_s}
        return RemainingGrants(others_s=others_s, by_holder_s=longer_s)

    def note_remaining_grants(self, remaining: RemainingGrants) -> None:
        """Record the grants of the previous leader."""
        now_s = self._now_s()
        self._earlier_grants_until_s = min(
            self._earlier_grants_until_s, now_s + remaining.others_s
        )
        for holder, held_s in remaining.by_holder_s.items():
            state = self.state_of(holder)
            state.held_until_s = max(state.held_until_s, now_s + held_s)

    def note_grant(self, holder: Holder, *, ended_s: float, duration_s: float) -> None:
        """Record a grant that may have arrived and whose call ended at ``ended_s``."""
        state = self.state_of(holder)
        until_s = self._timing.grant_expiry_s(ended_s=ended_s, duration_s=duration_s)
        state.held_until_s = max(state.held_until_s, until_s)

    def note_unanswered(self, holder: Holder, sent_s: float) -> None:
        """Record an order that was not answered; others may have been since."""
        state = self.state_of(holder)
        state.withheld_s = None
        if state.failing_since_s is None:
            state.failing_since_s = max(sent_s, state.answered_s, self._resumed_s)

    def note_withheld(self, holder: Holder) -> None:
        """Record that an order to a holder was withheld.

        The time between withheld orders does not count as time without an answer.
        """
        self._note_withheld(self.state_of(holder))

    def note_all_withheld(self) -> None:
        """Record that orders to all holders were withheld."""
        for state in self:
            self._note_withheld(state)

    def _note_withheld(self, state: HolderState) -> None:
        now_s = self._now_s()
        if state.withheld_s is not None and state.failing_since_s is not None:
            shifted_s = state.failing_since_s + now_s - state.withheld_s
            state.failing_since_s = min(shifted_s, now_s)
        state.withheld_s = now_s

    def note_tick(self) -> None:
        """Detect a pause of this host; call this before the states are evaluated.

        Answers may have arrived unread during a pause, so it does not count as time
        without an answer.
        """
        now_s = self._now_s()
        paused_s = self._pauses.record_tick(now_s)
        if not paused_s:
            return
        self._resumed_s = now_s
        for state in self._states.values():
            if state.failing_since_s is not None:
                state.failing_since_s += paused_s

    def note_answered(self, holder: Holder) -> None:
        """Record the answer to an order."""
        state = self.state_of(holder)
        state.failing_since_s = state.withheld_s = None
        state.answered_s = self._now_s()

    def note_ended(self, holder: Holder, error: HolderEndedError) -> None:
        """Record that another server answers at the holder's address."""
        state = self.state_of(holder)
        if not state.has_ended:
            log.info("server has ended: {}", error, extra={"server": holder.server_id})
        state.has_ended = True

    def orders_in_flight(self) -> int:
        """Return how many orders keep this host busy.

        Those to holders that do not answer are left out, and so are releases that wait
        for the work at a holder.
        """
        now_s = self._now_s()
        return sum(
            now_s < counts_until_s
            for state in self._states.values()
            if state.failing_since_s is None
            for counts_until_s in state.orders.values()
        )

    def ended(self) -> frozenset[Holder]:
        """Return the holders at whose addresses another server has answered."""
        return frozenset(
            holder for holder, state in self._states.items() if state.has_ended
        )

    def unreachable(self) -> frozenset[Holder]:
        """Return the holders that have answered no order for ``UNREACHABLE_S``.

        Holders that have ended are included.
        """
        latest_s = self._now_s() - UNREACHABLE_S
        return frozenset(
            holder
            for holder, state in self._states.items()
            if state.has_ended
            or (state.failing_since_s is not None and state.failing_since_s <= latest_s)
        )
