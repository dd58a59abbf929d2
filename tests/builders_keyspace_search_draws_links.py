"""Faults of the links between hosts, and from hosts to servers."""

from collections.abc import Sequence
from functools import partial

from tests.builders_keyspace_search_draws import Draws, Kind
from tests.builders_keyspace_search_hosts import SearchHost
from tests.builders_keyspace_search_network import Wire
from tests.builders_keyspace_search_servers import SearchServer
from tests.builders_keyspace_search_world import ADDRESSES


class LinkDraws(Draws):
    """Links that are late, or cut in one direction or both."""

    def kinds(self) -> list[Kind]:
        """Return all kinds, some of them more than once."""
        return [
            self._harm_host_links,
            self._harm_server_links,
            self._harm_server_links,
            self._delay_connects,
            self._hold_orders_up,
            self._hold_orders_up,
        ]

    def _harm_host_links(self) -> None:
        host = self.world.draw_host()
        network, rng = self.network, self.rng
        others = [other for other in self.world.hosts.values() if other is not host]
        rng.shuffle(others)
        directions = rng.choice(["both", "from", "to"])
        wires = []
        for other in others[: rng.choice([1, 2])]:
            if directions != "to":
                wires.append(network.wire(host.address, other.address))
            if directions != "from":
                wires.append(network.wire(other.address, host.address))
        is_late = rng.random() < 0.4
        for wire in wires:
            wire.is_cut = not is_late
            wire.late_s = rng.uniform(0.1, 2.0) if is_late else 0.0

        def heal() -> None:
            for wire in wires:
                network.heal(wire)

        self.world.last(rng.uniform(0.5, 12.0), heal)

    def _harm_server_links(self) -> None:
        rng = self.rng
        hosts = rng.choice(
            [
                [self.world.draw_host(leader=0.8).name],
                self.world.names,
                self.world.names,
            ]
        )
        server = self.world.draw_server()
        addresses = rng.choice([[server.holder.address]] * 3 + [[*ADDRESSES]])
        duration_s = rng.uniform(0.3, rng.choice([2.0, 18.0]))
        self.cut_servers_off(hosts, addresses, duration_s)
        if len(addresses) == 1 and rng.random() < 0.3:
            self.lapse_entry(server, duration_s)

    def cut_servers_off(
        self,
        hosts: Sequence[str],
        addresses: Sequence[str],
        duration_s: float,
        *,
        is_late: bool = True,
    ) -> None:
        """Cut servers off from hosts in one direction or both, or delay messages."""
        rng = self.rng
        kinds = ["both", "both", "to", "from"]
        kind = rng.choice([*kinds, "late"] if is_late else kinds)
        links = [
            self.fleet.link(name, address) for name in hosts for address in addresses
        ]
        for link in links:
            if kind == "late":
                link.late_s = rng.uniform(0.02, 0.15)
                continue
            if kind != "from":
                link.delivers_orders = False
            if kind != "to":
                link.delivers_answers = False

        def heal() -> None:
            for link in links:
                link.late_s = 0.0
                self.fleet.heal(link)

        self.world.last(duration_s, heal)

    def lapse_entry(self, server: SearchServer, duration_s: float) -> None:
        """Remove the entry of a server that lives, as if it had not renewed it."""
        self.world.unlist_server(server)
        self.world.last(duration_s, lambda: self.world.list_server(server))

    def cut_calmly(
        self, hosts: Sequence[str], addresses: Sequence[str], duration_s: float
    ) -> None:
        """Cut servers off from hosts, unless all faults have ended."""
        if not self.world.is_calm:
            self.cut_servers_off(hosts, addresses, duration_s, is_late=False)

    def wires_of(self, host: SearchHost) -> list[Wire]:
        """Return the wires between a host and all other hosts, in both directions."""
        return [
            self.network.wire(*ends)
            for other in self.world.hosts.values()
            if other is not host
            for ends in (
                (host.address, other.address),
                (other.address, host.address),
            )
        ]

    def cut_wires(self, wires: Sequence[Wire], duration_s: float) -> None:
        """Cut links between hosts."""
        for wire in wires:
            wire.is_cut = True

        def heal() -> None:
            for wire in wires:
                self.network.heal(wire)

        self.world.last(duration_s, heal)

    def _delay_connects(self) -> None:
        """Let new connections to a server, or to all, be opened late."""
        rng = self.rng
        address = self.world.draw_server().holder.address
        addresses = rng.choice([[address], ADDRESSES])
        self.delay_connects_to(
            addresses, rng.choice([0.1, 0.45]), rng.uniform(1.0, 15.0)
        )

    def delay_connects_to(
        self, addresses: Sequence[str], late_s: float, duration_s: float
    ) -> None:
        """Let new connections to some addresses be opened late."""
        links = [
            self.fleet.link(name, address)
            for name in self.world.names
            for address in addresses
        ]
        for link in links:
            link.connects_late_s = late_s

        def heal() -> None:
            for link in links:
                link.connects_late_s = 0.0

        self.world.last(duration_s, heal)

    def _hold_orders_up(self) -> None:
        """Cut a server off as orders are written to it, and stop the leader soon.

        The leader's kernel has what was written. Its link may heal before the others.
        """
        rng, leader = self.rng, self.world.draw_host(leader=1.0)
        address = self.world.draw_server().holder.address
        shortest_s, longest_s = rng.choice([(0.4, 2.0), (11.0, 16.0), (17.0, 25.0)])
        duration_s = rng.uniform(shortest_s, longest_s)
        others_s = duration_s + rng.choice([0.0, rng.uniform(0.0, 8.0)])
        for name in self.world.names:
            link = self.fleet.link(name, address)
            link.delivers_orders = False
            link.delivers_answers = rng.random() < 0.3
            cut_s = duration_s if name == leader.name else others_s
            self.world.last(cut_s, partial(self.fleet.heal, link))
        delay_s = rng.uniform(0.05, 0.5)
        if rng.random() < 0.5:
            self.clock.callLater(delay_s, self.kill, leader)
        else:
            paused_s = duration_s + rng.uniform(-1.0, 12.0)
            self.clock.callLater(delay_s, self.world.pause, leader, max(0.1, paused_s))

    def kill(self, host: SearchHost) -> None:
        """Kill a host, unless all faults have ended."""
        if not self.world.is_calm:
            self.world.end_host(host)
