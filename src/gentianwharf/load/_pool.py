"""A pool: servers that a request may choose among, its limit and its queues.

A service that is not divided by key is one pool. Each owner of a keyed service, and
each server to which a request is bound, is a pool of one server.

Load pattern: a few uploads or archive reads of seconds among many lookups of
milliseconds. Without a share of their own the long ones hold every slot after a
while, and the short ones wait for seconds.

A long class holds at most its share of the limit, and what it holds counts against
the others up to that share only. In a pool of several servers the long ones also keep
to the first servers of an order that every daemon works out alike, as many as they
need, and the short ones to the rest (size-based task assignment); no daemon has to
ask another where long jobs run.
"""

from collections.abc import Mapping
from math import ceil
from random import Random
from typing import final

from ._class_state import ClassState, class_state
from ._limit import AdaptiveLimit
from ._requests import RequestClass, Ticket
from ._server_state import Flight, ServerState

# Long work is remembered for about this long, so that its servers stay its own
# between two uploads.
LONG_MEMORY_S = 10.0
# Below this many long requests in flight none needs a server of its own.
LEAST_LONG_DEMAND = 0.05
# Service times that a request may wait in a queue that stands.
STANDING_WAIT = 3.0
# Answers end at random: without a place or two a slot stays empty until somebody asks.
LEAST_PLACES = 2
LEAST_MEAN_S = 1e-6


@final
class Pool:
    """Queues, limit and servers that belong together."""

    def __init__(
        self,
        *,
        service: str,
        states: list[ServerState],
        classes: Mapping[str, RequestClass],
        daemons: int,
        rng: Random,
        pinned: bool,
    ) -> None:
        self.service = service
        self.pinned = pinned
        self.classes: dict[str, ClassState] = {
            name: class_state(one, rng) for name, one in classes.items()
        }
        self.short_in_flight = 0
        self.long_in_flight = 0
        self.waiting = 0
        self._daemons = daemons
        self._long_demand = 0.0
        self._long_noted_s = 0.0
        self._virtual_time = 0.0
        self.states: list[ServerState] = []
        self.short_states: list[ServerState] = []
        self.long_states: list[ServerState] = []
        self.limit = AdaptiveLimit(fair=1.0, most=1.0)
        self.set_states(states)

    def set_states(self, states: list[ServerState]) -> None:
        """Follow servers that join or leave."""
        self.states = _in_common_order(states)
        slots = sum(one.server.slots for one in states)
        self.limit.resize(fair=slots / self._daemons, most=float(slots))
        self._divide_servers()

    def has_room(self, state: ClassState) -> bool:
        """Whether the limits let one more request of this class start."""
        limit = self.limit.value
        share = state.request_class.slot_share
        if share < 1.0:
            return state.in_flight < max(1.0, limit * share)
        lent_to_long = min(self.long_in_flight, limit / 2)
        return self.short_in_flight + lent_to_long < limit

    def expected_wait_s(self, state: ClassState) -> float:
        """Return how long a request that came now would wait."""
        return len(state.queue) / self.turn_rate_per_s(state)

    def push(self, state: ClassState, ticket: Ticket, now_s: float) -> None:
        """Let a request wait."""
        if not len(state.queue):
            state.waiting_since_s = now_s
            # An idle class gets no credit for the time in which it asked nothing.
            state.virtual_time = max(state.virtual_time, self._virtual_time)
        state.queue.push(ticket)
        self.waiting += 1

    def note_left(self, state: ClassState) -> None:
        """Note that a request has left the class's queue."""
        self.waiting -= 1
        if not len(state.queue):
            state.waiting_since_s = None

    def next_class(self, blocked: set[str]) -> ClassState | None:
        """Return the class whose turn it is, of those with work, room and a server."""
        best: ClassState | None = None
        for name, state in self.classes.items():
            if name in blocked or not len(state.queue) or not self.has_room(state):
                continue
            if best is None or state.virtual_time < best.virtual_time:
                best = state
        return best

    def places(self, state: ClassState, now_s: float) -> int:
        """Return how many requests of the class may wait at this moment.

        A short burst may fill the class's longest wait. A queue that stands for
        longer than that is no burst: it only makes everybody late, so it is kept
        down to a few service times (as in CoDel, RFC 8289).
        """
        wait_s = state.request_class.max_wait_ms / 1000
        if state.waiting_since_s is None:
            standing_s = 0.0
        else:
            standing_s = now_s - state.waiting_since_s
        if standing_s > wait_s:
            wait_s = min(wait_s, STANDING_WAIT * state.mean_s)
        return max(LEAST_PLACES, int(wait_s * self.turn_rate_per_s(state)))

    def turn_rate_per_s(self, state: ClassState) -> float:
        """Return how many of the class can start a second while others wait too."""
        total = sum(
            one.request_class.weight
            for one in self.classes.values()
            if one is state or len(one.queue)
        )
        share = min(state.request_class.slot_share, state.request_class.weight / total)
        return max(1.0, self.limit.value * share) / max(state.mean_s, LEAST_MEAN_S)

    def note_start(self, state: ClassState, flight: Flight, now_s: float) -> None:
        """Count a request that is sent."""
        state.in_flight += 1
        if flight.long:
            self.long_in_flight += 1
            self._note_long(now_s)
        else:
            self.short_in_flight += 1
        state.virtual_time += state.mean_s / state.request_class.weight
        self._virtual_time = max(self._virtual_time, state.virtual_time)

    def note_end(self, state: ClassState, flight: Flight) -> None:
        """Stop counting a request that ended, or whose server is suspect."""
        if not flight.counted:
            return
        flight.counted = False
        state.in_flight -= 1
        if flight.long:
            self.long_in_flight -= 1
        else:
            self.short_in_flight -= 1

    def tick(self, now_s: float) -> None:
        """Follow how much long work there is."""
        self._note_long(now_s)
        self._divide_servers()

    def _note_long(self, now_s: float) -> None:
        waiting = sum(
            len(one.queue) for one in self.classes.values() if one.request_class.long
        )
        demand = self.long_in_flight + waiting
        part = min(1.0, max(0.0, now_s - self._long_noted_s) / LONG_MEMORY_S)
        if demand > self._long_demand:
            self._long_demand = demand
        else:
            self._long_demand += (demand - self._long_demand) * part
        self._long_noted_s = now_s
        if demand and not self.long_states:
            self._divide_servers()

    def _divide_servers(self) -> None:
        total = len(self.states)
        if total < 2 or self._long_demand < LEAST_LONG_DEMAND:
            self.short_states = self.states
            self.long_states = self.states if total < 2 else []
            return
        slots = self.states[0].server.slots
        needed = ceil(self._long_demand * self._daemons / slots)
        for_long = max(1, min(needed, total // 2))
        self.long_states = self.states[:for_long]
        self.short_states = self.states[for_long:]


def _in_common_order(states: list[ServerState]) -> list[ServerState]:
    """Order servers alike on every daemon, the domains taking turns."""
    seen: dict[str, int] = {}
    places: list[tuple[int, str, ServerState]] = []
    for state in sorted(states, key=lambda one: one.server.id):
        domain = state.server.domain
        place = seen.get(domain, 0)
        seen[domain] = place + 1
        places.append((place, domain, state))
    return [state for _, _, state in sorted(places, key=lambda one: one[:2])]
