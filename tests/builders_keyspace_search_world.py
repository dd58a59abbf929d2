"""One simulated world of hosts, servers and a store, and what may be done to it."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from twisted.internet.task import Clock

from gentianwharf.keyspace import Holder
from gentianwharf.store import Change, Put
from tests.builders_keyspace import SERVICE
from tests.builders_keyspace_search_hosts import SearchHost, encode_holder
from tests.builders_keyspace_search_leaders import LeaderRules
from tests.builders_keyspace_search_loop import advance_to
from tests.builders_keyspace_search_network import SERVERS_PREFIX, Network
from tests.builders_keyspace_search_servers import (
    Fleet,
    OwnerRuleError,
    SearchServer,
)
from tests.builders_keyspace_search_store import StoredState, StoreFaults

HOSTS = "abcde"
SERVICES = (SERVICE, "tally")
ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(1, 8))
FIRST_SERVERS = 4
SHARDS = 48
MIN_REUSE_S = 2.0
"""Time after which an address is given to another server."""

GRACE_PERIOD_S = 6.0
DEMAND_EVERY_S = 0.5
EXPIRE_EVERY_S = 0.05

GainHook = Callable[[SearchHost], bool]
"""Called with each host that begins to lead, until it returns True."""


class SearchWorld:
    """Two to five hosts, up to seven servers of one or two services, and a store."""

    def __init__(self, rng: Random, *, keeps_ids: bool = True) -> None:
        self.rng = rng
        self.keeps_ids = keeps_ids
        """Whether servers keep their id when they restart."""
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.is_calm = True
        self.trace: list[str] | None = None
        self.store = StoredState(clock=self.clock)
        self.store_faults = StoreFaults()
        self.fleet = Fleet(clock=self.clock, rng=rng)
        self.fleet.log = self.log
        self.network = Network(clock=self.clock, rng=rng)
        self.services = SERVICES[: rng.choice([1, 1, 2])]
        self.shards = SHARDS // len(self.services)
        self.hot_shard = 0
        self.free_from_s: dict[str, float] = {}
        self.resigns_on_gain = 0
        self.is_killing_on_gain = False
        self.is_pausing_on_renewal = False
        self.on_gained: list[GainHook] = []
        self._starts = 0
        self._incarnations = 0
        self._heals: list[Callable[[], None]] = []
        self.hosts: dict[str, SearchHost] = {}
        self.store.on_change = self.spread_news
        self.leader_rules = LeaderRules(store=self.store, hosts=self.hosts)
        self.store.on_write = self.leader_rules.check_write
        self.fleet.on_order = self.leader_rules.check_order
        for address in ADDRESSES[:FIRST_SERVERS]:
            self.start_server(address)
        for name in HOSTS[: rng.choice([2, 3, 3, 3, 5])]:
            self.start_host(name)
        self._expire()
        self._feed_demand()

    @property
    def names(self) -> list[str]:
        """The names of all hosts."""
        return list(self.hosts)

    def log(self, text: str) -> None:
        """Add a line to the trace, if there is one."""
        if self.trace is not None:
            self.trace.append(f"{self.clock.seconds():.3f} {text}")

    def advance(self, duration_s: float) -> None:
        """Let the world go on for a time."""
        advance_to(self.clock, self.clock.seconds() + duration_s)

    def heal(self) -> None:
        """End all faults and start none any more."""
        self.is_calm = True
        heals, self._heals = self._heals, []
        for heal in heals:
            heal()
        for address in ADDRESSES[:FIRST_SERVERS]:
            if address not in self.fleet.running:
                self.start_server(address)
        self.spread_news()

    def last(self, duration_s: float, heal: Callable[[], None]) -> None:
        """End a fault after a time, or as soon as all are ended."""

        def end() -> None:
            if heal in self._heals:
                self._heals.remove(heal)
                heal()

        self._heals.append(heal)
        self.clock.callLater(duration_s, end)

    def start_host(self, name: str) -> None:
        """Start a process of a host."""
        self._incarnations += 1
        host = SearchHost(
            name=name,
            incarnation=self._incarnations,
            clock=self.clock,
            rng=Random(self.rng.random()),
            state=self.store,
            general=self.store_faults,
            fleet=self.fleet,
            network=self.network,
            services=self.services,
            shards=self.shards,
        )
        former = self.hosts.get(name)
        if former is not None:
            host.store.own = former.store.own
        host.on_gained = lambda: self._note_gained(host)
        host.on_position = self.leader_rules.check_position
        host.store.on_renewal = lambda: self._note_renewal(host)
        host.store.on_claim_lost = lambda: self._lose_news(host)
        self.hosts[name] = host
        self.log(f"{name} starts")

    def end_host(self, host: SearchHost) -> None:
        """Kill a host, and start it anew after some time."""
        if not host.loop.is_alive:
            return
        self.log(f"{host.name} ends")
        host.loop.end()

        def start() -> None:
            self.start_host(host.name)

        self.last(self.rng.uniform(0.3, 4.0), start)

    def spread_news(self) -> None:
        """Let all hosts receive the changes that they lack."""
        for host in self.hosts.values():
            host.news.wake()

    def _note_gained(self, host: SearchHost) -> None:
        if self.clock.seconds() < host.resigned_until_s:
            self.clock.callLater(0.0, self._break_resignation, host.name)
        if not self.is_calm:
            self.on_gained = [hook for hook in self.on_gained if not hook(host)]
        if self.is_killing_on_gain and not self.is_calm:
            self.is_killing_on_gain = False
            self.clock.callLater(self.rng.uniform(0.0, 1.0), self.end_host, host)
        if self.resigns_on_gain > 0 and not self.is_calm:
            self.resigns_on_gain -= 1
            delay_s = self.rng.choice([0.0, 0.01, 0.1, 0.4]) * self.rng.random()
            self.clock.callLater(delay_s, self.stop_host, host)

    def _break_resignation(self, name: str) -> None:
        raise OwnerRuleError(f"{name} leads although it has resigned")

    def _note_renewal(self, host: SearchHost) -> None:
        if self.is_pausing_on_renewal and not self.is_calm:
            self.is_pausing_on_renewal = False
            # Before the call is written, while it is on its way, or after the answer.
            delay_s = self.rng.choice([0.0, 0.002, 0.02])
            self.clock.callLater(delay_s, self.pause, host)

    def _lose_news(self, host: SearchHost) -> None:
        """Let a host not hear of its claim, perhaps until the lease has ended."""
        self.stop_news(host, self.rng.uniform(0.3, 3.0))

    def stop_news(self, host: SearchHost, duration_s: float) -> None:
        """Let a host receive no changes of the store for a time."""
        own = host.store.own
        own.gets_no_news = True

        def heal() -> None:
            own.gets_no_news = False
            host.news.wake()

        self.last(duration_s, heal)

    def draw_leader(self) -> SearchHost | None:
        """Return one of the hosts that lead, or consider themselves to."""
        leaders = [host for host in self.hosts.values() if host.leads]
        return self.rng.choice(leaders) if leaders else None

    def draw_host(self, *, leader: float = 0.5) -> SearchHost:
        """Return a host, the leader with at least the given probability."""
        chosen = self.draw_leader() if self.rng.random() < leader else None
        return chosen or self.rng.choice(list(self.hosts.values()))

    def pause(self, host: SearchHost, duration_s: float | None = None) -> None:
        """Pause a host for a time, which is drawn if it is None."""
        if host.loop.is_paused or not host.loop.is_alive or self.is_calm:
            return
        self.log(f"{host.name} is paused")
        host.loop.pause()
        if duration_s is None:
            longest_s = self.rng.choice([0.6, 1.6, 5.0, 9.0, 16.0])
            duration_s = self.rng.uniform(0.1, longest_s)

        def heal() -> None:
            self.log(f"{host.name} goes on")
            host.loop.resume()

        self.last(duration_s, heal)

    def stop_host(self, host: SearchHost) -> None:
        """Send SIGTERM to a host; it resigns and ends within the grace period."""
        host.loop.post(lambda: host.resign(GRACE_PERIOD_S))
        if self.rng.random() < 0.5:
            delay_s = self.rng.choice([0.005, 0.5, GRACE_PERIOD_S]) * self.rng.random()
            self.clock.callLater(delay_s, self.end_host, host)

    def start_server(
        self, address: str, holder: Holder | None = None, service: str | None = None
    ) -> None:
        """Start a server of a service, by default of the one that has the fewest."""
        if service is None:
            running = [server.service for server in self.fleet.running.values()]
            service = min(self.services, key=running.count)
        if holder is None:
            self._starts += 1
            holder = Holder(
                server_id=f"s{self._starts}",
                born_ms=1 if self.keeps_ids else 0,
                address=address,
            )
        server = SearchServer(
            holder=holder,
            service=service,
            drift=self.rng.choice([1.0, 1.02, 1.02]),
            shortens=self.rng.random() < 0.5,
        )
        self.fleet.running[address] = server
        self.log(f"{holder.server_id} ({holder.born_ms}) starts at {address}")
        self.clock.callLater(
            self.rng.choice([0.05, 1.0]) * self.rng.random(), self.list_server, server
        )

    def list_server(self, server: SearchServer) -> None:
        """Write the entry of a server, unless it has ended."""
        holder = server.holder
        if self.fleet.running.get(holder.address) is server:
            put = Put(key=self._entry_key(server), value=encode_holder(holder))
            self.store.change(Change(puts=(put,)))

    def unlist_server(self, server: SearchServer) -> None:
        """Remove the entry of a server."""
        key = self._entry_key(server)
        if key in self.store.items_by_key:
            self.store.change(Change(removals=(key,)))

    def _entry_key(self, server: SearchServer) -> str:
        return f"{SERVERS_PREFIX}{server.service}/{server.holder.server_id}"

    def restart_server(self, server: SearchServer, downtime_s: float) -> None:
        """End a server, and restart it at its address, under its id or a new one."""
        holder = server.holder
        self.log(f"{holder.server_id} restarts after {downtime_s:.3f} s")
        del self.fleet.running[holder.address]
        self.free_from_s[holder.address] = float("inf")
        if self.rng.random() < 0.3:
            self.unlist_server(server)
        elif not self.keeps_ids:
            self.clock.callLater(self.rng.uniform(0.0, 5.0), self.unlist_server, server)

        def start() -> None:
            self.free_from_s.pop(holder.address, None)
            if holder.address in self.fleet.running:
                self.unlist_server(server)
            elif not self.keeps_ids:
                self.start_server(holder.address, service=server.service)
            else:
                self.start_server(
                    holder.address,
                    replace(holder, born_ms=holder.born_ms + 1),
                    server.service,
                )

        self.clock.callLater(downtime_s, start)

    def restart_random_server(self, downtime_s: float) -> None:
        """Restart any server, unless there is only one."""
        if not self.is_calm and len(self.fleet.running) > 1:
            self.restart_server(self.draw_server(), downtime_s)

    def end_server(self, server: SearchServer) -> None:
        """End a server for good; its entry goes later."""
        self.log(f"{server.holder.server_id} ends")
        address = server.holder.address
        del self.fleet.running[address]
        self.free_from_s[address] = self.clock.seconds() + MIN_REUSE_S
        self.clock.callLater(self.rng.uniform(0.0, 5.0), self.unlist_server, server)

    def draw_server(self) -> SearchServer:
        """Return a server that runs."""
        return self.rng.choice(list(self.fleet.running.values()))

    def _expire(self) -> None:
        self.store.expire()
        self.leader_rules.check_leases()
        self.clock.callLater(EXPIRE_EVERY_S, self._expire)

    def _feed_demand(self) -> None:
        leader = self.draw_leader()
        if leader is not None and not leader.loop.is_paused:
            for service in self.services:
                counts = dict.fromkeys(range(self.shards), 1.0)
                for shard in range(self.hot_shard, self.hot_shard + 3):
                    counts[shard % self.shards] += 14.0
                leader.note_requests(service, counts)
        self.clock.callLater(DEMAND_EVERY_S, self._feed_demand)
