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
from gentianwharf.keyspace import Grant, Holder, HolderEndedError, Release
from tests.builders_keyspace import GrantingServer

SLOW_CLOCK = 1.02


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
    """Sends one host's orders to servers; the path to an address may be cut."""

    addresses: Addresses
    cut: set[str] = field(default_factory=set)

    async def grant(self, holder: Holder, grant: Grant, *, timeout_s: float) -> None:
        """Send a grant to the server at the holder's address, if it is the holder."""
        server = self._server(holder)
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

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float
    ) -> str | None:
        """Withdraw shards from the server at the holder's address."""
        server = self._server(holder)
        if server.is_silent:
            await self._lose(timeout_s)
        server.grants.apply_release(release)
        if server.release_takes_s > timeout_s:
            await self._lose(timeout_s)
        if server.release_takes_s:
            await self._pause(server.release_takes_s)
        return "handover"

    def _server(self, holder: Holder) -> Server:
        server = self.addresses.running.get(holder.address)
        if server is None or holder.address in self.cut:
            raise PeerUnavailableError("unreachable", step="order", peer=holder.address)
        if server.holder.server_id != holder.server_id:
            raise HolderEndedError("another", step="order", peer=holder.address)
        return server

    async def _lose(self, timeout_s: float) -> None:
        await self._pause(timeout_s)
        raise OutcomeUnknownError("no answer", step="order", peer="server")

    def _pause(self, delay_s: float) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self.addresses.clock.callLater(delay_s, done.callback, None)
        return done


def _apply_late(server: Server, grant: Grant, arrived_s: float) -> None:
    with suppress(RefusedError):
        server.grants.apply_grant(grant, arrived_s)
