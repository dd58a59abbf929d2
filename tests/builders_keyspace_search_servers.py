"""Servers that enforce grants, the links to them, and the three rules of their owners.

The rules are checked whenever a server takes a shard or a grant is renewed:

- No shard has two live holders, by the clocks of the servers.
- A server takes a shard only with a token above all with which others had it. The same
  grant again is no taking, and a grant whose time has passed takes nothing.
- No server gets a shard on which another still works after a release, within the time
  of that one's grant.

Not counted, as agreed with the platform:

- for the first rule a grant that arrived within ``THAW_SLACK_S`` after the pause of its
  sender, or a cut of the link that it took;
- for the third rule also a grant that was held up on its way or carried out late.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock

from gentianwharf.errors import (
    GentianwharfError,
    OutcomeUnknownError,
    PeerUnavailableError,
    RefusedError,
)
from gentianwharf.keyspace import (
    Grant,
    Holder,
    HolderEndedError,
    MaySend,
    OrderWithheldError,
    Release,
)
from tests.builders_keyspace_search_loop import Loop

THAW_SLACK_S = 0.3
CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 8.0
MAX_HELD_UP_S = 0.25
"""How long after the healing of a link the bytes that it held up arrive."""


class OwnerRuleError(AssertionError):
    """A rule of the owners of shards was broken."""


@dataclass(kw_only=True, slots=True)
class Hold:
    """One server's hold of a shard; ``counted_until_s`` leaves out excused grants."""

    token: int
    until_s: float
    counted_until_s: float


@dataclass(kw_only=True, eq=False)
class SearchServer:
    """One life of a server. It measures grants by a clock that may run slow."""

    holder: Holder
    drift: float
    shortens: bool
    """Whether a renewal with a shorter duration ends the hold earlier."""
    tokens: dict[int, int] = field(default_factory=dict)
    held: dict[int, Hold] = field(default_factory=dict)
    working_until_s: dict[int, float] = field(default_factory=dict)
    is_late: bool = False
    loses_answers: bool = False
    release_takes_s: float = 0.0

    def holds(self, shard: int, now_s: float) -> bool:
        """Whether it would execute a request of this shard."""
        hold = self.held.get(shard)
        return hold is not None and now_s < hold.until_s


@dataclass(kw_only=True, eq=False)
class Link:
    """The path from one host to one address, which may be cut in each direction."""

    delivers_orders: bool = True
    delivers_answers: bool = True
    healed_s: float = float("-inf")
    late_s: float = 0.0
    held_up: list[Callable[[], None]] = field(default_factory=list)

    @property
    def is_whole(self) -> bool:
        """Whether both directions work."""
        return self.delivers_orders and self.delivers_answers


