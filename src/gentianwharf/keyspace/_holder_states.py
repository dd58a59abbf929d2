"""What each life of a server may hold, as far as the host that leads knows."""

from collections.abc import Callable, Iterator
from typing import final

from gentianwharf.logs import log

from ._orders import HolderEndedError
from ._previous_leader import RemainingGrants
from ._states import HolderState
from ._table import Holder
from ._timing import UNREACHABLE_S, GrantTiming

Clock = Callable[[], float]


@final
class HolderStates:
    """The lives of servers by holder, and for how long unknown grants may hold."""

    def __init__(self, *, timing: GrantTiming, now_s: Clock) -> None:
        self._timing = timing
        self._now_s = now_s
        self._states: dict[Holder, HolderState] = {}
        self._unknown_until_s = 0.0

    def __iter__(self) -> Iterator[HolderState]:
        return iter(list(self._states.values()))

    def state_of(self, holder: Holder) -> HolderState:
        """Return the row of a holder, a new one if there is none."""
        return self._states.setdefault(holder, HolderState(held_until_s=0.0))

    def reset(self, *, unknown_until_s: float) -> None:
        """Know nothing but that earlier leaders' grants end by then."""
        self._states.clear()
        self._unknown_until_s = unknown_until_s

    def held_until_s(self, holder: Holder) -> float:
        """Return when no grant of a holder can hold any more."""
        state = self._states.get(holder)
        known_s = state.surely_until_s() if state is not None else 0.0
        return max(known_s, self._unknown_until_s)

    def held_s(self) -> float:
        """Return for how long some grant may still hold, if none is given any more."""
        latest_s = max(
            # What an earlier leader granted may hold longer than this one's grants.
            [self._unknown_until_s]
            + [state.surely_until_s() for state in self._states.values()]
        )
        return max(0.0, latest_s - self._now_s())

    def earlier_grants_expired(self) -> bool:
        """Whether no grant of an earlier leader holds any more."""
        return self._now_s() >= self._unknown_until_s

    def remaining_grants(self) -> RemainingGrants:
        """Return for how long each grant may still hold, if none is given any more."""
        now_s = self._now_s()
        others_s = max(0.0, self._unknown_until_s - now_s)
        held_s = {
            holder: state.surely_until_s() - now_s
            for holder, state in self._states.items()
        }
        longer_s = {one: held for one, held in held_s.items() if held > others_s}
        return RemainingGrants(others_s=others_s, by_holder_s=longer_s)

    def note_remaining_grants(self, holds: RemainingGrants) -> None:
        """Learn what the leader before had granted."""
        now_s = self._now_s()
        self._unknown_until_s = min(self._unknown_until_s, now_s + holds.others_s)
        for holder, held_s in holds.by_holder_s.items():
            state = self.state_of(holder)
            state.held_until_s = max(state.held_until_s, now_s + held_s)

    def note_grant(self, holder: Holder, *, ended_s: float, duration_s: float) -> None:
        """Note a grant whose call ended at ``ended_s`` and may have arrived."""
        state = self.state_of(holder)
        until_s = self._timing.held_until_s(ended_s=ended_s, duration_s=duration_s)
        state.held_until_s = max(state.held_until_s, until_s)

    def note_unanswered(self, holder: Holder, sent_s: float) -> None:
        """Note an order without an answer."""
        state = self.state_of(holder)
        if state.failing_since_s is None:
            state.failing_since_s = sent_s

    def note_ended(self, holder: Holder, error: HolderEndedError) -> None:
        """Note that another server answers at the holder's address."""
        state = self.state_of(holder)
        if not state.has_ended:
            log.info("server has ended: {}", error, extra={"server": holder.server_id})
        state.has_ended = True

    def unreachable(self) -> frozenset[Holder]:
        """Return the holders that have left every order without an answer for long."""
        latest_s = self._now_s() - UNREACHABLE_S
        return frozenset(
            holder
            for holder, state in self._states.items()
            if state.has_ended
            or (state.failing_since_s is not None and state.failing_since_s <= latest_s)
        )
