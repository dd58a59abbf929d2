"""Hosts of the search of ``keyspace``, wired as ``Coordinator`` wires them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
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
from gentianwharf.keyspace import (
    Candidate,
    GrantManager,
    Holder,
    Leadership,
    Planner,
    PreviousLeader,
    decode_table,
)
from gentianwharf.store import Item, Store
from tests.builders_keyspace import (
    LEADER_KEY,
    PREVIOUS_LEADER_KEY,
    SERVICE,
    TABLE_KEY,
    TABLE_PREFIX,
    TIMING,
)
from tests.builders_keyspace_search_loop import Loop
from tests.builders_keyspace_search_servers import Fleet, SearchOrders
from tests.builders_keyspace_search_store import (
    StoreConnection,
    StoredState,
    StoreFaults,
)

SHARDS = 48
TICK_S = 0.05
FORWARD_S = 0.2
"""How often the leader sends its copy of the store to the other hosts."""

ANNOUNCE_S = 0.03
ANNOUNCE_WAIT_S = 0.3
NEWS_RETRY_S = 0.3
ISOLATED_PAUSE_S = 4.0
SERVERS_PREFIX = "servers/"


def encode_holder(holder: Holder) -> bytes:
    """Return the stored entry of a server."""
    return msgspec.json.encode(holder)


@dataclass(kw_only=True, eq=False)
class Wire:
    """One direction between two hosts; a cut holds messages up until it heals."""

    is_cut: bool = False
    late_s: float = 0.0
    held_up: list[Callable[[], None]] | None = None


class Network:
    """Links between hosts by the address of the receiver."""

    def __init__(self, *, clock: Clock, rng: Random) -> None:
        self.hosts: dict[str, SearchHost] = {}
        self.sender: SearchHost | None = None
        self._clock = clock
        self._rng = rng
        self._wires: dict[tuple[str, str], Wire] = {}

    def wire(self, sender: str, receiver: str) -> Wire:
        """Return the direction from one address to another."""
        return self._wires.setdefault((sender, receiver), Wire())

    def dial(self, address: str) -> "HostLink":
        """Open a link from the host that runs at the moment."""
        assert self.sender is not None
        return HostLink(network=self, sender=self.sender, address=address)

    def send(self, wire: Wire, deliver: Callable[[], None]) -> None:
        """Deliver a message, at once or once the cut has healed."""
        if wire.is_cut:
            if wire.held_up is None:
                wire.held_up = []
            wire.held_up.append(deliver)
            return
        delay_s = self._rng.uniform(0.001, 0.01) + wire.late_s
        self._clock.callLater(delay_s, deliver)

    def heal(self, wire: Wire) -> None:
        """Restore a direction; what it held up arrives."""
        wire.is_cut, wire.late_s = False, 0.0
        held_up, wire.held_up = wire.held_up or [], None
        delays_s = sorted(self._rng.uniform(0.0, 1.0) for _ in held_up)
        for delay_s, deliver in zip(delays_s, held_up, strict=True):
            self._clock.callLater(delay_s, deliver)


@dataclass
class HostLink:
    """A link of one host to another, as the exchange of remaining grants uses it."""

    network: Network
    sender: "SearchHost"
    address: str
    is_closed: bool = False

    def send(self, data: bytes) -> bool:
        """Queue a message; closing the link drops what a cut holds up."""
        wire = self.network.wire(self.sender.address, self.address)

        def deliver() -> None:
            receiver = self.network.hosts.get(self.address)
            if receiver is not None and not self.is_closed:
                receiver.loop.post(lambda: receiver.receive(data))

        self.network.send(wire, deliver)
        return True

    def close(self) -> None:
        """Send nothing any more."""
        self.is_closed = True


class News:
    """The store's changes as one host receives them: in order, perhaps late."""

    def __init__(
        self, *, state: StoredState, host: "SearchHost", clock: Clock, rng: Random
    ) -> None:
        self.position = 0
        self.copy: dict[str, Item] = {}
        self._state = state
        self._host = host
        self._clock = clock
        self._rng = rng
        self._is_waiting = False

    def wake(self) -> None:
        """Get the changes that the host lacks, unless some are on their way."""
        if self._is_waiting or not self._host.loop.is_alive:
            return
        self._is_waiting = True
        late_s = self._host.store.own.news_late_s
        delay_s = self._rng.uniform(0.003, 0.03) + self._rng.uniform(0.0, late_s)
        # Late on the way to the store, or on the way back.
        if self._rng.random() < 0.5:
            items, revision = dict(self._state.items_by_key), self._state.revision
            self._clock.callLater(delay_s, self._deliver, items, revision)
        else:
            self._clock.callLater(delay_s, self._read)

    def _read(self) -> None:
        self._deliver(dict(self._state.items_by_key), self._state.revision)

    def _deliver(self, items: dict[str, Item], revision: int) -> None:
        if not self._host.store.gets_news:
            self._clock.callLater(NEWS_RETRY_S, self._retry)
            return
        self._host.loop.post(lambda: self._arrive(items, revision))

    def _retry(self) -> None:
        self._is_waiting = False
        self.wake()

    def _arrive(self, items: dict[str, Item], revision: int) -> None:
        self._is_waiting = False
        self.apply(items, revision)
        if self.position < self._state.revision:
            self.wake()

    def apply(self, items: dict[str, Item], revision: int) -> None:
        """Apply a newer state of the store, each changed item once."""
        if revision <= self.position:
            return
        former_position, self.position = self.position, revision
        removed = [key for key in self.copy if key not in items]
        for key in removed:
            del self.copy[key]
            self._host.note_item(key, None)
        changed = [item for key, item in items.items() if self.copy.get(key) != item]
        for item in sorted(changed, key=lambda item: item.revision):
            self.copy[item.key] = item
            self._host.note_item(item.key, item)
        # A watch returns the removal of an item that was also written in between.
        if LEADER_KEY not in items and (
            former_position == 0 or self._state.leader_changed > former_position
        ):
            self._host.leadership.note_item(None)


