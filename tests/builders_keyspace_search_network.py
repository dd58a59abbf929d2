"""What hosts of the search of ``keyspace`` hear: messages, and news of the store."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from twisted.internet.task import Clock

from gentianwharf.keyspace import Leadership
from gentianwharf.store import Item
from tests.builders_keyspace import LEADER_KEY, TABLE_PREFIX
from tests.builders_keyspace_search_loop import Loop
from tests.builders_keyspace_search_store import StoreConnection, StoredState

NEWS_RETRY_S = 0.3
SERVERS_PREFIX = "servers/"
PAGE_STARTS = (TABLE_PREFIX, LEADER_KEY, SERVERS_PREFIX)
"""Keys with which the second page of a full read may begin."""


class Host(Protocol):
    """One process of a host, as its news and messages use it."""

    address: str
    loop: Loop
    store: StoreConnection
    leadership: Leadership

    def receive(self, data: bytes) -> None:
        """Receive a message of another host."""

    def note_item(self, key: str, item: Item | None) -> None:
        """Apply a change of the store."""


@dataclass(kw_only=True, eq=False)
class Wire:
    """One direction between two hosts; a cut holds messages up until it heals."""

    is_cut: bool = False
    late_s: float = 0.0
    held_up: list[Callable[[], None]] | None = None


class Network:
    """Links between hosts by the address of the receiver."""

    def __init__(self, *, clock: Clock, rng: Random) -> None:
        self.hosts: dict[str, Host] = {}
        self.sender: Host | None = None
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
    sender: Host
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
        self, *, state: StoredState, host: Host, clock: Clock, rng: Random
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
        own = self._host.store.own
        delay_s = self._rng.uniform(0.003, 0.03)
        delay_s += self._rng.uniform(0.0, own.news_late_s)
        if self._rng.random() < own.drops_history:
            self._begin_full_read(delay_s)
            return
        # Late on the way to the store, or on the way back.
        if self._rng.random() < 0.5:
            items, revision = dict(self._state.items_by_key), self._state.revision
            self._clock.callLater(delay_s, self._deliver, items, revision)
        else:
            self._clock.callLater(delay_s, self._read)

    def _begin_full_read(self, delay_s: float) -> None:
        """Read all items, on two pages which are not a snapshot."""
        state, rng = self._state, self._rng
        first, revision = dict(state.items_by_key), state.revision
        start = rng.choice(PAGE_STARTS)
        items = {key: item for key, item in first.items() if key < start}

        def read_rest() -> None:
            rest = state.items_by_key
            items.update({key: item for key, item in rest.items() if key >= start})
            if not self._host.store.gets_news:
                self._clock.callLater(NEWS_RETRY_S, self._retry)
                return
            self._host.loop.post(lambda: self._arrive_page(items, revision))

        between_s = rng.choice([0.0, rng.uniform(0.0, 1.1)])
        between_s = max(between_s, self._host.store.own.pages_apart_s)
        self._clock.callLater(delay_s + between_s, read_rest)

    def _arrive_page(self, items: dict[str, Item], revision: int) -> None:
        """Apply a full read, the items by key, as ``Mirror`` does."""
        self._is_waiting = False
        for key, known in list(self.copy.items()):
            if key not in items and known.revision <= revision:
                del self.copy[key]
                self._host.note_item(key, None)
        for key, item in sorted(items.items()):
            if self._is_newer(item):
                self.copy[key] = item
                self._host.note_item(key, item)
        self.position = revision
        if LEADER_KEY not in self.copy:
            self._host.leadership.note_item(None)
        if self.position < self._state.revision:
            self.wake()

    def _is_newer(self, item: Item) -> bool:
        known = self.copy.get(item.key)
        return known is None or known.revision < item.revision

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
        removed = [
            key
            for key, known in self.copy.items()
            if key not in items and known.revision <= revision
        ]
        for key in removed:
            del self.copy[key]
            self._host.note_item(key, None)
        changed = [item for item in items.values() if self._is_newer(item)]
        for item in sorted(changed, key=lambda item: item.revision):
            self.copy[item.key] = item
            self._host.note_item(item.key, item)
        # A watch returns the removal of an item that was also written in between.
        if LEADER_KEY not in items and (
            former_position == 0 or self._state.leader_changed > former_position
        ):
            self._host.leadership.note_item(None)
