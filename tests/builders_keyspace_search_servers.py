"""Servers that enforce grants, the links to them, and the four rules of their owners.

The rules are checked whenever a server takes a shard or a grant is renewed:

- No shard has two live holders, by the clocks of the servers.
- A server takes a shard only with a token above all with which others had it. The same
  grant again is no taking, and a grant whose time has passed takes nothing.
- No process of a server takes or renews a shard with a token below one that a process
  under its id has seen, or, in time, below one with which another had the shard.
- No server gets a shard on which another still works after a release, within the time
  of that one's grant.

Not counted, as agreed with the platform:

- for the first rule a grant that arrived within ``THAW_SLACK_S`` after the pause of its
  sender, or a cut of the link that it took;
- for the fourth rule also a grant that was held up on its way or carried out late,
  which is the time that the third rule leaves out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from twisted.internet.task import Clock

from gentianwharf.errors import RefusedError
from gentianwharf.keyspace import Grant, Holder, Release


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
    """One life of a server. It measures grants by a clock that may run slow.

    While it is paused, its clock goes on, and what arrives waits.
    """

    holder: Holder
    service: str
    drift: float
    shortens: bool
    """Whether a renewal with a shorter duration ends the hold earlier."""
    tokens: dict[int, int] = field(default_factory=dict)
    held: dict[int, Hold] = field(default_factory=dict)
    working_until_s: dict[int, float] = field(default_factory=dict)
    """When the work on released shards ends."""
    work_limit_s: dict[int, float] = field(default_factory=dict)
    """When the grant would have expired under which that work began."""
    is_late: bool = False
    is_paused: bool = False
    loses_answers: bool = False
    closes: float = 0.0
    """The probability that it closes a connection after a response."""
    release_takes_s: float = 0.0
    _waiting: list[Callable[[], None]] = field(default_factory=list)
    _work_before_pause: dict[int, float] = field(default_factory=dict)

    def holds(self, shard: int, now_s: float) -> bool:
        """Whether it would execute a request of this shard."""
        hold = self.held.get(shard)
        return hold is not None and now_s < hold.until_s

    def process(self, event: Callable[[], None]) -> None:
        """Process an event, after the pause in which it occurs."""
        if self.is_paused:
            self._waiting.append(event)
        else:
            event()

    def pause(self, now_s: float) -> None:
        """Process nothing from now on; work that has begun does not end."""
        self.is_paused = True
        self._work_before_pause = dict(self.working_until_s)
        for shard, until_s in self._work_before_pause.items():
            if until_s > now_s:
                self.working_until_s[shard] = self.work_limit_s[shard]

    def resume(self) -> None:
        """Process everything that has arrived since the pause, in order."""
        self.is_paused = False
        self.working_until_s = self._work_before_pause
        waiting, self._waiting = self._waiting, []
        for event in waiting:
            event()


@dataclass(kw_only=True, eq=False)
class Link:
    """The path from one host to one address, which may be cut in each direction."""

    delivers_orders: bool = True
    delivers_answers: bool = True
    healed_s: float = float("-inf")
    late_s: float = 0.0
    connects_late_s: float = 0.0
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
        self.on_released: Callable[[SearchServer], None] = lambda server: None
        self.copies: dict[str | None, float] = {}
        """How probably a server repeats a response in front of the next one, by its
        address; None for all."""
        self.on_order: Callable[[str], None] = lambda host: None
        """Called with the host that sends an order."""
        self._seen: dict[tuple[str, int, str], int] = {}
        """The highest token of each shard that the processes of a server have seen."""
        self._had: dict[tuple[str, int], dict[str, int]] = {}
        """The latest token of each shard by server id; restarts keep the id."""

    def link(self, host: str, address: str) -> Link:
        """Return the link from a host to an address."""
        return self.links.setdefault((host, address), Link())

    def heal(self, link: Link) -> None:
        """Restore both directions; what was held up is sent again."""
        if not link.is_whole:
            link.healed_s = self.clock.seconds()
        link.delivers_orders = link.delivers_answers = True
        held_up, link.held_up = link.held_up, []
        for deliver in held_up:
            deliver()

    def copies_at(self, address: str) -> float:
        """Return how probably the server at an address repeats a response."""
        return max(self.copies.get(None, 0.0), self.copies.get(address, 0.0))

    def latency_s(self, link: Link) -> float:
        """Return how long a message takes in one direction."""
        return self.rng.uniform(0.001, 0.01) + link.late_s

    def holders(self, service: str, shard: int) -> list[str]:
        """Return the ids of all servers that hold a shard of a service."""
        now_s = self.clock.seconds()
        return [
            server.holder.server_id
            for server in self.running.values()
            if server.service == service and server.holds(shard, now_s)
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
            self._check_seen(server, shard, grant.token)
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
            server.work_limit_s.pop(shard, None)

    def apply_release(self, server: SearchServer, release: Release) -> float:
        """Stop new work on some shards; return when the running work ends."""
        now_s = self.clock.seconds()
        done_s = now_s
        for shard in range(release.first, release.last + 1):
            server.tokens[shard] = max(release.token, server.tokens.get(shard, 0))
            self._note_seen(server, shard, release.token)
            hold = server.held.pop(shard, None)
            if hold is not None and hold.counted_until_s > now_s:
                server.work_limit_s[shard] = hold.counted_until_s
                server.working_until_s[shard] = min(
                    hold.counted_until_s, now_s + server.release_takes_s
                )
            done_s = max(done_s, server.working_until_s.get(shard, 0.0))
        return done_s

    def _note_seen(self, server: SearchServer, shard: int, token: int) -> int:
        """Note a token; return the highest one that was seen under this id."""
        key = (server.service, shard, server.holder.server_id)
        highest = self._seen[key] = max(token, self._seen.get(key, 0))
        return highest

    def _check_seen(self, server: SearchServer, shard: int, token: int) -> None:
        highest = self._note_seen(server, shard, token)
        if token < highest:
            self._break(
                f"lost token: {server.holder.server_id} takes shard {shard} with "
                f"{token}, a process under its id has seen {highest}"
            )

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
            if other is server or other.service != server.service or is_excused:
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
        had = self._had.setdefault((server.service, shard), {})
        highest = max(
            (other_token for other, other_token in had.items() if other != name),
            default=0,
        )
        if had.get(name) == token:
            if token < highest and not (is_excused or is_held_up):
                self._break(
                    f"replaced grant: {name} renews shard {shard} with {token}, "
                    f"another had it with {highest}"
                )
            return
        if token <= highest:
            self._break(
                f"low token: {name} takes shard {shard} with {token}, another had it "
                f"with {highest}"
            )
        had[name] = token

    def _break(self, text: str) -> None:
        raise OwnerRuleError(f"{self.clock.seconds():.3f}: {text}")
