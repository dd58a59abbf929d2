"""Addresses where one server instance follows another, for tests of ``keyspace``."""

from contextlib import suppress
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import (
    Grant,
    GrantManager,
    Holder,
    HolderEndedError,
    KeyTable,
    MaySend,
    OrderWithheldError,
    Release,
    Span,
)
from tests.builders_keyspace import SERVICE, TIMING, GrantingServer

SLOW_CLOCK = 1.02
STEP_S = 0.05


@dataclass(kw_only=True)
class Server:
    """One server instance; its grants and the tokens it has seen end with it."""

    holder: Holder
    grants: GrantingServer
    release_takes_s: float = 0.0
    late_s: float = 0.0
    answer_s: float = 0.0
    is_silent: bool = False
    granting: int = 0
    most_granting: int = 0


@dataclass
class Addresses:
    """The server that runs at each address, and all entries that were ever written.

    ``entries`` are in the order in which the instances started; hosts may receive them
    in any order.
    """

    clock: Clock
    running: dict[str, Server] = field(default_factory=dict)
    entries: list[Holder] = field(default_factory=list)

    def start(self, server_id: str, address: str, *, born_ms: int = 0) -> Holder:
        """Start a server instance at a free address."""
        assert address not in self.running
        holder = Holder(server_id=server_id, born_ms=born_ms, address=address)
        self.running[address] = Server(
            holder=holder, grants=GrantingServer(clock=self.clock, drift=SLOW_CLOCK)
        )
        self.entries.append(holder)
        return holder

    def end(self, address: str) -> None:
        """End the server at an address."""
        del self.running[address]

    def holders(self, shard: int) -> list[Holder]:
        """Return all instances that would execute a request of this shard now."""
        return [
            server.holder
            for server in self.running.values()
            if server.grants.holds(shard)
        ]


@dataclass
class OrderSender:
    """Sends one host's orders to servers; the path to an address may be cut.

    A connection is kept until an order on it is refused or not answered.
    """

    addresses: Addresses
    cut: set[str] = field(default_factory=set)
    connect_duration_s: float = 0.0
    """Time that it takes to open a connection."""
    _connected: dict[str, Server] = field(default_factory=dict)

    def close_connections(self) -> None:
        """Close the connections to all servers."""
        self._connected.clear()

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Send a grant to the server at the holder's address, if it is the holder."""
        server = await self._server(holder, may_send)
        clock = self.addresses.clock
        if server.is_silent:
            await self._lose(timeout_s)
        if server.late_s:
            clock.callLater(server.late_s, _apply_late, server, grant, clock.seconds())
            await self._lose(timeout_s)
        server.grants.apply_grant(grant)
        if server.answer_s:
            server.granting += 1
            server.most_granting = max(server.most_granting, server.granting)
            await self._pause(server.answer_s)
            server.granting -= 1
        self._connected[holder.address] = server

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Withdraw shards from the server at the holder's address."""
        server = await self._server(holder, may_send)
        if server.is_silent:
            await self._lose(timeout_s)
        server.grants.apply_release(release)
        if server.release_takes_s > timeout_s:
            await self._lose(timeout_s)
        if server.release_takes_s:
            await self._pause(server.release_takes_s)
        self._connected[holder.address] = server
        return "handover"

    async def _server(self, holder: Holder, may_send: MaySend) -> Server:
        known = self._connected.pop(holder.address, None)
        is_new = known is None or known is not self._running(holder)
        if not may_send(on_new_connection=is_new):
            if known is not None:
                self._connected[holder.address] = known
            raise OrderWithheldError("withheld", step="order", peer=holder.address)
        if is_new and self.connect_duration_s:
            await self._pause(self.connect_duration_s)
            if not may_send(on_new_connection=True):
                raise OrderWithheldError("withheld", step="order", peer=holder.address)
        server = self._running(holder)
        if server is None or holder.address in self.cut:
            raise PeerUnavailableError("unreachable", step="order", peer=holder.address)
        if server.holder.server_id != holder.server_id:
            raise HolderEndedError("another", step="order", peer=holder.address)
        return server

    def _running(self, holder: Holder) -> Server | None:
        return self.addresses.running.get(holder.address)

    async def _lose(self, timeout_s: float) -> None:
        await self._pause(timeout_s)
        raise OutcomeUnknownError("no answer", step="order", peer="server")

    def _pause(self, delay_s: float) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self.addresses.clock.callLater(delay_s, done.callback, None)
        return done


class WorkingServers:
    """Servers that share spans evenly; a release waits for the work at the first."""

    def __init__(self, *, servers: int, spans: int) -> None:
        self.clock = Clock()
        self.clock.advance(100)
        self.ever_unreachable: set[str] = set()
        self.is_moved = False
        self._addresses = Addresses(self.clock)
        self._holders = [
            self._addresses.start(f"s{number}", f"10.0.0.{number}:80")
            for number in range(servers)
        ]
        self._work_ends_s = 0.0
        self.manager = GrantManager(
            orders=self, timing=TIMING, now_s=self.clock.seconds
        )
        self.manager.take_over(self.clock.seconds(), held_s=0.0)
        self._sender = OrderSender(self._addresses)
        self._spans = [
            Span(first=n, last=n, holder=self._holders[n % servers], token=1)
            for n in range(spans)
        ]
        self._follow(token=1)

    @property
    def first(self) -> Server:
        """Return the first server."""
        return self._addresses.running[self._holders[0].address]

    def move_first(self, *, work_s: float) -> None:
        """Move the first span to another server; work on it takes ``work_s``."""
        self._work_ends_s = self.clock.seconds() + work_s
        former, holder = self._holders[:2]
        self._spans[0] = Span(
            first=0, last=0, holder=holder, token=2, former_holders=(former,)
        )
        self.manager.on_granted = self._note_granted
        self._follow(token=2)

    def _note_granted(self, service: str, span: Span) -> None:
        self.is_moved = self.is_moved or span.first == 0

    def run(self, duration_s: float) -> None:
        """Let the grant manager work."""
        for _ in range(round(duration_s / STEP_S)):
            self.manager.note_store_contact(self.clock.seconds())
            self.manager.tick()
            unreachable = self.manager.holders.unreachable()
            self.ever_unreachable |= {holder.server_id for holder in unreachable}
            self.clock.advance(STEP_S)

    def _follow(self, *, token: int) -> None:
        table = KeyTable(service=SERVICE, highest_token=token, spans=tuple(self._spans))
        self.manager.follow(table)

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Send a grant."""
        await self._sender.grant(holder, grant, timeout_s=timeout_s, may_send=may_send)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Send a release; a repeated one waits for the rest of the work."""
        rest_s = self._work_ends_s - self.clock.seconds()
        self.first.release_takes_s = max(0.0, rest_s)
        return await self._sender.release(
            holder, release, timeout_s=timeout_s, may_send=may_send
        )


def _apply_late(server: Server, grant: Grant, arrived_s: float) -> None:
    with suppress(RefusedError):
        server.grants.apply_grant(grant, arrived_s)
