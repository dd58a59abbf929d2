"""Passing of changed values from the store to every host, tick by tick."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, fields
from os.path import commonprefix
from random import Random
from typing import Protocol, final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import PeerMismatchError
from gentianwharf.platform import KeyValueStore, VersionedValue
from gentianwharf.topology import Host

from ._messages import (
    AnyMessage,
    Ask,
    Digest,
    Have,
    Pull,
    Push,
    Vector,
    Version,
    decode,
    encode,
)
from ._places import STANDBY_WATCHERS, WATCHERS, Places
from ._versions import VersionTable
from ._watch import StoreWatch

HEARTBEAT_S = 0.5
"""Time between two digests: what a lost message costs before it is noticed."""

OTHER_DOMAIN_EVERY = 4
"""Every fourth digest goes to another failure domain, whose watchers may hear the
store when ours don't."""

ASK_EVERY_S = 0.1
ASKED_AT_ONCE = 16
"""A host that starts asks so many others at once, until it is ready."""

PULL_AGAIN_S = 0.2
"""A value that was asked for is asked for again after this, of whoever has it."""

PULLED_AT_ONCE = 16
"""Values asked for in one message; each may be large, and a peer's queue is bounded."""

FRESH_S = 10.0
"""How old the news of the store may be. Above a watch's wait and its spread to all
hosts by digests, below the time in which operators expect to see a host notice."""

NEVER_MS = -1


