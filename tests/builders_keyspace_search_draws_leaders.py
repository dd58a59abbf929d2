"""Faults of several parts at a time, while the leader is replaced."""

from tests.builders_keyspace_search_draws import Draws, Kind
from tests.builders_keyspace_search_draws_links import LinkDraws
from tests.builders_keyspace_search_draws_servers import ServerDraws
from tests.builders_keyspace_search_draws_store import StoreDraws
from tests.builders_keyspace_search_hosts import SearchHost
from tests.builders_keyspace_search_world import SearchWorld

LONG_S = 28.0
"""More than the longest grant and the time for which a leader goes on alone."""


class LeaderDraws(Draws):
    """Leaders that are replaced beside other faults."""

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
        """Return all kinds, most of them more than once."""
        return [
            self._lose_leader_and_server,
            self._lose_leader_and_server,
            self._split_leader,
            self._split_leader,
            self._lose_server_after_outage,
            self._lose_server_after_outage,
            self._swap_leaders,
            self._restart_servers_while_leader_is_replaced,
            self._restart_servers_while_leader_is_replaced,
            self._notice_claim_after_the_term,
            self._notice_claim_after_the_term,
            self._hold_answer_up_over_a_term,
            self._hold_answer_up_over_a_term,
            self._read_pages_apart,
            self._read_pages_apart,
        ]

    def _lose_leader_and_server(self) -> None:
        """Cut the leader off from the store, and soon a server off from all hosts.

        Another host may claim the leadership without noticing.
        """
        rng, leader, server = (
            self.rng,
            self.world.draw_host(leader=1.0),
            self.world.draw_server(),
        )
        self.store_draws.cut_store(leader, rng.uniform(1.5, 8.0))
        others = [host for host in self.world.hosts.values() if host is not leader]
        claimer = rng.choice(others)
        drawn = rng.random()
        if drawn < 0.3:
            self.store_draws.lose_claims_of(claimer.store.own, rng.uniform(2.0, 5.0))
        elif drawn < 0.6:
            # Only this host claims, the second time with success.
            self.store_draws.lose_claims_of(claimer.store.own, rng.uniform(1.6, 2.2))
            for other in others:
                if other is not claimer:
                    self.store_draws.cut_store(other, rng.uniform(3.0, 4.0))
        address, cut_s = server.holder.address, rng.uniform(4.0, 16.0)
        self.clock.callLater(
            rng.uniform(0.0, 4.0),
            self.links.cut_calmly,
            self.world.names,
            [address],
            cut_s,
        )

    def _split_leader(self) -> None:
        """Cut the leader and a server off from all others, for long.

        The leader may be paused for a part of the time.
        """
        rng, leader, server = (
            self.rng,
            self.world.draw_host(leader=1.0),
            self.world.draw_server(),
        )
        duration_s = rng.uniform(rng.choice([8.0, 18.0]), LONG_S)
        self.store_draws.cut_store(leader, duration_s)
        self.links.cut_wires(self.links.wires_of(leader), duration_s)
        names = [name for name in self.world.hosts if name != leader.name]
        self.links.cut_servers_off(
            names, [server.holder.address], duration_s, is_late=False
        )
        drawn = rng.random()
        if drawn < 0.35:
            paused_s = rng.uniform(0.5, duration_s)
            self.clock.callLater(
                rng.uniform(0.0, 1.0), self.world.pause, leader, paused_s
            )
        elif drawn < 0.65:
            self.world.is_killing_on_gain = True

    def _lose_server_after_outage(self) -> None:
        """Lose a server as the store returns; the leader may resign as well.

        Grants last longest in the outage.
        """
        rng, server, leader = (
            self.rng,
            self.world.draw_server(),
            self.world.draw_host(leader=1.0),
        )
        if self.store.is_down:
            return
        outage_s = rng.uniform(0.9, rng.choice([1.6, 5.0]))
        self.store.stop()
        self.world.last(outage_s, self.store_draws.start_store_with_leases)
        self.clock.callLater(
            max(0.0, outage_s + rng.uniform(-0.8, 0.5)),
            self.links.cut_calmly,
            self.world.names,
            [server.holder.address],
            rng.uniform(6.0, 18.0),
        )
        if rng.random() < 0.5:
            delay_s = outage_s + rng.uniform(0.0, 0.4)
            self.clock.callLater(delay_s, self.world.stop_host, leader)

    def _swap_leaders(self) -> None:
        """Let the leader change several times, with late messages between hosts."""
        rng = self.rng
        wires = [
            self.network.wire(one.address, other.address)
            for one in self.world.hosts.values()
            for other in self.world.hosts.values()
            if one is not other and rng.random() < 0.5
        ]
        self.links.cut_wires(wires, rng.uniform(2.0, 9.0))
        time_s = 0.0
        for _ in range(rng.choice([2, 3, 4])):
            self.clock.callLater(time_s, self._cut_leader_briefly)
            time_s += rng.uniform(1.0, 3.5)
        address, cut_s = self.world.draw_server().holder.address, rng.uniform(4.0, 16.0)
        self.clock.callLater(
            rng.uniform(0.0, time_s),
            self.links.cut_calmly,
            self.world.names,
            [address],
            cut_s,
        )

    def _restart_servers_while_leader_is_replaced(self) -> None:
        """Cut the leader off from the store and the other hosts, and restart servers.

        The leader still reaches all servers, and may be paused for a part of the time.
        """
        rng, leader = self.rng, self.world.draw_host(leader=1.0)
        duration_s = rng.uniform(5.0, 9.0)
        self.store_draws.cut_store(leader, duration_s)
        self.links.cut_wires(self.links.wires_of(leader), duration_s)
        pause_delay_s, pause_s = rng.uniform(0.0, 0.6), rng.uniform(2.0, 4.3)
        if rng.random() < 0.7:
            self.clock.callLater(pause_delay_s, self.world.pause, leader, pause_s)
        for _ in range(rng.choice([2, 4, 6])):
            downtime_s = rng.choice([0.0, rng.uniform(0.0, 0.3), rng.uniform(0.3, 4.0)])
            self.clock.callLater(
                rng.uniform(0.5, 5.0), self.world.restart_random_server, downtime_s
            )
        # Makes the next leader move shards.
        for _ in range(rng.choice([1, 2, 3])):
            self.clock.callLater(rng.uniform(1.0, 4.5), self.servers.change_demand)

    def _cut_leader_briefly(self) -> None:
        if not self.world.is_calm:
            self.store_draws.cut_store(
                self.world.draw_host(leader=1.0), self.rng.uniform(1.3, 2.6)
            )

    def _notice_claim_after_the_term(self) -> None:
        """Let a host hear that it leads when another one has begun to move shards.

        It led before, and all grants that it knows of have expired: it was paused, and
        nobody else reached the store.
        """
        rng, late = self.rng, self.world.draw_host(leader=1.0)
        others = [host for host in self.world.hosts.values() if host is not late]
        paused_s = rng.uniform(2.6, 3.6)
        self.world.pause(late, paused_s)
        for other in others:
            self.store_draws.cut_store(other, paused_s + rng.uniform(0.1, 0.5))
        own = late.store.own
        own.answers_claims_late = 1.0

        def heal() -> None:
            own.answers_claims_late = 0.0

        self.world.last(paused_s + 1.5, heal)
        began_s = self.clock.seconds()

        def lose_server(host: SearchHost) -> bool:
            if self.clock.seconds() > began_s + LONG_S:
                return True
            if host is late:
                return False
            self.clock.callLater(rng.uniform(0.03, 0.2), self._lose_server)
            return True

        self.world.on_gained.append(lose_server)

    def _lose_server(self) -> None:
        """Cut a server off from all hosts, and remove its entry."""
        if self.world.is_calm:
            return
        server, duration_s = self.world.draw_server(), self.rng.uniform(3.0, 14.0)
        self.links.cut_calmly(self.world.names, [server.holder.address], duration_s)
        self.links.lapse_entry(server, duration_s)

    def _hold_answer_up_over_a_term(self) -> None:
        """Let a leader be asked, lead again, and be asked again.

        Its first answer arrives after the second question, and before the second
        answer. The grants of the term in between last long.
        """
        rng, asked = self.rng, self.world.draw_host(leader=1.0)
        others = [host for host in self.world.hosts.values() if host is not asked]
        asker = rng.choice(others)
        wire = self.network.wire(asked.address, asker.address)
        self.links.cut_wires([wire], rng.uniform(4.5, 5.5))
        for other in others:
            if other is not asker:
                self.store_draws.cut_store(other, 5.0)
        if rng.random() < 0.7:
            # Sends no long grants.
            self.world.pause(asked, rng.uniform(1.35, 1.6))
        else:
            self.store_draws.cut_store(asked, rng.uniform(1.5, 1.7))
        self._cut_store_later(1.75, asker, rng.uniform(2.4, 2.7))
        self._cut_store_later(rng.uniform(3.1, 3.4), asked, 4.0)
        address, cut_s = self.world.draw_server().holder.address, rng.uniform(6.0, 16.0)
        self.clock.callLater(
            rng.uniform(4.3, 4.9),
            self.links.cut_calmly,
            self.world.names,
            [address],
            cut_s,
        )

    def _cut_store_later(
        self, delay_s: float, host: SearchHost, duration_s: float
    ) -> None:
        def cut() -> None:
            if not self.world.is_calm:
                self.store_draws.cut_store(host, duration_s)

        self.clock.callLater(delay_s, cut)

    def _read_pages_apart(self) -> None:
        """Let a host read the tables before the last move, and the leader afterwards.

        The leader is killed after that move, and the former holder is restarted.
        """
        rng, leader = self.rng, self.world.draw_host(leader=1.0)
        others = [host for host in self.world.hosts.values() if host is not leader]
        reader, server = rng.choice(others), self.world.draw_server()
        for other in others:
            if other is not reader:
                self.store_draws.cut_store(other, 2.5)
        self.links.cut_wires(self.links.wires_of(reader), 1.5)
        own = reader.store.own
        own.drops_history, own.pages_apart_s = 1.0, rng.uniform(0.9, 1.2)
        own.news_late_s = rng.choice([0.0, 1.0])

        def heal() -> None:
            own.drops_history = own.pages_apart_s = own.news_late_s = 0.0

        self.world.last(rng.uniform(1.2, 2.5), heal)
        # Something that the reader lacks, so that it reads.
        self.world.list_server(server)
        self.clock.callLater(
            0.05, self.links.lapse_entry, server, rng.uniform(1.0, 4.0)
        )
        self.clock.callLater(rng.uniform(0.2, 0.35), self.links.kill, leader)
        self.clock.callLater(
            rng.uniform(0.25, 0.6), self.servers.restart_if_alive, server
        )
