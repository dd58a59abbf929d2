"""A small world for tests of ownership: hosts, servers and a store on one clock.

Everything runs on one virtual clock. Each host has a clock of its own that may
run fast or slow and stands still for the host while it is paused. Messages, orders
and store calls take time and can be cut, delayed, doubled, or lose their answer.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import Clock, deferLater
from zope.interface import implementer

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keys import shard_of
from gentianwharf.ownership import TICK_S, Message, OwnershipSystem, Send, decode
from gentianwharf.ownership import encode as encode_message
from gentianwharf.placement import PlacementWeights
from gentianwharf.platform import (
    Grant,
    GrantOutcome,
    ServerReport,
    StoreLease,
    VersionedValue,
)
from gentianwharf.standin._grants import GrantTable
from gentianwharf.topology import BackendServer, Domain, Host, Service

ONE_WAY_S = 0.0005
STORE_ONE_WAY_S = 0.002
RUN_S = 0.002
SERVICE = "calendrier"
PREFIX = "gentianwharf/test/"
STORE = "store"


@final
@implementer(IReactorTime)
class HostClock:
    """A host's own monotonic clock over the world's; queues calls while paused."""

    def __init__(self, true: Clock, *, rate: float, offset_s: float) -> None:
        self._true = true
        self.rate = rate
        self._offset_s = offset_s
        self._queued: list[Callable[[], None]] = []
        self.paused = False
        self.stopped = False

    def seconds(self) -> float:
        """Return the host's monotonic time."""
        return self._offset_s + self._true.seconds() * self.rate

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., Any],  # noqa: A002
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Call later, as this host measures it."""

        def run() -> None:
            if self.paused:
                self._queued.append(lambda: callable(*args, **kwargs))
            else:
                callable(*args, **kwargs)

        return self._true.callLater(delay / self.rate, run)

    def getDelayedCalls(self) -> Sequence[IDelayedCall]:  # noqa: N802
        """Return the calls of the whole world."""
        return self._true.getDelayedCalls()

    def resume(self) -> None:
        """Return the calls of the whole world."""
        self.paused = False
        queued, self._queued = self._queued, []
        for call in queued:
            call()


@final
class FakeStore:
    """The platform's store, with outages and lost answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.values: dict[str, VersionedValue] = {}
        self.down = False
        self.lose_answers = 0
        self.revision = 0
        self.calls: dict[str, int] = defaultdict(int)
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_of: dict[str, str] = {}
        self._watches: list[Callable[[], None]] = []

    def expire(self) -> None:
        """Drop keys whose lease lapsed."""
        now_s = self._clock.seconds()
        for key, lease in list(self._lease_of.items()):
            if lease not in self._leases or self._leases[lease][1] < now_s:
                del self._lease_of[key]
                self.values.pop(key, None)

    def swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: str | None
    ) -> VersionedValue:
        """Compare and swap at once."""
        self.expire()
        found = self.values.get(key)
        if (found.revision if found else 0) != expected_revision:
            raise ConflictError("another revision", step="swap", peer=key)
        self.revision += 1
        written = VersionedValue(key=key, value=value, revision=self.revision)
        self.values[key] = written
        if lease_id is not None:
            self._lease_of[key] = lease_id
        watches, self._watches = self._watches, []
        for wake in watches:
            wake()
        return written

    def grant(self, ttl_s: float) -> StoreLease:
        """Grant, at once or as the network lets it."""
        self.revision += 1
        lease = StoreLease(id=f"lease-{self.revision}", ttl_s=ttl_s)
        self._leases[lease.id] = (ttl_s, self._clock.seconds() + ttl_s)
        return lease

    def renew(self, lease_id: str) -> None:
        """Renew a lease at once."""
        ttl_s, end_s = self._leases.get(lease_id, (0.0, 0.0))
        if end_s < self._clock.seconds():
            raise RefusedError("lapsed", step="renew", peer=lease_id)
        self._leases[lease_id] = (ttl_s, self._clock.seconds() + ttl_s)

    def revoke(self, lease_id: str) -> None:
        """End a lease at once."""
        self._leases.pop(lease_id, None)
        self.expire()

    def newer(self, prefix: str, revision: int) -> list[VersionedValue]:
        """Return the newer values below a prefix."""
        self.expire()
        return [
            one
            for key, one in self.values.items()
            if key.startswith(prefix) and one.revision > revision
        ]

    def changed(self) -> Deferred[None]:
        """Return what is called at the next write."""
        waiting: Deferred[None] = Deferred()

        def wake() -> None:
            if not waiting.called:
                waiting.callback(None)

        self._watches.append(wake)
        return waiting


