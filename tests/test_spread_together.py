"""Replication over the mesh on real sockets, with the store over HTTP."""

from collections.abc import Iterator
from random import Random
from typing import Any, final

import pytest
from twisted.internet.task import LoopingCall
from twisted.web.server import Site

from gentianwharf.infra import (
    Fault,
    FaultKind,
    FaultyStore,
    HttpStore,
    MemoryHostList,
    MemoryStore,
)
from gentianwharf.spread import Channel, PeerMesh, SpreadSystem
from gentianwharf.standin import StoreApp
from gentianwharf.topology import Host

from .builders_platform import Loop

TICK_S = 0.05
RULES = "gentianwharf/tunis/rules"
NAMES = ("lac-1", "lac-2", "lac-3", "lac-4")


@final
class RealHost:
    """The mesh and replication of a host, on the real clock."""

    def __init__(self, *, fleet: "Fleet", host: Host, listed: bool = True) -> None:
        self.mesh = PeerMesh(
            reactor=fleet.loop.reactor,
            host=host,
            rng=Random(),
            on_hosts=self._take_hosts,
        )
        self.store = HttpStore(
            reactor=fleet.loop.reactor, url=fleet.url, call_timeout_s=1
        )
        self.spread = SpreadSystem(
            host=host,
            clock=fleet.loop.reactor,
            store=self.store,
            peers=self.mesh.channel(Channel.SPREAD, self._received),
            prefixes=[RULES],
            on_value=lambda value: None,
            rng=Random(),
        )
        if listed:
            self._take_hosts(tuple(fleet.hosts))
        self.mesh.listen()
        self._loop = LoopingCall(self._tick)
        self._loop.clock = fleet.loop.reactor
        self._loop.start(TICK_S)

    def holds(self, value: bytes) -> bool:
        """Return whether this host is ready and holds that value."""
        found = self.spread.value(RULES)
        return self.spread.ready and found is not None and found.value == value

    def close(self) -> None:
        """Stop the host as when its process ends."""
        self._loop.stop()
        self.spread.close()
        self.mesh.close()

    def _take_hosts(self, hosts: tuple[Host, ...]) -> None:
        self.mesh.set_peers(hosts)
        self.spread.set_hosts(hosts)

    def _received(self, host_id: str, message: bytes) -> None:
        self.spread.received(host_id, message)

    def _tick(self) -> None:
        self.mesh.tick()
        self.spread.tick()


@final
class Fleet:
    """Four hosts of a failure domain, and a store that can be down."""

    def __init__(self) -> None:
        self.loop = Loop()
        reactor = self.loop.reactor
        self.memory = MemoryStore(clock=reactor)
        self.faulty = FaultyStore(store=self.memory, clock=reactor, rng=Random(1))
        app = StoreApp(store=self.faulty, hosts=MemoryHostList(clock=reactor))
        self.url = f"http://{self.loop.listen(Site(app.resource(), reactor=reactor))}"
        self.hosts = [
            Host(id=name, domain="lac", peer_address=self.loop.free_address())
            for name in NAMES
        ]
        self.running: dict[str, RealHost] = {}
        for host in self.hosts:
            self.start(host)

    def start(self, host: Host, *, listed: bool = True) -> RealHost:
        """Start a host, or restart it with empty state."""
        if host.id in self.running:
            self.running.pop(host.id).close()
        self.running[host.id] = RealHost(fleet=self, host=host, listed=listed)
        return self.running[host.id]

    def write(self, value: bytes, *, revision: int) -> None:
        """Change the rules."""
        self.loop.run(
            self.memory.compare_and_swap(RULES, value, expected_revision=revision)
        )

    def wait_for(self, value: bytes) -> None:
        """Run until every host holds a value."""
        self.loop.run_until(
            lambda: all(one.holds(value) for one in self.running.values())
        )

    def watching(self) -> list[RealHost]:
        """Return the hosts that watch the store."""
        return [one for one in self.running.values() if one.spread.state().watching]

    def close(self) -> None:
        """Stop everything."""
        for one in self.running.values():
            one.close()
        self.loop.close()


@pytest.fixture
def fleet() -> Iterator[Any]:
    made = Fleet()
    yield made
    made.close()


def test_changes_and_a_restart_in_an_outage_over_real_sockets(fleet: Fleet) -> None:
    """Rules change twice, the store goes down, and replaced hosts must catch up."""
    fleet.write(b"first" * 10_000, revision=0)
    fleet.wait_for(b"first" * 10_000)
    fleet.write(b"second" * 10_000, revision=1)
    fleet.wait_for(b"second" * 10_000)
    fleet.faulty.faults.append(Fault(kind=FaultKind.DOWN))
    for host in fleet.hosts[:2]:
        fleet.start(host)
        fleet.wait_for(b"second" * 10_000)
    fleet.faulty.faults.clear()
    fleet.write(b"third", revision=2)
    fleet.wait_for(b"third")
    # Standby watchers start when the last store contact is too old, and stop later.
    fleet.loop.run_until(lambda: len(fleet.watching()) == 2)


def test_host_replaced_while_store_and_list_are_out_of_reach(fleet: Fleet) -> None:
    """A failure domain is cut off from the platform, and one of its hosts is replaced.

    The host gets the rules and the host list from the peers that still list it.
    """
    fleet.write(b"rules", revision=0)
    fleet.wait_for(b"rules")
    fleet.faulty.faults.append(Fault(kind=FaultKind.DOWN))
    fleet.start(fleet.hosts[0], listed=False)
    fleet.wait_for(b"rules")
