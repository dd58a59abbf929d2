"""An in-memory store and hosts that elect a leader by it, for tests of ``keyspace``."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    ConflictError,
    OutcomeUnknownError,
    PeerUnavailableError,
)
from gentianwharf.keyspace import (
    Grant,
    GrantManager,
    Holder,
    Leadership,
    MaySend,
    OrderWithheldError,
    Planner,
    Release,
)
from gentianwharf.store import (
    Change,
    Events,
    Item,
    LeaseEndedError,
    Page,
    Store,
)
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    SERVICE,
    SHARDS,
    TABLE_KEY,
    TABLE_PREFIX,
    TIMING,
    Servers,
    may_always_send,
)


class SimpleStore:
    """An in-memory store with leases, and with faults that tests switch on."""

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
        self._news: deque[tuple[str, Item | None]] = deque()
        self._is_notifying = False

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix."""
        await self._on_call("items")
        found = [
            item for key, item in self.items_by_key.items() if key.startswith(prefix)
        ]
        return Page(items=tuple(found), revision=self.revision)

    async def item(self, key: str) -> Item | None:
        """Return an item."""
        await self._on_call("item")
        return self.items_by_key.get(key)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Return no changes; tests use ``listeners`` instead."""
        await self._on_call("watch")
        return Events(changes=(), revision=after_revision)

    async def change(self, change: Change) -> int:
        """Make a change if its conditions hold."""
        await self._on_call("change")
        self._expire()
        for key, revision in change.expected.items():
            known = self.items_by_key.get(key)
            if (known.revision if known else 0) != revision:
                raise ConflictError("condition", step="change", peer="store")
        revision = self.revision = self.revision + 1
        changed: dict[str, Item | None] = {
            put.key: Item(
                key=put.key, value=put.value, revision=revision, lease_id=put.lease_id
            )
            for put in change.puts
        }
        changed.update(dict.fromkeys(change.removals))
        self._set(changed)
        await self._on_answer("change")
        return revision

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease."""
        await self._on_call("open_lease")
        self._last_lease_id += 1
        self.leases[self._last_lease_id] = (
            duration_s,
            self.clock.seconds() + duration_s,
        )
        await self._on_answer("open_lease")
        return self._last_lease_id

    async def renew_lease(self, lease_id: int) -> float:
        """Restart the duration of a lease."""
        await self._on_call("renew_lease")
        self._expire()
        if lease_id not in self.leases:
            raise LeaseEndedError("no such lease", step="renew", peer="store")
        duration_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (duration_s, self.clock.seconds() + duration_s)
        await self._on_answer("renew_lease")
        return duration_s

    async def end_lease(self, lease_id: int) -> None:
        """End a lease and its items."""
        await self._on_call("end_lease")
        self.leases.pop(lease_id, None)
        self._drop_unleased()

    def end_leases(self) -> None:
        """End all leases before their time."""
        self.leases.clear()
        self._drop_unleased()

    def remove_leader_item(self) -> None:
        """Remove the leader's item, whose lease goes on."""
        self.revision += 1
        self._set({LEADER_KEY: None})

    def expire(self) -> None:
        """End expired leases; hosts are notified once the store is up."""
        self._expire()

    def _expire(self) -> None:
        if self.is_down:
            return
        now_s = self.clock.seconds()
        for lease_id in [
            known for known, (_, end) in self.leases.items() if end <= now_s
        ]:
            del self.leases[lease_id]
        self._drop_unleased()

    def _drop_unleased(self) -> None:
        for key, item in list(self.items_by_key.items()):
            if item.lease_id and item.lease_id not in self.leases:
                self.revision += 1
                self._set({key: None})

    def _set(self, changed: Mapping[str, Item | None]) -> None:
        """Change items, and notify listeners in order, also of what they change."""
        for key, item in changed.items():
            if item is None:
                self.items_by_key.pop(key, None)
            else:
                self.items_by_key[key] = item
        self._news.extend(changed.items())
        if self._is_notifying:
            return
        self._is_notifying = True
        while self._news:
            news = self._news.popleft()
            for listener in self.listeners:
                listener(*news)
        self._is_notifying = False

    async def _on_call(self, call: str) -> None:
        self.calls.append(call)
        if self.is_down:
            raise PeerUnavailableError("down", step=call, peer="store")
        if self.is_silent:
            await self._lose_answer(call)

    async def _on_answer(self, call: str) -> None:
        if self.loses_answers:
            await self._lose_answer(call)

    async def _lose_answer(self, call: str) -> None:
        done: Deferred[None] = Deferred()
        self.clock.callLater(0.7, done.callback, None)
        await done
        raise OutcomeUnknownError("no answer", step=call, peer="store")


