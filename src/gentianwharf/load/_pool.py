"""A pool: the servers that can run a request, with their limit and queues.

A service without keys has one pool. Each owner of a keyed service, and each server to
which a request is bound, has a pinned pool with that server only.

Load pattern: a few uploads or archive reads of seconds among many look-ups of
milliseconds. Without a separate share, long requests eventually hold every slot, and
short ones wait for seconds. A long class therefore holds at most its share of the
limit, and its requests count against the other classes up to that share only.

Load pattern: a hot caller. With FIFO order it uses up the limit, and each other caller
waits for one of its requests to end. Light callers may therefore exceed the limit, and
busy callers may not use its last part while there are other callers.

>>> from gentianwharf.topology import BackendServer
>>> look_up = RequestClass.from_deadline(name="look-up", deadline_ms=2000, weight=8)
>>> server = BackendServer(id="ledger-1", service="ledger", domain="hall-a",
...                        address="127.0.0.1:9200", slots=3, connections=120)
>>> state = ServerState(server=server, local=True, max_connections=10)
>>> pool = Pool(service="ledger", states=[state], classes={"look-up": look_up},
...             daemons=1, rng=Random(1), pinned=False)
>>> row = pool.classes["look-up"]
>>> def ticket(caller):
...     return Ticket(id="1", service="ledger", request_class="look-up",
...                   caller=caller, deadline_s=2.0)
>>> for _ in range(4):
...     flight = Flight(
...         ticket=ticket("hot"), server="ledger-1", started_s=0.0, long=False)
...     pool.record_start(row, flight, 0.0)
>>> pool.is_light(ticket("hot")), pool.is_light(ticket("other"))
(False, True)
>>> pool.has_capacity(row, 0.0, light=False), pool.has_capacity(row, 0.0, light=True)
(False, True)
"""

from collections.abc import Mapping
from math import inf
from random import Random
from typing import final

from ._class_state import ClassState
from ._class_table import ClassTable
from ._flows import MIN_BUSY, FlowCounts
from ._limit import AdaptiveLimit
from ._long_servers import LongDemand, in_common_order
from ._pacer import Pacer
from ._requests import RequestClass, Ticket
from ._server_state import Flight, HealthStatus, ServerState

# A light caller may exceed the limit by this factor, so that it need not wait for slots
# of a busy one. The servers then hold a few more requests for a moment; the limit
# compensates, since slower answers lower it. With 2.5 the p99 at ten times the load is
# 198 ms instead of 178 ms.
LIGHT_LIMIT_FACTOR = 2.0
# A busy caller leaves the last quarter of the limit to other callers, if there are any.
# Without that the others' p99 beside a caller of 20 times their load grew 1.27 times.
BUSY_LIMIT_FACTOR = 0.75
# After this wait a busy caller's request is no longer overtaken by light ones. With
# 250 ms, the longest wait of a posting, the p99 of the hot caller's class was 262 ms.
MAX_OVERTAKEN_S = 0.1
# Starting at the fair share, one request at a time, the queue for a hot owner was full
# at 60 % load while the owner had free slots.
INITIAL_OWNER_SHARE = 0.34
# A host has one or two requests in flight at an owner, so at an owner a flow counts as
# busy with fewer requests.
MIN_BUSY_AT_OWNER = 1
MIN_MEAN_S = 1e-6
MIN_RATE_PER_S = 1e-3


