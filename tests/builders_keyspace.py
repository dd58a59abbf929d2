"""Servers that enforce grants, a store and a clock, for tests of ``keyspace``."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import (
    Candidate,
    Grant,
    GrantManager,
    GrantTiming,
    Holder,
    HolderEndedError,
    KeyTable,
    MaySend,
    OrderWithheldError,
    Release,
    Span,
)
from gentianwharf.keyspace._timing import LEADER_LEASE_S, MARGIN_S

SHARDS = 1000
SERVICE = "roster"
LEADER_KEY = "leader"
PREVIOUS_LEADER_KEY = "former"
TABLE_PREFIX = "keys/"
TABLE_KEY = TABLE_PREFIX + SERVICE
TIMING = GrantTiming(longest_grant_s=10.0)
ESTABLISHED_S = LEADER_LEASE_S + MARGIN_S
"""Time after its claim from which a leader releases shards at any server."""


def holder(number: int, *, born_ms: int = 1) -> Holder:
    """Return one server instance."""
    return Holder(
        server_id=f"s{number}", born_ms=born_ms, address=f"10.0.0.{number}:80"
    )


def candidate(number: int, *, capacity: float = 1.0, born_ms: int = 1) -> Candidate:
    """Return a server that may hold shards."""
    return Candidate(holder=holder(number, born_ms=born_ms), capacity=capacity)


def span(
    first: int,
    last: int,
    number: int,
    *,
    token: int = 1,
    former_holders: tuple[int, ...] = (),
) -> Span:
    """Return a span of server ``number``."""
    return Span(
        first=first,
        last=last,
        holder=holder(number),
        token=token,
        former_holders=tuple(holder(former) for former in former_holders),
    )


def table(*spans: Span, highest_token: int = 1) -> KeyTable:
    """Return a table of the tests' service."""
    return KeyTable(service=SERVICE, highest_token=highest_token, spans=spans)


@dataclass
class GrantingServer:
    """A server that executes requests of a shard only while it has a grant for it.

    ``tokens`` are the highest ones seen, by shard. ``held`` is when the grant of each
    shard expires by this server's own clock, which may run slow.
    """

    clock: Clock
    id: str = ""
    drift: float = 1.0
    tokens: dict[int, int] = field(default_factory=dict)
    held: dict[int, tuple[int, float]] = field(default_factory=dict)
    release_takes_s: float = 0.0
    is_silent: bool = False
    is_unreachable: bool = False
    loses_answers: bool = False
    late_s: float = 0.0
    orders: list[Grant | Release] = field(default_factory=list)

    def holds(self, shard: int) -> bool:
        """Whether it would execute a request of this shard now."""
        _, until_s = self.held.get(shard, (0, 0.0))
        return self.clock.seconds() < until_s

    def apply_grant(self, grant: Grant, arrived_s: float | None = None) -> None:
        """Apply a grant, or refuse it; its duration counts from its arrival."""
        shards = range(grant.first, grant.last + 1)
        if any(self.tokens.get(shard, 0) > grant.token for shard in shards):
            raise RefusedError("higher token", step="grant", peer="server")
        if arrived_s is None:
            arrived_s = self.clock.seconds()
        until_s = arrived_s + grant.duration_s * self.drift
        for shard in shards:
            self.tokens[shard] = grant.token
            self.held[shard] = (grant.token, until_s)

    def apply_release(self, release: Release) -> None:
        """Stop new work on some shards."""
        for shard in range(release.first, release.last + 1):
            self.tokens[shard] = max(release.token, self.tokens.get(shard, 0))
            self.held.pop(shard, None)


def may_always_send(*, on_new_connection: bool) -> bool:
    """Allow every order."""
    return True


