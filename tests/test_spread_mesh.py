"""The mesh on real sockets: restarts, a frozen peer and a half-open connection."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from random import Random
from typing import Any, final

import pytest
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from gentianwharf.errors import InputError
from gentianwharf.spread import Channel, PeerMesh
from gentianwharf.topology import Host

from .builders_platform import Loop

TICK_S = 0.05
ECHO = """
import sys
from random import Random
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from gentianwharf.spread import Channel, PeerMesh
from gentianwharf.topology import Host
own, other = sys.argv[1:]
mesh = PeerMesh(
    reactor=reactor,
    host=Host(id="ariana", domain="ariana", peer_address=own),
    rng=Random(),
)
mesh.set_peers([Host(id="lac", domain="lac", peer_address=other)])
channel = mesh.channel(Channel.SPREAD, lambda host_id, m: channel.send(host_id, m))
mesh.listen()
LoopingCall(mesh.tick).start(0.05)
print("listens", flush=True)
reactor.run()
"""


@final
class Forwarder(Protocol):
    """One end of a connection through a middlebox; drops data in case of lost state."""

    def __init__(self) -> None:
        self.buffered: list[bytes] = []
        self.other: Forwarder | None = None
        self.state_lost = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data, buffer it until the other end is connected, or drop it."""
        if self.state_lost:
            return
        if self.other is None:
            self.buffered.append(data)
            return
        transport = self.other.transport
        assert transport is not None
        transport.write(data)


@final
class Middlebox(Factory):
    """A middlebox between two hosts that can lose the state of its connections."""

    def __init__(self, *, loop: Loop, target: str) -> None:
        self._loop = loop
        self._target = target
        self._ends: list[Forwarder] = []
        self.connections = 0
        self.address = loop.listen(self)

    def lose_connections(self) -> None:
        """Lose the state of all current connections; later ones work."""
        for end in self._ends:
            end.state_lost = True

    def buildProtocol(self, addr: Any) -> Forwarder:  # noqa: N802
        """Accept a connection and open one to the target."""
        self.connections += 1
        near = Forwarder()
        ip, port = self._target.split(":")
        endpoint = TCP4ClientEndpoint(self._loop.reactor, ip, int(port))
        connecting = endpoint.connect(Factory.forProtocol(Forwarder))
        connecting.addCallback(lambda far: self._join(far, near))
        return near

    def _join(self, far: Any, near: Forwarder) -> None:
        near.other, far.other = far, near
        self._ends += [near, far]
        assert far.transport is not None
        for data in near.buffered:
            far.transport.write(data)


@final
class Meshes:
    """Meshes in one event loop, on free ports."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.open: list[PeerMesh] = []
        self.received: dict[str, list[bytes]] = {}
        self._next_s = 0.0

    def host(self, name: str, address: str | None = None) -> Host:
        """Build a host on a free port or a given address."""
        return Host(
            id=name, domain=name, peer_address=address or self.loop.free_address()
        )

    def start(self, host: Host, peers: list[Host]) -> PeerMesh:
        """Start a host's mesh."""
        mesh = PeerMesh(reactor=self.loop.reactor, host=host, rng=Random())
        mesh.set_peers(peers)
        received = self.received[host.id] = []
        mesh.channel(Channel.SPREAD, lambda _, message: received.append(message))
        mesh.listen()
        self.open.append(mesh)
        return mesh

    def send_until(self, mesh: PeerMesh, host_id: str, condition: Any) -> None:
        """Send a message each tick until the condition holds."""

        def holds() -> bool:
            now_s = self.loop.reactor.seconds()
            if now_s >= self._next_s:
                self._next_s = now_s + TICK_S
                mesh.send(host_id, b"x", channel=Channel.SPREAD)
                for one in self.open:
                    one.tick()
            return bool(condition())

        self.loop.run_until(holds)

    def close(self) -> None:
        """Close everything."""
        for mesh in self.open:
            mesh.close()
        self.loop.close()


@pytest.fixture
def meshes() -> Iterator[Meshes]:
    made = Meshes()
    yield made
    made.close()


