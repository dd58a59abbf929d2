"""Finds out whether this host has lost its links to all servers, and for how long.

Nothing is sent to find out as long as servers answer. A connection that can't be
opened, connections that several servers reset at once, and bytes that nobody
acknowledges raise a suspicion; it is confirmed if connections to other servers can't be
opened.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol, final

from twisted.internet.defer import Deferred

from gentianwharf.topology import BackendServer

from ._reachability import Reachability

PROBES = 3
"""Servers that are connected to in order to confirm a suspicion."""

PROBE_TIMEOUT_S = 0.12
"""Connecting takes a few ms between failure domains."""

MIN_PROBES = 2
"""A single server that can't be reached may be down."""

MAX_LATE_S = 0.08
"""A round of probes that takes longer than their timeout by this much is no evidence:
this host was busy or paused, and connections may have been opened meanwhile."""

SLOW_CONNECT_S = 0.08
"""Time after which a connection that is not open raises a suspicion."""

OVERDUE_S = 0.15
"""Age of a request at which it is checked whether its bytes were acknowledged."""

RECENTLY_HEARD_S = 0.1
"""While servers are heard this often, requests in flight are not checked."""

SAMPLE_INTERVAL_S = 0.05
SILENCE_S = 0.4
"""Time without a byte of any server that raises a suspicion by itself, with
``MIN_SILENT_REQUESTS`` requests in flight for as long at two servers or more. Something
between host and server may acknowledge bytes that don't reach it."""

MIN_SILENT_REQUESTS = 3
RESET_WINDOW_S = 0.1
RECENTLY_OPENED_S = 0.3
"""After a connection was opened, others that fail raise no suspicion for this long."""

RESTORED_PROBE_INTERVAL_S = 0.25
"""Interval at which a host that is cut off tries to connect to some server."""


