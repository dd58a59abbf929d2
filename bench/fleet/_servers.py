"""Many backend servers in one process: ``python -m bench.fleet._servers``.

Orders come in on standard input, as lines of JSON; requests that reach the servers go
out on standard output in the same form.
"""

import sys
import time
from random import Random
from typing import Any, final
from weakref import WeakSet

import msgspec
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.internet.stdio import StandardIO
from twisted.internet.task import deferLater
from twisted.protocols.basic import LineOnlyReceiver

from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.platform import PlatformStore
from gentianwharf.platform.standin import Arrival, RequestRun, ServerSpec, StandInServer
from gentianwharf.store import Change, Store

from ._sheet import SERVICES, SLOTS, ServiceSpec, configuration, operators_address

LEASE_S = 600.0
ADDRESS_REUSE_S = 2.0
EXPIRY_S = 0.4
"""From the new server at an address to the end of the former one's entry."""

OUTPUT_BUFFER_BYTES = 65_536
FLUSH_INTERVAL_S = 0.5

reactor: Any = installed_reactor


class RuleMove(msgspec.Struct):
    """That the store acknowledged which service the rule that moves has."""

    moved: bool
    moved_at_s: float


class Order(msgspec.Struct, omit_defaults=True):
    """What the servers of a process are to do from now on.

    ``lost_share`` is the probability that an answer is lost, and ``rest_s`` the time
    for which servers refuse and ask for rest, 0 for none. ``reassigned_share`` of the
    servers end now, and others of another service get their addresses. ``service``
    limits the first two to one service. ``moves_rule`` writes a configuration in which
    a rule has another service, or its first one again.
    """

    lost_share: float | None = None
    rest_s: float | None = None
    reassigned_share: float | None = None
    service: str | None = None
    moves_rule: bool | None = None


@final
class _ListeningServer:
    """A server and its site, which can be ended as a crash ends it."""

    def __init__(self, server: StandInServer) -> None:
        self.server = server
        ip, _, port = server.spec.address.rpartition(":")
        self._channels: WeakSet[Any] = WeakSet()
        site = server.site()
        self._build_protocol = site.buildProtocol
        site.buildProtocol = self._track  # type: ignore[method-assign]
        self._port = reactor.listenTCP(int(port), site, interface=ip, backlog=600)

    def _track(self, address: Any) -> Any:
        channel = self._build_protocol(address)
        self._channels.add(channel)
        return channel

    def crash(self) -> None:
        self._port.stopListening()
        for channel in list(self._channels):
            if channel.transport is not None:
                channel.transport.abortConnection()


@final
class ServerGroup(LineOnlyReceiver):
    """Every server whose number has the remainder ``part`` by ``parts``."""

    delimiter = b"\n"

    def __init__(self, *, net: int, part: int, parts: int) -> None:
        self._rng = Random(part)
        self._part = part
        self._store: Store = PlatformStore(
            reactor=reactor, address=operators_address(net)
        )
        self._lease_id = 0
        self._servers: list[_ListeningServer] = []
        self._ended = 0
        self._version = 1
        self._output = open(  # noqa: SIM115
            sys.stdout.fileno(), "wb", buffering=OUTPUT_BUFFER_BYTES, closefd=False
        )
        for service in SERVICES:
            for number, address in enumerate(service.addresses(net)):
                if number % parts == part:
                    self._add(service, f"{service.name}-{number}", address)

    async def list_all(self) -> None:
        """Write the entries of all servers to the store."""
        if self._writes_rules:
            await self._write_rules(moved=False)
        self._lease_id = await self._store.open_lease(LEASE_S)
        for listening in self._servers:
            await self._list(listening.server)
        self._output.write(b"ready\n")
        self._flush()

    @property
    def _writes_rules(self) -> bool:
        return self._part == 0

    async def _write_rules(self, *, moved: bool) -> None:
        self._version += 1
        put = configuration(self._version, moved=moved)
        await self._store.change(Change(puts=(put,)))
        self._write(RuleMove(moved=moved, moved_at_s=reactor.seconds()))

    def _flush(self) -> None:
        self._output.flush()
        reactor.callLater(FLUSH_INTERVAL_S, self._flush)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Carry out an order."""
        order = msgspec.json.decode(line, type=Order)
        for listening in self._servers:
            server = listening.server
            if order.service not in (None, server.spec.service):
                continue
            if order.lost_share is not None:
                server.lost_share = order.lost_share
            if order.rest_s is not None:
                server.rest_s = order.rest_s or None
        if order.moves_rule is not None and self._writes_rules:
            Deferred.fromCoroutine(self._write_rules(moved=order.moves_rule))
        if order.reassigned_share:
            for listening in list(self._servers):
                if self._rng.random() < order.reassigned_share:
                    Deferred.fromCoroutine(self._reassign(listening))

    async def _reassign(self, former: _ListeningServer) -> None:
        self._servers.remove(former)
        former.crash()
        await deferLater(reactor, ADDRESS_REUSE_S)
        spec = former.server.spec
        others = [service for service in SERVICES if service.name != spec.service]
        self._ended += 1
        server_id = f"again-{self._part}-{self._ended}"
        server = self._add(self._rng.choice(others), server_id, spec.address)
        server.lost_share = former.server.lost_share
        await self._list(server)
        await deferLater(reactor, EXPIRY_S)
        entry = former.server.entry(self._lease_id)
        await self._store.change(Change(removals=(entry.key,)))

    async def _list(self, server: StandInServer) -> None:
        await self._store.change(Change(puts=(server.entry(self._lease_id),)))

    def _add(self, service: ServiceSpec, server_id: str, address: str) -> StandInServer:
        spec = ServerSpec(
            id=server_id,
            service=service.name,
            address=address,
            domain="abc"[len(self._servers) % 3],
            slots=SLOTS,
            work_s=service.work_s,
            born_ms=int(time.time() * 1000),
            reports_slowdown=True,
        )
        server = StandInServer(spec=spec, reactor=reactor, rng=self._rng)
        server.on_arrival = server.on_run = self._write
        self._servers.append(_ListeningServer(server))
        return server

    def _write(self, event: Arrival | RequestRun | RuleMove) -> None:
        self._output.write(msgspec.json.encode(event) + b"\n")


def main() -> None:
    """Serve until the process is ended; arguments are the net, the part, the parts."""
    use_monotonic_time(reactor)
    net, part, parts = (int(argument) for argument in sys.argv[1:])
    group = ServerGroup(net=net, part=part, parts=parts)
    StandardIO(group, reactor=reactor)
    listing = Deferred.fromCoroutine(group.list_all())
    listing.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
    reactor.run()


if __name__ == "__main__":
    main()