@final
class StoreClient:
    """One host's way to the store."""

    def __init__(self, world: "World", host: str, clock: HostClock) -> None:
        self._world = world
        self._host = host
        self._clock = clock

    async def _call(self, name: str, act: Callable[[], Any]) -> Any:
        world, store = self._world, self._world.store
        store.calls[name] += 1
        await deferLater(world.clock, STORE_ONE_WAY_S)
        if store.down or world.is_cut(self._host, STORE):
            await Deferred()
        lost = name != "watch" and store.lose_answers > 0 and name == "swap"
        result = act()
        if lost:
            store.lose_answers -= 1
        await deferLater(self._clock, STORE_ONE_WAY_S)
        if store.down or world.is_cut(self._host, STORE):
            await Deferred()
        if lost:
            raise OutcomeUnknownError("lost", step=name, peer=STORE)
        return result

    async def get(self, key: str) -> VersionedValue | None:
        """Read one value."""

        def act() -> VersionedValue | None:
            self._world.store.expire()
            return self._world.store.values.get(key)

        return await self._call("get", act)

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Read a prefix."""
        return await self._call("get_many", lambda: self._world.store.newer(prefix, 0))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write if the revision is the expected one."""
        store = self._world.store
        return await self._call(
            "swap", lambda: store.swap(key, value, expected_revision, lease_id)
        )

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait for newer values."""
        store = self._world.store
        end_s = self._world.clock.seconds() + wait_s
        while not store.newer(prefix, after_revision):
            left_s = end_s - self._world.clock.seconds()
            if left_s <= 0:
                return []
            changed = store.changed()
            changed.addTimeout(left_s, self._world.clock, lambda *_: None)
            await changed
        return await self._call("watch", lambda: store.newer(prefix, after_revision))

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Make a lease."""
        return await self._call("grant", lambda: self._world.store.grant(ttl_s))

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease."""
        await self._call("renew", lambda: self._world.store.renew(lease_id))

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease."""
        await self._call("revoke", lambda: self._world.store.revoke(lease_id))


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request on its way to a server."""

    host: str
    shard: int
    token: int
    deadline_s: float
    key: str | None = None


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that a server ran."""

    shard: int
    token: int
    server: str
    start_s: float


@final
class FakeServer:
    """A backend server: its grants, what it runs, and what waits in its buffers."""

    def __init__(self, world: "World", entity: BackendServer, offset_s: float) -> None:
        self._world = world
        self.entity = entity
        self._offset_s = offset_s
        self.frozen = False
        self.lost = False
        self.draining = False
        self.buffer: list[Callable[[], None]] = []
        self.requests: list[Request] = []
        self._running: dict[int, int] = defaultdict(int)
        self.cold_start()

    def now_s(self) -> float:
        """Return the server's own time."""
        return self._world.clock.seconds() + self._offset_s

    def cold_start(self) -> None:
        """Start anew, remembering nothing."""
        self.lost = False
        self.buffer.clear()
        self.requests.clear()
        self._running.clear()
        self.table = GrantTable(
            started_s=self.now_s(),
            knows_validity=self.entity.knows_validity,
            gives_stamp=self.entity.gives_stamp,
        )

    def arrive(self, act: Callable[[], None]) -> None:
        """Take something in, or keep it in the buffers while frozen."""
        if self.lost:
            return
        if self.frozen:
            self.buffer.append(act)
        else:
            act()

    def thaw(self) -> None:
        """Go on, as though nothing had happened."""
        self.frozen = False
        buffer, self.buffer = self.buffer, []
        for act in buffer:
            act()

    def run(self, request: Request) -> None:
        """Run a request, or refuse it as not the owner."""
        if request not in self.requests:
            return
        self.requests.remove(request)
        world = self._world
        now_s = world.clock.seconds()
        accepted = now_s <= request.deadline_s and self.table.would_run(
            shard=request.shard, token=request.token, now_s=self.now_s()
        )
        if not accepted:
            world.refusals += 1
            world.reply(
                request.host,
                lambda system: system.refused_not_owner(
                    SERVICE, request.shard, request.token
                ),
            )
            return
        world.note_run(
            Run(
                shard=request.shard,
                token=request.token,
                server=self.entity.id,
                start_s=now_s,
            )
        )
        self._running[request.shard] += 1
        world.clock.callLater(RUN_S, self._end, request)

    def _end(self, request: Request) -> None:
        if self._running[request.shard] > 0:
            self._running[request.shard] -= 1
        server = self.entity.id
        self._world.reply(request.host, lambda system: system.answered(server, ok=True))

    def is_running(self, shards: Sequence[int]) -> bool:
        """Whether anything runs for these shards."""
        return any(self._running[shard] for shard in shards)