class LinkConnection(Protocol):
    """A direct connection with a request in flight."""

    sent_s: float
    repeatable: bool

    def server_id(self) -> str:
        """Return the id of its server."""

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes were sent and not acknowledged."""


class LinkPool(Protocol):
    """The connections to one server."""

    server: BackendServer

    def has_room(self) -> bool:
        """Whether one more connection may be opened."""

    async def warm_up(self, timeout_s: float) -> bool:
        """Open a direct connection for later requests; return whether it is open."""

    def retire_direct(self) -> None:
        """Close direct connections, and let their requests be sent again."""

    def retire_tunnels(self) -> None:
        """Close connections through other hosts after their responses."""


@final
class LinkMonitor:
    """Confirms suspicions, and probes for the end of a cut.

    ``pools`` returns those of all listed servers; ``domain`` is this host's.
    """

    def __init__(
        self,
        *,
        reachability: Reachability,
        pools: Callable[[], Iterable[LinkPool]],
        domain: str,
        reactor: Any,
        rng: Random,
    ) -> None:
        self.reachability = reachability
        self.on_cut_off: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None
        self.in_flight: dict[LinkConnection, None] = {}
        """Direct connections that wait for a response, the oldest request first."""
        self._connecting: set[Callable[[], None]] = set()
        self._pools = pools
        self._domain = domain
        self._reactor = reactor
        self._rng = rng
        self._waiting: list[Deferred[bool]] = []
        self._open_probes = 0
        self._has_opened = False
        """Whether a probe of the round that began at ``_begun_s`` was opened."""
        self._begun_s = 0.0
        self._sampled_s = 0.0
        self._samples: dict[LinkConnection, int] = {}
        self._resets: dict[str, float] = {}
        self._timer: Any = None
        self._is_stopped = False
        reachability.on_change = self._on_change

    @property
    def is_cut_off(self) -> bool:
        """Whether no new connection to a server can be opened from this host."""
        return self.reachability.is_cut_off

    # Signs of a lost link.

    def tick(self) -> None:
        """Check requests without a response; cheap while servers are heard."""
        if not self.in_flight:
            return
        now_s = self._reactor.seconds()
        oldest = next(iter(self.in_flight))
        if (
            now_s - oldest.sent_s < OVERDUE_S
            or self.reachability.unheard_s() < RECENTLY_HEARD_S
            or now_s - self._sampled_s < SAMPLE_INTERVAL_S
        ):
            return
        self._sampled_s = now_s
        if self._is_unacknowledged(now_s) or self._is_silent(now_s):
            self._suspect()

    def _is_unacknowledged(self, now_s: float) -> bool:
        """Whether the same bytes were already unacknowledged at the last check."""
        samples = {
            connection: connection.unacknowledged_bytes()
            for connection in self.in_flight
            if now_s - connection.sent_s >= OVERDUE_S
        }
        previous, self._samples = self._samples, samples
        return any(
            unacknowledged and previous.get(connection) == unacknowledged
            for connection, unacknowledged in samples.items()
        )

    def _is_silent(self, now_s: float) -> bool:
        if self.reachability.unheard_s() < SILENCE_S:
            return False
        silent = [
            connection.server_id()
            for connection in self.in_flight
            if now_s - connection.sent_s >= SILENCE_S
        ]
        return len(silent) >= MIN_SILENT_REQUESTS and len(set(silent)) > 1

    def _suspect(self) -> None:
        if self.is_cut_off:
            # Connections from before the cut worked until now.
            self._retire_direct()
            return
        self.verify()

    def note_reset(self, server_id: str) -> None:
        """Record that a direct connection was reset or lost."""
        now_s = self._reactor.seconds()
        self._resets[server_id] = now_s
        self._resets = {
            other: reset_s
            for other, reset_s in self._resets.items()
            if now_s - reset_s <= RESET_WINDOW_S
        }
        if len(self._resets) > 1 and not self.is_cut_off:
            self._resets.clear()
            self.verify()

    def add_connecting(self, give_up: Callable[[], None]) -> None:
        """Register how to give up a direct connection that is being opened."""
        self._connecting.add(give_up)

    def discard_connecting(self, give_up: Callable[[], None]) -> None:
        """Remove a connection that is open or failed."""
        self._connecting.discard(give_up)

    def note_slow_connect(self) -> None:
        """Record that a connection takes longer than usual to be opened."""
        if not self.is_cut_off and not self._was_recently_opened():
            self.verify()

    # Confirmation.

    async def confirm(self) -> bool:
        """Return whether this host is cut off, once a connection was not opened."""
        if self.is_cut_off:
            return True
        if self._was_recently_opened():
            return False
        return await self.verify()

    def _was_recently_opened(self) -> bool:
        opened_s = self.reachability.opened_s
        return bool(self._reactor.seconds() - opened_s < RECENTLY_OPENED_S)

    def verify(self) -> "Deferred[bool]":
        """Connect to some servers; the result tells whether none could be reached."""
        verdict: Deferred[bool] = Deferred()
        self._waiting.append(verdict)
        if self._open_probes:
            if self._has_opened:
                self._conclude(cut_off=False)
            return verdict
        pools = self._choose_pools()
        if len(pools) < MIN_PROBES:
            self._conclude(cut_off=False)
            return verdict
        self._begun_s = self._reactor.seconds()
        self._has_opened = False
        self._open_probes = len(pools)
        for pool in pools:
            probe = Deferred.fromCoroutine(pool.warm_up(PROBE_TIMEOUT_S))
            probe.addCallbacks(self._end_probe, lambda _: self._end_probe(False))
        return verdict

    def _choose_pools(self) -> list[LinkPool]:
        """Choose servers at random to which no connection has failed, if there are any.

        They are in different failure domains, one of them in the own: a host whose
        domain is cut off from the others still reaches the servers beside it.
        """
        pools = [pool for pool in self._pools() if pool.has_room()]
        self._rng.shuffle(pools)
        pools.sort(key=lambda pool: pool.server.domain != self._domain)
        drawn: Counter[tuple[bool, str]] = Counter()

        def rank(pool: LinkPool) -> tuple[bool, int]:
            failed = pool.server.id in self.reachability.unreachable
            drawn[failed, pool.server.domain] += 1
            return failed, drawn[failed, pool.server.domain]

        return sorted(pools, key=rank)[:PROBES]

    def _end_probe(self, opened: bool) -> None:
        self._open_probes -= 1
        if opened:
            self._has_opened = True
            self._conclude(cut_off=False)
        elif not self._open_probes and self._waiting:
            took_s = self._reactor.seconds() - self._begun_s
            self._conclude(cut_off=took_s <= PROBE_TIMEOUT_S + MAX_LATE_S)

    def _conclude(self, *, cut_off: bool) -> None:
        waiting, self._waiting = self._waiting, []
        if cut_off and not self._is_stopped:
            self.reachability.note_all_failed()
        for verdict in waiting:
            if not verdict.called:
                verdict.callback(cut_off)

    # Cut off, and restored.

    def _on_change(self) -> None:
        if not self.is_cut_off:
            for pool in list(self._pools()):
                pool.retire_tunnels()
            self.on_restored()
            return
        self.on_cut_off()
        if self._are_open_connections_lost():
            self._retire_direct()
        for give_up in list(self._connecting):
            give_up()
        self._probe_later()

    def _are_open_connections_lost(self) -> bool:
        """Whether the open connections are probably lost.

        If new connections are refused, the open ones may still work, though an idle
        host has received nothing on them recently; their requests will show it.
        """
        is_silent = self.reachability.heard_s < self._begun_s - RECENTLY_HEARD_S
        return is_silent and not self.reachability.was_refused

    def _retire_direct(self) -> None:
        for pool in list(self._pools()):
            pool.retire_direct()

    def _probe_later(self) -> None:
        if not self._is_stopped:
            self._timer = self._reactor.callLater(
                RESTORED_PROBE_INTERVAL_S, self._probe_if_restored
            )

    def _probe_if_restored(self) -> None:
        if not self.is_cut_off:
            return
        pools = [pool for pool in self._pools() if pool.has_room()]
        if pools:
            probe = Deferred.fromCoroutine(
                self._rng.choice(pools).warm_up(PROBE_TIMEOUT_S)
            )
            probe.addErrback(lambda _: None)
        self._probe_later()

    def stop(self) -> None:
        """Stop probing."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