class SearchHost:
    """One process of a host."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        clock: Clock,
        rng: Random,
        state: StoredState,
        general: StoreFaults,
        fleet: Fleet,
        network: Network,
    ) -> None:
        self.name = name
        self.address = f"10.1.0.{ord(name)}:90"
        self.incarnation = incarnation
        self.on_gained: Callable[[], None] = lambda: None
        self.log = fleet.log
        self._clock = clock
        self._network = network
        self._next_forward_s = 0.0
        loop = self.loop = SenderLoop(host=self, network=network, clock=clock, rng=rng)
        self.store = StoreConnection(
            state=state, general=general, clock=clock, loop=loop, rng=rng
        )
        identity = HostIdentity(name, self.address, incarnation)
        store = cast(Store, self.store)
        now_s = loop.seconds
        self.leadership = Leadership(
            store=store,
            key=LEADER_KEY,
            previous_leader_key=PREVIOUS_LEADER_KEY,
            value=msgspec.json.encode(identity),
            now_s=now_s,
            rng=rng,
        )
        self.manager = GrantManager(
            orders=SearchOrders(fleet=fleet, host=name, loop=loop),
            timing=TIMING,
            now_s=now_s,
        )
        self.manager.announce_wait_s = ANNOUNCE_WAIT_S
        self.exchange = RemainingGrantsExchange(
            identity=identity,
            grant_manager=self.manager,
            leadership=self.leadership,
            timing=TIMING,
            reactor=loop,
        )
        self.planner = Planner(
            store=store,
            leadership=self.leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            grant_manager=self.manager,
            shards=SHARDS,
            now_s=now_s,
        )
        self.leadership.on_gained = self._start_leading
        self.leadership.on_lost = self._stop_leading
        self.planner.on_isolated = lambda: self.resign(ISOLATED_PAUSE_S)
        self.planner.on_previous_leader = self.exchange.request_grants
        self.planner.set_services({SERVICE: 5.0})
        self.news = News(state=state, host=self, clock=clock, rng=rng)
        network.hosts[self.address] = self
        loop.callLater(rng.uniform(0.0, TICK_S), self._tick)
        loop.post(self.news.wake)

    @property
    def leads(self) -> bool:
        """Whether this host considers itself the leader."""
        return self.loop.is_alive and self.leadership.leads

    def resign(self, campaign_pause_s: float) -> None:
        """Give up leadership, as ``Coordinator.resign`` does."""
        held_s = self.manager.holders.held_s
        self.log(f"{self.name} resigns {self.leads}")
        resigning = self.leadership.resign(held_s, campaign_pause_s=campaign_pause_s)
        Deferred.fromCoroutine(resigning)

    def note_requests(self, counts: dict[int, float]) -> None:
        """Count requests by shard."""
        demand = self.planner.demand(SERVICE)
        if demand is not None:
            demand.note_requests(counts)

    def note_item(self, key: str, item: Item | None) -> None:
        """Apply a change of the store."""
        if key == LEADER_KEY:
            self.leadership.note_item(item)
        elif key == PREVIOUS_LEADER_KEY:
            self.leadership.note_previous_leader(item)
        elif key == TABLE_KEY and item is not None:
            self.planner.note_table(item)
            if self.leadership.leads:
                token = decode_table(item.value, peer=key).highest_token
                self.loop.callLater(
                    ANNOUNCE_S, self.manager.note_announced, SERVICE, token
                )
        elif key.startswith(SERVERS_PREFIX):
            self._note_servers()

    def receive(self, data: bytes) -> None:
        """Receive a message of the exchange of remaining grants."""
        message: Any = msgspec.msgpack.decode(
            data, type=RemainingGrantsRequest | RemainingGrantsResponse
        )
        self.log(f"{self.name} receives {message}")
        if isinstance(message, RemainingGrantsRequest):
            self.exchange.handle_request(message)
        else:
            self.exchange.handle_response(message)

    def receive_copy(
        self, items: dict[str, Item], revision: int, term_revision: int
    ) -> None:
        """Receive a leader's copy of the store."""
        term = self.leadership.term
        if term is not None and term.revision < term_revision:
            self.leadership.step_down()
        self.news.apply(items, revision)

    def _note_servers(self) -> None:
        holders = [
            msgspec.json.decode(item.value, type=Holder)
            for key, item in sorted(self.news.copy.items())
            if key.startswith(SERVERS_PREFIX)
        ]
        self.planner.set_candidates(
            SERVICE, [Candidate(holder=holder, capacity=1.0) for holder in holders]
        )
        self.manager.note_listed(holders)

    def _start_leading(self, previous: PreviousLeader | None) -> None:
        self.log(f"{self.name} leads {self.leadership.term} after {previous}")
        self.planner.note_gained(previous)
        self.on_gained()

    def _stop_leading(self) -> None:
        self.log(f"{self.name} leads no longer")
        self.manager.stop()

    def _tick(self) -> None:
        self.loop.callLater(TICK_S, self._tick)
        self.manager.holders.note_tick()
        self.leadership.tick()
        self.planner.tick()
        self.manager.tick()
        self.exchange.tick()
        self._forward()

    def _forward(self) -> None:
        """Send the leader's copy of the store to the other hosts."""
        term, now_s = self.leadership.term, self.loop.seconds()
        is_due = now_s >= self._next_forward_s
        if term is None or not is_due or not self.leadership.holds_lease():
            return
        self._next_forward_s = now_s + FORWARD_S
        items, revision = dict(self.news.copy), self.news.position
        for address in self._network.hosts:
            if address == self.address:
                continue
            wire = self._network.wire(self.address, address)
            if wire.is_cut:
                continue

            def deliver(
                address: str = address, term_revision: int = term.revision
            ) -> None:
                receiver = self._network.hosts[address]
                receiver.loop.post(
                    lambda: receiver.receive_copy(items, revision, term_revision)
                )

            self._network.send(wire, deliver)


class SenderLoop(Loop):
    """The loop of a host, which is the sender of all that it sends while it runs."""

    def __init__(
        self, *, host: SearchHost, network: Network, clock: Clock, rng: Random
    ) -> None:
        super().__init__(clock=clock, rng=rng)
        self._host = host
        self._network = network

    def _run(
        self, delayed: list[Callable[[], object]], call: Callable[[], object]
    ) -> None:
        self._network.sender = self._host
        super()._run(delayed, call)

    def resume(self) -> None:
        self._network.sender = self._host
        super().resume()
