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
from math import ceil, log
from random import Random
from typing import final

from ._class_state import ClassState, class_state
from ._flows import FlowCounts
from ._limit import OWNER_WINDOW_ANSWERS, WINDOW_ANSWERS, AdaptiveLimit
from ._requests import RequestClass, Ticket
from ._server_state import Flight, ServerState, Standing

# Long work is remembered for about this long, so that its servers stay its own
# between two uploads.
LONG_MEMORY_S = 10.0
# Below this many long requests in flight none needs a server of its own.
LEAST_LONG_DEMAND = 0.05
# A caller with nothing in flight may exceed the limit by this factor, so that it need
# not wait for the slots of a busy one: servers then hold some requests more for a
# moment, which the limit, being lowered by slower answers, allows for.
LIGHT_ROOM = 2.0
# With the fair share, one request at a time, a hot owner's queue at the router was
# full at 60 % load while the owner had free slots.
FIRST_OWNER_SHARE = 0.34
# A slot may run empty in 5 % of the time, while the servers hold some requests more.
LOG_EMPTY_SHARE = log(0.05)
LEAST_SERVED = 0.01
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
        self._callers = FlowCounts()
        self._keys = FlowCounts()
        self._daemons = daemons
        self._long_demand = 0.0
        self._long_noted_s = 0.0
        self._virtual_time = 0.0
        self.states: list[ServerState] = []
        self.suspects: list[ServerState] = []
        self.short_states: list[ServerState] = []
        self.long_states: list[ServerState] = []
        window_answers = OWNER_WINDOW_ANSWERS if pinned else WINDOW_ANSWERS
        self.limit = AdaptiveLimit(fair=1.0, most=1.0, window_answers=window_answers)
        self.set_states(states)
        if pinned:
            # One owner of many: most of the time the other hosts leave it alone.
            self.limit.borrow(states[0].server.slots * FIRST_OWNER_SHARE)

    def set_states(self, states: list[ServerState]) -> None:
        """Follow servers that join or leave."""
        self.states = _in_common_order(states)
        slots = sum(one.server.slots for one in states)
        self.limit.resize(fair=slots / self._daemons, most=float(slots))
        self.note_suspects()
        self._divide_servers()

    def set_daemons(self, daemons: int) -> None:
        """Follow the number of daemons, by which slots are shared fairly."""
        self._daemons = daemons
        self.set_states(self.states)

    def has_room(self, state: ClassState, *, light: bool) -> bool:
        """Whether the limits let one more request of this class start.

        ``light``: see ``is_light``.
        """
        limit = self.limit.value
        share = state.request_class.slot_share
        if share < 1.0:
            return state.in_flight < max(1.0, limit * share)
        lent_to_long = min(self.long_in_flight, limit / 2)
        if light:
            limit *= LIGHT_ROOM
        return self.short_in_flight + lent_to_long < limit

    def is_light(self, ticket: Ticket) -> bool:
        """Whether both its caller and its key have less in flight than another."""
        if not self._callers.is_light(ticket.caller):
            return False
        return ticket.key is None or self._keys.is_light(ticket.key)

    def passes_first(self, state: ClassState, now_s: float) -> bool:
        """Whether the first waiting request counts as light, so that none passes it.

        Light newcomers may pass a busy caller's request, but not for ever: they alone
        can keep the limit exceeded, and it would wait until its deadline.
        """
        ticket = state.queue.peek()
        longest_s = state.request_class.max_wait_ms / 1000
        waited_s = now_s - state.queue.since_s(ticket)
        return waited_s > longest_s or self.is_light(ticket)

    def push(self, state: ClassState, ticket: Ticket, now_s: float) -> None:
        """Let a request wait."""
        if not len(state.queue):
            # An idle class gets no credit for the time in which it asked nothing.
            state.virtual_time = max(state.virtual_time, self._virtual_time)
        in_flight = self._callers.count(ticket.caller)
        if ticket.key is not None:
            in_flight = max(in_flight, self._keys.count(ticket.key))
        state.queue.push(ticket, now_s=now_s, in_flight=in_flight)
        self.waiting += 1

    def next_class(self, blocked: set[str], now_s: float) -> ClassState | None:
        """Return the class whose turn it is, of those with work, room and a server."""
        best: ClassState | None = None
        for name, state in self.classes.items():
            if name in blocked or not len(state.queue):
                continue
            if not self.has_room(state, light=self.passes_first(state, now_s)):
                continue
            if best is None or state.virtual_time < best.virtual_time:
                best = state
        return best

    def most_places(self, state: ClassState, rate_per_s: float) -> int:
        """Return how many of the class are served within its longest wait."""
        longest_s = state.request_class.max_wait_ms / 1000
        return max(LEAST_PLACES, int(longest_s * rate_per_s))

    def places(self, state: ClassState, most: int) -> int:
        """Return how many requests of the class may wait at this moment.

        While hardly any is refused, as many as the class's longest wait allows. The
        more are refused, the fewer are needed so that no slot runs empty, and a
        longer queue would only make everybody later: at ``r`` times the capacity an
        M/M/1 queue of K places is empty in about ``r ** -K`` of the time.
        """
        served = max(LEAST_SERVED, 1.0 - state.refused_share)
        if served == 1.0:
            return most
        needed = LOG_EMPTY_SHARE / log(served) * self._turn_share(state)
        return max(LEAST_PLACES, int(min(most, needed)))

    def turn_rate_per_s(self, state: ClassState) -> float:
        """Return how many of the class can start a second while others wait too."""
        share = self._turn_share(state)
        return max(1.0, self.limit.value * share) / max(state.mean_s, LEAST_MEAN_S)

    def _turn_share(self, state: ClassState) -> float:
        """Return the class's part of the limit while the others wait as now."""
        weight = state.request_class.weight
        total = weight
        if self.waiting > len(state.queue):
            for one in self.classes.values():
                if one is not state and len(one.queue):
                    total += one.request_class.weight
        return min(state.request_class.slot_share, weight / total)

    def note_start(self, state: ClassState, flight: Flight, now_s: float) -> None:
        """Count a request that is sent."""
        state.in_flight += 1
        self._callers.add(flight.ticket.caller)
        if flight.ticket.key is not None:
            self._keys.add(flight.ticket.key)
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
        self._callers.remove(flight.ticket.caller)
        if flight.ticket.key is not None:
            self._keys.remove(flight.ticket.key)
        if flight.long:
            self.long_in_flight -= 1
        else:
            self.short_in_flight -= 1

    def is_gone(self, now_s: float) -> bool:
        """Whether waiting is in vain: the only server is frozen or has left."""
        return self.pinned and not self.states[0].takes_pinned(now_s)

    def may_suspect_slow(self) -> bool:
        """Whether one more server may be set apart for being slower than the rest.

        Slowness is judged against the pool's own median. If that is wrong, or the
        work has become slower everywhere, all servers look slow; a host that then
        set all apart would refuse everything, and have no answers to learn better
        from. So at most half; servers that do not answer at all are not counted.
        """
        self.note_suspects()
        return (len(self.suspects) + 1) * 2 <= len(self.states)

    def note_suspects(self) -> None:
        """Follow which servers are suspects; most of the time there are none."""
        self.suspects = [one for one in self.states if one.standing is Standing.SUSPECT]

    def tick(self, now_s: float) -> None:
        """Follow how much long work there is."""
        self.note_suspects()
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