def test_large_and_small_messages_arrive_in_order(meshes: Meshes) -> None:
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    lac, _ = (meshes.start(host, hosts) for host in hosts)
    sent = [b"small", b"x" * 1_000_000, b"last"]
    for message in sent:
        assert lac.send("ariana", message, channel=Channel.SPREAD)
    meshes.loop.run_until(lambda: len(meshes.received["ariana"]) == 3)
    assert meshes.received["ariana"] == sent


def test_address_in_use_is_an_error_that_names_it(meshes: Meshes) -> None:
    host = meshes.host("lac")
    meshes.start(host, [])
    with pytest.raises(InputError, match="can't listen") as caught:
        meshes.start(host, [])
    assert caught.value.peer == host.peer_address


def test_queue_to_a_peer_that_is_away_is_bounded(meshes: Meshes) -> None:
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    lac = meshes.start(hosts[0], hosts)
    taken = sum(
        lac.send("ariana", b"x" * 1_000, channel=Channel.SPREAD) for _ in range(1_000)
    )
    assert taken < 200
    assert lac.stats().links["ariana"].dropped == 1_000 - taken


def test_host_stops_and_starts_again_on_its_address(meshes: Meshes) -> None:
    """A host's process is restarted; its peers reconnect on their own."""
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    lac, ariana = (meshes.start(host, hosts) for host in hosts)
    meshes.send_until(lac, "ariana", lambda: meshes.received["ariana"])
    meshes.open.remove(ariana)
    ariana.close()
    meshes.start(hosts[1], hosts)
    meshes.send_until(lac, "ariana", lambda: meshes.received["ariana"])


def test_another_host_starts_on_the_address_of_a_stopped_one(meshes: Meshes) -> None:
    """A host is lost, and another one gets its address before the host list changes.

    Messages for the lost host reach the new one, which must not handle them.
    """
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    lac, ariana = (meshes.start(host, hosts) for host in hosts)
    meshes.send_until(lac, "ariana", lambda: meshes.received["ariana"])
    meshes.open.remove(ariana)
    ariana.close()
    other = meshes.start(meshes.host("charguia", hosts[1].peer_address), hosts)
    meshes.send_until(lac, "ariana", lambda: lac.is_silent("ariana"))
    assert meshes.received["charguia"] == []
    assert other.stats().for_another_host > 0


def test_peer_frozen_and_continued(meshes: Meshes) -> None:
    """A peer's process is stopped (SIGSTOP) with open connections, and continued."""
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    command = [sys.executable, "-c", ECHO]
    command += [hosts[1].peer_address, hosts[0].peer_address]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"listens\n"
        lac = meshes.start(hosts[0], hosts)
        meshes.send_until(lac, "ariana", lambda: meshes.received["lac"])
        process.send_signal(signal.SIGSTOP)
        meshes.send_until(lac, "ariana", lambda: lac.is_silent("ariana"))
        process.send_signal(signal.SIGCONT)
        meshes.received["lac"].clear()
        meshes.send_until(
            lac,
            "ariana",
            lambda: meshes.received["lac"] and not lac.is_silent("ariana"),
        )
    finally:
        process.kill()
        process.communicate()


def test_half_open_connection_is_replaced(meshes: Meshes) -> None:
    """A middlebox between two hosts loses the state of their connection.

    Data is lost without a reset while both ends keep the connection open; a new
    connection works.
    """
    hosts = [meshes.host("lac"), meshes.host("ariana")]
    middlebox = Middlebox(loop=meshes.loop, target=hosts[1].peer_address)
    through_middlebox = meshes.host("ariana", middlebox.address)
    lac = meshes.start(hosts[0], [hosts[0], through_middlebox])
    meshes.start(hosts[1], hosts)
    meshes.send_until(lac, "ariana", lambda: meshes.received["ariana"])
    middlebox.lose_connections()
    meshes.received["ariana"].clear()
    meshes.send_until(lac, "ariana", lambda: meshes.received["ariana"])
    assert lac.stats().links["ariana"].redials == 1
    assert middlebox.connections == 2
