"""Many backend servers in one process: ``python -m bench.fleet._servers``.

Orders come in on standard input, as lines of JSON; requests that reach the servers go
out on standard output in the same form.
"""

import sys
import time
from collections.abc import Coroutine
from functools import partial
from random import Random
from typing import Any, final
from weakref import WeakSet

import msgspec
from soak._link_buffer import LinkBuffer
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, DeferredLock
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.stdio import StandardIO
from twisted.internet.task import deferLater
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from twisted.web.server import Request

from gentianwharf.errors import OutcomeUnknownError, PeerUnavailableError
from gentianwharf.lifecycle import use_monotonic_time
from gentianwharf.platform import PlatformStore
from gentianwharf.platform.standin import (
    Arrival,
    BodyReport,
    Rejections,
    RequestRun,
    ServerSpec,
    StandInServer,
)
from gentianwharf.store import Change, Store

from ._orders import (
    AddressReassigned,
    EndManner,
    HeldBytes,
    Order,
    RuleMove,
    ServerEnd,
)
from ._sheet import (
    CRASH_PATH,
    EARLY_SHARE,
    SHEETS,
    ServiceSpec,
    Sheet,
    configuration,
    operators_address,
)

LEASE_S = 600.0
ADDRESS_REUSE_S = 2.0
EXPIRY_S = 0.4
"""From the new server at an address to the end of the former one's entry."""

CRASH_DELAY_S = 0.1
"""From the begin of a run that ends its server to the end."""

RESTART_S = 4.0
ENTRY_LAPSE_S = 2.4
"""From the end of a server to the end of its entry, unless it is back by then."""

PROXY_CLOSE_DELAY_S = 0.3
"""For which a proxy keeps the connections of a server that has ended."""

ROLLING_GAP_S = 0.3
STORE_RETRY_S = 0.5

OUTPUT_BUFFER_BYTES = 65_536
FLUSH_INTERVAL_S = 0.5

reactor: Any = installed_reactor


class _ClosingProtocol(Protocol):
    """Accepts a connection for a server that has ended, and closes it."""

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        reactor.callLater(PROXY_CLOSE_DELAY_S, transport.abortConnection)


def _discard(*data: object) -> None:
    """Write nothing, as a process does that is gone behind a silent link."""


def _same(value: Any) -> Any:
    return value


@final
class _ListeningServer:
    """A server and its site, which can be ended as a crash ends it."""

    def __init__(self, server: StandInServer) -> None:
        self.server = server
        self.link = LinkBuffer()
        self.has_ended = False
        ip, _, port = server.spec.address.rpartition(":")
        self._transports: WeakSet[Any] = WeakSet()
        site = server.site()
        self._build_protocol = site.buildProtocol
        site.buildProtocol = self._track  # type: ignore[method-assign]
        self._port = reactor.listenTCP(int(port), site, interface=ip, backlog=600)

    def _track(self, address: Any) -> Any:
        channel = self._build_protocol(address)
        connect = channel.makeConnection

        def make_connection(transport: Any) -> None:
            self._transports.add(transport)
            # Also known of a connection that ends while its link holds bytes.
            transport.getHost = partial(_same, transport.getHost())
            transport.getPeer = partial(_same, transport.getPeer())
            connect(transport)

        receive, lose = channel.dataReceived, channel.connectionLost
        channel.makeConnection = make_connection
        channel.dataReceived = lambda data: self.link.carry(partial(receive, data))
        channel.connectionLost = lambda reason: self.link.carry(partial(lose, reason))
        return channel

    def crash(self, manner: EndManner = EndManner.REFUSING) -> None:
        self.has_ended = True
        if manner is EndManner.PROXIED:
            self._port.factory = Factory.forProtocol(_ClosingProtocol)
            reactor.callLater(RESTART_S - PROXY_CLOSE_DELAY_S, self._port.stopListening)
        else:
            self._port.stopListening()
        if manner is EndManner.SILENT:
            for transport in list(self._transports):
                transport.write = transport.writeSequence = _discard
                transport.loseConnection = _discard
                reactor.callLater(RESTART_S, transport.abortConnection)
            return
        for transport in list(self._transports):
            transport.abortConnection()


