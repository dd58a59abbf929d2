"""Passing of changed values from the store to every host, tick by tick."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from os.path import commonprefix
from random import Random
from typing import Protocol, final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import PeerMismatchError
from gentianwharf.platform import KeyValueStore, VersionedValue
from gentianwharf.topology import Host

from ._asking import Asking
from ._delta import apply_delta, checksum
from ._messages import (
    AnyMessage,
    Ask,
    Delta,
    Digest,
    Have,
    Pull,
    Push,
    Vector,
    Version,
    decode,
    encode,
)
from ._packing import PackedValues, unpack
from ._passing import Passing
from ._places import STANDBY_WATCHERS, WATCHERS, Places
from ._pulls import BODY_WAIT_S, PULLED_AT_ONCE, Pulls
from ._readiness import Readiness
from ._state import SpreadCounts, SpreadState
from ._versions import VersionTable
from ._watch import StoreWatch

HEARTBEAT_S = 0.5
"""Time between two digests: what a lost message costs before it is noticed."""

OTHER_DOMAIN_EVERY = 4
"""Every fourth digest goes to another failure domain, whose watchers may hear the
store when ours don't."""

PUSHED_UNASKED_BYTES = 16_000
"""A value up to this size is sent to a host that lacks it without asking first: two
messages fewer that can be lost."""

STANDBY_AFTER_S = 10.0
"""How old the news of the store may be before others step in for the watchers: above
a watch's wait, its retries and the spread of its news by digests."""

LIST_WAIT_S = 1.0
"""How long a host that starts waits for the list of hosts before it takes itself for
alone: otherwise each host of a fleet that restarts would read the store."""

NEWS_S = 2.0
"""A digest whose news of the store is older than ours by this is answered by ours."""

NEVER_MS = -1


