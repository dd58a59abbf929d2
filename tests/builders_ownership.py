"""Simulation for tests of ownership: hosts, servers and a store on one clock.

Everything runs on one virtual clock. Each host has a clock derived from it that may run
fast or slow and stops while the host is paused. Messages, orders and store calls take
time and can be blocked, delayed, duplicated, or lose their answer.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from math import inf
from random import Random
from typing import final

from twisted.internet.task import Clock

from gentianwharf.keys import shard_of
from gentianwharf.ownership import TICK_S, Hold, Message, OwnershipSystem, Send, decode
from gentianwharf.ownership import encode as encode_message
from gentianwharf.placement import PlacementWeights
from gentianwharf.topology import BackendServer, Domain, Host, Service
from tests.builders_ownership_servers import (
    ONE_WAY_S,
    RUN_S,
    SERVICE,
    FakeServer,
    Request,
    Run,
    ServersClient,
)
from tests.builders_ownership_store import STORE, FakeStore, HostClock, StoreClient

__all__ = ["SERVICE", "STORE", "FakeServer", "World"]

PREFIX = "gentianwharf/test/"
HELD_STEP_S = 0.002


@final
class Peers:
    """Peer link of one host; messages are encoded and decoded."""

    def __init__(self, world: "World", host: str) -> None:
        self._world = world
        self._host = host

    def send(self, host: str, message: Message) -> None:
        """Send a message with the delays and faults of the simulated network."""
        data = encode_message(message)
        self._world.sent[type(message).__name__] += 1
        for delay_s in self._world.delays(faulty=True):
            self._world.clock.callLater(delay_s, self._deliver, host, data)

    def _deliver(self, host: str, data: bytes) -> None:
        found = self._world.hosts.get(host)
        if found is None or self._world.is_cut(self._host, host):
            return
        message = decode(data, peer=self._host)
        found.clock.callLater(0, found.receive, self._host, message)

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the listed hosts of ``domain``."""
        return [host.id for host in self._world.host_entities if host.domain == domain]

    def is_live(self, host: str) -> bool:
        """Whether the host runs and can be reached."""
        found = self._world.hosts.get(host)
        return found is not None and not self._world.is_cut(self._host, host)


@final
class FakeHost:
    """A daemon's ownership system with its clock and ticks."""

    def __init__(self, world: "World", entity: Host, rng: Random) -> None:
        self.entity = entity
        self.clock = HostClock(
            world.clock,
            rate=1 + rng.uniform(-world.drift, world.drift),
            offset_s=rng.uniform(0, 1000),
        )
        self.stopped = False
        self.system = OwnershipSystem(
            host=entity,
            domains=world.domains,
            services=[world.service],
            clock=self.clock,
            store=StoreClient(world, entity.id, self.clock),
            prefix=PREFIX,
            servers=ServersClient(world, entity.id, self.clock),
            peers=Peers(world, entity.id),
            site_of=lambda service, shard: world.sites.get(shard),
            deadline_caps_s={SERVICE: world.deadline_cap_s},
            weights=world.weights,
            single_key_sites=lambda service: world.single_keys,
            rng=rng,
            log=world.log,
        )
        self.clock.callLater(rng.uniform(0, TICK_S), self._tick)

    def _tick(self) -> None:
        if not self.stopped:
            self.clock.callLater(TICK_S, self._tick)
            self.system.tick()

    def receive(self, host: str, message: Message) -> None:
        """Handle a message."""
        if not self.stopped:
            self.system.received(host, message)


