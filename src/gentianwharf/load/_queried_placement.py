"""Requests whose servers are being queried for their load; see ``_load_queries``."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import final

from ._flights import Flights
from ._load_queries import Placement, choose_by_load, servers_to_query
from ._pool import Pool
from ._refusals import Refusals
from ._registry import Registry
from ._requests import Decision, QueryLoad, RefuseReason, Start, Ticket
from ._server_state import ServerState

HOLD_SHARE = 0.25
"""Part of the class's maximum wait for which requests are held while no queried server
has a free slot."""

ROUNDS_PER_HOLD = 2
"""Rounds of queries while a request is held, after the first one."""

MAX_ROUNDS_WITHOUT_REPORT = 2
"""Rounds of queries without any report before a server is chosen without one."""

WAIT_FACTOR = 0.9
"""Part of the class's maximum wait for which a request may be expected to wait at its
server; it is refused if it would wait longer."""

OWNER_WAIT_FACTOR = 2.0
"""The same for requests that only one server may run. It is larger, since a refused one
comes back to the same queue."""

Admit = Callable[[Ticket, float, str | None], Decision]
"""Decides without load reports; the last argument is a server to avoid."""


@final
@dataclass(kw_only=True, slots=True, eq=False)
class _Querying:
    ticket: Ticket
    since_s: float
    avoid: str | None
    servers: tuple[str, ...] = ()
    rounds_without_report: int = 0


@final
class QueriedPlacement:
    """Places the requests of services whose servers answer queries for their load."""

    def __init__(
        self,
        *,
        registry: Registry,
        flights: Flights,
        refusals: Refusals,
        rng: Random,
        admit: Admit,
    ) -> None:
        self._registry = registry
        self._flights = flights
        self._refusals = refusals
        self._rng = rng
        self._admit = admit
        self._querying: dict[str, _Querying] = {}

    def begin(self, ticket: Ticket, now_s: float, *, avoid: str | None) -> Decision:
        """Decide on a request that arrives, or that ``avoid`` has just failed."""
        if not self._registry.can_be_served(ticket, now_s):
            return self._admit(ticket, now_s, avoid)
        pool = self._registry.pool_of(ticket)
        if not pool.answers_queries:
            return self._admit(ticket, now_s, avoid)
        querying = _Querying(ticket=ticket, since_s=now_s, avoid=avoid)
        return self._query(querying, pool, now_s)

    def cancel(self, ticket_id: str) -> bool:
        """Drop a request whose caller has disconnected; return whether it was known."""
        return self._querying.pop(ticket_id, None) is not None

    def place(self, ticket_id: str, now_s: float) -> Decision:
        """Decide on a request after its servers were queried."""
        querying = self._querying.pop(ticket_id)
        ticket = querying.ticket
        if not self._registry.can_be_served(ticket, now_s):
            # Its owner or all servers have left while they were queried.
            return self._refusals.refuse(ticket, RefuseReason.NO_SERVER, None, now_s)
        pool = self._registry.pool_of(ticket)
        class_state = pool.classes[ticket.request_class]
        work_s = class_state.usual_work_s()
        if now_s + work_s > ticket.deadline_s:
            return self._refusals.refuse(ticket, RefuseReason.DEADLINE, pool, now_s)
        placement = choose_by_load(
            self._queried_states(querying), work_s=work_s, now_s=now_s
        )
        if placement is None:
            return self._query_others(querying, pool, now_s)
        held_s = now_s - querying.since_s
        hold_s = class_state.max_wait_s * HOLD_SHARE
        pause_s = hold_s / ROUNDS_PER_HOLD
        may_hold = placement.wait_s > 0 and held_s + pause_s <= hold_s
        if may_hold and not pool.pinned:
            return self._query(querying, pool, now_s, delay_s=pause_s)
        factor = OWNER_WAIT_FACTOR if pool.pinned else WAIT_FACTOR
        is_late = held_s + placement.wait_s > class_state.max_wait_s * factor
        class_state.record_decision(refused=is_late)
        if is_late:
            return self._refusals.refuse(ticket, RefuseReason.OVERLOAD, pool, now_s)
        return self._start(placement, pool, ticket, now_s)

    def _query(
        self, querying: _Querying, pool: Pool, now_s: float, *, delay_s: float = 0.0
    ) -> Decision:
        ticket = querying.ticket
        querying.servers = servers_to_query(
            pool.preferred_states,
            daemons=pool.daemons,
            now_s=now_s,
            rng=self._rng,
            avoid=None if pool.pinned else querying.avoid,
            held=delay_s > 0,
        )
        if not querying.servers or _has_suspect_to_probe(pool, ticket, now_s):
            return self._admit(ticket, now_s, querying.avoid)
        self._querying[ticket.id] = querying
        return QueryLoad(ticket_id=ticket.id, servers=querying.servers, delay_s=delay_s)

    def _query_others(self, querying: _Querying, pool: Pool, now_s: float) -> Decision:
        querying.rounds_without_report += 1
        if querying.rounds_without_report < MAX_ROUNDS_WITHOUT_REPORT:
            return self._query(querying, pool, now_s)
        return self._admit(querying.ticket, now_s, querying.avoid)

    def _queried_states(self, querying: _Querying) -> list[ServerState]:
        servers = self._registry.servers
        return [servers[name] for name in querying.servers if name in servers]

    def _start(
        self, placement: Placement, pool: Pool, ticket: Ticket, now_s: float
    ) -> Start:
        return self._flights.start(
            pool,
            pool.classes[ticket.request_class],
            placement.state,
            ticket,
            now_s,
            work_ratio=placement.work_ratio if placement.wait_s == 0 else None,
        )


def _has_suspect_to_probe(pool: Pool, ticket: Ticket, now_s: float) -> bool:
    """Whether the request should probe if a suspect server has recovered."""
    return any(
        state.accepts_probe(now_s, repeatable=ticket.repeatable)
        for state in pool.suspects
    )