class Fleet:
    """All servers by their addresses, and the check of the rules."""

    checks_instance = True
    """Whether servers refuse orders to an instance other than themselves."""

    def __init__(self, *, clock: Clock, rng: Random) -> None:
        self.clock = clock
        self.rng = rng
        self.running: dict[str, SearchServer] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.log: Callable[[str], None] = lambda text: None
        self._had: dict[int, dict[str, int]] = {}
        """The latest token of each shard by server id; restarts keep the id."""

    def link(self, host: str, address: str) -> Link:
        """Return the link from a host to an address."""
        return self.links.setdefault((host, address), Link())

    def heal(self, link: Link) -> None:
        """Restore both directions; what was held up arrives soon."""
        if not link.is_whole:
            link.healed_s = self.clock.seconds()
        link.delivers_orders = link.delivers_answers = True
        for deliver in link.held_up:
            self.clock.callLater(self.rng.uniform(0.0, MAX_HELD_UP_S), deliver)
        link.held_up.clear()

    def holders(self, shard: int) -> list[str]:
        """Return the ids of all servers that hold a shard."""
        now_s = self.clock.seconds()
        return [
            server.holder.server_id
            for server in self.running.values()
            if server.holds(shard, now_s)
        ]

    def apply_grant(
        self,
        server: SearchServer,
        grant: Grant,
        *,
        arrived_s: float,
        is_excused: bool,
        is_held_up: bool,
    ) -> None:
        """Apply a grant, or refuse it; its duration counts from its arrival."""
        shards = range(grant.first, grant.last + 1)
        if any(server.tokens.get(shard, 0) > grant.token for shard in shards):
            raise RefusedError("higher token", step="grant", peer="server")
        now_s = self.clock.seconds()
        until_s = arrived_s + grant.duration_s * server.drift
        for shard in shards:
            server.tokens[shard] = grant.token
            hold = server.held.get(shard)
            if until_s <= now_s:
                continue
            self._check(server, shard, grant.token, is_excused, is_held_up)
            is_renewal = hold is not None and hold.token == grant.token
            if hold is None or not is_renewal:
                known_s = hold.counted_until_s if hold is not None else now_s
                counted_s = known_s if is_excused else until_s
                server.held[shard] = Hold(
                    token=grant.token, until_s=until_s, counted_until_s=counted_s
                )
            elif server.shortens:
                hold.until_s = until_s
                counted_s = min(hold.counted_until_s, until_s)
                hold.counted_until_s = counted_s if is_excused else until_s
            else:
                hold.until_s = max(hold.until_s, until_s)
                if not is_excused:
                    hold.counted_until_s = max(hold.counted_until_s, until_s)
            server.working_until_s.pop(shard, None)

    def apply_release(self, server: SearchServer, release: Release) -> float:
        """Stop new work on some shards; return when the running work ends."""
        now_s = self.clock.seconds()
        done_s = now_s
        for shard in range(release.first, release.last + 1):
            server.tokens[shard] = max(release.token, server.tokens.get(shard, 0))
            hold = server.held.pop(shard, None)
            if hold is not None and hold.counted_until_s > now_s:
                server.working_until_s[shard] = min(
                    hold.counted_until_s, now_s + server.release_takes_s
                )
            done_s = max(done_s, server.working_until_s.get(shard, 0.0))
        return done_s

    def _check(
        self,
        server: SearchServer,
        shard: int,
        token: int,
        is_excused: bool,
        is_held_up: bool,
    ) -> None:
        now_s = self.clock.seconds()
        name = server.holder.server_id
        for other in self.running.values():
            if other is server or is_excused:
                continue
            hold = other.held.get(shard)
            if hold is not None and hold.counted_until_s > now_s:
                self._break(
                    f"two holders: {name} takes shard {shard} with {token}, "
                    f"{other.holder.server_id} holds it with {hold.token} for "
                    f"{hold.counted_until_s - now_s:.3f} s"
                )
            if not is_held_up and other.working_until_s.get(shard, 0.0) > now_s:
                self._break(
                    f"still at work: {name} takes shard {shard} with {token}, "
                    f"{other.holder.server_id} works on it for "
                    f"{other.working_until_s[shard] - now_s:.3f} s"
                )
        had = self._had.setdefault(shard, {})
        if had.get(name) == token:
            return
        highest = max(
            (other_token for other, other_token in had.items() if other != name),
            default=0,
        )
        if token <= highest:
            self._break(
                f"low token: {name} takes shard {shard} with {token}, another had it "
                f"with {highest}"
            )
        had[name] = token

    def _break(self, text: str) -> None:
        raise OwnerRuleError(f"{self.clock.seconds():.3f}: {text}")


@dataclass(kw_only=True, eq=False)
class _Call:
    """One order on its way."""

    holder: Holder
    order: Grant | Release
    may_send: MaySend
    done: "Deferred[str | None]"
    server: SearchServer | None = None
    """The server at the other end of the connection."""
    is_written: bool = False
    sent_s: float = 0.0
    arrived_s: float = 0.0
    is_excused: bool = False
    is_held_up: bool = False
    """Whether a cut or the server delays it."""


