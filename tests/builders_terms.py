"""Hosts that lead in turn and ask each other for remaining grants."""

from collections.abc import Callable
from typing import Any, cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.entryhost._peer_messages import (
    HostIdentity,
    RemainingGrantsRequest,
    RemainingGrantsResponse,
)
from gentianwharf.entryhost._previous_leader import RemainingGrantsExchange
from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.keyspace import Holder, PreviousLeader, RemainingGrants
from gentianwharf.keyspace._previous_leader import (
    decode_previous_leader,
    encode_previous_leader,
)
from gentianwharf.store import Change, Item, Page, Put
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    SERVICE,
    SHARDS,
    TABLE_KEY,
    TIMING,
    Servers,
    candidate,
)
from tests.builders_keyspace_hosts import HostStore, LeadingHost, SimpleStore
from tests.builders_store import LinkNet

STEP_S = 0.05
CHECKED_SHARDS = range(0, SHARDS, 37)


class Gate:
    """Holds calls back until it is opened."""

    def __init__(self) -> None:
        self._calls: list[Deferred[None]] | None = []

    async def passed(self) -> None:
        """Wait until the gate is open."""
        if self._calls is not None:
            call: Deferred[None] = Deferred()
            self._calls.append(call)
            await call

    def open(self) -> None:
        """Let all calls pass."""
        calls, self._calls = self._calls or [], None
        for call in calls:
            call.callback(None)


class FaultyHostStore(HostStore):
    """One host's connection to the store, which may be late or lose answers."""

    def __init__(self, store: SimpleStore) -> None:
        super().__init__(store)
        self.loses_answers_to_changes = False
        self.serves_no_tables = False
        self.refuses_reads = False
        self.lease_delay_s = 0.0
        self.change_delay_s = 0.0
        self.answers_to_changes = Gate()
        self.answers_to_changes.open()
        self.reads = Gate()
        self.reads.open()

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease, which may take a while to arrive."""
        await self._delay(self.lease_delay_s)
        return cast(int, await cast(Any, self).__getattr__("open_lease")(duration_s))

    async def _delay(self, delay_s: float) -> None:
        if delay_s:
            arrival: Deferred[None] = Deferred()
            self.store.clock.callLater(delay_s, arrival.callback, None)
            await arrival

    async def change(self, change: Change) -> int:
        """Make a change, which may arrive late, and whose answer may be lost."""
        await self._delay(self.change_delay_s)
        revision = await cast(Any, self).__getattr__("change")(change)
        await self.answers_to_changes.passed()
        if self.loses_answers_to_changes:
            raise OutcomeUnknownError("no answer", step="change", peer="store")
        return cast(int, revision)

    async def _pass_read(self, step: str) -> None:
        if self.refuses_reads:
            raise PeerUnavailableError("refused", step=step, peer="store")
        await self.reads.passed()

    async def item(self, key: str) -> Item | None:
        """Return an item."""
        await self._pass_read("item")
        return cast("Item | None", await cast(Any, self).__getattr__("item")(key))

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix, unless the connection serves none."""
        if self.serves_no_tables:
            raise PeerUnavailableError("too slow", step="items", peer="store")
        await self._pass_read("items")
        return cast(Page, await cast(Any, self).__getattr__("items")(prefix))


class TermHost(LeadingHost):
    """A host that also asks the leader before it, over the links of ``Terms``."""

    exchange: RemainingGrantsExchange

    def connect(self, terms: "Terms", number: int) -> None:
        """Wire the exchange between leaders."""
        identity = HostIdentity(self.name, f"10.1.0.{number}:90", number)
        self.leadership.value = msgspec.json.encode(identity)
        self.exchange = RemainingGrantsExchange(
            identity=identity,
            grant_manager=self.manager,
            leadership=self.leadership,
            timing=TIMING,
            reactor=self.store.clock,
        )
        self.planner.on_previous_leader = self.exchange.request_grants
        terms.net.listeners[identity.address] = self._receive

    def _receive(self, data: bytes) -> None:
        message = msgspec.msgpack.decode(
            data, type=RemainingGrantsRequest | RemainingGrantsResponse
        )
        if isinstance(message, RemainingGrantsRequest):
            self.exchange.handle_request(message)
        else:
            self.exchange.handle_response(message)

    @property
    def faults(self) -> FaultyHostStore:
        """Return the connection to the store, whose faults tests switch on."""
        assert isinstance(self.connection, FaultyHostStore)
        return self.connection

    def resign(self) -> None:
        """Resign as a host does that is stopped."""
        Deferred.fromCoroutine(
            self.leadership.resign(self.manager.holders.held_s, campaign_pause_s=60.0)
        )

    def states_no_grants(self) -> None:
        """State that nothing is granted, whichever term a leader asks about."""
        holders = cast(Any, self.manager.holders)
        holders.remaining_grants = lambda lease_id: RemainingGrants(others_s=0.0)

    def tick(self) -> None:
        """Do the work that is due."""
        super().tick()
        self.exchange.tick()


