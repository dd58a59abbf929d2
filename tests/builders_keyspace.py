"""Servers that enforce grants, a store and a clock, for tests of ``keyspace``."""

from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import (
    Candidate,
    Grant,
    GrantTiming,
    Holder,
    HolderEndedError,
    Keeper,
    KeyTable,
    Leadership,
    Planner,
    Release,
    Span,
)
from gentianwharf.store import (
    Change,
    Events,
    Item,
    LeaseEndedError,
    Page,
    Store,
)

SHARDS = 1000
SERVICE = "roster"
LEADER_KEY = "leader"
RESIGNED_KEY = "resigned"
TABLE_PREFIX = "keys/"
TABLE_KEY = TABLE_PREFIX + SERVICE
TIMING = GrantTiming(longest_grant_s=10.0)


def holder(number: int, *, born_ms: int = 1) -> Holder:
    """Return one life of a server."""
    return Holder(
        server_id=f"s{number}", born_ms=born_ms, address=f"10.0.0.{number}:80"
    )


def candidate(number: int, *, capacity: float = 1.0, born_ms: int = 1) -> Candidate:
    """Return a server that may hold shards."""
    return Candidate(holder=holder(number, born_ms=born_ms), capacity=capacity)


def span(
    first: int,
    last: int,
    number: int,
    *,
    token: int = 1,
    former: tuple[int, ...] = (),
) -> Span:
    """Return a span of server ``number``."""
    return Span(
        first=first,
        last=last,
        holder=holder(number),
        token=token,
        former=tuple(holder(one) for one in former),
    )


def table(*spans: Span, highest_token: int = 1) -> KeyTable:
    """Return a table of the tests' service."""
    return KeyTable(service=SERVICE, highest_token=highest_token, spans=spans)


@dataclass
class GrantingServer:
    """A server that runs requests of a shard only while it has a grant for it.

    ``tokens`` are the highest seen, ``held`` when the grant of a shard runs out, by
    this server's own clock, which may run slow.
    """

    clock: Clock
    id: str = ""
    drift: float = 1.0
    tokens: dict[int, int] = field(default_factory=dict)
    held: dict[int, tuple[int, float]] = field(default_factory=dict)
    release_takes_s: float = 0.0
    is_silent: bool = False
    is_unreachable: bool = False
    loses_answers: bool = False
    late_s: float = 0.0
    orders: list[Grant | Release] = field(default_factory=list)

    def holds(self, shard: int) -> bool:
        """Whether it would run a request of this shard now."""
        _, until_s = self.held.get(shard, (0, 0.0))
        return self.clock.seconds() < until_s

    def take_grant(self, grant: Grant, arrived_s: float | None = None) -> None:
        """Carry a grant out, or refuse it; its time counts from its arrival."""
        shards = range(grant.first, grant.last + 1)
        if any(self.tokens.get(one, 0) > grant.token for one in shards):
            raise RefusedError("higher token", step="grant", peer="server")
        if arrived_s is None:
            arrived_s = self.clock.seconds()
        until_s = arrived_s + grant.duration_s * self.drift
        for one in shards:
            self.tokens[one] = grant.token
            self.held[one] = (grant.token, until_s)

    def take_release(self, release: Release) -> None:
        """Stop new work on some shards."""
        for one in range(release.first, release.last + 1):
            self.tokens[one] = max(release.token, self.tokens.get(one, 0))
            self.held.pop(one, None)