@final
class ServersClient:
    """One host's way to the backend servers."""

    def __init__(self, world: "World", host: str, clock: HostClock) -> None:
        self._world = world
        self._host = host
        self._clock = clock

    async def _order(
        self, server: BackendServer, act: Callable[[FakeServer], Any], *, faulty: bool
    ) -> Any:
        world = self._world
        answer: Deferred[Any] = Deferred()
        found = world.servers[server.id]

        def arrive() -> None:
            if world.is_cut(self._host, server.id):
                return
            result = act(found)
            self._clock.callLater(ONE_WAY_S, reply, result)

        def reply(result: Any) -> None:
            if not world.is_cut(self._host, server.id) and not answer.called:
                answer.callback(result)

        for delay_s in world.delays(faulty=faulty):
            world.clock.callLater(delay_s, found.arrive, arrive)
        return await answer

    async def grant(self, server: BackendServer, grant: Grant) -> GrantOutcome:
        """Grant, at once or as the network lets it."""
        return await self._order(
            server, lambda one: one.table.grant(grant, now_s=one.now_s()), faulty=True
        )

    async def release(
        self, server: BackendServer, service: str, tokens: dict[int, int]
    ) -> GrantOutcome:
        """Release; answers when what ran is done."""
        outcome = await self._order(
            server, lambda one: one.table.release(tokens), faulty=True
        )
        found = self._world.servers[server.id]
        while found.is_running(list(tokens)):
            await deferLater(self._world.clock, RUN_S / 2)
        return outcome

    async def report(self, server: BackendServer) -> ServerReport:
        """Report on the server."""
        return await self._order(server, self._report, faulty=False)

    @staticmethod
    def _report(server: FakeServer) -> ServerReport:
        return ServerReport(
            server=server.entity.id,
            stamp_s=server.now_s(),
            healthy=True,
            draining=server.draining,
            cold=False,
            load=0.0,
            held=server.table.held(now_s=server.now_s()),
        )

    async def drain(self, server: BackendServer) -> None:
        """Not used here."""
        raise PeerUnavailableError("not used", step="drain", peer=server.id)


