"""The tables of servers, pools and retry budgets of one daemon."""

from collections.abc import Iterable
from random import Random
from typing import final

from gentianwharf.topology import BackendServer, Service

from ._budget import RetryBudget
from ._pool import Pool
from ._requests import RequestClass, Ticket
from ._server_state import ServerState

PoolKey = tuple[str, str | None]


@final
class Registry:
    """Rows are added and dropped here; the systems that run over them are elsewhere.

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
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._daemons = max(1, daemons)
        self._classes: dict[str, RequestClass] = {one.name: one for one in classes}
        self.servers: dict[str, ServerState] = {}
        # Each change of the rules asks for every service's: looked up among all, the
        # servers of 1,219 services held the loop for 0.4 s.
        self._by_service: dict[str, dict[str, ServerState]] = {}
        self.pools: dict[PoolKey, Pool] = {}
        self.budgets: dict[str, RetryBudget] = {}
        for service in services:
            self._add_service(service)

    def pool_of(self, ticket: Ticket) -> Pool:
        """Return the pool of a request whose service or server is known."""
        pool = self.pools.get((ticket.service, ticket.server))
        if pool is None:
            assert ticket.server is not None, "a pool of a whole service always stands"
            states = [self.servers[ticket.server]]
            pool = self._make_pool(ticket.service, states, pinned=True)
            self.pools[ticket.service, ticket.server] = pool
        return pool

    def set_servers(
        self, service: str, servers: Iterable[BackendServer], now_s: float
    ) -> Pool | None:
        """Follow a service's servers; return the pool that they share, if any."""
        wanted = {one.id: one for one in servers}
        for state in self._states_of(service):
            state.set_listed(state.server.id in wanted, now_s)
        for server in wanted.values():
            known = self.servers.get(server.id)
            if known is None:
                self._add_server(server).ramp_started_s = now_s
            elif known.server != server:
                self._update_server(known, server, now_s)
        for state in self._states_of(service):
            self.drop_if_unlisted(state)
        pool = self.pools.get((service, None))
        if pool is not None:
            pool.set_states(self._states_of(service))
        return pool

    def add_classes(self, classes: Iterable[RequestClass]) -> None:
        """Take classes that came later; one that is known is treated as before."""
        for one in classes:
            self._classes.setdefault(one.name, one)

    def add_services(self, services: Iterable[Service]) -> None:
        """Take services that came later; their servers follow by ``set_servers``."""
        for one in services:
            if one.name not in self.budgets:
                self._add_service(one)

    def set_daemons(self, daemons: int) -> None:
        """Follow the number of daemons that share the servers."""
        self._daemons = max(1, daemons)
        for state in self.servers.values():
            state.max_connections = self._share_of_connections(state.server)
        for pool in self.pools.values():
            pool.set_daemons(self._daemons)

    def _share_of_connections(self, server: BackendServer) -> int:
        # All daemons together must stay within what the server accepts; each counts
        # its own and asks nobody.
        return max(1, server.connections // self._daemons)

    def drop_if_unlisted(self, state: ServerState) -> None:
        """Drop the row of a server that has left, once nothing is in flight there."""
        if state.listed or state.flights or state.server.id not in self.servers:
            return
        service = state.server.service
        del self.servers[state.server.id]
        del self._by_service[service][state.server.id]
        pool = self.pools.get((service, None))
        if pool is not None:
            pool.set_states([one for one in pool.states if one is not state])

    def drop_idle_pools(self) -> None:
        """Drop pools of single servers that are gone, so that the table is bounded."""
        idle = [
            key
            for key, pool in self.pools.items()
            if key[1] is not None and key[1] not in self.servers and not pool.waiting
        ]
        for key in idle:
            del self.pools[key]

    def _add_service(self, service: Service) -> None:
        self.budgets[service.name] = RetryBudget()
        states = [self._add_server(server) for server in service.servers]
        if not service.keyed:
            self.pools[service.name, None] = self._make_pool(service.name, states)

    def _add_server(self, server: BackendServer) -> ServerState:
        state = ServerState(
            server=server,
            local=server.domain == self._domain,
            max_connections=self._share_of_connections(server),
        )
        self.servers[server.id] = state
        self._index(state)
        return state

    def _index(self, state: ServerState) -> None:
        """Put a row where its service and the server's own pool find it."""
        server = state.server
        self._by_service.setdefault(server.service, {})[server.id] = state
        pool = self.pools.get((server.service, server.id))
        if pool is not None:
            # It was here before, and requests may still wait for it.
            pool.set_states([state])

    def _update_server(
        self, state: ServerState, server: BackendServer, now_s: float
    ) -> None:
        """Take what is now known of a server: it may have started again elsewhere."""
        state.set_listed(True, now_s)
        del self._by_service[state.server.service][server.id]
        state.server = server
        state.local = server.domain == self._domain
        state.max_connections = self._share_of_connections(server)
        self._index(state)

    def _make_pool(
        self, service: str, states: list[ServerState], *, pinned: bool = False
    ) -> Pool:
        return Pool(
            service=service,
            states=states,
            classes=self._classes,
            daemons=self._daemons,
            rng=self._rng,
            pinned=pinned,
        )

    def _states_of(self, service: str) -> list[ServerState]:
        return list(self._by_service.get(service, {}).values())
