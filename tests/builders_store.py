"""A store whose watches are answered by tests, and in-memory links between hosts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import cast, final

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import PeerUnavailableError
from gentianwharf.store import Events, Item, Mirror, Page, Removal, Store


def item(key: str, revision: int, value: bytes = b"") -> Item:
    """Return an item as it is stored."""
    return Item(key=key, value=value, revision=revision)


def events(revision: int, *changes: Item | Removal) -> Events:
    """Return the answer to a watch."""
    return Events(changes=changes, revision=revision)


@dataclass
class WatchedStore:
    """Answers reads at once, and watches when a test says so."""

    page: Page = Page(items=(), revision=10)
    watches: list[tuple[int, "Deferred[Events]"]] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    readings: int = 0
    is_down: bool = False

    async def items(self, prefix: str) -> Page:
        """Return all stored items."""
        self.readings += 1
        if self.is_down:
            raise PeerUnavailableError("down", step="items", peer="store")
        return self.page

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Wait for the test."""
        waiting: Deferred[Events] = Deferred()
        self.waits_s.append(wait_s)
        self.watches.append((after_revision, waiting))
        return await waiting

    def answer_watch(self, answer: Events) -> None:
        """Answer the newest watch."""
        self.watches[-1][1].callback(answer)


def advance(clock: Clock, duration_s: float) -> None:
    """Advance the clock in steps, so that all pending calls run in order."""
    clock.pump([0.05] * round(duration_s / 0.05))


def revisions(mirror: Mirror) -> dict[str, int]:
    """Return the revision of each item in a mirror."""
    return {key: item.revision for key, item in mirror.items.items()}


def mirror_of(store: WatchedStore, clock: Clock) -> Mirror:
    """Return a mirror of everything in the store."""
    return Mirror(store=cast(Store, store), prefix="", reactor=clock, rng=Random(1))


class LinkNet:
    """Links between hosts that deliver at once, unless an address is cut off."""

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[bytes], None]] = {}
        self.cut: set[str] = set()
        self.most_bytes = 0

    def deliver(self, address: str, data: bytes) -> None:
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
        """Deliver to a host what is sent to an address."""
        self.listeners[address] = on_data
        self.most_bytes = max_bytes
        return LinkNetListener()


@dataclass
class LinkNetLink:
    """One link to a host."""

    net: LinkNet
    address: str
    is_closed: bool = False

    def send(self, data: bytes) -> bool:
        """Deliver or lose what a host sends; a closed link accepts nothing."""
        assert not self.is_closed, "the real link raises an error"
        if self.address not in self.net.cut:
            self.net.deliver(self.address, data)
        return True

    def close(self) -> None:
        """Accept nothing from now on."""
        self.is_closed = True


@final
class UplinkNet(LinkNet):
    """Links that share the slow uplink of their host.

    What a host sends is queued there behind all that it has sent to others.
    """

    def __init__(self, *, clock: Clock, bytes_per_s: float) -> None:
        super().__init__()
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._busy_until_s = 0.0

    def deliver(self, address: str, data: bytes) -> None:
        """Deliver once all earlier data has been sent."""
        now_s = self._clock.seconds()
        begun_s = max(self._busy_until_s, now_s)
        self._busy_until_s = begun_s + len(data) / self._bytes_per_s
        deliver = super().deliver
        self._clock.callLater(self._busy_until_s - now_s, deliver, address, data)


class LinkNetListener:
    """A listener that needs no closing."""

    def close(self) -> None:
        """Close nothing."""