class Peers(Protocol):
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
        peers: Peers,
        prefixes: Sequence[str],
        on_value: Callable[[VersionedValue], None],
        rng: Random,
    ) -> None:
        self._host = host
        self._clock = clock
        self._peers = peers
        self._prefixes = tuple(prefixes)
        self._listed = False
        self._on_value = on_value
        self._rng = rng
        self._table = VersionTable()
        self._places = Places(host=host)
        # One watch over all prefixes: a waiting watch counts as a store call.
        self._watch = StoreWatch(
            store=store,
            clock=clock,
            rng=rng,
            prefix=commonprefix(self._prefixes),
            on_values=self._heard_store,
        )
        self._started_s = clock.seconds()
        self._readiness = Readiness(started_s=self._started_s)
        self._packed = PackedValues()
        self._passing = Passing(
            places=self._places,
            table=self._table,
            packed=self._packed,
            send=self._send,
        )
        self._pulls = Pulls(ask=self._ask_for)
        self._asking = Asking(
            places=self._places,
            readiness=self._readiness,
            rng=rng,
            ask=self._ask,
        )
        self._beats = 0
        # Hosts that start together must not beat together.
        self._next_beat_s = self._started_s + rng.uniform(0, HEARTBEAT_S)
        self.counts = SpreadCounts()

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Take the list of live hosts of all failure domains; call when it changes."""
        self._places.set_hosts(hosts)
        self._listed = True

    def value(self, key: str) -> VersionedValue | None:
        """Return the newest value of ``key`` that this host heard of."""
        return self._table.get(key)

    @property
    def ready(self) -> bool:
        """Whether the values are known to be current enough to act on."""
        return self._readiness.ready

    def state(self) -> SpreadState:
        """Return what an operator sees."""
        return SpreadState(
            ready=self.ready,
            watching=self._watch.running,
            keys=len(self._table),
            highest_revision=self._table.highest_revision(),
            checksum=self._table.checksum(),
            store_age_s=self._store_age_s(),
            store_calls=self._watch.calls,
            counts=replace(self.counts, passed_on=self._passing.passed_on),
        )

    def tick(self) -> None:
        """Start or stop the watch, ask for what is missing, send a digest when due."""
        now_s = self._clock.seconds()
        self._choose_watch(now_s)
        self._pulls.tick(now_s=now_s)
        if not self.ready:
            self._asking.tick(now_s=now_s)
        if now_s >= self._next_beat_s:
            self._next_beat_s = now_s + HEARTBEAT_S * self._rng.uniform(0.8, 1.2)
            self._beat()

    def close(self) -> None:
        """End the watch."""
        self._watch.stop()

    def publish(self, value: VersionedValue) -> None:
        """Take a value that this host wrote to the store, and pass it on at once."""
        if self._take(value):
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
                self._on_push(host_id, message)
            case Delta():
                self._on_delta(host_id, message)
            case Have():
                self._on_have(host_id, message)
            case Digest():
                self._on_digest(host_id, message)
            case Vector():
                self._on_vector(host_id, message)
            case Ask():
                self._send(host_id, self._vector())
            case Pull():
                self._on_pull(host_id, message)

    def _choose_watch(self, now_s: float) -> None:
        if not self._listed and now_s < self._started_s + LIST_WAIT_S:
            return
        rank = self._places.watch_rank
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
        changed = [value for value in values if self._take(value)]
        self._readiness.heard_store(self._clock.seconds())
        self._judge()
        self._passing.begin(changed)

    def _take(self, value: VersionedValue) -> bool:
        if not self._carries(value.key):
            return False
        if not self._table.offer(value):
            self.counts.dropped_older += 1
            return False
        self._pulls.came(value.key)
        self.counts.taken += 1
        self._on_value(value)
        return True

    def _on_push(self, host_id: str, push: Push) -> None:
        body = unpack(push.packed, peer=host_id)
        value = VersionedValue(key=push.key, value=body, revision=push.revision)
        taken = self._take(value)
        if taken:
            self._packed.keep(value, push.packed)
        else:
            self._mend_older(host_id, [(push.key, push.revision)])
        if push.root and self._carries(push.key):
            self._passing.pass_on(push)
        elif taken and self.ready:
            # A host that only starts pulls what all others have.
            self._passing.tell_partners(value)

    def _on_delta(self, host_id: str, delta: Delta) -> None:
        if not self._carries(delta.key):
            return
        held = self._table.get(delta.key)
        if held is None or held.revision < delta.revision:
            self._build(host_id, delta, held)
        else:
            self._mend_older(host_id, [(delta.key, delta.revision)])
        self._passing.pass_on(delta)

    def _build(self, host_id: str, delta: Delta, held: VersionedValue | None) -> None:
        """Take the value that a delta makes, or pull the whole from its sender."""
        body = None
        if held is not None and held.revision == delta.base:
            steps = unpack(delta.packed, peer=host_id)
            body = apply_delta(held.value, steps, peer=host_id)
        if body is None or checksum(body) != delta.checksum:
            self.counts.deltas_lacking += 1
            wanted = [(delta.key, delta.revision)]
            self._pulls.announced(host_id, wanted, now_s=self._clock.seconds())
            return
        self._take(VersionedValue(key=delta.key, value=body, revision=delta.revision))

    def _on_have(self, host_id: str, have: Have) -> None:
        lacking = self._mine(self._table.lacking(have.versions))
        self._pulls.announced(
            host_id,
            lacking,
            now_s=self._clock.seconds(),
            wait_s=BODY_WAIT_S if have.root else 0.0,
        )
        self._mend_older(host_id, have.versions)
        if have.root:
            self._passing.have_on(have.versions, have.root)

    def _mend_older(self, host_id: str, versions: list[Version]) -> None:
        """Tell a peer that has an older version what the newer one is."""
        newer = [
            (key, self._table.revision(key))
            for key, revision in versions
            if self._table.revision(key) > revision
        ]
        self._bring(host_id, newer)

    def _bring(self, host_id: str, newer: list[Version]) -> None:
        """Bring a host what it lacks: small values at once, of others the version."""
        announced: list[Version] = []
        for key, revision in newer:
            value = self._table.get(key)
            small = value is not None and len(value.value) <= PUSHED_UNASKED_BYTES
            if small and len(newer) <= PULLED_AT_ONCE:
                self._send_value(host_id, key)
            else:
                announced.append((key, revision))
        if announced:
            self._send(host_id, Have(versions=announced))

    def _on_pull(self, host_id: str, pull: Pull) -> None:
        for key in pull.keys[:PULLED_AT_ONCE]:
            self._send_value(host_id, key)

    def _send_value(self, host_id: str, key: str) -> None:
        value = self._table.get(key)
        if value is not None:
            packed = self._packed.of(value)
            self._send(host_id, Push(key=key, packed=packed, revision=value.revision))

    def _on_digest(self, host_id: str, digest: Digest) -> None:
        if digest.checksum != self._table.checksum():
            self._send(host_id, self._vector())
            return
        # Few hosts name some host their partner; it hears news by its own digests.
        age_s = self._store_age_s()
        if age_s is not None and not 0 <= digest.store_age_ms <= 1_000 * (
            age_s + NEWS_S
        ):
            self._send(host_id, self._digest())
        self._agree(host_id, digest.store_age_ms, digest.ready)

    def _on_vector(self, host_id: str, vector: Vector) -> None:
        versions = self._mine(vector.versions)
        lacking = self._table.lacking(versions)
        if lacking:
            self._pulls.announced(host_id, lacking, now_s=self._clock.seconds())
        else:
            self._agree(host_id, vector.store_age_ms, vector.ready)
        self._bring(host_id, self._table.newer_than(versions))

    def _mine(self, versions: list[Version]) -> list[Version]:
        return [one for one in versions if self._carries(one[0])]

    def _carries(self, key: str) -> bool:
        return any(
            key.startswith(prefix) if prefix.endswith("/") else key == prefix
            for prefix in self._prefixes
        )

    def _ask_for(self, host_id: str, keys: list[str]) -> None:
        self.counts.pulled += len(keys)
        self._send(host_id, Pull(keys=keys))

    def _agree(self, host_id: str, store_age_ms: int, ready: bool) -> None:
        """Note that this host holds all that another one does."""
        heard_s = None
        if store_age_ms != NEVER_MS:
            heard_s = self._clock.seconds() - store_age_ms / 1_000
        self._readiness.agreed(host_id, store_heard_s=heard_s, ready=ready)
        self._judge()

    def _judge(self) -> None:
        if self.ready:
            return
        mine = self._places.domain_members
        if not self._readiness.judge(mine, (*mine, *self._places.others)):
            return
        # When many hosts start at once, the few that read the store are hard to find.
        for partner in self._places.partners:
            self._send(partner, self._digest())

    def _ask(self, host_id: str) -> None:
        self._send(host_id, Ask())

    def _beat(self) -> None:
        self._beats += 1
        target = self._beat_target()
        if target is not None:
            self._send(target, self._digest())

    def _beat_target(self) -> str | None:
        elsewhere, partners = self._places.partners_elsewhere, self._places.partners
        if elsewhere and (self._beats % OTHER_DOMAIN_EVERY == 0 or not partners):
            return self._rng.choice(elsewhere)
        return partners[self._beats % len(partners)] if partners else None

    def _digest(self) -> Digest:
        return Digest(
            checksum=self._table.checksum(),
            store_age_ms=self._store_age_ms(),
            ready=self.ready,
        )

    def _vector(self) -> Vector:
        return Vector(
            versions=self._table.versions(),
            store_age_ms=self._store_age_ms(),
            ready=self.ready,
        )

    def _store_age_s(self) -> float | None:
        heard_s = self._readiness.store_heard_s
        return None if heard_s is None else self._clock.seconds() - heard_s

    def _store_age_ms(self) -> int:
        age_s = self._store_age_s()
        return NEVER_MS if age_s is None else int(age_s * 1_000)

    def _send(self, host_id: str, message: AnyMessage) -> None:
        data = encode(message)
        self.counts.sent_messages += 1
        self.counts.sent_bytes += len(data)
        if not self._peers.send(host_id, data):
            self.counts.send_dropped += 1