@final
@dataclass(kw_only=True)
class World:
    """Three domains with hosts and servers of one keyed service."""

    seed: int = 1
    hosts_a_domain: int = 3
    servers_a_domain: int = 2
    shards: int = 12
    drift: float = 0.0
    deadline_cap_s: float = 0.5
    knows_validity: bool = True
    gives_stamp: bool = True
    long_share: float = 0.0
    delay_share: float = 0.0
    longest_delay_s: float = 1.0
    double_share: float = 0.0
    weights: PlacementWeights = PlacementWeights(imbalance=0.0)
    busy_s: float = RUN_S
    sites: dict[int, str] = field(default_factory=dict)
    single_keys: dict[str, str | None] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    logged: list[tuple[float, str, dict[str, object]]] = field(default_factory=list)
    refusals: int = 0

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.rng = Random(self.seed)
        self.store = FakeStore(self.clock)
        self.sent: dict[str, int] = defaultdict(int)
        self.cuts: set[frozenset[str]] = set()
        self._newest: dict[int, Run] = {}
        self.domains = [
            Domain(name="lac", site="ancien"),
            Domain(name="charguia", site="nouveau"),
            Domain(name="ariana", site="nouveau"),
        ]
        self.host_entities = [
            Host(
                id=f"{domain.name}-{n}",
                domain=domain.name,
                peer_address="127.0.0.1:1",
            )
            for domain in self.domains
            for n in range(1, self.hosts_a_domain + 1)
        ]
        entities = [
            BackendServer(
                id=f"{SERVICE}-{domain.name}-{n}",
                service=SERVICE,
                domain=domain.name,
                address="127.0.0.1:1",
                slots=6,
                connections=130,
                knows_validity=self.knows_validity,
                gives_stamp=self.gives_stamp,
            )
            for domain in self.domains
            for n in range(1, self.servers_a_domain + 1)
        ]
        self.service = Service(
            name=SERVICE, keyed=True, shards=self.shards, servers=tuple(entities)
        )
        self.servers = {
            server.id: FakeServer(self, server, self.rng.uniform(0, 1000))
            for server in entities
        }
        self._domain_of = {host.id: host.domain for host in self.host_entities}
        self._domain_of |= {server.id: server.domain for server in entities}
        self.hosts: dict[str, FakeHost] = {}
        for entity in self.host_entities:
            self.start_host(entity.id)

    def start_host(self, host: str) -> FakeHost:
        """Start or restart a host, without any earlier state."""
        entity = next(known for known in self.host_entities if known.id == host)
        self.stop_host(host)
        self.hosts[host] = FakeHost(self, entity, Random(self.rng.getrandbits(64)))
        return self.hosts[host]

    def replace_host(self, gone: str, new: str) -> None:
        """Replace a host by another one with a new name, also in the host list."""
        self.stop_host(gone)
        index = next(i for i, host in enumerate(self.host_entities) if host.id == gone)
        entity = replace(self.host_entities[index], id=new)
        self.host_entities[index] = entity
        self._domain_of[new] = entity.domain
        self.start_host(new)

    def stop_host(self, host: str) -> None:
        """Stop a host at once."""
        found = self.hosts.pop(host, None)
        if found is not None:
            found.stopped = True
            found.clock.paused = found.clock.stopped = True

    def log(self, event: str, **fields: object) -> None:
        """Record a log event of an ownership system."""
        self.logged.append((self.clock.seconds(), event, fields))

    def domain_of(self, place: str) -> str:
        """Return the domain of a host or server, or the name itself for a domain."""
        return self._domain_of.get(place, place)

    def cut(self, one: str, other: str) -> None:
        """Block traffic between two of the hosts, domains and the store."""
        self.cuts.add(frozenset((one, other)))

    def is_cut(self, one: str, other: str) -> bool:
        """Whether traffic between two places is blocked."""
        ends = ({one, self.domain_of(one)}, {other, self.domain_of(other)})
        return any(
            frozenset((first, second)) in self.cuts
            for first in ends[0]
            for second in ends[1]
        )

    def cut_off(self, place: str) -> None:
        """Block all traffic between a host or a domain and the rest."""
        domains = {domain.name for domain in self.domains}
        others = [*domains, STORE]
        if place not in domains:
            others += [host.id for host in self.host_entities]
        for other in others:
            if other != place:
                self.cut(place, other)

    def delays(self, *, faulty: bool) -> list[float]:
        """Return the delays of the copies of a message, normally one."""
        copies = 2 if faulty and self.rng.random() < self.double_share else 1
        delays = []
        for _ in range(copies):
            late = faulty and self.rng.random() < self.delay_share
            extra_s = self.rng.uniform(0, self.longest_delay_s) if late else 0.0
            delays.append(ONE_WAY_S + extra_s)
        return delays

    def advance(self, duration_s: float, step_s: float = 0.005) -> None:
        """Advance the virtual clock."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            self.clock.advance(min(step_s, end_s - self.clock.seconds()))

    def reply(self, host: str, act: Callable[[OwnershipSystem], None]) -> None:
        """Call ``act`` on a host's system after the network delay."""
        found = self.hosts.get(host)
        if found is not None:
            found.clock.callLater(ONE_WAY_S, lambda: act(found.system))

    def request(
        self,
        host: str,
        shard: int,
        key: str | None = None,
        *,
        wanted_s: float | None = None,
    ) -> bool:
        """Send a request as ``host`` would now; return whether it was sent.

        With ``wanted_s`` it is held until a deadline that far away may be sent.
        """
        found = self.hosts.get(host)
        if found is None or found.clock.paused:
            return False
        deadline_s = None if wanted_s is None else found.clock.seconds() + wanted_s
        route = found.system.route(SERVICE, shard, key, deadline_s=deadline_s)
        if isinstance(route, Hold) and wanted_s is not None:
            again = partial(self.request, host, shard, key, wanted_s=wanted_s)
            self.clock.callLater(HELD_STEP_S, again)
        if not isinstance(route, Send):
            return False
        request = Request(
            host=host,
            shard=route.shard,
            token=route.token,
            deadline_s=self.clock.seconds()
            + min(route.deadline_cap_s, wanted_s or inf),
            key=key,
        )
        server = self.servers[route.server_id]
        if self.is_cut(host, server.entity.id):
            return False
        server.requests.append(request)
        self.clock.callLater(ONE_WAY_S, server.arrive, lambda: server.run(request))
        return True

    def note_run(self, run: Run) -> None:
        """Record a run; fail if an earlier run had a newer token."""
        newest = self._newest.get(run.shard)
        if newest is not None and run.token < newest.token:
            raise AssertionError(f"two owners ran: {newest} and then {run}")
        self._newest[run.shard] = run
        self.runs.append(run)

    def owners(self, shard: int, key: str | None = None) -> set[str]:
        """Return the servers that would run a request for ``shard`` or ``key`` now.

        The requests are those that any host would send now, and those that are in
        transit or in a server's buffers before their deadline.
        """
        now_s = self.clock.seconds()
        waiting = {
            (server.entity.id, request.shard, request.token)
            for server in self.servers.values()
            for request in server.requests
            if (request.shard == shard if key is None else request.key == key)
            and now_s <= request.deadline_s
        }
        for host in self.hosts.values():
            route = host.system.route(SERVICE, shard, key)
            if not host.clock.paused and isinstance(route, Send):
                waiting.add((route.server_id, route.shard, route.token))
        return {
            server
            for server, number, token in waiting
            if not self.servers[server].lost
            and self.servers[server].table.would_run(
                shard=number, token=token, now_s=self.servers[server].now_s()
            )
        }

    def served(self, host: str) -> set[int]:
        """Return the shards for which ``host`` would reach an owner now."""
        return {
            shard
            for shard in range(self.shards)
            if isinstance(route := self.hosts[host].system.route(SERVICE, shard), Send)
            and not self.servers[route.server_id].lost
            and not self.servers[route.server_id].frozen
            and not self.is_cut(host, route.server_id)
            and self.servers[route.server_id].table.would_run(
                shard=shard,
                token=route.token,
                now_s=self.servers[route.server_id].now_s(),
            )
        }

    def traffic(self, duration_s: float, *, step_s: float = 0.01) -> None:
        """Send requests from all hosts at random; check for one owner at each step."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            for host in list(self.hosts):
                shard = self.rng.randrange(self.shards)
                is_long = self.long_share > 0 and self.rng.random() < self.long_share
                wanted_s = self.deadline_cap_s if is_long else None
                self.request(host, shard, wanted_s=wanted_s)
            self.check_one_owner()
            self.advance(step_s, step_s / 2)
        self.check_one_owner()

    def check_one_owner(self) -> None:
        """Fail when two servers would run a request for one shard now."""
        for shard in range(self.shards):
            owners = self.owners(shard)
            if len(owners) > 1:
                now_s = self.clock.seconds()
                raise AssertionError(f"two owners of {shard} at {now_s}: {owners}")

    def key_traffic(self, key: str, duration_s: float) -> None:
        """Send requests for one key from all hosts; check that it has one owner."""
        shard = shard_of(key, self.shards)
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            for host in list(self.hosts):
                self.request(host, shard, key)
            owners = self.owners(shard, key)
            if len(owners) > 1:
                raise AssertionError(f"two owners of {key}: {owners}")
            self.advance(0.002, 0.001)

    def has_logged(self, event: str) -> bool:
        """Whether any host logged ``event``."""
        return any(record[1] == event for record in self.logged)

    def owner(self, shard: int) -> str:
        """Return the server that the store names as owner of ``shard``."""
        host = next(iter(self.hosts.values()))
        return host.system.owner(SERVICE, shard).owner

    def settle(self, limit_s: float = 10.0) -> None:
        """Advance the clock until every live host serves every shard."""
        end_s = self.clock.seconds() + limit_s
        everything = set(range(self.shards))
        while any(self.served(host) != everything for host in self.hosts):
            assert self.clock.seconds() < end_s, self.logged[-20:]
            self.advance(0.05)
