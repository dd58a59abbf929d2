"""Hosts with the store's real client on a virtual clock, and links that lose data."""

from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any, final

import pytest
from twisted.internet.task import Clock

from gentianwharf.entryhost import _coordinator, _peers, _previous_leader
from gentianwharf.entryhost._coordinator import Coordinator
from gentianwharf.entryhost._peer_messages import Report, decode_message
from gentianwharf.platform import PlatformStore, decode_host_settings
from gentianwharf.platform.standin import Items
from gentianwharf.store import Change, Put
from tests.builders_store import LinkNet
from tests.builders_store_link import STEP_S, StoreLink
from tests.builders_users_platform import SETTINGS

TICK_STEPS = 2
"""Steps of the clock for each tick of the coordinators."""

LINK_DELAY_S = 0.002
MAX_HELD_FRAMES = 64

SMALL_KEY = "op/small"
LARGE_KEY = "op/large"
LARGE_PIECES = 300


@final
class LossyNet(LinkNet):
    """Links between hosts; those between two hosts may lose or hold messages.

    ``losses`` are shares of lost messages by pair of addresses, ``delays_s`` the delays
    of a link that is busy. Messages of pairs in
    ``held`` wait there until ``release``, like those of a connection without progress.
    """

    def __init__(self, *, clock: Clock, rng: Random) -> None:
        super().__init__()
        self.losses: dict[frozenset[str], float] = {}
        self.held: dict[frozenset[str], deque[tuple[str, bytes]]] = {}
        self.delays_s: dict[frozenset[str], float] = {}
        self._clock = clock
        self._rng = rng

    def deliver(self, address: str, data: bytes) -> None:
        """Deliver, lose or hold a message."""
        pair = frozenset({address, _sender(data)})
        if self._rng.random() < self.losses.get(pair, 0.0):
            return
        if pair in self.held:
            if len(self.held[pair]) < MAX_HELD_FRAMES:
                self.held[pair].append((address, data))
            return
        delay_s = self.delays_s.get(pair, LINK_DELAY_S)
        self._clock.callLater(delay_s, self._receive, address, data)

    def hold(self, pair: frozenset[str]) -> None:
        """Keep messages of a pair back from now on."""
        self.held[pair] = deque()

    def release(self, pair: frozenset[str]) -> None:
        """Deliver the messages that were held."""
        for address, data in self.held.pop(pair, ()):
            self._clock.callLater(LINK_DELAY_S, self._receive, address, data)

    def _receive(self, address: str, data: bytes) -> None:
        if address not in self.cut:
            super().deliver(address, data)


def _sender(data: bytes) -> str:
    message = decode_message(data)
    if isinstance(message, Report):
        return message.address
    leader = getattr(message, "leader", None)
    return leader.address if leader is not None else ""


@dataclass(kw_only=True)
class LateHost:
    """One host, its link to the store, and when its last trouble ended."""

    coordinator: Coordinator
    address: str
    link: StoreLink
    in_touch_since_s: float = 0.0
    is_in_trouble: bool = False
    is_stopped: bool = False

    def revision(self, key: str) -> int:
        """Return the revision of this host's copy of an item."""
        item = self.coordinator.mirror.items.get(key)
        return item.revision if item is not None else 0


@dataclass(frozen=True, kw_only=True)
class LateChange:
    """A change that a host in touch lacked for too long."""

    host: str
    key: str
    age_s: float
    at_s: float


