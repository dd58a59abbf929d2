"""Requests in flight, and hedges of late look-ups.

Load pattern: a server freezes with look-ups in flight. Their callers would wait until
the deadline, though any other server could answer. Each look-up is sent a second time,
once, within the retry budget; the first answer is used.

Only requests at a suspect server are hedged. At other servers a late answer belongs to
a long job, which takes as long the second time: hedging those too cost 3 % of the
servers' time at 70 % load without any gain.
"""

from collections.abc import Iterator
from typing import final

from ._class_state import ClassState
from ._pool import Pool
from ._requests import Outcome, OutcomeKind, Start, Ticket
from ._server_state import Flight, HealthStatus, ServerState

# A request at a suspect server is hedged after this many medians, by which about nine
# of ten requests are answered.
HEDGE_RATIO = 3.0


@final
class Flights:
    """The first sends and the hedges of requests in flight."""

    def __init__(self) -> None:
        self._first: dict[str, Flight] = {}
        self._second: dict[str, Flight] = {}
        self.started = 0
        self.hedged = 0
        self.limited = 0
        """Sends to servers that name a limit."""

    def start(
        self,
        pool: Pool,
        class_state: ClassState,
        state: ServerState,
        ticket: Ticket,
        now_s: float,
        *,
        work_ratio: float | None = None,
    ) -> Start:
        """Record that a request is sent.

        ``work_ratio`` is set if the server is known to have a free slot.
        """
        probe = state.health is HealthStatus.SUSPECT
        flight = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=class_state.request_class.long,
            probe=probe,
            work_ratio=work_ratio,
        )
        self._record_sent(state, flight)
        self._first[ticket.id] = flight
        pool.record_start(class_state, flight, now_s)
        if probe:
            state.record_probe(now_s)
            # A suspect server may leave this request unanswered for a long time too,
            # so it does not count against the limit.
            pool.record_end(class_state, flight)
        self.started += 1
        return Start(ticket_id=ticket.id, server=state.server.id)

    def hedge(
        self, pool: Pool, first: Flight, state: ServerState, now_s: float
    ) -> Start:
        """Record that a late request is sent to a second server."""
        ticket = first.ticket
        flight = Flight(
            ticket=ticket,
            server=state.server.id,
            started_s=now_s,
            long=False,
            hedge=True,
        )
        self._record_sent(state, flight)
        self._second[ticket.id] = flight
        first.was_hedged = True
        pool.record_start(pool.classes[ticket.request_class], flight, now_s)
        self.hedged += 1
        return Start(ticket_id=ticket.id, server=state.server.id, hedge=True)

    def _record_sent(self, state: ServerState, flight: Flight) -> None:
        state.record_sent(flight)
        self.limited += state.notices.max_requests_per_s is not None

    def end(
        self, ticket_id: str, server: str | None, outcome: Outcome
    ) -> Flight | None:
        """Remove and return the request's send to ``server``, or any if None."""
        for table in (self._first, self._second):
            flight = table.get(ticket_id)
            if flight is not None and server in (None, flight.server):
                self._note_unsent_hedge(flight, outcome)
                return table.pop(ticket_id)
        return None

    def _note_unsent_hedge(self, flight: Flight, outcome: Outcome) -> None:
        """Let a request be hedged again if its hedge reached no server."""
        first = self._first.get(flight.ticket.id)
        if flight.hedge and first and outcome.kind is OutcomeKind.CONNECT_FAILED:
            first.was_hedged = False

    def of_request(self, ticket_id: str) -> list[Flight]:
        """Return a request's sends that are in flight."""
        flights = (self._first.get(ticket_id), self._second.get(ticket_id))
        return [flight for flight in flights if flight is not None]

    def hedge_candidates(self, pool: Pool, now_s: float) -> Iterator[Flight]:
        """Yield the requests that should be sent to a second server."""
        if pool.pinned:
            return
        for state in pool.suspects:
            for flight in list(state.flights.values()):
                if self._needs_hedge(pool, flight, now_s):
                    yield flight

    def _needs_hedge(self, pool: Pool, flight: Flight, now_s: float) -> bool:
        ticket = flight.ticket
        class_state = pool.classes[ticket.request_class]
        if flight.hedge or flight.was_hedged or not ticket.repeatable:
            return False
        if not class_state.request_class.hedged or not class_state.median_s:
            return False
        return now_s - flight.started_s > HEDGE_RATIO * class_state.median_s
