"""Leases of leaders that the store ends before their time, beside other faults."""

from collections.abc import Callable

from tests.builders_keyspace_search_draws import Draws, Kind
from tests.builders_keyspace_search_draws_links import LinkDraws
from tests.builders_keyspace_search_draws_servers import ServerDraws
from tests.builders_keyspace_search_draws_store import StoreDraws
from tests.builders_keyspace_search_hosts import SearchHost
from tests.builders_keyspace_search_servers import SearchServer
from tests.builders_keyspace_search_world import SearchWorld

IN_A_ROW_S = 2.5
LONGEST_WITHOUT_NEWS_S = 2.5
LONGEST_WITHOUT_ITEM_S = 20.0
LATE_READ_S = 1.1
"""Less than the timeout of a read of the tables."""


class LeaseDraws(Draws):
    """Leases that end early, and items that go while their lease can be renewed."""

    def __init__(
        self,
        world: SearchWorld,
        *,
        store_draws: StoreDraws,
        links: LinkDraws,
        servers: ServerDraws,
    ) -> None:
        super().__init__(world)
        self.store_draws = store_draws
        self.links = links
        self.servers = servers

    def kinds(self) -> list[Kind]:
        """Return all kinds, some of them more than once."""
        return [
            self._end_lease,
            self._end_lease,
            self._end_leases_in_a_row,
            self._remove_item,
            self._remove_item,
            self._end_leases_of_all,
            self._read_tables_of_the_next_leader,
            self._read_tables_of_the_next_leader,
            self._restart_servers_that_the_next_leader_releases,
            self._restart_servers_that_the_next_leader_releases,
        ]

    def _end_lease(self) -> None:
        """End the leader's lease once."""
        self._disturb_leader(LONGEST_WITHOUT_NEWS_S)
        self._end(self.store.end_leader_lease)
        self._disturb_servers()

    def _end_leases_in_a_row(self) -> None:
        """End the lease, or remove the item, of one leader after another."""
        for _ in range(self.rng.choice([2, 2, 3, 4])):
            self.clock.callLater(self.rng.uniform(0.0, IN_A_ROW_S), self._end_again)
        self._disturb_servers()

    def _end_again(self) -> None:
        if self.world.is_calm:
            return
        self._disturb_leader(LONGEST_WITHOUT_NEWS_S)
        self._end(
            self.rng.choice(
                [self.store.end_leader_lease, self.store.remove_leader_item]
            )
        )

    def _remove_item(self) -> None:
        """Remove the leader's item, which may not hear of it for long."""
        self._disturb_leader(LONGEST_WITHOUT_ITEM_S, keeps_calls=0.7)
        self._end(self.store.remove_leader_item)
        self._disturb_servers()
        if self.rng.random() < 0.3:
            self.clock.callLater(self.rng.uniform(0.0, IN_A_ROW_S), self._end_again)

    def _end_leases_of_all(self) -> None:
        """End all leases, also of hosts that are about to lead."""
        for host in self.world.hosts.values():
            if self.rng.random() < 0.5:
                self._disturb(host, LONGEST_WITHOUT_NEWS_S)
        self._end(self.store.end_leases)
        self._disturb_servers()

    def _end(self, end: Callable[[], None]) -> None:
        """End a lease at once, or shortly after what is beside it."""

        def end_unless_down() -> None:
            if not self.store.is_down and not self.world.is_calm:
                self.world.log(end.__name__)
                end()

        delay_s = self.rng.choice([0.0, 0.0, self.rng.uniform(0.0, 0.6)])
        self.clock.callLater(delay_s, end_unless_down)

    def _disturb_leader(self, longest_s: float, *, keeps_calls: float = 0.2) -> None:
        self._disturb(
            self.world.draw_host(leader=1.0), longest_s, keeps_calls=keeps_calls
        )
        if self.rng.random() < 0.3:
            # The next leader may be any other host.
            self._delay_reads(self.world.draw_host(leader=0.0))

    def _disturb(
        self, host: SearchHost, longest_s: float, *, keeps_calls: float = 0.2
    ) -> None:
        """Let a host hear of the end late, or not at all."""
        rng = self.rng
        duration_s = rng.uniform(0.3, longest_s)
        if rng.random() < keeps_calls:
            self.world.stop_news(host, duration_s)
        else:
            beside: list[Callable[[SearchHost, float], None]] = [
                self.store_draws.cut_store,
                self.store_draws.cut_store,
                self.store_draws.turn_away,
                self.world.stop_news,
            ]
            if rng.random() < 0.85:
                rng.choice(beside)(host, duration_s)
        if rng.random() < 0.4:
            wires_s = rng.uniform(0.3, max(LONGEST_WITHOUT_NEWS_S, duration_s))
            self.links.cut_wires(self.links.wires_of(host), wires_s)
        if rng.random() < 0.4:
            self._delay_reads(host)
        if rng.random() < 0.4:
            self._fail_leader_reads(host, rng.uniform(0.3, duration_s + 1.0))

    def _read_tables_of_the_next_leader(self) -> None:
        """Let a host lead again, lose its item, and then read the tables.

        It led before, and all grants that it knows of have expired: it was paused, and
        nobody else reached the store. Its lease can still be renewed.
        """
        rng, late = self.rng, self.world.draw_host(leader=1.0)
        others = [host for host in self.world.hosts.values() if host is not late]
        paused_s = rng.uniform(2.6, 3.6)
        self.world.pause(late, paused_s)
        for other in others:
            self.store_draws.cut_store(other, paused_s + rng.uniform(0.1, 0.6))

        def lose_item(host: SearchHost) -> None:
            duration_s = rng.uniform(1.5, 4.0)
            self.world.stop_news(host, duration_s)
            self.links.cut_wires(self.links.wires_of(host), duration_s)
            self._fail_leader_reads(host, duration_s)
            self._fail_tables(host, rng.uniform(0.4, 2.5))
            self.clock.callLater(rng.uniform(0.0, 0.1), self._begin, remove)

        def remove() -> None:
            self.store.remove_leader_item()
            self._after_gain_of_another(late, self._lose_server)

        began_s = self.clock.seconds()

        def lose_item_again(host: SearchHost) -> bool:
            is_again = host is late
            if is_again and self.clock.seconds() <= began_s + paused_s + 2.0:
                lose_item(host)
            return is_again or self.clock.seconds() > began_s + paused_s + 2.0

        self.world.on_gained.append(lose_item_again)

    def _restart_servers_that_the_next_leader_releases(self) -> None:
        """Restart servers after their release while a former leader still connects."""
        rng, leader = self.rng, self.world.draw_host(leader=1.0)
        duration_s = rng.uniform(1.5, 3.0)
        self.store_draws.cut_store(leader, duration_s)
        self.links.cut_wires(self.links.wires_of(leader), duration_s)

        def restart(server: SearchServer) -> None:
            self.clock.callLater(
                rng.uniform(0.0, 0.02), self.servers.restart_if_alive, server
            )

        def begin_move() -> None:
            self.links.lapse_entry(self.world.draw_server(), rng.uniform(1.0, 5.0))
            self.fleet.on_released = restart
            self.world.last(rng.uniform(0.3, 1.5), self.servers.restart_no_more)

        self._end(self.store.end_leader_lease)
        self._after_gain_of_another(leader, begin_move)

    def _after_gain_of_another(
        self, former: SearchHost, begin: Callable[[], None]
    ) -> None:
        """Begin something soon after the next leader has begun to lead."""
        began_s = self.clock.seconds()

        def begin_soon(host: SearchHost) -> bool:
            if self.clock.seconds() > began_s + IN_A_ROW_S:
                return True
            if host is former:
                return False
            self.clock.callLater(self.rng.uniform(0.02, 0.4), self._begin, begin)
            return True

        self.world.on_gained.append(begin_soon)

    def _lose_server(self) -> None:
        """Cut a server off from all hosts, and remove its entry."""
        server, duration_s = self.world.draw_server(), self.rng.uniform(3.0, 14.0)
        self.links.cut_calmly(self.world.names, [server.holder.address], duration_s)
        self.links.lapse_entry(server, duration_s)

    def _fail_tables(self, host: SearchHost, duration_s: float) -> None:
        own = host.store.own
        own.serves_no_tables = True

        def heal() -> None:
            own.serves_no_tables = False

        self.world.last(duration_s, heal)

    def _delay_reads(self, host: SearchHost) -> None:
        """Let a host read the tables late."""
        own = host.store.own
        own.tables_late_s = LATE_READ_S

        def heal() -> None:
            own.tables_late_s = 0.0

        self.world.last(self.rng.uniform(0.5, 5.0), heal)

    def _fail_leader_reads(self, host: SearchHost, duration_s: float) -> None:
        own = host.store.own
        own.serves_no_leader = True

        def heal() -> None:
            own.serves_no_leader = False

        self.world.last(duration_s, heal)

    def _disturb_servers(self) -> None:
        """Let shards move as the leader is replaced."""
        rng = self.rng
        kinds = [
            self.servers.change_demand,
            self.servers.change_demand,
            self.servers.replace_server,
            self._cut_server,
            self._cut_server,
            self._restart_server,
        ]
        for _ in range(rng.choice([1, 2, 3, 4])):
            self.clock.callLater(
                rng.uniform(0.0, IN_A_ROW_S), self._begin, rng.choice(kinds)
            )

    def _begin(self, kind: Callable[[], None]) -> None:
        if not self.world.is_calm:
            kind()

    def _cut_server(self) -> None:
        """Cut a server off from one host or from all."""
        rng, server = self.rng, self.world.draw_server()
        names = rng.choice([self.world.names, [rng.choice(self.world.names)]])
        duration_s = rng.uniform(1.0, rng.choice([4.0, 18.0]))
        self.links.cut_calmly(names, [server.holder.address], duration_s)
        if rng.random() < 0.3:
            self.links.lapse_entry(server, duration_s)

    def _restart_server(self) -> None:
        downtime_s = self.rng.choice([0.0, self.rng.uniform(0.0, 0.3)])
        self.world.restart_random_server(downtime_s)