class Terms:
    """Hosts a, b and c, three servers and a store."""

    def __init__(self, dial: Callable[[Callable[[str], object]], None]) -> None:
        self.clock = Clock()
        self.clock.advance(100)
        self.net = LinkNet()
        self.net.most_bytes = 10_000
        dial(self.net.dial)
        self.store = SimpleStore(self.clock)
        self.servers = Servers(self.clock, 1, 2, 3)
        self.hosts = [self._host(name, number) for number, name in enumerate("abc", 1)]
        self.running: list[TermHost] = []

    def _host(self, name: str, number: int) -> TermHost:
        host = TermHost(
            name=name,
            store=self.store,
            servers=self.servers,
            connection=FaultyHostStore(self.store),
        )
        host.connect(self, number)
        host.planner.set_candidates(SERVICE, [candidate(n) for n in (1, 2, 3)])
        return host

    def run(self, duration_s: float, *hosts: TermHost) -> None:
        """Let some hosts work, and check each step that no shard has two holders."""
        for _ in range(round(duration_s / STEP_S)):
            self.store.expire()
            for host in hosts:
                host.tick()
            self.clock.advance(STEP_S)
            self.check()

    def run_until(
        self, is_reached: Callable[[], object], *hosts: TermHost, within_s: float = 30.0
    ) -> None:
        """Let some hosts work until a condition holds."""
        latest_s = self.clock.seconds() + within_s
        while not is_reached():
            assert self.clock.seconds() < latest_s, f"not reached in {within_s} s"
            self.run(STEP_S, *hosts)

    def table_revision(self) -> int:
        """Return the revision of the stored table."""
        return self.store.items_by_key[TABLE_KEY].revision

    def check(self) -> None:
        """Check that no shard has two holders."""
        for shard in CHECKED_SHARDS:
            holders = self.servers.holders(shard)
            assert len(holders) <= 1, f"shard {shard} is held by {holders}"

    def store_record(self, host: TermHost, *, held_s: float | None) -> None:
        """Store the record of a leader of a version that names no lease."""
        record = PreviousLeader(
            value=host.leadership.value,
            earlier_grants_expired=True,
            held_s=held_s,
            lease_id=0,
        )
        put = Put(key=PREVIOUS_LEADER_KEY, value=encode_previous_leader(record))
        Deferred.fromCoroutine(self.store.change(Change(expected={}, puts=(put,))))

    def store_table(self, value: bytes) -> None:
        """Store the table of the service."""
        change = Change(expected={}, puts=(Put(key=TABLE_KEY, value=value),))
        Deferred.fromCoroutine(self.store.change(change))

    def leader_item(self) -> Item | None:
        """Return the stored item of the leader."""
        return self.store.items_by_key.get(LEADER_KEY)

    def recorded_value(self) -> bytes:
        """Return what identifies the previous leader in its stored record."""
        item = self.store.items_by_key[PREVIOUS_LEADER_KEY]
        record = decode_previous_leader(item)
        assert record is not None
        return record.value

    def renew_lease(self, host: TermHost) -> None:
        """Renew a leader's lease in the store without its noticing."""
        assert host.leadership.term is not None
        lease_id = host.leadership.term.lease_id
        Deferred.fromCoroutine(self.store.renew_lease(lease_id))

    def claim_unnoticed(self, host: TermHost) -> None:
        """Let a host claim the leadership and not hear of it until its lease ends."""
        host.faults.loses_answers_to_changes = True
        host.leadership.note_item(None)
        host.receives_changes = False
        self.run_until(self.leader_item, host)
        self.run_until(lambda: self.leader_item() is None, host)
        assert not host.leads
        host.faults.loses_answers_to_changes = False

    def let_grants_of_a_expire(self) -> None:
        """Let host a lead and stand still, so that it knows of an older term."""
        a = self.hosts[0]
        self.run_until(lambda: self.servers.holders(0), a)
        self.run(1.0, a)
        self.run(4.0)
        assert self.leader_item() is None
        assert not a.leads
        assert not self.servers.holders(0)

    def cut_links(self) -> None:
        """Lose every message between hosts."""
        self.net.cut.update(self.net.listeners)

    def cut_server(self, host: TermHost, holder: Holder) -> None:
        """Cut a host off from a server that the other hosts reach."""
        host.orders.cut.add(holder.address)

    def silence(self, holder: Holder) -> None:
        """Let a server answer no order; it goes on serving what it holds."""
        self.servers.by_address[holder.address].is_silent = True