class FixedRandom:
    """Returns the middle of every range instead of a random number."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


class HostStore:
    """One host's connection to the store, which may be cut."""

    def __init__(self, store: SimpleStore) -> None:
        self.store = store
        self.is_cut = False

    def __getattr__(self, name: str) -> object:
        """Return a method of the store, which fails while the connection is cut."""
        return self._refuse if self.is_cut else getattr(self.store, name)

    async def _refuse(self, *args: object, **kwargs: object) -> None:
        raise PeerUnavailableError("cut off", step="call", peer="store")


@dataclass
class HostOrders:
    """One host's orders to the servers.

    Some servers may be out of its reach, and orders may arrive late.
    """

    servers: Servers
    cut: set[str] = field(default_factory=set)
    delay_s: float = 0.0

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Send a grant."""
        may_send = await self._deliver(holder, may_send)
        await self.servers.grant(holder, grant, timeout_s=timeout_s, may_send=may_send)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Send a release."""
        may_send = await self._deliver(holder, may_send)
        return await self.servers.release(
            holder, release, timeout_s=timeout_s, may_send=may_send
        )

    async def _deliver(self, holder: Holder, may_send: MaySend) -> MaySend:
        """Wait until an order arrives; return the check to make then."""
        if holder.address in self.cut:
            raise PeerUnavailableError("cut off", step="order", peer=holder.address)
        if not self.delay_s:
            return may_send
        if not may_send(on_new_connection=False):
            raise OrderWithheldError("withheld", step="order", peer=holder.address)
        arrival: Deferred[None] = Deferred()
        self.servers.clock.callLater(self.delay_s, arrival.callback, None)
        await arrival
        return may_always_send


@dataclass
class LeadingHost:
    """One host's leadership, planner and grant manager, wired as in an entry host."""

    name: str
    store: SimpleStore
    servers: Servers
    receives_changes: bool = True
    connection: HostStore | None = None

    def __post_init__(self) -> None:
        clock = self.store.clock
        store = cast(Store, self.connection or self.store)
        self.leadership = Leadership(
            store=store,
            key=LEADER_KEY,
            previous_leader_key=PREVIOUS_LEADER_KEY,
            value=self.name.encode(),
            now_s=clock.seconds,
            rng=FixedRandom(),  # type: ignore[arg-type]
        )
        self.orders = HostOrders(self.servers)
        self.manager = GrantManager(
            orders=self.orders, timing=TIMING, now_s=clock.seconds
        )
        self.planner = Planner(
            store=store,
            leadership=self.leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            grant_manager=self.manager,
            shards=SHARDS,
            now_s=clock.seconds,
        )
        self.leadership.on_gained = self.planner.note_gained
        self.leadership.on_lost = self.manager.stop
        self.planner.set_services({SERVICE: 5.0})
        self.store.listeners.append(self.note_item)
        self.leadership.note_item(self.store.items_by_key.get(LEADER_KEY))

    def note_item(self, key: str, item: Item | None) -> None:
        """Receive a change in the store, unless the host is cut off from it."""
        if not self.receives_changes:
            return
        if key == LEADER_KEY:
            self.leadership.note_item(item)
        elif key == PREVIOUS_LEADER_KEY:
            self.leadership.note_previous_leader(item)
        elif key == TABLE_KEY and item is not None:
            self.planner.note_table(item)

    def cut(self) -> None:
        """Cut the connection to the store."""
        assert self.connection is not None
        self.connection.is_cut = True
        self.receives_changes = False

    def heal(self) -> None:
        """Restore the connection, and read what is stored."""
        assert self.connection is not None
        self.connection.is_cut = False
        self.receives_changes = True
        for key in (LEADER_KEY, PREVIOUS_LEADER_KEY, TABLE_KEY):
            self.note_item(key, self.store.items_by_key.get(key))

    def tick(self) -> None:
        """Do the work that is due."""
        self.leadership.tick()
        self.planner.tick()
        self.manager.tick()

    def held_s(self) -> float:
        """Return for how long grants may be valid as far as this leader knows."""
        assert self.leadership.term is not None
        held_s = self.manager.holders.held_s(self.leadership.term.lease_id)
        assert held_s is not None
        return held_s

    @property
    def leads(self) -> bool:
        """Whether this host considers itself the leader."""
        return self.leadership.term is not None


def run_hosts(
    clock: Clock,
    duration_s: float,
    *hosts: LeadingHost,
    check: Callable[[], None] = lambda: None,
) -> None:
    """Let hosts work side by side."""
    for _ in range(round(duration_s / 0.05)):
        for host in hosts:
            host.store.expire()
            host.tick()
        check()
        clock.advance(0.05)