class Servers:
    """Sends orders to ``GrantingServer``s, by their addresses.

    Every order is sent on an existing connection.
    """

    def __init__(self, clock: Clock, *numbers: int) -> None:
        self.clock = clock
        self.by_address = {
            holder(number).address: GrantingServer(clock=clock) for number in numbers
        }
        self.is_sender_paused = False
        """Whether grants are neither written nor time out until ``resume_sender``."""
        self._unwritten: list[tuple[GrantingServer, Grant]] = []
        self._unanswered: list[Deferred[None]] = []

    def __getitem__(self, number: int) -> GrantingServer:
        """Return server ``number``."""
        return self.by_address[holder(number).address]

    def holders(self, shard: int) -> list[str]:
        """Return the addresses of all servers that hold a shard."""
        return [
            address
            for address, server in self.by_address.items()
            if server.holds(shard)
        ]

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Send a grant, unless the server is silent."""
        address = holder.address
        server = self._server(holder, may_send)
        if server.is_unreachable:
            raise PeerUnavailableError("unreachable", step="grant", peer=address)
        server.orders.append(grant)
        if self.is_sender_paused:
            self._unwritten.append((server, grant))
            await self._wait_for_cancellation()
        if server.is_silent:
            await self._lose_answer(timeout_s)
        if server.late_s:
            self.clock.callLater(
                server.late_s, self._apply_late, server, grant, self.clock.seconds()
            )
            await self._lose_answer(timeout_s)
        server.apply_grant(grant)
        if server.loses_answers:
            await self._lose_answer(timeout_s)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Send a release, unless the server is silent."""
        address = holder.address
        server = self._server(holder, may_send)
        if server.is_unreachable:
            raise PeerUnavailableError("unreachable", step="release", peer=address)
        server.orders.append(release)
        if server.is_silent:
            await self._lose_answer(timeout_s)
        server.apply_release(release)
        if server.release_takes_s:
            await self._pause(min(server.release_takes_s, timeout_s))
        return f"handover of {address}"

    def resume_sender(self) -> None:
        """Write the grants of a sender that was paused, before their calls end."""
        self.is_sender_paused = False
        for server, grant in self._unwritten:
            server.apply_grant(grant)
        self._unwritten.clear()

    def time_out_calls(self) -> None:
        """End the calls of a sender that was paused, as its timers do."""
        calls, self._unanswered = self._unanswered, []
        for call in calls:
            call.cancel()

    async def _wait_for_cancellation(self) -> None:
        call: Deferred[None] = Deferred()
        self._unanswered.append(call)
        try:
            await call
        except CancelledError as error:
            raise OutcomeUnknownError("cancelled", step="order", peer="server") from (
                error
            )

    def _apply_late(
        self, server: GrantingServer, grant: Grant, arrived_s: float
    ) -> None:
        with suppress(RefusedError):
            server.apply_grant(grant, arrived_s)

    def _server(self, holder: Holder, may_send: MaySend) -> GrantingServer:
        server = self.by_address[holder.address]
        if not may_send(on_new_connection=False):
            raise OrderWithheldError("withheld", step="order", peer=holder.address)
        if server.id and server.id != holder.server_id:
            raise HolderEndedError("another server", step="order", peer=holder.address)
        return server

    async def _lose_answer(self, timeout_s: float) -> None:
        await self._pause(timeout_s)
        raise OutcomeUnknownError("no answer", step="order", peer="server")

    def _pause(self, delay_s: float) -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        self.clock.callLater(delay_s, done.callback, None)
        return done


def manager_of(
    servers: Servers,
    *,
    led_for_s: float = ESTABLISHED_S,
    granted: Callable[[str, Span], None] | None = None,
) -> GrantManager:
    """Return a grant manager of a host that has led for a time and grants from now."""
    clock = servers.clock
    manager = GrantManager(orders=servers, timing=TIMING, now_s=clock.seconds)
    if granted is not None:
        manager.on_granted = granted
    now_s = clock.seconds()
    manager.take_over(now_s, leading_since_s=now_s - led_for_s)
    return manager


def run_manager(
    manager: GrantManager,
    clock: Clock,
    duration_s: float,
    *,
    check: Callable[[], None] = lambda: None,
    store_contact: bool = True,
) -> None:
    """Let a grant manager work, in contact with the store unless stated otherwise."""
    for _ in range(round(duration_s / 0.05)):
        if store_contact:
            manager.note_store_contact(clock.seconds())
        manager.tick()
        check()
        clock.advance(0.05)
