"""Hosts whose messages and store reads share links of limited bandwidth."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, final

import pytest
from twisted.internet.task import Clock, deferLater

from gentianwharf.entryhost import _peers
from gentianwharf.store import Item, Removal
from tests.builders_entryhost import TICK_S, FakeStore, Fleet, Host
from tests.builders_store import LinkNet, LinkNetLink
from tests.builders_users_platform import SETTINGS

BYTES_PER_MEGABIT = 125_000
KEY = "routes"
"""Key of the value that a fleet's hosts receive; they need not decode it."""

CAMPAIGN_DELAY_S = 5.0
"""Delay of all hosts but the first one, which therefore leads."""

LINKS_MBPS = (5.0, 10.0, 25.0, 50.0, 100.0)


@final
@dataclass
class Direction:
    """One direction of a host's link, which transfers one thing after another."""

    bytes_per_s: float
    busy_until_s: float = 0.0

    def reserve(self, size: float, *, earliest_s: float) -> tuple[float, float]:
        """Return when a transfer begins and ends."""
        begin_s = max(self.busy_until_s, earliest_s)
        self.busy_until_s = begin_s + size / self.bytes_per_s
        return begin_s, self.busy_until_s


@final
@dataclass
class ThinLink:
    """A host's link, each direction with its own bandwidth."""

    up: Direction
    down: Direction

    @classmethod
    def of(cls, bytes_per_s: float) -> "ThinLink":
        """Return an idle link with the same bandwidth in both directions."""
        return cls(up=Direction(bytes_per_s), down=Direction(bytes_per_s))


@final
class ThinNet(LinkNet):
    """Delivers at the bandwidth of the sender's and of the receiver's link."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.links: dict[str, ThinLink] = {}
        self.cut_senders: set[str] = set()
        """Hosts from which nothing reaches others."""

    def dial_from(self, sender: str) -> Callable[[str], LinkNetLink]:
        """Return how a host opens links."""
        return partial(self._dial, sender)

    def _dial(self, sender: str, address: str) -> LinkNetLink:
        return _LinkFrom(net=self, address=address, sender=sender)

    def transfer(self, sender: str, address: str, data: bytes) -> None:
        """Deliver once both links have transferred the data."""
        now_s, size = self.clock.seconds(), len(data)
        begin_s, sent_s = self.links[sender].up.reserve(size, earliest_s=now_s)
        _, received_s = self.links[address].down.reserve(size, earliest_s=begin_s)
        end_s = max(sent_s, received_s)
        self.clock.callLater(end_s - now_s, self._arrive, address, data)

    def _arrive(self, address: str, data: bytes) -> None:
        if address not in self.cut:
            self.deliver(address, data)


@final
@dataclass
class _LinkFrom(LinkNetLink):
    net: ThinNet
    sender: str = ""

    def send(self, data: bytes) -> bool:
        """Transfer or lose what a host sends."""
        assert not self.is_closed, "the real link raises an error"
        is_lost = self.address in self.net.cut or self.sender in self.net.cut
        if not is_lost and self.sender not in self.net.cut_senders:
            self.net.transfer(self.sender, self.address, data)
        return True


@final
@dataclass
class _ThinStore(FakeStore):
    """A store connection whose answers use the host's link."""

    down: Direction = field(default_factory=lambda: Direction(float("inf")))

    async def _transfer(self, changes: Sequence[Item | Removal]) -> None:
        values = [change.value for change in changes if isinstance(change, Item)]
        size = sum(len(value) for value in values) * 4 / 3
        if size:
            now_s = self.clock.seconds()
            _, end_s = self.down.reserve(size, earliest_s=now_s)
            await deferLater(self.clock, end_s - now_s)


