"""Coordinators of entry hosts on a store in memory and simulated links."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
from twisted.internet.task import Clock, deferLater

from gentianwharf.entryhost import _coordinator, _peers, _previous_leader
from gentianwharf.entryhost._coordinator import Coordinator
from gentianwharf.errors import ConflictError, PeerUnavailableError
from gentianwharf.platform import decode_host_settings
from gentianwharf.platform.standin import Items
from gentianwharf.platform.standin._items import ConditionError, UnknownLeaseError
from gentianwharf.store import (
    Change,
    Events,
    HistoryGoneError,
    Item,
    LeaseEndedError,
    Page,
    Put,
    Removal,
)
from tests.builders_store import LinkNet
from tests.builders_users_platform import SETTINGS, server_entry

TICK_S = 0.05

ANSWER_S = 1.0
"""Time after which an unanswered call fails; for a watch, after its own wait."""


@dataclass
class FakeStore:
    """One host's connection to the store, whose calls a test can make fail."""

    backend: Items
    clock: Clock
    refuses_calls: bool = False
    loses_watches: bool = False
    is_silent: bool = False
    history_is_gone: bool = False
    bytes_per_s: float = float("inf")
    calls: list[str] = field(default_factory=list)

    def set_probe_interval_s(self, interval_s: float) -> None:
        """Do nothing: calls are never overdue here."""

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix."""
        await self._begin_call("items")
        page = Page(
            items=tuple(self.backend.with_prefix(prefix)),
            revision=self.backend.revision,
        )
        await self._transfer(page.items)
        return page

    async def item(self, key: str) -> Item | None:
        """Return an item."""
        await self._begin_call("item")
        return self.backend.get(key)

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Wait for a change; a lost watch fails a second after its wait."""
        await self._begin_call("watch", wait_s=wait_s)
        if self.history_is_gone:
            await deferLater(self.clock, TICK_S)
            raise HistoryGoneError("gone", step="watch", peer="store")
        end_s = self.clock.seconds() + wait_s
        while not self.loses_watches and self.clock.seconds() < end_s:
            changes = self.backend.changes_after(prefix, after_revision)
            if changes:
                break
            await deferLater(self.clock, TICK_S / 2)
        if self.loses_watches:
            await deferLater(self.clock, end_s + ANSWER_S - self.clock.seconds())
            raise PeerUnavailableError("lost", step="watch", peer="store")
        returned = self.backend.changes_after(prefix, after_revision) or []
        events = Events(changes=tuple(returned), revision=self.backend.revision)
        await self._transfer(events.changes)
        return events

    async def change(self, change: Change) -> int:
        """Make a change."""
        await self._begin_call("change")
        try:
            return self.backend.change(change)
        except ConditionError as error:
            raise ConflictError("condition", step="change", peer="store") from error

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease."""
        await self._begin_call("open_lease")
        return self.backend.open_lease(duration_s)

    async def renew_lease(self, lease_id: int) -> float:
        """Renew a lease."""
        await self._begin_call("renew_lease")
        try:
            return self.backend.renew_lease(lease_id)
        except UnknownLeaseError as error:
            raise LeaseEndedError("none", step="renew", peer="store") from error

    async def _transfer(self, changes: Sequence[Item | Removal]) -> None:
        """Wait while the values, encoded as base64, use this host's link."""
        values = [change.value for change in changes if isinstance(change, Item)]
        transfer_s = sum(len(value) for value in values) * 4 / 3 / self.bytes_per_s
        if transfer_s > 0:
            await deferLater(self.clock, transfer_s)

    async def _begin_call(self, call: str, *, wait_s: float = 0.0) -> None:
        self.calls.append(call)
        if self.refuses_calls:
            raise PeerUnavailableError("turned away", step=call, peer="store")
        if self.is_silent:
            await deferLater(self.clock, wait_s + ANSWER_S)
            raise PeerUnavailableError("silent", step=call, peer="store")


@dataclass
class Host:
    """One host's coordinator, address for other hosts and store connection."""

    coordinator: Coordinator
    address: str
    store: FakeStore

    def servers(self) -> list[str]:
        """Return the ids of the servers that this host has listed."""
        return sorted(entry.id for entry in self.coordinator.directory.all())


class Fleet:
    """Hosts that share one clock."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, hosts: int, *, net: LinkNet | None = None
    ) -> None:
        self.clock = Clock()
        self.clock.advance(100)
        self.net = net or LinkNet()
        self.items = Items(now_s=self.clock.seconds)
        self.stores: list[FakeStore] = []
        monkeypatch.setattr(_peers, "dial", self.net.dial)
        monkeypatch.setattr(_previous_leader, "dial", self.net.dial)
        monkeypatch.setattr(_peers, "NngListener", self.net.listen)
        monkeypatch.setattr(_coordinator, "PlatformStore", self._make_store)
        self.hosts = [self._host(number, seed=number) for number in range(hosts)]
        for host in self.hosts:
            host.coordinator.start()

    def _make_store(self, **_: Any) -> FakeStore:
        self.stores.append(FakeStore(backend=self.items, clock=self.clock))
        return self.stores[-1]

    def _host(self, number: int, *, seed: int) -> Host:
        ip = f"10.1.{number // 250}.{number % 250 + 1}"
        text = self._settings(number, ip)
        text = text.replace("10.1.0.18", ip).replace("lac-1", f"lac-{number}")
        settings = decode_host_settings(text, peer="test")
        coordinator = Coordinator(
            settings=settings,
            server_by_id=lambda name: None,
            reactor=self.clock,
            rng=Random(seed),
        )
        address = f"{ip}:{settings.first_internal_port}"
        return Host(coordinator=coordinator, address=address, store=self.stores[-1])

    def _settings(self, number: int, ip: str) -> str:
        """Return the settings of a host, with the address and name of the sample."""
        return SETTINGS

    def write(self, key: str, value: bytes) -> None:
        """Write an item, like an operator or a server."""
        self.items.change(Change(puts=(Put(key=key, value=value),)))

    def list_server(self, name: str) -> None:
        """Write the entry of a server."""
        self.write(f"servers/{name}", server_entry())

    def remove_server(self, name: str) -> None:
        """Remove the entry of a server."""
        self.items.change(Change(removals=(f"servers/{name}",)))

    def restart(self, host: Host, *, refuses_calls: bool) -> Host:
        """Replace a host's process by a new one."""
        host.coordinator.stop()
        number = self.hosts.index(host)
        # Each process draws another incarnation.
        restarted = self._host(number, seed=len(self.stores))
        self.hosts[number] = restarted
        restarted.store.refuses_calls = refuses_calls
        restarted.coordinator.start()
        return restarted

    def run(self, duration_s: float) -> None:
        """Advance the time of all hosts."""
        for _ in range(round(duration_s / TICK_S)):
            self.items.expire()
            for host in self.hosts:
                host.coordinator.tick()
            self.clock.advance(TICK_S)

    def leader(self) -> Host:
        """Return the host that leads."""
        (leader,) = [host for host in self.hosts if host.coordinator.leadership.leads]
        return leader

    def follower(self) -> Host:
        """Return a host that does not lead."""
        return next(
            host for host in self.hosts if not host.coordinator.leadership.leads
        )