@final
class LateFleet:
    """Hosts on one clock; ``worst_s`` is the greatest age of a missing change."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *, hosts: int, seed: int
    ) -> None:
        self.clock = Clock()
        self.clock.advance(100 + Random(seed).random())
        self.rng = Random(seed)
        self.net = LossyNet(clock=self.clock, rng=Random(seed + 1))
        self.items = Items(now_s=self.clock.seconds)
        self.versions: dict[str, list[tuple[int, float]]] = {}
        """Revision and time of each write, by key."""
        self.contact_s = 3.0
        self.worst_s = 0.0
        self.late: list[LateChange] = []
        self.log: list[str] = []
        self._links: list[StoreLink] = []
        self._steps = 0
        self._made = 0
        monkeypatch.setattr(_peers, "dial", self.net.dial)
        monkeypatch.setattr(_previous_leader, "dial", self.net.dial)
        monkeypatch.setattr(_peers, "NngListener", self.net.listen)
        monkeypatch.setattr(_coordinator, "PlatformStore", self._make_store)
        self.hosts = [self._host(number) for number in range(hosts)]
        for host in self.hosts:
            host.coordinator.start()

    def _make_store(self, **_: Any) -> PlatformStore:
        link = StoreLink(clock=self.clock, items=self.items)
        self._links.append(link)
        return PlatformStore(reactor=link, address="10.0.0.1:80")

    def _host(self, number: int) -> LateHost:
        self._made += 1
        ip = f"10.1.0.{number + 1}"
        text = SETTINGS.replace("10.1.0.18", ip).replace("lac-1", f"lac-{number}")
        settings = decode_host_settings(text, peer="test")
        coordinator = Coordinator(
            settings=settings,
            server_by_id=lambda name: None,
            reactor=self.clock,
            rng=Random(self.rng.getrandbits(32)),
        )
        address = f"{ip}:{settings.first_internal_port}"
        return LateHost(
            coordinator=coordinator,
            address=address,
            link=self._links[-1],
            in_touch_since_s=self.clock.seconds(),
        )

    def note(self, text: str) -> None:
        """Add a line to the play's log."""
        self.log.append(f"{self.clock.seconds():8.3f} {text}")

    def write(self, key: str) -> None:
        """Write another version of an item, like operators do."""
        number = len(self.versions.get(key, ()))
        if key == SMALL_KEY:
            value = b"%100d" % number
        else:
            pieces = [b'{"route": "%090d"}' % piece for piece in range(LARGE_PIECES)]
            pieces[number % LARGE_PIECES] = b'{"version": %d}' % number
            value = b"[" + b",".join(pieces) + b"]"
        revision = self.items.change(Change(puts=(Put(key=key, value=value),)))
        self.versions.setdefault(key, []).append((revision, self.clock.seconds()))

    def restart(self, host: LateHost) -> LateHost:
        """Replace a host's process by a new one."""
        host.coordinator.stop()
        number = self.hosts.index(host)
        restarted = self.hosts[number] = self._host(number)
        for name in (
            "answer_s",
            "watch_delay_s",
            "is_silent",
            "is_unreachable",
            "refuses_calls",
            "answers_stale_reads_only",
        ):
            setattr(restarted.link, name, getattr(host.link, name))
        restarted.link.bytes_per_s = host.link.bytes_per_s
        restarted.is_in_trouble = host.is_in_trouble
        restarted.coordinator.start()
        return restarted

    def stop(self, host: LateHost) -> None:
        """End a host's process."""
        self.net.cut.add(host.address)
        host.coordinator.stop()
        host.is_stopped = True

    def leader(self) -> LateHost | None:
        """Return a host that leads."""
        leading = [
            host
            for host in self.hosts
            if host.coordinator.leadership.leads and not host.is_stopped
        ]
        return leading[0] if leading else None

    def begin_outage(self, host: LateHost, kind: str) -> None:
        """Let the store be unavailable for a host.

        It is ``silent``, ``unreachable``, ``refusing``, or ``stalled``: then it answers
        only reads that may be stale.
        """
        host.is_in_trouble = True
        host.link.is_silent = kind in ("silent", "unreachable")
        host.link.answers_stale_reads_only = kind == "stalled"
        host.link.is_unreachable = kind == "unreachable"
        host.link.refuses_calls = kind == "refusing"

    def end_outage(self, host: LateHost) -> None:
        """Let the store answer a host again."""
        link = host.link
        if host.is_in_trouble:
            host.in_touch_since_s = self.clock.seconds()
        host.is_in_trouble = False
        link.is_silent = link.is_unreachable = link.refuses_calls = False
        link.answers_stale_reads_only = False

    def run(self, duration_s: float) -> None:
        """Advance the time in steps, and look for late changes."""
        for _ in range(round(duration_s / STEP_S)):
            self._steps += 1
            if self._steps % TICK_STEPS == 0:
                self.items.expire()
                for host in self.hosts:
                    if not host.is_stopped:
                        host.coordinator.tick()
            self.clock.advance(STEP_S)
            self._look()

    def _look(self) -> None:
        now_s = self.clock.seconds()
        for key, versions in self.versions.items():
            for host in self.hosts:
                revision = host.revision(key)
                if versions[-1][0] <= revision or host.is_in_trouble or host.is_stopped:
                    continue
                if now_s < host.in_touch_since_s + self.contact_s:
                    continue
                missing_s = next(at_s for made, at_s in versions if made > revision)
                age_s = now_s - missing_s
                self.worst_s = max(self.worst_s, age_s)
                if age_s > 2.0:
                    self.late.append(
                        LateChange(host=host.address, key=key, age_s=age_s, at_s=now_s)
                    )