@final
class ThinFleet(Fleet):
    """A fleet with a link for each host.

    The first host leads at first, unless ``first_leads`` is False. Random numbers
    differ by ``seed``.
    ``free_share`` is the share of each link that is not used by callers' requests.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        *,
        links_mbps: Sequence[float],
        free_share: float = 1.0,
        first_leads: bool = True,
        seed: int = 0,
    ) -> None:
        self._monkeypatch = monkeypatch
        self._links_mbps = links_mbps
        self._free_share = free_share
        self._first_leads = first_leads
        self._seed = seed
        self.thin_net = ThinNet()
        super().__init__(monkeypatch, hosts=len(links_mbps), net=self.thin_net)
        self.thin_net.clock = self.clock

    def _make_store(self, **_: Any) -> FakeStore:
        store = _ThinStore(backend=self.items, clock=self.clock)
        self.stores.append(store)
        return store

    def _settings(self, number: int, ip: str) -> str:
        link_mbps = self._links_mbps[number]
        address = f"{ip}:7200"
        bytes_per_s = link_mbps * BYTES_PER_MEGABIT * self._free_share
        self.thin_net.links[address] = ThinLink.of(bytes_per_s)
        self._monkeypatch.setattr(_peers, "dial", self.thin_net.dial_from(address))
        return f"{SETTINGS}[limits]\nlink-mbps = {link_mbps}\n"

    def _host(self, number: int, *, seed: int) -> Host:
        host = super()._host(number, seed=seed + 1_000 * self._seed)
        store = host.store
        assert isinstance(store, _ThinStore)
        store.down = self.thin_net.links[host.address].down
        if number > 0 and self._first_leads:
            host.coordinator.leadership.handicap_s = lambda: CAMPAIGN_DELAY_S
        return host

    def run(self, duration_s: float) -> None:
        """Advance the time from one due call to the next."""
        for _ in range(round(duration_s / TICK_S)):
            self.items.expire()
            for host in self.hosts:
                host.coordinator.tick()
            end_s = self.clock.seconds() + TICK_S
            while (left_s := end_s - self.clock.seconds()) > 0:
                calls = self.clock.getDelayedCalls()
                due_s = min((call.getTime() for call in calls), default=end_s)
                wait_s = max(0.0, due_s - self.clock.seconds())
                self.clock.advance(min(left_s, wait_s))

    def start_with(self, value: bytes) -> None:
        """Run until the first host leads, and all hosts have a value."""
        self.run(4.0)
        self.write(KEY, value)
        self.run(6.0)
        assert self.leader() is self.hosts[0]
        assert self.lacking(value) == []

    def lacking(self, value: bytes) -> list[Host]:
        """Return the hosts that do not have a value."""
        return [
            host
            for host in self.hosts
            if (item := host.coordinator.mirror.items.get(KEY)) is None
            or item.value != value
        ]

    def seconds_to_apply(self, value: bytes, *, at_most_s: float) -> float:
        """Write a value; return in how many seconds all hosts have it."""
        self.write(KEY, value)
        begin_s = self.clock.seconds()
        while self.lacking(value):
            waited_s = self.clock.seconds() - begin_s
            if waited_s > at_most_s:
                return waited_s
            self.run(0.05)
        return float(self.clock.seconds() - begin_s)


def mixed_links(*, leader_mbps: float, hosts: int) -> list[float]:
    """Return the links of a fleet, the leader's first, the others' mixed."""
    rng = Random(hosts)
    return [leader_mbps, *(rng.choice(LINKS_MBPS) for _ in range(hosts - 1))]


def routes(count: int, *, seed: int = 1) -> bytes:
    """Return routes in the form of the operators' configuration."""
    rng = Random(seed)
    return b",\n".join(
        b'"route-%d": {"host": "h%x.example", "prefix": "/p%x/%d/", "kind": "safe",'
        b' "timeout": "%dms", "target-latency": "300ms", "priority": %d,'
        b' "service": "service-%d", "max-attempts": 2}'
        % (
            number,
            rng.getrandbits(24),
            rng.getrandbits(32),
            number,
            rng.randrange(5, 40) * 50,
            rng.randrange(4),
            rng.randrange(12),
        )
        for number in range(count)
    )