class Servers:
    """Gives orders to ``GrantingServer``s, by their addresses."""

    def __init__(self, clock: Clock, *numbers: int) -> None:
        self.clock = clock
        self.by_address = {
            holder(one).address: GrantingServer(clock=clock) for one in numbers
        }

    def __getitem__(self, number: int) -> GrantingServer:
        """Return server ``number``."""
        return self.by_address[holder(number).address]

    def holders(self, shard: int) -> list[str]:
        """Return the addresses of all servers that would run a shard's request."""
        return [name for name, one in self.by_address.items() if one.holds(shard)]

    async def grant(self, holder: Holder, grant: Grant, *, timeout_s: float) -> None:
        """Give the order, unless the server is silent."""
        address = holder.address
        server = self._server(holder)
        if server.is_unreachable:
            raise PeerUnavailableError("no way", step="grant", peer=address)
        server.orders.append(grant)
        if server.is_silent:
            await self._lose(timeout_s)
        if server.late_s:
            self.clock.callLater(
                server.late_s, self._take_late, server, grant, self.clock.seconds()
            )
            await self._lose(timeout_s)
        server.take_grant(grant)
        if server.loses_answers:
            await self._lose(timeout_s)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float
    ) -> str | None:
        """Give the order, unless the server is silent."""
        address = holder.address
        server = self._server(holder)
        if server.is_unreachable:
            raise PeerUnavailableError("no way", step="release", peer=address)
        server.orders.append(release)
        if server.is_silent:
            await self._lose(timeout_s)
        server.take_release(release)
        if server.release_takes_s:
            await self._pause(min(server.release_takes_s, timeout_s))
        return f"handover of {address}"

    def _take_late(
        self, server: GrantingServer, grant: Grant, arrived_s: float
    ) -> None:
        with suppress(RefusedError):
            server.take_grant(grant, arrived_s)

    def _server(self, holder: Holder) -> GrantingServer:
        server = self.by_address[holder.address]
        if server.id and server.id != holder.server_id:
            raise HolderEndedError("another server", step="order", peer=holder.address)
        return server

    async def _lose(self, timeout_s: float) -> None:
        await self._pause(timeout_s)
        raise OutcomeUnknownError("no answer", step="order", peer="server")

    def _pause(self, delay_s: float) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self.clock.callLater(delay_s, done.callback, None)
        return done


def keeper_of(
    servers: Servers, *, granted: Callable[[str, Span], None] | None = None
) -> Keeper:
    """Return a keeper that leads since now."""
    clock = servers.clock
    keeper = Keeper(orders=servers, timing=TIMING, now_s=clock.seconds)
    if granted is not None:
        keeper.on_granted = granted
    keeper.take_over(clock.seconds())
    return keeper


def run_keeper(
    keeper: Keeper,
    clock: Clock,
    duration_s: float,
    *,
    look: Callable[[], None] = lambda: None,
    heard: bool = True,
) -> None:
    """Let a keeper work, with the store heard all the while unless told otherwise."""
    for _ in range(round(duration_s / 0.05)):
        if heard:
            keeper.note_heard(clock.seconds())
        keeper.tick()
        look()
        clock.advance(0.05)


class SimpleStore:
    """A store in memory with leases, and faults that tests switch on."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.items_by_key: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 10
        self.is_down = False
        self.loses_answers = False
        self.is_silent = False
        self.calls: list[str] = []
        self.listeners: list[Callable[[str, Item | None], None]] = []
        self._last_lease_id = 100

    async def items(self, prefix: str) -> Page:
        """Return what stands below a prefix."""
        await self._begin("items")
        found = [
            one for key, one in self.items_by_key.items() if key.startswith(prefix)
        ]
        return Page(items=tuple(found), revision=self.revision)

    async def item(self, key: str) -> Item | None:
        """Return an item."""
        await self._begin("item")
        return self.items_by_key.get(key)

    async def watch(self, prefix: str, *, after_revision: int) -> Events:
        """Bring nothing: tests use ``listeners``."""
        await self._begin("watch")
        return Events(changes=(), revision=after_revision)

    async def change(self, change: Change) -> int:
        """Make a change if its conditions hold."""
        await self._begin("change")
        self._expire()
        for key, revision in change.expected.items():
            known = self.items_by_key.get(key)
            if (known.revision if known else 0) != revision:
                raise ConflictError("condition", step="change", peer="store")
        self.revision += 1
        for put in change.puts:
            item = Item(
                key=put.key,
                value=put.value,
                revision=self.revision,
                lease_id=put.lease_id,
            )
            self._set(put.key, item)
        for key in change.removals:
            self._set(key, None)
        revision = self.revision
        await self._end("change")
        return revision

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease."""
        await self._begin("open_lease")
        self._last_lease_id += 1
        self.leases[self._last_lease_id] = (
            duration_s,
            self.clock.seconds() + duration_s,
        )
        await self._end("open_lease")
        return self._last_lease_id

    async def renew_lease(self, lease_id: int) -> float:
        """Let a lease begin anew."""
        await self._begin("renew_lease")
        self._expire()
        if lease_id not in self.leases:
            raise LeaseEndedError("no such lease", step="renew", peer="store")
        duration_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (duration_s, self.clock.seconds() + duration_s)
        await self._end("renew_lease")
        return duration_s

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and its items."""
        await self._begin("end_lease")
        self.leases.pop(lease_id, None)
        self._drop_unleased()

    def expire(self) -> None:
        """End the leases whose time is over; hosts hear of it once the store is up."""
        self._expire()

    def _expire(self) -> None:
        if self.is_down:
            return
        now_s = self.clock.seconds()
        for lease_id in [one for one, (_, end) in self.leases.items() if end <= now_s]:
            del self.leases[lease_id]
        self._drop_unleased()

    def _drop_unleased(self) -> None:
        for key, item in list(self.items_by_key.items()):
            if item.lease_id and item.lease_id not in self.leases:
                self.revision += 1
                self._set(key, None)

    def _set(self, key: str, item: Item | None) -> None:
        if item is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = item
        for listener in self.listeners:
            listener(key, item)

    async def _begin(self, call: str) -> None:
        self.calls.append(call)
        if self.is_down:
            raise PeerUnavailableError("down", step=call, peer="store")
        if self.is_silent:
            await self._lose(call)

    async def _end(self, call: str) -> None:
        if self.loses_answers:
            await self._lose(call)

    async def _lose(self, call: str) -> None:
        done: Deferred[None] = Deferred()
        self.clock.callLater(0.7, done.callback, None)
        await done
        raise OutcomeUnknownError("no answer", step=call, peer="store")


class Middle:
    """Chooses the middle of every range, where a program would ask for chance."""

    def random(self) -> float:
        """Return a half."""
        return 0.5


class HostStore:
    """One host's way to the store, which may be cut."""

    def __init__(self, store: SimpleStore) -> None:
        self.store = store
        self.is_cut = False

    def __getattr__(self, name: str) -> object:
        """Return a call of the store's, or one that fails while the way is cut."""
        return self._refuse if self.is_cut else getattr(self.store, name)

    async def _refuse(self, *args: object, **kwargs: object) -> None:
        raise PeerUnavailableError("cut off", step="call", peer="store")