class SearchOrders:
    """Sends one host's orders; each call has its timeout in the host's loop."""

    def __init__(self, *, fleet: Fleet, host: str, loop: Loop) -> None:
        self._fleet = fleet
        self._host = host
        self._loop = loop
        self._idle: dict[str, tuple[SearchServer, float]] = {}

    async def grant(
        self, holder: Holder, grant: Grant, *, timeout_s: float, may_send: MaySend
    ) -> None:
        """Send a grant."""
        await self._call(holder, grant, timeout_s, may_send)

    async def release(
        self, holder: Holder, release: Release, *, timeout_s: float, may_send: MaySend
    ) -> str | None:
        """Send a release."""
        return await self._call(holder, release, timeout_s, may_send)

    async def _call(
        self,
        holder: Holder,
        order: Grant | Release,
        timeout_s: float,
        may_send: MaySend,
    ) -> str | None:
        call = _Call(holder=holder, order=order, may_send=may_send, done=Deferred())
        timeout = self._loop.callLater(timeout_s, call.done.cancel)
        self._begin(call)
        try:
            return await call.done
        except CancelledError as error:
            # Cancellation resets the connection.
            if call.is_written:
                raise OutcomeUnknownError(
                    "no answer", step="order", peer=holder.address
                ) from error
            raise PeerUnavailableError(
                "not connected", step="order", peer=holder.address
            ) from error
        finally:
            if timeout.active():
                timeout.cancel()

    def _begin(self, call: _Call) -> None:
        address = call.holder.address
        link = self._fleet.link(self._host, address)
        server, used_s = self._idle.pop(address, (None, 0.0))
        is_open = self._loop.seconds() < used_s + IDLE_TIMEOUT_S
        # A connection whose other end has gone is closed, unless that is not heard.
        is_alive = server is self._fleet.running.get(address) or not link.is_whole
        if server is not None and is_open and is_alive:
            call.server = server
            self._write(call, on_new_connection=False)
            return
        if not call.may_send(on_new_connection=True):
            self._fail(call, OrderWithheldError)
            return
        if not link.is_whole:
            self._loop.callLater(
                CONNECT_TIMEOUT_S, self._fail, call, PeerUnavailableError
            )
            return

        def connect() -> None:
            call.server = self._fleet.running.get(address)
            if not link.is_whole:
                return
            if call.server is None:
                self._loop.post(lambda: self._fail(call, PeerUnavailableError))
            else:
                self._loop.post(lambda: self._write(call, on_new_connection=True))

        self._fleet.clock.callLater(self._latency_s(link), connect)

    def _write(self, call: _Call, *, on_new_connection: bool) -> None:
        if call.done.called:
            return
        if not call.may_send(on_new_connection=on_new_connection):
            self._fail(call, OrderWithheldError)
            return
        call.is_written = True
        self._loop.write(lambda: self._send(call))

    def _send(self, call: _Call) -> None:
        if call.done.called:
            return
        call.sent_s = self._fleet.clock.seconds()
        link = self._fleet.link(self._host, call.holder.address)
        if link.delivers_orders:
            self._fleet.clock.callLater(self._latency_s(link), self._arrive, call, link)
            return
        call.is_held_up = True
        link.held_up.append(lambda: self._arrive_late(call, link))

    def _arrive_late(self, call: _Call, link: Link) -> None:
        """Deliver what a cut has held up, unless the connection was reset."""
        is_reset = call.done.called
        if not self._loop.is_alive:
            # The host's kernel goes on sending what an ended process has written.
            is_reset = is_reset or self._fleet.rng.random() < 0.5
        if not is_reset:
            self._arrive(call, link)

    def _arrive(self, call: _Call, link: Link) -> None:
        server = self._fleet.running.get(call.holder.address)
        if server is None or server is not call.server:
            self._answer(link, lambda: self._fail(call, OutcomeUnknownError))
            return
        arrived_s = call.arrived_s = self._fleet.clock.seconds()
        since_s = arrived_s - max(self._loop.resumed_s, link.healed_s)
        call.is_excused = since_s <= THAW_SLACK_S
        if server.is_late:
            late_s = self._fleet.rng.uniform(2.0, 12.0)
            call.is_held_up = True
            self._fleet.clock.callLater(late_s, self._execute, call, link, server, True)
            return
        self._execute(call, link, server, False)

    def _execute(
        self,
        call: _Call,
        link: Link,
        server: SearchServer,
        is_late: bool,
    ) -> None:
        fleet, order = self._fleet, call.order
        if fleet.running.get(server.holder.address) is not server:
            return
        if call.holder.server_id != server.holder.server_id and fleet.checks_instance:
            self._answer(link, lambda: self._fail(call, HolderEndedError))
            return
        fleet.log(f"{self._host} -> {server.holder.server_id}: {order} {is_late=}")
        is_lost = is_late or server.loses_answers
        if isinstance(order, Release):
            done_s = fleet.apply_release(server, order)
            if not is_lost:
                handover = f"{server.holder.server_id}-{fleet.clock.seconds():.6f}"
                fleet.clock.callLater(
                    done_s - fleet.clock.seconds(),
                    self._answer,
                    link,
                    lambda: self._finish(call, server, handover),
                )
            return
        try:
            fleet.apply_grant(
                server,
                order,
                arrived_s=call.arrived_s,
                is_excused=call.is_excused,
                is_held_up=call.is_held_up,
            )
        except RefusedError:
            if not is_lost:
                self._answer(link, lambda: self._fail(call, RefusedError))
            return
        if not is_lost:
            self._answer(link, lambda: self._finish(call, server, None))

    def _answer(self, link: Link, finish: Callable[[], None]) -> None:
        if not link.delivers_answers:
            link.held_up.append(lambda: self._loop.post(finish))
            return
        self._fleet.clock.callLater(
            self._latency_s(link), lambda: self._loop.post(finish)
        )

    def _finish(self, call: _Call, server: SearchServer, handover: str | None) -> None:
        if not call.done.called:
            self._idle[call.holder.address] = (server, self._loop.seconds())
            call.done.callback(handover)

    def _fail(self, call: _Call, error_type: type[GentianwharfError]) -> None:
        if not call.done.called:
            call.done.errback(
                error_type("failed", step="order", peer=call.holder.address)
            )

    def _latency_s(self, link: Link) -> float:
        return self._fleet.rng.uniform(0.001, 0.01) + link.late_s
