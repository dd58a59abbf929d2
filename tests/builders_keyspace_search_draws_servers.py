"""Faults of servers, and changes of their number and load."""

from collections.abc import Sequence

from tests.builders_keyspace_search_draws import Draws, Kind
from tests.builders_keyspace_search_draws_links import LinkDraws
from tests.builders_keyspace_search_servers import SearchServer
from tests.builders_keyspace_search_world import ADDRESSES, MIN_REUSE_S, SearchWorld

MIN_SERVERS = 3
MIN_SERVERS_OF_TWO = 2
"""Of each service, if there are two."""


class ServerDraws(Draws):
    """Servers that are late, busy, paused, restarted or replaced, or repeat answers."""

    def __init__(self, world: SearchWorld, *, links: LinkDraws) -> None:
        super().__init__(world)
        self._links = links

    def kinds(self) -> list[Kind]:
        """Return all kinds, some of them more than once."""
        return [
            self._delay_orders,
            self._lose_order_answers,
            self._keep_servers_busy,
            self.replace_server,
            self.replace_server,
            self._pause_servers,
            self._pause_servers,
            self._copy_answers,
            self._copy_answers,
            self._close_connections,
            self._restart_some_servers,
            self._restart_servers_after_releases,
            self.change_demand,
        ]

    def _delay_orders(self) -> None:
        server = self.world.draw_server()
        server.is_late = True

        def heal() -> None:
            server.is_late = False

        self.world.last(self.rng.uniform(0.3, 6.0), heal)

    def _lose_order_answers(self) -> None:
        server = self.world.draw_server()
        server.loses_answers = True

        def heal() -> None:
            server.loses_answers = False

        self.world.last(self.rng.uniform(0.3, 12.0), heal)

    def _keep_servers_busy(self) -> None:
        servers = self.rng.choice(
            [[self.world.draw_server()], [*self.fleet.running.values()]]
        )
        takes_s = self.rng.choice([0.3, 1.5, 6.0])
        for server in servers:
            server.release_takes_s = takes_s

        def heal() -> None:
            for server in servers:
                server.release_takes_s = 0.0

        self.world.last(self.rng.uniform(2.0, 15.0), heal)

    def replace_server(self) -> None:
        """End a server, start one at a free address, or both at one address."""
        rng, now_s = self.rng, self.clock.seconds()
        free = [
            address
            for address in ADDRESSES
            if address not in self.fleet.running
            and self.world.free_from_s.get(address, 0.0) <= now_s
        ]
        if free and rng.random() < 0.7:
            self.world.start_server(rng.choice(free))
        server = self.world.draw_server()
        running = [other.service for other in self.fleet.running.values()]
        has_one = len(self.world.services) == 1
        fewest = MIN_SERVERS if has_one else MIN_SERVERS_OF_TWO
        if running.count(server.service) > fewest:
            self.world.end_server(server)
            if rng.random() < 0.6:
                self.clock.callLater(
                    MIN_REUSE_S + 0.01, self._restart, server.holder.address
                )

    def _restart(self, address: str) -> None:
        if address not in self.fleet.running:
            self.world.start_server(address)

    def _restart_some_servers(self) -> None:
        """Restart up to three servers under their ids, some without downtime."""
        rng = self.rng
        for _ in range(rng.choice([1, 1, 2, 3])):
            downtime_s = rng.choice(
                [0.0, rng.uniform(0.01, 0.3), rng.uniform(0.3, 4.0)]
            )
            self.clock.callLater(
                rng.uniform(0.0, 2.0), self.world.restart_random_server, downtime_s
            )

    def change_demand(self) -> None:
        """Make other shards hot."""
        self.world.hot_shard = self.rng.randrange(self.world.shards)

    def _pause_servers(self) -> None:
        """Pause a server, or all servers, as a machine does that stands still."""
        rng = self.rng
        servers = rng.choice([[self.world.draw_server()]] * 3 + [self._servers()])
        duration_s = rng.uniform(0.1, rng.choice([0.6, 3.0, 9.0, 18.0]))
        paused = [server for server in servers if not server.is_paused]
        for server in paused:
            self.world.log(f"{server.holder.server_id} is paused")
            server.pause(self.clock.seconds())

        def heal() -> None:
            for server in paused:
                self.world.log(f"{server.holder.server_id} goes on")
                server.resume()

        self.world.last(duration_s, heal)

    def _servers(self) -> list[SearchServer]:
        return [*self.fleet.running.values()]

    def _copy_answers(self) -> None:
        """Let servers repeat answers, also those that start meanwhile."""
        rng = self.rng
        address = rng.choice([None, self.world.draw_server().holder.address])
        self.fleet.copies[address] = rng.choice([0.2, 1.0])

        def heal() -> None:
            self.fleet.copies.pop(address, None)

        self.world.last(rng.uniform(1.0, 15.0), heal)
        beside = rng.choice([None, self._keep_servers_busy, self.replace_server])
        if beside is not None:
            beside()
            self._move_often(5.0)

    def _move_often(self, duration_s: float) -> None:
        """Make other shards hot again and again."""
        for _ in range(round(duration_s)):
            self.clock.callLater(self.rng.uniform(0.0, duration_s), self.change_demand)

    def _close_connections(self) -> None:
        """Let servers close connections after an answer."""
        rng = self.rng
        servers = rng.choice([[self.world.draw_server()], self._servers()])
        self._let_close(servers, rng.choice([0.2, 1.0]), rng.uniform(1.0, 10.0))

    def _let_close(
        self, servers: Sequence[SearchServer], closes: float, duration_s: float
    ) -> None:
        for server in servers:
            server.closes = closes

        def heal() -> None:
            for server in servers:
                server.closes = 0.0

        self.world.last(duration_s, heal)

    def _restart_servers_after_releases(self) -> None:
        """Restart each server soon after it has answered a release."""
        rng = self.rng

        def restart(server: SearchServer) -> None:
            if rng.random() < 0.5:
                delay_s = rng.uniform(0.0, rng.choice([0.02, 0.3]))
                self.clock.callLater(delay_s, self.restart_if_alive, server)

        self.fleet.on_released = restart
        duration_s = rng.uniform(1.0, 8.0)
        self.world.last(duration_s, self.restart_no_more)
        self._move_often(duration_s)
        if rng.random() < 0.6:
            # Grants wait for connections while releases are answered.
            self._let_close(self._servers(), 1.0, duration_s)
            self._links.delay_connects_to(ADDRESSES, 0.45, duration_s)

    def restart_no_more(self) -> None:
        """Restart no more servers after their releases."""
        self.fleet.on_released = lambda server: None

    def restart_if_alive(self, server: SearchServer) -> None:
        """Restart a server that has not ended, unless all faults have ended."""
        running = self.fleet.running
        is_alive = running.get(server.holder.address) is server
        if is_alive and len(running) > 1 and not self.world.is_calm:
            self.world.restart_server(server, self.rng.uniform(0.0, 0.2))