@dataclass
class LeadingHost:
    """One host's leadership, planner and keeper, wired as an entry host does it."""

    name: str
    store: SimpleStore
    servers: Servers
    hears_store: bool = True
    way: HostStore | None = None

    def __post_init__(self) -> None:
        clock = self.store.clock
        store = cast(Store, self.way or self.store)
        self.leadership = Leadership(
            store=store,
            key=LEADER_KEY,
            resigned_key=RESIGNED_KEY,
            value=self.name.encode(),
            now_s=clock.seconds,
            rng=Middle(),  # type: ignore[arg-type]
        )
        self.keeper = Keeper(orders=self.servers, timing=TIMING, now_s=clock.seconds)
        self.planner = Planner(
            store=store,
            leadership=self.leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            keeper=self.keeper,
            shards=SHARDS,
            now_s=clock.seconds,
        )
        self.leadership.on_gained = self.planner.note_gained
        self.leadership.on_lost = self.keeper.stop
        self.planner.set_services({SERVICE: 5.0})
        self.store.listeners.append(self.note_item)
        self.leadership.note_item(self.store.items_by_key.get(LEADER_KEY))

    def note_item(self, key: str, item: Item | None) -> None:
        """Hear of a change in the store, unless the host is cut off from it."""
        if not self.hears_store:
            return
        if key == LEADER_KEY:
            self.leadership.note_item(item)
        elif key == RESIGNED_KEY:
            self.leadership.note_resigned(item)
        elif key == TABLE_KEY and item is not None:
            self.planner.note_table(item)

    def cut(self) -> None:
        """Lose the way to the store."""
        assert self.way is not None
        self.way.is_cut = True
        self.hears_store = False

    def heal(self) -> None:
        """Find the way again, and learn what is there."""
        assert self.way is not None
        self.way.is_cut = False
        self.hears_store = True
        for key in (LEADER_KEY, RESIGNED_KEY, TABLE_KEY):
            self.note_item(key, self.store.items_by_key.get(key))

    def tick(self) -> None:
        """Do what is due."""
        self.leadership.tick()
        self.planner.tick()
        self.keeper.tick()

    @property
    def leads(self) -> bool:
        """Whether this host takes itself for the leader."""
        return self.leadership.term is not None


def run_hosts(
    clock: Clock,
    duration_s: float,
    *hosts: LeadingHost,
    look: Callable[[], None] = lambda: None,
) -> None:
    """Let hosts work side by side."""
    for _ in range(round(duration_s / 0.05)):
        for one in hosts:
            one.store.expire()
            one.tick()
        look()
        clock.advance(0.05)


def one_holder_each(servers: Servers, shards: Mapping[int, object]) -> None:
    """Check that no shard has two holders."""
    for shard in shards:
        assert len(servers.holders(shard)) <= 1, f"shard {shard}: two holders"
