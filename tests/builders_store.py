"""A store whose watches tests answer by hand, and links between hosts without a net."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast, final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.store import Events, Item, Mirror, Page, Removal, Store


def item(key: str, revision: int, value: bytes = b"") -> Item:
    """Return an item as it was written."""
    return Item(key=key, value=value, revision=revision)


def events(revision: int, *changes: Item | Removal) -> Events:
    """Return what a watch brings."""
    return Events(changes=changes, revision=revision)


@dataclass
class WatchedStore:
    """Answers readings at once, and watches when a test says so."""

    page: Page = Page(items=(), revision=10)
    watches: list[tuple[int, "Deferred[Events]"]] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    readings: int = 0
    is_down: bool = False

    async def items(self, prefix: str) -> Page:
        """Return what stands in the store."""
        self.readings += 1
        if self.is_down:
            raise PeerUnavailableError("down", step="items", peer="store")
        return self.page

    async def watch(self, prefix: str, *, after_revision: int, wait_s: float) -> Events:
        """Wait for the test."""
        waiting: Deferred[Events] = Deferred()
        self.waits_s.append(wait_s)
        self.watches.append((after_revision, waiting))
        return await waiting

    def bring(self, brought: Events) -> None:
        """Answer the newest watch."""
        self.watches[-1][1].callback(brought)


def advance(clock: Clock, duration_s: float) -> None:
    """Let time pass in steps in which everything gets its turn."""
    clock.pump([0.05] * round(duration_s / 0.05))


def revisions(mirror: Mirror) -> dict[str, int]:
    """Return the revision of each item that a mirror has."""
    return {key: one.revision for key, one in mirror.items.items()}


def mirror_of(store: WatchedStore, clock: Clock) -> Mirror:
    """Return a mirror of everything in the store."""
    return Mirror(store=cast(Store, store), prefix="", reactor=clock, rng=Random(1))


class LinkNet:
    """Links between hosts that hand over at once, unless an address is cut off."""

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[bytes], None]] = {}
        self.cut: set[str] = set()
        self.most_bytes = 0

    def hand_over(self, address: str, data: bytes) -> None:
        """Deliver what was sent to an address, unless it is too large for it."""
        if len(data) <= self.most_bytes:
            self.listeners[address](data)

    def dial(self, address: str) -> "LinkNetLink":
        """Open a link."""
        return LinkNetLink(net=self, address=address)

    def listen(
        self,
        *,
        reactor: object,
        address: str,
        on_data: Callable[[bytes], None],
        max_bytes: int,
    ) -> "LinkNetListener":
        """Hand what comes for an address to a host."""
        self.listeners[address] = on_data
        self.most_bytes = max_bytes
        return LinkNetListener()


@dataclass
class LinkNetLink:
    """One way to a host."""

    net: LinkNet
    address: str
    is_closed: bool = False

    def send(self, data: bytes) -> bool:
        """Hand over, or lose, what a host sends; a closed link takes nothing."""
        assert not self.is_closed, "the real link raises an error"
        if self.address not in self.net.cut:
            self.net.hand_over(self.address, data)
        return True

    def close(self) -> None:
        """Take no more."""
        self.is_closed = True


@final
class UplinkNet(LinkNet):
    """Links that share the way out of their host, which is slow.

    What a host sends waits there behind all that it has sent to others.
    """

    def __init__(self, *, clock: Clock, bytes_per_s: float) -> None:
        super().__init__()
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._busy_until_s = 0.0

    def hand_over(self, address: str, data: bytes) -> None:
        """Deliver when all before it has left."""
        now_s = self._clock.seconds()
        begun_s = max(self._busy_until_s, now_s)
        self._busy_until_s = begun_s + len(data) / self._bytes_per_s
        deliver = super().hand_over
        self._clock.callLater(self._busy_until_s - now_s, deliver, address, data)


class LinkNetListener:
    """Nothing to close."""

    def close(self) -> None:
        """Close nothing."""
