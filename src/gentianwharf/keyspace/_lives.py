"""What each life of a server may hold, as far as the host that leads knows."""

from collections.abc import Callable, Iterator
from typing import final

from gentianwharf.logs import log

from ._former import Holds
from ._orders import HolderEndedError
from ._rows import Life
from ._table import Holder
from ._timing import UNREACHABLE_S, GrantTiming

Clock = Callable[[], float]


@final
class Lives:
    """The lives of servers by holder, and for how long unknown grants may hold."""

    def __init__(self, *, timing: GrantTiming, now_s: Clock) -> None:
        self._timing = timing
        self._now_s = now_s
        self._lives: dict[Holder, Life] = {}
        self._unknown_until_s = 0.0

    def __iter__(self) -> Iterator[Life]:
        return iter(list(self._lives.values()))

    def of(self, holder: Holder) -> Life:
        """Return the row of a holder, a new one if there is none."""
        return self._lives.setdefault(holder, Life(held_until_s=0.0))

    def begin(self, *, unknown_until_s: float) -> None:
        """Know nothing but that earlier leaders' grants end by then."""
        self._lives.clear()
        self._unknown_until_s = unknown_until_s

    def held_until_s(self, holder: Holder) -> float:
        """Return when no grant of a holder can hold any more."""
        life = self._lives.get(holder)
        known_s = life.surely_until_s() if life is not None else 0.0
        return max(known_s, self._unknown_until_s)

    def held_s(self) -> float:
        """Return for how long some grant may still hold, if none is given any more."""
        latest_s = max(
            # What an earlier leader granted may hold longer than this one's grants.
            [self._unknown_until_s]
            + [life.surely_until_s() for life in self._lives.values()]
        )
        return max(0.0, latest_s - self._now_s())

    def is_settled(self) -> bool:
        """Whether no grant of an earlier leader holds any more."""
        return self._now_s() >= self._unknown_until_s

    def holds(self) -> Holds:
        """Return for how long each grant may still hold, if none is given any more."""
        now_s = self._now_s()
        others_s = max(0.0, self._unknown_until_s - now_s)
        held_s = {
            holder: life.surely_until_s() - now_s
            for holder, life in self._lives.items()
        }
        longer_s = {one: held for one, held in held_s.items() if held > others_s}
        return Holds(others_s=others_s, of_s=longer_s)

    def note_holds(self, holds: Holds) -> None:
        """Learn what the leader before had granted."""
        now_s = self._now_s()
        self._unknown_until_s = min(self._unknown_until_s, now_s + holds.others_s)
        for holder, held_s in holds.of_s.items():
            life = self.of(holder)
            life.held_until_s = max(life.held_until_s, now_s + held_s)

    def note_held(self, holder: Holder, *, ended_s: float, duration_s: float) -> None:
        """Note a grant whose call ended at ``ended_s`` and may have arrived."""
        life = self.of(holder)
        until_s = self._timing.held_until_s(ended_s=ended_s, duration_s=duration_s)
        life.held_until_s = max(life.held_until_s, until_s)

    def note_unanswered(self, holder: Holder, sent_s: float) -> None:
        """Note an order without an answer."""
        life = self.of(holder)
        if life.failing_since_s is None:
            life.failing_since_s = sent_s

    def note_ended(self, holder: Holder, error: HolderEndedError) -> None:
        """Note that another server answers at the holder's address."""
        life = self.of(holder)
        if not life.has_ended:
            log.info("server has ended: {}", error, extra={"server": holder.server_id})
        life.has_ended = True

    def unreachable(self) -> frozenset[Holder]:
        """Return the holders that have left every order without an answer for long."""
        latest_s = self._now_s() - UNREACHABLE_S
        return frozenset(
            holder
            for holder, life in self._lives.items()
            if life.has_ended
            or (life.failing_since_s is not None and life.failing_since_s <= latest_s)
        )