@final
class Peers:
    """One host's way to the others; messages pass through their encoding."""

    def __init__(self, world: "World", host: str) -> None:
        self._world = world
        self._host = host

    def send(self, host: str, message: Message) -> None:
        """Send as the network of this world lets it."""
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
        """Return the listed hosts."""
        return [one.id for one in self._world.host_entities if one.domain == domain]

    def is_live(self, host: str) -> bool:
        """Whether the host runs and is in reach."""
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
    delay_share: float = 0.0
    longest_delay_s: float = 1.0
    double_share: float = 0.0
    weights: PlacementWeights = PlacementWeights(imbalance=0.0)
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
            Host(id=f"{one.name}-{n}", domain=one.name, peer_address="127.0.0.1:1")
            for one in self.domains
            for n in range(1, self.hosts_a_domain + 1)
        ]
        entities = [
            BackendServer(
                id=f"{SERVICE}-{one.name}-{n}",
                service=SERVICE,
                domain=one.name,
                address="127.0.0.1:1",
                slots=6,
                connections=130,
                knows_validity=self.knows_validity,
                gives_stamp=self.gives_stamp,
            )
            for one in self.domains
            for n in range(1, self.servers_a_domain + 1)
        ]
        self.service = Service(
            name=SERVICE, keyed=True, shards=self.shards, servers=tuple(entities)
        )
        self.servers = {
            one.id: FakeServer(self, one, self.rng.uniform(0, 1000)) for one in entities
        }
        self._domain_of = {one.id: one.domain for one in self.host_entities}
        self._domain_of |= {one.id: one.domain for one in entities}
        self.hosts: dict[str, FakeHost] = {}
        for entity in self.host_entities:
            self.start_host(entity.id)

    def start_host(self, host: str) -> FakeHost:
        """Start or restart a host, with nothing kept."""
        entity = next(one for one in self.host_entities if one.id == host)
        self.stop_host(host)
        self.hosts[host] = FakeHost(self, entity, Random(self.rng.getrandbits(64)))
        return self.hosts[host]

    def replace_host(self, gone: str, new: str) -> None:
        """Replace a host by one with another name, in the host list too."""
        self.stop_host(gone)
        index = next(i for i, one in enumerate(self.host_entities) if one.id == gone)
        entity = replace(self.host_entities[index], id=new)
        self.host_entities[index] = entity
        self._domain_of[new] = entity.domain
        self.start_host(new)

    def stop_host(self, host: str) -> None:
        """End a host at once."""
        found = self.hosts.pop(host, None)
        if found is not None:
            found.stopped = True
            found.clock.paused = found.clock.stopped = True

    def log(self, event: str, **fields: object) -> None:
        """Keep what the systems say."""
        self.logged.append((self.clock.seconds(), event, fields))

    def domain_of(self, place: str) -> str:
        """Return the domain of a host or server, or the name itself for a domain."""
        return self._domain_of.get(place, place)

    def cut(self, one: str, other: str) -> None:
        """Cut two places off from each other: hosts, domains or the store."""
        self.cuts.add(frozenset((one, other)))

    def is_cut(self, one: str, other: str) -> bool:
        """Whether two places are cut off from each other."""
        ends = ({one, self.domain_of(one)}, {other, self.domain_of(other)})
        return any(
            frozenset((first, second)) in self.cuts
            for first in ends[0]
            for second in ends[1]
        )

    def cut_off(self, place: str) -> None:
        """Cut a host or a domain off from everything outside of it."""
        domains = {one.name for one in self.domains}
        others = [*domains, STORE]
        if place not in domains:
            others += [one.id for one in self.host_entities]
        for other in others:
            if other != place:
                self.cut(place, other)

    def delays(self, *, faulty: bool) -> list[float]:
        """Return when copies of a message arrive: mostly one, at once."""
        copies = 2 if faulty and self.rng.random() < self.double_share else 1
        delays = []
        for _ in range(copies):
            late = faulty and self.rng.random() < self.delay_share
            extra_s = self.rng.uniform(0, self.longest_delay_s) if late else 0.0
            delays.append(ONE_WAY_S + extra_s)
        return delays

    def advance(self, duration_s: float, step_s: float = 0.005) -> None:
        """Let time pass."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            self.clock.advance(min(step_s, end_s - self.clock.seconds()))

    def reply(self, host: str, act: Callable[[OwnershipSystem], None]) -> None:
        """Tell a host something after a while."""
        found = self.hosts.get(host)
        if found is not None:
            found.clock.callLater(ONE_WAY_S, lambda: act(found.system))

    def request(self, host: str, shard: int, key: str | None = None) -> bool:
        """Send a request as ``host`` would now; returns whether it was sent."""
        found = self.hosts.get(host)
        if found is None or found.clock.paused:
            return False
        route = found.system.route(SERVICE, shard, key)
        if not isinstance(route, Send):
            return False
        request = Request(
            host=host,
            shard=route.shard,
            token=route.token,
            deadline_s=self.clock.seconds() + route.deadline_cap_s,
            key=key,
        )
        server = self.servers[route.server_id]
        if self.is_cut(host, server.entity.id):
            return False
        server.requests.append(request)
        self.clock.callLater(ONE_WAY_S, server.arrive, lambda: server.run(request))
        return True

    def note_run(self, run: Run) -> None:
        """Record a run; a run under an older token than one before is a fault."""
        newest = self._newest.get(run.shard)
        if newest is not None and run.token < newest.token:
            raise AssertionError(f"two owners ran: {newest} and then {run}")
        self._newest[run.shard] = run
        self.runs.append(run)

    def owners(self, shard: int, key: str | None = None) -> set[str]:
        """Return the servers that would run a request for ``shard`` or ``key`` now.

        Requests are those that any host would send now, and those that are on
        their way or in a server's buffers before their deadline.
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
        """Let hosts send at random and check for one owner at every step."""
        end_s = self.clock.seconds() + duration_s
        while self.clock.seconds() < end_s:
            for host in list(self.hosts):
                self.request(host, self.rng.randrange(self.shards))
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
        """Let hosts send for one key and check for one owner of it."""
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
        return any(one[1] == event for one in self.logged)

    def owner(self, shard: int) -> str:
        """Return the server that the store names as owner of ``shard``."""
        host = next(iter(self.hosts.values()))
        return host.system.owner(SERVICE, shard).owner

    def settle(self, limit_s: float = 10.0) -> None:
        """Let time pass until every live host serves every shard."""
        end_s = self.clock.seconds() + limit_s
        everything = set(range(self.shards))
        while any(self.served(host) != everything for host in self.hosts):
            assert self.clock.seconds() < end_s, self.logged[-20:]
            self.advance(0.05)
