"""The servers that may get work, and the connections to them."""

from collections.abc import Callable, Iterable
from typing import Any, final

from gentianwharf.relay import ServerConnectionPool, ServerLinks
from gentianwharf.topology import BackendServer


@final
class ListedServers:
    """Listed servers by id; ``pools`` contains the connections to each."""

    def __init__(self, *, pools: dict[str, ServerConnectionPool], reactor: Any) -> None:
        self.on_reassigned: Callable[[str, str], None] = lambda server_id, address: None
        """Called with a server's id and address when another server answered there."""
        self.by_id: dict[str, BackendServer] = {}
        self._pools = pools
        self._reactor = reactor

    def update(
        self,
        service: str,
        servers: Iterable[BackendServer],
        *,
        links: ServerLinks,
        host_count: int,
    ) -> None:
        """Replace the servers of a service."""
        servers = list(servers)
        listed_ids = {server.id for server in servers}
        for current in list(self.by_id.values()):
            if current.service == service and current.id not in listed_ids:
                del self.by_id[current.id]
        for server in servers:
            self.by_id[server.id] = server
            pool = self._pools.get(server.id)
            if pool is None:
                pool = ServerConnectionPool(
                    server=server, reactor=self._reactor, links=links
                )
                pool.on_reassigned = self._note_reassigned
                self._pools[server.id] = pool
            else:
                pool.update_server(server)
            pool.set_daemon_count(host_count)

    def _note_reassigned(self, server: BackendServer) -> None:
        self.on_reassigned(server.id, server.address)

    def pools(self) -> list[ServerConnectionPool]:
        """Return the connections to all listed servers."""
        return [self._pools[server_id] for server_id in self.by_id]