@final
class ServerGroup(LineOnlyReceiver):
    """Every server whose number has the remainder ``part`` by ``parts``."""

    delimiter = b"\n"

    def __init__(self, *, sheet: Sheet, net: int, part: int, parts: int) -> None:
        self._sheet = sheet
        self._rng = Random(part)
        self._part = part
        self._store: Store = PlatformStore(
            reactor=reactor, address=operators_address(net)
        )
        self._lease_id = 0
        self._servers: list[_ListeningServer] = []
        self._ended = 0
        self._version = 1
        self._is_moved = False
        self._added_paths: list[str] = []
        self._rules_lock = DeferredLock()
        self._end_manner = EndManner.REFUSING
        self._end_manner_share = 1.0
        self._rejections = Rejections(part=CRASH_PATH.encode(), rng=self._rng)
        self.has_failed = False
        self._output = open(  # noqa: SIM115
            sys.stdout.fileno(), "wb", buffering=OUTPUT_BUFFER_BYTES, closefd=False
        )
        for service in sheet.services:
            for number, address in enumerate(sheet.addresses(service, net)):
                if number % parts == part:
                    self._add(service, f"{service.name}-{number}", address)

    def start(self) -> None:
        """Write the entries of all servers to the store."""
        self._start(self._list_all())

    async def _list_all(self) -> None:
        self._lease_id = await self._store.open_lease(LEASE_S)
        if self._writes_rules:
            await self._write_rules()
        for listening in self._servers:
            await self._list(listening.server)
        self._output.write(b"ready\n")
        self._flush()

    @property
    def _writes_rules(self) -> bool:
        return self._part == 0

    async def _write_rules(
        self, *, moved: bool | None = None, added: int | None = None
    ) -> None:
        """Write a version of the rules once all earlier ones are acknowledged."""
        await self._rules_lock.acquire()
        try:
            self._version += 1
            version = self._version
            self._is_moved = self._is_moved if moved is None else moved
            if added is not None:
                self._added_paths = [f"/{version}-{number}/" for number in range(added)]
            put = configuration(
                self._sheet,
                version,
                moved=self._is_moved,
                added_paths=self._added_paths,
            )
            await self._change(Change(puts=(put,)))
            move = RuleMove(
                moved=self._is_moved, moved_at_s=reactor.seconds(), version=version
            )
            self._write(move)
        finally:
            self._rules_lock.release()

    async def _change(self, change: Change) -> None:
        """Make a change of the store, again and again while it is down."""
        while True:
            try:
                await self._store.change(change)
            except (OutcomeUnknownError, PeerUnavailableError):
                await deferLater(reactor, STORE_RETRY_S)
            else:
                return

    def _flush(self) -> None:
        self._output.flush()
        reactor.callLater(FLUSH_INTERVAL_S, self._flush)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Carry out an order."""
        order = msgspec.json.decode(line, type=Order)
        if order.end_manner is not None:
            self._end_manner = order.end_manner
            self._end_manner_share = order.end_manner_share
        if order.refused_share is not None:
            self._rejections.refused_share = order.refused_share
        if order.failed_share is not None:
            self._rejections.failed_share = order.failed_share
        for listening in self._servers:
            server = listening.server
            if order.service not in (None, server.spec.service):
                continue
            if order.lost_share is not None:
                server.lost_share = order.lost_share
            if order.rest_s is not None:
                server.rest_s = order.rest_s or None
        if order.held_share is not None:
            self._hold_links(order.held_share, order.service)
        if order.moves_rule is not None and self._writes_rules:
            self._start(self._write_rules(moved=order.moves_rule))
        if order.added_rules is not None and self._writes_rules:
            self._start(self._write_rules(added=order.added_rules))
        if order.reassigned_share:
            for listening in self._some_servers(order.reassigned_share):
                self._start(self._reassign(listening))
        if order.ended_share:
            ended = self._some_servers(order.ended_share)
            for number, listening in enumerate(ended):
                delay_s = number * ROLLING_GAP_S if order.is_rolling else 0.0
                self._start(self._restart(listening, delay_s=delay_s))

    def _hold_links(self, share: float, service: str | None) -> None:
        for listening in self._servers:
            if service not in (None, listening.server.spec.service):
                continue
            if share and self._rng.random() < share:
                listening.link.hold()
                continue
            delivered_at_s = reactor.seconds()
            pieces = listening.link.release()
            if pieces:
                held = HeldBytes(
                    server=listening.server.spec.id,
                    delivered_at_s=delivered_at_s,
                    pieces=pieces,
                )
                self._write(held)

    def _some_servers(self, share: float) -> list[_ListeningServer]:
        return [server for server in self._servers if self._rng.random() < share]

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start work whose failure ends the process with an error."""
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: Failure) -> None:
        print(failure.getTraceback(), file=sys.stderr, flush=True)
        self.has_failed = True
        self._output.flush()
        reactor.stop()

    def _end(self, listening: _ListeningServer, *, by_request: bool) -> None:
        self._servers.remove(listening)
        is_other = by_request and self._rng.random() < self._end_manner_share
        listening.crash(self._end_manner if is_other else EndManner.REFUSING)
        self._write(
            ServerEnd(
                server=listening.server.spec.id,
                ended_at_s=reactor.seconds(),
                by_request=by_request,
            )
        )

    async def _restart(
        self,
        former: _ListeningServer,
        *,
        delay_s: float,
        by_request: bool = False,
    ) -> None:
        """End a server, and start it again under its id and address."""
        await deferLater(reactor, delay_s)
        if former.has_ended:
            return
        self._end(former, by_request=by_request)
        await deferLater(reactor, ENTRY_LAPSE_S)
        entry = former.server.entry(self._lease_id)
        await self._change(Change(removals=(entry.key,)))
        await deferLater(reactor, RESTART_S - ENTRY_LAPSE_S)
        spec = former.server.spec
        services = self._sheet.services
        service = next(known for known in services if known.name == spec.service)
        server = self._add(service, spec.id, spec.address)
        server.lost_share = former.server.lost_share
        await self._list(server)

    def _end_if_crashing(self, listening: _ListeningServer, request: Request) -> None:
        if request.path.startswith(CRASH_PATH.encode()):
            self._start(
                self._restart(listening, delay_s=CRASH_DELAY_S, by_request=True)
            )

    async def _reassign(self, former: _ListeningServer) -> None:
        self._end(former, by_request=False)
        await deferLater(reactor, ADDRESS_REUSE_S)
        spec = former.server.spec
        services = self._sheet.services
        others = [service for service in services if service.name != spec.service]
        self._ended += 1
        server_id = f"again-{self._part}-{self._ended}"
        server = self._add(self._rng.choice(others), server_id, spec.address)
        server.lost_share = former.server.lost_share
        self._write(
            AddressReassigned(address=spec.address, reassigned_at_s=reactor.seconds())
        )
        await self._list(server)
        await deferLater(reactor, EXPIRY_S)
        entry = former.server.entry(self._lease_id)
        await self._change(Change(removals=(entry.key,)))

    async def _list(self, server: StandInServer) -> None:
        await self._change(Change(puts=(server.entry(self._lease_id),)))

    def _add(self, service: ServiceSpec, server_id: str, address: str) -> StandInServer:
        spec = ServerSpec(
            id=server_id,
            service=service.name,
            address=address,
            domain="abc"[len(self._servers) % 3],
            slots=self._sheet.slots,
            work_s=service.work_s,
            born_ms=int(time.time() * 1000),
            reports_slowdown=True,
            early_share=EARLY_SHARE,
        )
        server = StandInServer(spec=spec, reactor=reactor, rng=self._rng)
        server.on_arrival = server.on_run = server.on_body = self._write
        listening = _ListeningServer(server)
        server.rejection = self._rejections.status
        server.on_begin = lambda request: self._end_if_crashing(listening, request)
        self._servers.append(listening)
        return server

    def _write(
        self,
        event: (
            Arrival
            | RequestRun
            | BodyReport
            | RuleMove
            | ServerEnd
            | AddressReassigned
            | HeldBytes
        ),
    ) -> None:
        self._output.write(msgspec.json.encode(event) + b"\n")


def main() -> None:
    """Serve until the process is ended.

    Arguments are the net, the part, the parts and the name of the sheet.
    """
    use_monotonic_time(reactor)
    net, part, parts = (int(argument) for argument in sys.argv[1:4])
    group = ServerGroup(sheet=SHEETS[sys.argv[4]], net=net, part=part, parts=parts)
    StandardIO(group, reactor=reactor)
    group.start()
    reactor.run()
    sys.exit(group.has_failed)


if __name__ == "__main__":
    main()
