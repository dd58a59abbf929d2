"""Passing of changed values from the store to every host, tick by tick."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from os.path import commonprefix
from random import Random
from typing import Protocol, final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import PeerMismatchError
from gentianwharf.infra import KeyValueStore, VersionedValue
from gentianwharf.logs import log
from gentianwharf.topology import Host

from ._asking import Asking
from ._bodies import Bodies
from ._digests import Digests
from ._held import HeldValues
from ._messages import (
    AnyMessage,
    Ask,
    Delta,
    Digest,
    Have,
    Pull,
    Push,
    Vector,
    decode,
    encode,
)
from ._overlay import STANDBY_WATCHERS, WATCHERS, Overlay
from ._packing import PackedValues
from ._passing import Passing
from ._pulls import Pulls
from ._readiness import Readiness
from ._state import SpreadCounts, SpreadState
from ._watch import StoreWatch

STANDBY_AFTER_S = 10.0
"""How old the news of the store may be before others step in for the watchers: above
a watch's wait, its retries and the spread of its news by digests."""

LIST_WAIT_S = 1.0
"""How long a host that starts waits for the list of hosts before it takes itself for
alone: otherwise each host of a fleet that restarts would read the store."""


class PeerTransport(Protocol):
    """How messages get to other hosts."""

    def send(self, host_id: str, message: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""


@final
class SpreadSystem:
    """Holds the newest values under ``prefixes`` that this host has heard of.

    A prefix that does not end with a slash is one key: ``rules`` isn't
    ``rules-history/1``.

    ``on_value`` is called once for each value that is newer than the one before;
    revisions of a key only grow. Call ``tick`` every 50 to 100 ms.
    """

    def __init__(
        self,
        *,
        host: Host,
        clock: IReactorTime,
        store: KeyValueStore,
        peers: PeerTransport,
        prefixes: Sequence[str],
        on_value: Callable[[VersionedValue], None],
        rng: Random,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._listed = False
        self._on_value = on_value
        self.counts = SpreadCounts()
        self._overlay = Overlay(host=host)
        self._started_s = clock.seconds()
        self._readiness = Readiness(started_s=self._started_s)
        self._pulls = Pulls(ask=self._ask_for)
        self._held = HeldValues(
            prefixes=prefixes, counts=self.counts, on_taken=self._taken
        )
        # One watch over all prefixes: a waiting watch counts as a store call.
        self._watch = StoreWatch(
            store=store,
            clock=clock,
            rng=rng,
            prefix=commonprefix(list(prefixes)),
            on_values=self._heard_store,
        )
        self._build_exchange(rng)

    def _build_exchange(self, rng: Random) -> None:
        packed = PackedValues()
        self._passing = Passing(
            overlay=self._overlay,
            table=self._held.table,
            packed=packed,
            send=self._send,
        )
        self._bodies = Bodies(
            clock=self._clock,
            held=self._held,
            packed=packed,
            passing=self._passing,
            pulls=self._pulls,
            counts=self.counts,
            send=self._send,
            is_ready=lambda: self.ready,
        )
        self._digests = Digests(
            clock=self._clock,
            rng=rng,
            held=self._held,
            overlay=self._overlay,
            readiness=self._readiness,
            pulls=self._pulls,
            bring=self._bodies.bring,
            send=self._send,
        )
        self._asking = Asking(
            overlay=self._overlay,
            readiness=self._readiness,
            rng=rng,
            ask=lambda host_id: self._send(host_id, Ask()),
        )

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Take the list of live hosts of all failure domains; call when it changes."""
        self._overlay.set_hosts(hosts)
        self._listed = True

    def value(self, key: str) -> VersionedValue | None:
        """Return the newest value of ``key`` that this host heard of."""
        return self._held.table.get(key)

    @property
    def ready(self) -> bool:
        """Whether the values are known to be current enough to act on."""
        return self._readiness.ready

    def state(self) -> SpreadState:
        """Return what an operator sees."""
        return SpreadState(
            ready=self.ready,
            watching=self._watch.running,
            keys=len(self._held.table),
            highest_revision=self._held.table.highest_revision(),
            checksum=self._held.table.checksum(),
            store_age_s=self._digests.store_age_s(),
            store_calls=self._watch.calls,
            counts=replace(self.counts, forwarded=self._passing.forwarded),
        )

    def tick(self) -> None:
        """Start or stop the watch, ask for what is missing, send a digest when due."""
        now_s = self._clock.seconds()
        self._choose_watch(now_s)
        self._pulls.tick(now_s=now_s)
        if not self.ready:
            self._asking.tick(now_s=now_s)
        self._digests.tick(now_s=now_s)

    def close(self) -> None:
        """End the watch."""
        self._watch.stop()

    def publish(self, value: VersionedValue) -> None:
        """Take a value that this host wrote to the store, and pass it on at once."""
        if self._held.take(value):
            self._passing.begin([value])

    def received(self, host_id: str, message: bytes) -> None:
        """Handle a message of another host; a malformed one is counted and dropped."""
        try:
            self._handle(host_id, decode(message, peer=host_id))
        except PeerMismatchError:
            self.counts.malformed += 1

    def _handle(self, host_id: str, message: AnyMessage) -> None:
        match message:
            case Push():
                self._bodies.on_push(host_id, message)
            case Delta():
                self._bodies.on_delta(host_id, message)
            case Have():
                self._bodies.on_have(host_id, message)
            case Digest():
                self._digests.on_digest(host_id, message)
            case Vector():
                self._digests.on_vector(host_id, message)
            case Ask():
                self._digests.send_vector(host_id)
            case Pull():
                self._bodies.on_pull(host_id, message)

    def _choose_watch(self, now_s: float) -> None:
        if not self._listed and now_s < self._started_s + LIST_WAIT_S:
            return
        rank = self._overlay.watch_rank
        heard_s = self._readiness.store_heard_s
        silent_s = now_s - (self._started_s if heard_s is None else heard_s)
        # Watchers that are listed though dead leave their domain deaf; the next in
        # order step in one after the other, and back once the store is heard again.
        due = rank < WATCHERS or (
            rank < STANDBY_WATCHERS and silent_s > STANDBY_AFTER_S + (rank - WATCHERS)
        )
        if due:
            self._watch.start()
        else:
            self._watch.stop()

    def _heard_store(self, values: list[VersionedValue]) -> None:
        changed = [value for value in values if self._held.take(value)]
        self._readiness.heard_store(self._clock.seconds())
        self._digests.judge()
        self._passing.begin(changed)

    def _taken(self, value: VersionedValue) -> None:
        self._pulls.came(value.key)
        try:
            self._on_value(value)
        except Exception:
            # Other hosts may be able to act on it: raised further, it would keep the
            # value from those below this host, and this host from the next values.
            self.counts.failed += 1
            log.exception(
                "value failed",
                extra={"peer": value.key, "revision": value.revision},
            )

    def _ask_for(self, host_id: str, keys: list[str]) -> None:
        self.counts.pulled += len(keys)
        self._send(host_id, Pull(keys=keys))

    def _send(self, host_id: str, message: AnyMessage) -> None:
        data = encode(message)
        self.counts.sent_messages += 1
        self.counts.sent_bytes += len(data)
        if not self._peers.send(host_id, data):
            self.counts.send_dropped += 1