@final
class Pool:
    """A group of servers with their limit and queues."""

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
        self.answers_queries = False
        """Whether the servers answer queries for their load at once."""
        self.classes = ClassTable(classes=classes, rng=rng)
        self.short_in_flight = 0
        self.long_in_flight = 0
        self.waiting = 0
        min_busy = MIN_BUSY_AT_OWNER if pinned else MIN_BUSY
        self._callers = FlowCounts(min_busy=min_busy)
        self._keys = FlowCounts(min_busy=min_busy)
        self.daemons = daemons
        self._long_demand = LongDemand()
        self._virtual_time = 0.0
        self.states: list[ServerState] = []
        self.preferred_states: list[ServerState] = []
        """The servers in an order that differs from host to host."""
        self.suspects: list[ServerState] = []
        self.short_states: list[ServerState] = []
        self.long_states: list[ServerState] = []
        self.pacer = Pacer()
        self.limit = AdaptiveLimit(fair_share=1.0, maximum=1.0, owner=pinned)
        self.set_states(states)
        if pinned:
            # There are many owners: the other hosts rarely send to this one at the
            # same time.
            self.limit.raise_to(states[0].server.slots * INITIAL_OWNER_SHARE)

    # Servers.

    def set_states(self, states: list[ServerState]) -> None:
        """Replace the pool's servers when some join or leave."""
        self.states = in_common_order(states)
        self.preferred_states = sorted(states, key=lambda state: state.preference)
        slots = sum(state.server.slots for state in states)
        self.limit.resize(fair_share=slots / self.daemons, maximum=float(slots))
        self.update_suspects()
        self._divide_servers()

    def set_daemons(self, daemons: int) -> None:
        """Set the number of daemons among which the slots are divided."""
        self.daemons = daemons
        self.set_states(self.states)

    def is_unavailable(self, now_s: float) -> bool:
        """Whether the only server is frozen or has left, so that waiting is useless."""
        return self.pinned and not self.states[0].accepts_pinned(now_s)

    def can_serve(self, ticket: Ticket, now_s: float) -> bool:
        """Whether some server can run the request, now or after a wait."""
        for state in self.states:
            if state.health is HealthStatus.ACTIVE:
                return True
            if state.accepts_probe(now_s, repeatable=ticket.repeatable):
                return True
        return False

    def may_suspect_slow(self) -> bool:
        """Whether one more server may become suspect for being slower than the rest.

        Servers are compared with the pool's own median. If that is wrong, or the work
        has become slower everywhere, all servers seem slow. A host for which all were
        suspect would refuse everything, and get no answers that could correct this.
        At most half of the servers may therefore be suspect for slowness; servers that
        do not answer at all are exempt from that bound.
        """
        self.update_suspects()
        return (len(self.suspects) + 1) * 2 <= len(self.states)

    def update_suspects(self) -> None:
        """Update the list of suspect servers, which is usually empty."""
        self.suspects = [
            state for state in self.states if state.health is HealthStatus.SUSPECT
        ]

    def is_idle(self) -> bool:
        """Whether an owner's pool has no requests, so that it needs no tick.

        A host has a pool for each owner, and most are idle. With 16 owners a tick took
        178 us, fifty times a second; it takes 32 us when idle pools and servers without
        requests in flight are skipped.
        """
        return self.pinned and not (
            self.waiting or self.short_in_flight or self.long_in_flight
        )

    def tick(self, now_s: float) -> None:
        """Update the suspects and the division of servers between long and short."""
        self.update_suspects()
        self._update_long_demand(now_s)
        self._divide_servers()

    def _update_long_demand(self, now_s: float) -> None:
        waiting = sum(
            len(state.queue)
            for state in self.classes.values()
            if state.request_class.long
        )
        demand = self.long_in_flight + waiting
        self._long_demand.update(demand, now_s)
        if demand and not self.long_states:
            self._divide_servers()

    def _divide_servers(self) -> None:
        long_servers = self._long_demand.count_servers(self.states, self.daemons)
        # A single server runs both long and short requests.
        self.long_states = self.states[: long_servers or int(len(self.states) == 1)]
        self.short_states = self.states[long_servers:]

    # Capacity and scheduling.

    def has_capacity(self, state: ClassState, now_s: float, *, light: bool) -> bool:
        """Whether the limits allow one more request of this class to start.

        ``light``: see ``is_light``.
        """
        if not self.pacer.may_start(now_s):
            return False
        limit = self.limit.value
        share = state.request_class.slot_share
        if share < 1.0:
            return state.in_flight < max(1.0, limit * share)
        used_by_long = min(self.long_in_flight, limit / 2)
        if light:
            limit *= LIGHT_LIMIT_FACTOR
        elif len(self._callers) > 1:
            limit = max(1.0, limit * BUSY_LIMIT_FACTOR)
        return self.short_in_flight + used_by_long < limit

    def is_light(self, ticket: Ticket, *, queued: bool = False) -> bool:
        """Whether the request's caller and key are both light.

        ``queued`` means that the request is in a queue here and is already counted; it
        is then left out.
        """
        own = int(queued)
        if not self._callers.is_light(ticket.caller, own=own):
            return False
        return ticket.key is None or self._keys.is_light(ticket.key, own=own)

    def has_other_busy_caller(self, ticket: Ticket) -> bool:
        """Whether a caller is busy while the request's own flows are light."""
        return self._callers.has_busy() and self.is_light(ticket)

    def head_has_priority(self, state: ClassState, now_s: float) -> bool:
        """Whether the first waiting request counts as light and may not be overtaken.

        New light requests may overtake a busy caller's request only for a limited time:
        they alone can keep the limit exceeded, and the request would wait until its
        deadline.
        """
        ticket = state.queue.peek()
        waited_s = now_s - state.queue.enqueued_s(ticket)
        limit_s = min(MAX_OVERTAKEN_S, state.max_wait_s)
        return waited_s > limit_s or self.is_light(ticket, queued=True)

    def next_class(self, blocked: set[str], now_s: float) -> ClassState | None:
        """Return the next class to serve among those with requests and capacity.

        ``blocked`` names classes for which no server is available now.
        """
        best: ClassState | None = None
        for name, state in self.classes.items():
            if name in blocked or not len(state.queue):
                continue
            light = self.head_has_priority(state, now_s)
            if not self.has_capacity(state, now_s, light=light):
                continue
            if best is None or state.virtual_time < best.virtual_time:
                best = state
        return best

    def service_rate_per_s(self, state: ClassState, share: float) -> float:
        """Return how many requests of the class can start per second."""
        interval_s = max(state.mean_s, self.pacer.gap_s, MIN_MEAN_S)
        rate_per_s = max(1.0, self.limit.value * share) / interval_s
        return min(rate_per_s, max(MIN_RATE_PER_S, self.accepted_per_s()))

    def accepted_per_s(self) -> float:
        """Return what the servers accept from this host, infinite without a limit."""
        if not self.states:
            return inf
        accepted_per_s = 0.0
        for server in self.states:
            gap_s = server.notices.limit_gap_s
            if not gap_s:
                return inf
            accepted_per_s += 1 / gap_s
        return accepted_per_s

    def accepted_in_s(self, now_s: float) -> float:
        """Return the time until some server accepts a request."""
        wait_s = inf
        for server in self.states:
            wait_s = min(wait_s, server.notices.accepted_in_s(now_s))
            if not wait_s:
                return 0.0
        return wait_s if self.states else 0.0

    def class_share(self, state: ClassState) -> float:
        """Return the class's share of the limit, given which classes are waiting."""
        weight = state.request_class.weight
        total = weight
        if self.waiting > len(state.queue):
            for other in self.classes.values():
                if other is not state and len(other.queue):
                    total += other.request_class.weight
        return min(state.request_class.slot_share, weight / total)

    # Waiting requests.

    def enqueue(self, state: ClassState, ticket: Ticket, now_s: float) -> None:
        """Add a request to its class's queue."""
        if not len(state.queue):
            # A class gets no credit for time in which it had no requests.
            state.virtual_time = max(state.virtual_time, self._virtual_time)
        in_flight = self._callers.count_in_flight(ticket.caller)
        self._callers.add_waiting(ticket.caller)
        if ticket.key is not None:
            in_flight = max(in_flight, self._keys.count_in_flight(ticket.key))
            self._keys.add_waiting(ticket.key)
        state.queue.push(ticket, now_s=now_s, in_flight=in_flight)
        self.waiting += 1

    def dequeue(self, state: ClassState) -> None:
        """Remove the first request from the class's queue."""
        self._record_dequeued(state.queue.pop())

    def remove(self, ticket_id: str) -> None:
        """Remove a request from whichever queue it is in."""
        for state in self.classes.values():
            ticket = state.queue.remove(ticket_id)
            if ticket is not None:
                self._record_dequeued(ticket)

    def _record_dequeued(self, ticket: Ticket) -> None:
        self.waiting -= 1
        self._callers.remove_waiting(ticket.caller)
        if ticket.key is not None:
            self._keys.remove_waiting(ticket.key)

    # Requests in flight.

    def record_start(self, state: ClassState, flight: Flight, now_s: float) -> None:
        """Count a request that is sent."""
        state.in_flight += 1
        self.pacer.record_start(now_s)
        self._callers.add(flight.ticket.caller)
        if flight.ticket.key is not None:
            self._keys.add(flight.ticket.key)
        if flight.long:
            self.long_in_flight += 1
            self._update_long_demand(now_s)
        else:
            self.short_in_flight += 1
        state.virtual_time += state.mean_s / state.request_class.weight
        self._virtual_time = max(self._virtual_time, state.virtual_time)

    def record_end(self, state: ClassState, flight: Flight) -> None:
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
