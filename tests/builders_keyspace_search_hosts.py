"""Hosts of the search of ``keyspace``, wired as ``Coordinator`` wires them."""

from collections.abc import Callable, Sequence
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
    TABLE_PREFIX,
    TIMING,
)
from tests.builders_keyspace_search_loop import Loop
from tests.builders_keyspace_search_network import SERVERS_PREFIX, Network, News
from tests.builders_keyspace_search_orders import orders_of
from tests.builders_keyspace_search_servers import Fleet
from tests.builders_keyspace_search_store import (
    StoreConnection,
    StoredState,
    StoreFaults,
)

TICK_S = 0.05
FORWARD_S = 0.2
"""How often the leader sends its copy of the store to the other hosts."""

ANNOUNCE_S = 0.03
ANNOUNCE_WAIT_S = 0.3
ISOLATED_PAUSE_S = 4.0


def encode_holder(holder: Holder) -> bytes:
    """Return the stored entry of a server."""
    return msgspec.json.encode(holder)


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
        services: Sequence[str],
        shards: int,
    ) -> None:
        self.name = name
        self.resigned_until_s = float("-inf")
        """Until when this process may not lead after a resignation."""
        self.address = f"10.1.0.{ord(name)}:90"
        self.incarnation = incarnation
        self.on_gained: Callable[[], None] = lambda: None
        self.on_position: Callable[[int, int], None] = lambda term, position: None
        """Called with the revision of the term and the position that are stated."""
        self.log = fleet.log
        self._clock = clock
        self._network = network
        self._next_forward_s = 0.0
        self.loop: Loop = SenderLoop(host=self, network=network, clock=clock, rng=rng)
        loop = self.loop
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
            orders=orders_of(fleet=fleet, host=name, loop=loop),
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
            shards=shards,
            now_s=now_s,
        )
        self.leadership.on_gained = self._start_leading
        self.leadership.on_lost = self._stop_leading
        self.planner.on_isolated = lambda: self.resign(ISOLATED_PAUSE_S)
        self.planner.on_previous_leader = self.exchange.request_grants
        self._services = services
        self.planner.set_services(dict.fromkeys(services, 5.0))
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
        self.resigned_until_s = self.loop.seconds() + campaign_pause_s
        self.log(f"{self.name} resigns {self.leads}")
        resigning = self.leadership.resign(held_s, campaign_pause_s=campaign_pause_s)
        Deferred.fromCoroutine(resigning)

    def note_requests(self, service: str, counts: dict[int, float]) -> None:
        """Count requests by shard."""
        demand = self.planner.demand(service)
        if demand is not None:
            demand.note_requests(counts)

    def note_item(self, key: str, item: Item | None) -> None:
        """Apply a change of the store."""
        if key == LEADER_KEY:
            self.leadership.note_item(item)
        elif key == PREVIOUS_LEADER_KEY:
            self.leadership.note_previous_leader(item)
        elif key.startswith(TABLE_PREFIX) and item is not None:
            self.planner.note_table(item)
            if self.leadership.leads:
                table = decode_table(item.value, peer=key)
                self.loop.callLater(
                    ANNOUNCE_S,
                    self.manager.note_announced,
                    table.service,
                    table.highest_token,
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
        listed: list[Holder] = []
        for service in self._services:
            prefix = f"{SERVERS_PREFIX}{service}/"
            holders = [
                msgspec.json.decode(item.value, type=Holder)
                for key, item in sorted(self.news.copy.items())
                if key.startswith(prefix)
            ]
            listed += holders
            self.planner.set_candidates(
                service, [Candidate(holder=holder, capacity=1.0) for holder in holders]
            )
        self.manager.note_listed(listed)

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
        self.on_position(term.revision, revision)
        for address in self._network.hosts:
            if address == self.address:
                continue
            wire = self._network.wire(self.address, address)
            if wire.is_cut:
                continue

            def deliver(
                address: str = address, term_revision: int = term.revision
            ) -> None:
                receiver = cast(SearchHost, self._network.hosts[address])
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
