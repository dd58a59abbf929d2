"""The tables of servers, pools and retry budgets of one daemon."""

from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import final

from gentianwharf.placement import rendezvous_score
from gentianwharf.topology import BackendServer, Service

from ._budget import RetryAgreement
from ._pool import Pool
from ._requests import RequestClass, Ticket
from ._retry_budgets import RetryBudgets
from ._server_notices import NoticeTable, ServerNotices
from ._server_state import LEAVING_GRACE_S, LoadReport, ServerState

PoolKey = tuple[str, str | None]


@final
class Registry:
    """Adds and drops the state of servers and pools; other modules operate on it.

    A pool's key is its service and, for requests bound to one server, that server.
    """

    def __init__(
        self,
        *,
        services: Iterable[Service],
        classes: Iterable[RequestClass],
        domain: str,
        rng: Random,
        daemons: int,
        name: str = "",
        retry_agreement: RetryAgreement | None = None,
        leaving_grace_s: float = LEAVING_GRACE_S,
    ) -> None:
        self._leaving_grace_s = leaving_grace_s
        self._name = name
        self.notices = NoticeTable(name=name)
        self._domain = domain
        self._rng = rng
        self._daemons = max(1, daemons)
        self._classes: dict[str, RequestClass] = {
            request_class.name: request_class for request_class in classes
        }
        self.servers: dict[str, ServerState] = {}
        # Each change of the rules looks up the servers of every service. By a scan over
        # all servers, that blocked the event loop for 0.4 s with 1,219 services.
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self.pools: dict[PoolKey, Pool] = {}
        self.budgets = RetryBudgets(
            agreement=retry_agreement or RetryAgreement(), shares=self.notices.shares
        )
        self._answering: set[str] = set()
        """Services whose servers answer queries for their load at once."""
        for service in services:
            self._add_service(service)

    def pool_of(self, ticket: Ticket) -> Pool:
        """Return the pool of a request; its service or server must be registered."""
        pool = self.pools.get((ticket.service, ticket.server))
        if pool is None:
            assert ticket.server is not None, "an unkeyed service always has a pool"
            states = [self.servers[ticket.server]]
            pool = self._make_pool(ticket.service, states, pinned=True)
            self.pools[ticket.service, ticket.server] = pool
        return pool

    def can_be_served(self, ticket: Ticket, now_s: float) -> bool:
        """Whether some server can run the request, now or after a wait."""
        if ticket.server is None:
            pool = self.pools.get((ticket.service, None))
            return pool is not None and pool.can_serve(ticket, now_s)
        state = self.servers.get(ticket.server)
        if state is None or state.server.service != ticket.service:
            return False
        return state.accepts_pinned(now_s) or state.accepts_probe(
            now_s, repeatable=ticket.repeatable
        )

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> Pool | None:
        """Update a service's servers; return the pool that they share, if any."""
        listed = {server.id: server for server in servers}
        for state in self._states_of(service):
            state.set_listed(state.server.id in listed, now_s)
        for server in listed.values():
            existing = self.servers.get(server.id)
            if existing is None:
                self._add_server(server).ramp_started_s = now_s
            elif existing.server != server:
                self._update_server(existing, server, now_s)
        for state in self._states_of(service):
            self.drop_if_unlisted(state)
        pool = self.pools.get((service, None))
        if pool is not None:
            pool.set_states(self._states_of(service))
        return pool

    def add_classes(self, classes: Iterable[RequestClass]) -> None:
        """Add classes; those that exist already keep their parameters."""
        for request_class in classes:
            self._classes.setdefault(request_class.name, request_class)

    def add_services(self, services: Iterable[Service]) -> None:
        """Add services; ``set_servers`` sets their servers."""
        for service in services:
            if service.name not in self.budgets:
                self._add_service(service)

    def set_daemons(self, daemons: int) -> None:
        """Set the number of daemons that share the servers."""
        self._daemons = max(1, daemons)
        for state in self.servers.values():
            state.max_connections = self._share_of_connections(state.server)
        for pool in self.pools.values():
            pool.set_daemons(self._daemons)

    def _share_of_connections(self, server: BackendServer) -> int:
        # All daemons together must not open more connections than the server accepts.
        # Each stays within its own share without coordination.
        return max(1, server.connections // self._daemons)

    def drop_if_unlisted(self, state: ServerState) -> None:
        """Drop a server that is not listed, once no request is or may be sent to it."""
        if state.listed or state.flights or state.server.id not in self.servers:
            return
        service = state.server.service
        own_pool = self.pools.get((service, state.server.id))
        if own_pool is not None and own_pool.waiting:
            # A request that waits may be sent until the server's grace has passed.
            return
        del self.servers[state.server.id]
        del self._by_service[service][state.server.id]
        pool = self.pools.get((service, None))
        if pool is not None:
            pool.set_states([other for other in pool.states if other is not state])

    def drop_outdated(self, now_s: float) -> None:
        """Drop removed servers, their pools and their notices, to bound the tables."""
        self.notices.drop_outdated(now_s, listed=self.servers.keys())
        for key, pool in list(self.pools.items()):
            _, server_id = key
            if server_id is None or pool.waiting:
                continue
            state = self.servers.get(server_id)
            if state is not None:
                self.drop_if_unlisted(state)
            if server_id not in self.servers:
                del self.pools[key]

    def _add_service(self, service: Service) -> None:
        self.budgets.add(service.name)
        states = [self._add_server(server) for server in service.servers]
        if not service.keyed:
            self.pools[service.name, None] = self._make_pool(service.name, states)

    def _add_server(self, server: BackendServer) -> ServerState:
        state = ServerState(
            server=server,
            local=server.domain == self._domain,
            max_connections=self._share_of_connections(server),
            preference=rendezvous_score(self._name, server.id),
            notices=self._notices_of(server),
            leaving_grace_s=self._leaving_grace_s,
        )
        if state.notices.leaving_since_s is not None:
            state.update_leaving(state.notices.leaving_since_s)
        self.servers[server.id] = state
        self._index(state)
        return state

    def record_load(
        self,
        server_id: str,
        *,
        waiting: int,
        slots: int,
        report: LoadReport | None,
        now_s: float,
    ) -> None:
        """Record a server's queue, and its whole load if it reports its slowdown."""
        state = self.servers.get(server_id)
        if state is None:
            return
        service = state.server.service
        if report is not None:
            state.report = report
            self._note_answers_queries(service)
        state.record_queue(waiting, now_s)
        pool = self.pools.get((service, server_id))
        if pool is not None and pool.pinned:
            pool.limit.record_queue(
                waiting=waiting, slots=slots, has_backlog=pool.waiting > 0
            )

    def _note_answers_queries(self, service: str) -> None:
        """Record that the servers of a service answer queries for their load."""
        if service in self._answering:
            return
        self._answering.add(service)
        for (name, _), pool in self.pools.items():
            if name == service:
                pool.answers_queries = True

    def set_speeds(self, speeds: Mapping[str, float]) -> None:
        """Set the speeds of servers by id, relative to the mean of their service."""
        for server_id, speed in speeds.items():
            state = self.servers.get(server_id)
            if state is not None:
                state.speed = speed

    def set_hosts(self, names: Sequence[str]) -> None:
        """Set the names of all hosts, which share what servers accept."""
        self.notices.set_hosts(names)
        self.budgets.update_hosts()

    def set_leaving(self, server_id: str, now_s: float) -> bool:
        """Record that a server stated that it leaves; return whether it is new."""
        is_new = self.notices.set_leaving(server_id, now_s)
        state = self.servers.get(server_id)
        if is_new and state is not None:
            state.update_leaving(now_s)
        return is_new

    def _notices_of(self, server: BackendServer) -> ServerNotices:
        return self.notices.set_listed(
            server.id, cold_requests_per_s=server.cold_requests_per_s
        )

    def _index(self, state: ServerState) -> None:
        """Add a server's state to the index by service and to the server's own pool."""
        server = state.server
        self._by_service.setdefault(server.service, {})[server.id] = state
        pool = self.pools.get((server.service, server.id))
        if pool is not None:
            # The server was listed before, and requests may still be queued for it.
            pool.set_states([state])

    def _update_server(
        self, state: ServerState, server: BackendServer, now_s: float
    ) -> None:
        """Apply a server's new entry: it may have restarted at another address."""
        state.set_listed(True, now_s)
        del self._by_service[state.server.service][server.id]
        state.server = server
        state.local = server.domain == self._domain
        state.max_connections = self._share_of_connections(server)
        self._notices_of(server)
        self._index(state)

    def _make_pool(
        self, service: str, states: list[ServerState], *, pinned: bool = False
    ) -> Pool:
        pool = Pool(
            service=service,
            states=states,
            classes=self._classes,
            daemons=self._daemons,
            rng=self._rng,
            pinned=pinned,
        )
        pool.answers_queries = service in self._answering
        return pool

    def _states_of(self, service: str) -> list[ServerState]:
        return list(self._by_service.get(service, {}).values())
