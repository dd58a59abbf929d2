"""What is sent and has not ended, by request; and second sends of late look-ups.

Load pattern: a server freezes with look-ups in flight. Their callers would wait for
the deadline, though any other server could answer. Each is sent a second time, once,
within the retry budget; the first answer counts.

Only what a suspect owes is sent again. Elsewhere a late answer is a long job, which
is as long twice: hedging those too cost 3 % of the servers' time at 70 % load and
gained nothing.
"""

from collections.abc import Iterator
from typing import final

from ._class_state import ClassState
from ._pool import Pool
from ._requests import Start, Ticket
from ._server_state import Flight, HealthStatus, ServerState

# An answer of a suspect is worth a second request when it takes longer than some 9 of
# 10 do: three medians.
HEDGE_RATIO = 3.0


@final
class Flights:
    """Tables of first and of second sends."""

    def __init__(self) -> None:
        self._first: dict[str, Flight] = {}
        self._second: dict[str, Flight] = {}
        self.started = 0
        self.hedged = 0

    def start(
        self,
        pool: Pool,
        class_state: ClassState,
        state: ServerState,
        ticket: Ticket,
        now_s: float,
    ) -> Start:
        """Note that a request is sent."""
        probe = state.health is HealthStatus.SUSPECT
        flight = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=class_state.request_class.long,
            probe=probe,
        )
        state.flights[ticket.id] = flight
        self._first[ticket.id] = flight
        pool.record_start(class_state, flight, now_s)
        if probe:
            state.record_probe(now_s)
            # A server that still owes its last answers may owe this one for long.
            pool.record_end(class_state, flight)
        self.started += 1
        return Start(ticket_id=ticket.id, server=state.server.id)

    def hedge(
        self, pool: Pool, late: Flight, state: ServerState, now_s: float
    ) -> Start:
        """Note that a late request is sent to a second server."""
        ticket = late.ticket
        flight = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=False,
            hedge=True,
        )
        state.flights[ticket.id] = flight
        self._second[ticket.id] = flight
        pool.record_start(pool.classes[ticket.request_class], flight, now_s)
        self.hedged += 1
        return Start(ticket_id=ticket.id, server=state.server.id, hedge=True)

    def pop(self, ticket_id: str, server: str | None) -> Flight | None:
        """Remove and return the send to ``server``, any if that is None."""
        for table in (self._first, self._second):
            flight = table.get(ticket_id)
            if flight is not None and server in (None, flight.server):
                return table.pop(ticket_id)
        return None

    def of_request(self, ticket_id: str) -> list[Flight]:
        """Return a request's sends."""
        found = (self._first.get(ticket_id), self._second.get(ticket_id))
        return [flight for flight in found if flight is not None]

    def hedge_candidates(self, pool: Pool, now_s: float) -> Iterator[Flight]:
        """Yield what a second server should be asked for."""
        if pool.pinned:
            return
        for state in pool.suspects:
            for flight in list(state.flights.values()):
                if self._needs_hedge(pool, flight, now_s):
                    yield flight

    def _needs_hedge(self, pool: Pool, flight: Flight, now_s: float) -> bool:
        ticket = flight.ticket
        class_state = pool.classes[ticket.request_class]
        if flight.hedge or not ticket.repeatable or ticket.id in self._second:
            return False
        if not class_state.request_class.hedged or not class_state.median_s:
            return False
        return now_s - flight.started_s > HEDGE_RATIO * class_state.median_s
