"""No shard has two holders, whichever faults coincide and in whichever order.

Each seed simulates three hosts and four servers on a virtual clock, with faults for 45
seconds. Hosts are cut off from the store, are suspended, come back and resign. Servers
stop answering, become unreachable, lose answers, execute grants late, are slow to
release, leave and return. The store is down or loses answers. A seed that has ever
failed stays in the list.
"""

import random
from collections.abc import Callable

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.builders_keyspace import SERVICE, SHARDS, GrantingServer, Servers, candidate
from tests.builders_keyspace_hosts import HostStore, LeadingHost, SimpleStore

STEP_S = 0.05
FAULTY_S = 45.0
CALM_S = 30.0
CHECKED_SHARDS = range(0, SHARDS, 37)
SERVERS = (1, 2, 3, 4)


class Simulation:
    """Hosts, servers and a store, with faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = SimpleStore(self.clock)
        self.servers = Servers(self.clock, *SERVERS)
        self.hosts = [
            LeadingHost(
                name=name,
                store=self.store,
                servers=self.servers,
                connection=HostStore(self.store),
            )
            for name in ("a", "b", "c")
        ]
        self.paused: dict[str, float] = {}
        self.listed = set(SERVERS)
        self._list()
        for number in SERVERS:
            self.servers[number].drift = self.rng.choice([1.0, 1.02])

    def run(self, duration_s: float, *, faulty: bool) -> None:
        """Let the hosts work, and check every step."""
        for _ in range(round(duration_s / STEP_S)):
            if faulty and self.rng.random() < 0.06:
                self.rng.choice(self._faults())()
            self.store.expire()
            for host in self.hosts:
                if self.paused.get(host.name, 0.0) <= self.clock.seconds():
                    host.tick()
            self.clock.advance(STEP_S)
            self.check()

    def check(self) -> None:
        """Check that no shard has two holders."""
        for shard in CHECKED_SHARDS:
            holders = self.servers.holders(shard)
            assert len(holders) <= 1, f"{self.clock.seconds():.2f}: {shard} {holders}"

    def heal(self) -> None:
        """End every fault."""
        self.store.is_down = self.store.loses_answers = False
        self.paused.clear()
        self.listed = set(SERVERS)
        self._list()
        for number in SERVERS:
            server = self.servers[number]
            server.is_silent = server.is_unreachable = server.loses_answers = False
            server.late_s = server.release_takes_s = 0.0
        for host in self.hosts:
            host.heal()

    def _faults(self) -> list[Callable[[], None]]:
        return [
            self._cut_host,
            self._heal_host,
            self._pause_host,
            self._resign,
            self._change_server,
            self._change_server,
            self._change_list,
            self._change_store,
        ]

    def _cut_host(self) -> None:
        self.rng.choice(self.hosts).cut()

    def _heal_host(self) -> None:
        self.rng.choice(self.hosts).heal()

    def _pause_host(self) -> None:
        host = self.rng.choice(self.hosts)
        self.paused[host.name] = self.clock.seconds() + self.rng.uniform(0.5, 8.0)

    def _resign(self) -> None:
        host = self.rng.choice(self.hosts)
        if self.paused.get(host.name, 0.0) <= self.clock.seconds():
            held_s = host.manager.holders.held_s
            Deferred.fromCoroutine(host.leadership.resign(held_s, campaign_pause_s=2.0))

    def _change_server(self) -> None:
        server: GrantingServer = self.servers[self.rng.choice(SERVERS)]
        server.is_silent = self.rng.random() < 0.25
        server.is_unreachable = self.rng.random() < 0.25
        server.loses_answers = self.rng.random() < 0.25
        server.late_s = self.rng.choice([0.0, 0.0, 0.0, 2.0, 6.0])
        server.release_takes_s = self.rng.choice([0.0, 0.0, 0.3, 1.5])

    def _change_list(self) -> None:
        number = self.rng.choice(SERVERS)
        self.listed ^= {number}
        self._list()

    def _change_store(self) -> None:
        self.store.is_down = self.rng.random() < 0.3
        self.store.loses_answers = self.rng.random() < 0.3

    def _list(self) -> None:
        for host in self.hosts:
            host.planner.set_candidates(
                SERVICE, [candidate(number) for number in sorted(self.listed)]
            )


@pytest.mark.parametrize("seed", range(120))
def test_no_shard_has_two_holders_and_all_are_served_in_the_on_answer(
    seed: int,
) -> None:
    """Guards against a lost change of a record that two servers change at a time.

    It takes several faults at a time: a suspended leader while another host takes over,
    or an order that arrives after the one that revokes it.
    """
    simulation = Simulation(seed)
    simulation.run(3.0, faulty=False)
    simulation.run(FAULTY_S, faulty=True)
    simulation.heal()
    simulation.run(CALM_S, faulty=False)
    for shard in CHECKED_SHARDS:
        assert simulation.servers.holders(shard), f"no server holds shard {shard}"
