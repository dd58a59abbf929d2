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
from gentianwharf.keyspace import Holder
from gentianwharf.keyspace._previous_leader import decode_previous_leader
from gentianwharf.store import Change, Item, Page
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    SERVICE,
    SHARDS,
    TIMING,
    Servers,
    candidate,
)
from tests.builders_keyspace_hosts import HostStore, LeadingHost, SimpleStore
from tests.builders_store import LinkNet

STEP_S = 0.05
CHECKED_SHARDS = range(0, SHARDS, 37)


class FaultyHostStore(HostStore):
    """One host's connection to the store, which may lose answers or serve no tables."""

    def __init__(self, store: SimpleStore) -> None:
        super().__init__(store)
        self.loses_answers_to_changes = False
        self.serves_no_tables = False

    async def change(self, change: Change) -> int:
        """Make a change, whose answer may be lost."""
        revision = await cast(Any, self).__getattr__("change")(change)
        if self.loses_answers_to_changes:
            raise OutcomeUnknownError("no answer", step="change", peer="store")
        return cast(int, revision)

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix, unless the connection serves none."""
        if self.serves_no_tables:
            raise PeerUnavailableError("too slow", step="items", peer="store")
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

    def check(self) -> None:
        """Check that no shard has two holders."""
        for shard in CHECKED_SHARDS:
            holders = self.servers.holders(shard)
            assert len(holders) <= 1, f"shard {shard} is held by {holders}"

    def leader_item(self) -> Item | None:
        """Return the stored item of the leader."""
        return self.store.items_by_key.get(LEADER_KEY)

    def recorded_value(self) -> bytes:
        """Return what identifies the previous leader in its stored record."""
        item = self.store.items_by_key[PREVIOUS_LEADER_KEY]
        record = decode_previous_leader(item)
        assert record is not None
        return record.value

    def claim_unnoticed(self, host: TermHost) -> None:
        """Let a host claim the leadership and not hear of it until its lease ends."""
        host.faults.loses_answers_to_changes = True
        host.leadership.note_item(None)
        host.receives_changes = False
        self.run_until(self.leader_item, host)
        self.run_until(lambda: self.leader_item() is None, host)
        assert not host.leads
        host.faults.loses_answers_to_changes = False

    def silence(self, holder: Holder) -> None:
        """Let a server answer no order; it goes on serving what it holds."""
        self.servers.by_address[holder.address].is_silent = True