class Peers(Protocol):
    """How messages get to other hosts."""

    def send(self, host_id: str, message: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""


@final
@dataclass(kw_only=True, slots=True)
class SpreadCounts:
    """What a host did, as counts since its start."""

    taken: int = 0
    dropped_older: int = 0
    malformed: int = 0
    sent_messages: int = 0
    sent_bytes: int = 0
    send_dropped: int = 0
    passed_on: int = 0
    pulled: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadState:
    """What an operator sees of a host's spread.

    ``ready`` is False until the values are known to be current enough to act on;
    ``store_age_s`` is None while the store has not been heard of.
    """

    ready: bool
    watching: bool
    keys: int
    highest_revision: int
    checksum: int
    store_age_s: float | None
    store_calls: int
    counts: SpreadCounts


@final
class SpreadSystem:
    """Holds the newest values under ``prefixes`` that this host has heard of.

    ``on_value`` is called once for each value that is newer than the one before;
    revisions of a key only grow. Call ``tick`` every 50 to 100 ms.

    A host is ready when it heard the store itself, or holds all that a host does
    which heard of the store within ``FRESH_S``, or, with the store out of reach,
    holds all that a majority of its failure domain's hosts or of all hosts does.
    Hosts that are not ready themselves don't count: they may be as empty.
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
        self._ready = False
        self._started_s = clock.seconds()
        self._store_heard_s: float | None = None
        self._agreeing: set[str] = set()
        self._asked: dict[str, float] = {}
        self._beats = 0
        # Hosts that start together must not beat together.
        self._next_beat_s = self._started_s + rng.uniform(0, HEARTBEAT_S)
        self._next_ask_s = self._started_s
        self.counts = SpreadCounts()

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Take the list of live hosts of all failure domains; call when it changes."""
        self._places.set_hosts(hosts)

    def value(self, key: str) -> VersionedValue | None:
        """Return the newest value of ``key`` that this host heard of."""
        return self._table.get(key)

    @property
    def ready(self) -> bool:
        """Whether the values are known to be current enough to act on."""
        return self._ready

    def state(self) -> SpreadState:
        """Return what an operator sees."""
        return SpreadState(
            ready=self._ready,
            watching=self._watch.running,
            keys=len(self._table),
            highest_revision=self._table.highest_revision(),
            checksum=self._table.checksum(),
            store_age_s=self._store_age_s(),
            store_calls=self._watch.calls,
            counts=SpreadCounts(
                **{one.name: getattr(self.counts, one.name) for one in _COUNT_FIELDS}
            ),
        )

    def tick(self) -> None:
        """Start or stop the watch, ask for what is missing, send a digest when due."""
        now_s = self._clock.seconds()
        self._choose_watch(now_s)
        if not self._ready and now_s >= self._next_ask_s:
            self._next_ask_s = now_s + ASK_EVERY_S
            self._ask_others()
        if now_s >= self._next_beat_s:
            self._next_beat_s = now_s + HEARTBEAT_S * self._rng.uniform(0.8, 1.2)
            self._beat()

    def close(self) -> None:
        """End the watch."""
        self._watch.stop()

    def publish(self, value: VersionedValue) -> None:
        """Take a value that this host wrote to the store, and pass it on at once."""
        if self._take(value):
            self._pass_on([value])

    def received(self, host_id: str, message: bytes) -> None:
        """Handle a message of another host; a malformed one is counted and dropped."""
        try:
            decoded = decode(message, peer=host_id)
        except PeerMismatchError:
            self.counts.malformed += 1
            return
        match decoded:
            case Push():
                self._on_push(host_id, decoded)
            case Have():
                self._on_have(host_id, decoded)
            case Digest():
                self._on_digest(host_id, decoded)
            case Vector():
                self._on_vector(host_id, decoded)
            case Ask():
                self._send(host_id, self._vector())
            case Pull():
                self._on_pull(host_id, decoded)

    def _choose_watch(self, now_s: float) -> None:
        rank = self._places.watch_rank
        heard_s = self._store_heard_s
        silent_s = now_s - (self._started_s if heard_s is None else heard_s)
        # Watchers that are listed though dead leave their domain deaf; the next in
        # order step in one after the other, and back once the store is heard again.
        due = rank < WATCHERS or (
            rank < STANDBY_WATCHERS and silent_s > FRESH_S + (rank - WATCHERS)
        )
        if due:
            self._watch.start()
        else:
            self._watch.stop()

    def _heard_store(self, values: list[VersionedValue]) -> None:
        self._store_heard_s = self._clock.seconds()
        changed = [value for value in values if self._take(value)]
        self._set_ready()
        self._pass_on(changed)

    def _take(self, value: VersionedValue) -> bool:
        if not value.key.startswith(self._prefixes):
            return False
        if not self._table.offer(value):
            self.counts.dropped_older += 1
            return False
        self._asked.pop(value.key, None)
        self.counts.taken += 1
        self._on_value(value)
        return True

    def _pass_on(self, values: list[VersionedValue]) -> None:
        """Start the way of values that this host heard from the store itself."""
        if not values:
            return
        root = self._host.id
        # The first watcher sends bodies. The others send versions only, down trees
        # of their own: who got the body already then costs a few bytes.
        if self._places.watch_rank == 0:
            for value in values:
                self._push_down(value, root)
        else:
            self._have_down([(one.key, one.revision) for one in values], root)
        versions = [(one.key, one.revision) for one in values]
        for head in self._places.heads:
            self._send(head, Have(versions=versions))

    def _push_down(self, value: VersionedValue, root: str) -> None:
        push = Push(
            key=value.key, value=value.value, revision=value.revision, root=root
        )
        for child in self._places.children(root):
            self.counts.passed_on += 1
            self._send(child, push)

    def _have_down(self, versions: list[Version], root: str) -> None:
        for child in self._places.children(root):
            self.counts.passed_on += 1
            self._send(child, Have(versions=versions, root=root))

    def _on_push(self, host_id: str, push: Push) -> None:
        value = VersionedValue(key=push.key, value=push.value, revision=push.revision)
        if self._take(value):
            if push.root:
                self._push_down(value, push.root)
            elif self._ready:
                # Pulled, so that no tree brought it and fellow hosts may lack it too.
                # A host that only starts pulls what all others have.
                self._tell_partners([(value.key, value.revision)])
        else:
            self._mend_older(host_id, [(push.key, push.revision)])

    def _on_have(self, host_id: str, have: Have) -> None:
        lacking = self._mine(self._table.lacking(have.versions))
        self._pull(host_id, lacking)
        self._mend_older(host_id, have.versions)
        if have.root:
            self._have_down(have.versions, have.root)

    def _mend_older(self, host_id: str, versions: list[Version]) -> None:
        """Tell a peer that has an older version what the newer one is."""
        newer = [
            (key, self._table.revision(key))
            for key, revision in versions
            if self._table.revision(key) > revision
        ]
        if newer:
            self._send(host_id, Have(versions=newer))

    def _tell_partners(self, versions: list[Version]) -> None:
        for partner in self._places.partners:
            self._send(partner, Have(versions=versions))

    def _on_pull(self, host_id: str, pull: Pull) -> None:
        for key in pull.keys[:PULLED_AT_ONCE]:
            value = self._table.get(key)
            if value is not None:
                self._send(
                    host_id,
                    Push(key=key, value=value.value, revision=value.revision),
                )

    def _on_digest(self, host_id: str, digest: Digest) -> None:
        if digest.checksum == self._table.checksum():
            self._agree(host_id, digest.store_age_ms, digest.ready)
        else:
            self._send(host_id, self._vector())

    def _on_vector(self, host_id: str, vector: Vector) -> None:
        versions = self._mine(vector.versions)
        lacking = self._table.lacking(versions)
        if lacking:
            self._pull(host_id, lacking)
        else:
            self._agree(host_id, vector.store_age_ms, vector.ready)
        newer = self._table.newer_than(versions)
        if newer:
            self._send(host_id, Have(versions=newer))

    def _mine(self, versions: list[Version]) -> list[Version]:
        return [one for one in versions if one[0].startswith(self._prefixes)]

    def _pull(self, host_id: str, lacking: list[Version]) -> None:
        now_s = self._clock.seconds()
        keys = [
            key
            for key, _ in lacking
            if now_s >= self._asked.get(key, float("-inf")) + PULL_AGAIN_S
        ][:PULLED_AT_ONCE]
        if not keys:
            return
        for key in keys:
            self._asked[key] = now_s
        self.counts.pulled += len(keys)
        self._send(host_id, Pull(keys=keys))

    def _agree(self, host_id: str, store_age_ms: int, ready: bool) -> None:
        """Note that this host holds all that another one does."""
        if store_age_ms != NEVER_MS:
            # Only with equal or newer versions is the other's news of the store ours.
            heard_s = self._clock.seconds() - store_age_ms / 1_000
            if self._store_heard_s is None or heard_s > self._store_heard_s:
                self._store_heard_s = heard_s
            if self._clock.seconds() - self._store_heard_s <= FRESH_S:
                self._set_ready()
        if self._ready or not ready:
            return
        self._agreeing.add(host_id)
        mine = set(self._places.domain_members)
        everyone = mine.union(self._places.others)
        if _is_majority(self._agreeing, mine) or _is_majority(self._agreeing, everyone):
            self._set_ready()

    def _set_ready(self) -> None:
        self._ready = True
        self._agreeing.clear()

    def _ask_others(self) -> None:
        waiting = [
            one
            for one in (*self._places.domain_members, *self._places.others)
            if one != self._host.id and one not in self._agreeing
        ]
        for host_id in self._rng.sample(waiting, min(ASKED_AT_ONCE, len(waiting))):
            self._send(host_id, Ask())

    def _beat(self) -> None:
        self._beats += 1
        target = self._beat_target()
        if target is not None:
            self._send(
                target,
                Digest(
                    checksum=self._table.checksum(),
                    store_age_ms=self._store_age_ms(),
                    ready=self._ready,
                ),
            )

    def _beat_target(self) -> str | None:
        others, partners = self._places.others, self._places.partners
        if others and (self._beats % OTHER_DOMAIN_EVERY == 0 or not partners):
            return self._rng.choice(others)
        if not partners:
            return None
        return partners[self._beats % len(partners)]

    def _vector(self) -> Vector:
        return Vector(
            versions=self._table.versions(),
            store_age_ms=self._store_age_ms(),
            ready=self._ready,
        )

    def _store_age_s(self) -> float | None:
        if self._store_heard_s is None:
            return None
        return self._clock.seconds() - self._store_heard_s

    def _store_age_ms(self) -> int:
        age_s = self._store_age_s()
        return NEVER_MS if age_s is None else int(age_s * 1_000)

    def _send(self, host_id: str, message: AnyMessage) -> None:
        data = encode(message)
        self.counts.sent_messages += 1
        self.counts.sent_bytes += len(data)
        if not self._peers.send(host_id, data):
            self.counts.send_dropped += 1


_COUNT_FIELDS = fields(SpreadCounts)


def _is_majority(some: set[str], everyone: set[str]) -> bool:
    return 2 * len(some & everyone) > len(everyone)
