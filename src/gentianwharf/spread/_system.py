"""Replication of changed values from the store to every host."""

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

from ._digests import DigestExchange
from ._forwarder import Forwarder
from ._messages import (
    AnyMessage,
    Delta,
    Digest,
    Have,
    Pull,
    Push,
    Vector,
    VectorRequest,
    decode,
    encode,
)
from ._overlay import STANDBY_WATCHERS, WATCHERS, Overlay
from ._packing import PackedValues
from ._pulls import PullQueue
from ._readiness import Readiness
from ._replica import Replica
from ._startup import StartupRequests
from ._state import SpreadCounts, SpreadState
from ._value_exchange import ValueExchange
from ._watch import StoreWatch

STANDBY_AFTER_S = 10.0
"""Age of the last store contact above which standby watchers start. It exceeds the sum
of a watch's wait, its retries and the time that digests take to spread the contact."""

HOST_LIST_WAIT_S = 1.0
"""How long a starting host waits for the host list before it assumes that it is the
only host. Without the wait, each host of a restarting fleet would read the store."""


class PeerTransport(Protocol):
    """Sends messages to other hosts."""

    def send(self, host_id: str, message: bytes) -> bool:
        """Queue a message; return False if it was dropped immediately."""


@final
class SpreadSystem:
    """Replicates the newest values under ``prefixes`` on this host.

    A prefix that does not end with a slash is a single key: ``rules`` does not match
    ``rules-history/1``.

    ``on_value`` is called once for each value that is newer than the one before;
    the revision of a key never decreases. Call ``tick`` every 50 to 100 ms.
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
        self._has_host_list = False
        self._on_value = on_value
        self.counts = SpreadCounts()
        self._overlay = Overlay(host=host)
        self._started_s = clock.seconds()
        self._readiness = Readiness(started_s=self._started_s)
        self._pulls = PullQueue(send_pull=self._send_pull)
        self._replica = Replica(
            prefixes=prefixes, counts=self.counts, on_accepted=self._on_accepted
        )
        # A single watch covers all prefixes, since a waiting watch counts as a store
        # call.
        self._watch = StoreWatch(
            store=store,
            clock=clock,
            rng=rng,
            prefix=commonprefix(list(prefixes)),
            on_values=self._on_store_values,
        )
        self._build_exchange(rng)

    def _build_exchange(self, rng: Random) -> None:
        packed = PackedValues()
        self._forwarder = Forwarder(
            overlay=self._overlay,
            table=self._replica.table,
            packed=packed,
            send=self._send,
        )
        self._values = ValueExchange(
            clock=self._clock,
            replica=self._replica,
            packed=packed,
            forwarder=self._forwarder,
            pulls=self._pulls,
            counts=self.counts,
            send=self._send,
            is_ready=lambda: self.ready,
        )
        self._digests = DigestExchange(
            clock=self._clock,
            rng=rng,
            replica=self._replica,
            overlay=self._overlay,
            readiness=self._readiness,
            pulls=self._pulls,
            send_newer=self._values.send_newer,
            send=self._send,
        )
        self._startup = StartupRequests(
            overlay=self._overlay,
            readiness=self._readiness,
            rng=rng,
            request=lambda host_id: self._send(host_id, VectorRequest()),
        )

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Set the list of live hosts of all failure domains; call when it changes."""
        self._overlay.set_hosts(hosts)
        self._has_host_list = True

    def value(self, key: str) -> VersionedValue | None:
        """Return the newest value of ``key`` that this host holds."""
        return self._replica.table.get(key)

    @property
    def ready(self) -> bool:
        """Whether the values are known to be current enough to act on."""
        return self._readiness.ready

    def state(self) -> SpreadState:
        """Return the state for operators."""
        return SpreadState(
            ready=self.ready,
            watching=self._watch.running,
            keys=len(self._replica.table),
            highest_revision=self._replica.table.highest_revision(),
            checksum=self._replica.table.checksum(),
            store_age_s=self._digests.store_age_s(),
            store_calls=self._watch.calls,
            counts=replace(self.counts, forwarded=self._forwarder.forwarded),
        )

    def tick(self) -> None:
        """Start or stop the watch, and send the pulls and digests that are due."""
        now_s = self._clock.seconds()
        self._update_watch(now_s)
        self._pulls.tick(now_s=now_s)
        if not self.ready:
            self._startup.tick(now_s=now_s)
        self._digests.tick(now_s=now_s)

    def close(self) -> None:
        """Stop the watch."""
        self._watch.stop()

    def publish(self, value: VersionedValue) -> None:
        """Apply and forward a value that this host wrote to the store."""
        if self._replica.accept(value):
            self._forwarder.start([value])

    def received(self, host_id: str, message: bytes) -> None:
        """Handle a message from a host; malformed ones are counted and dropped."""
        try:
            self._handle(host_id, decode(message, peer=host_id))
        except PeerMismatchError:
            self.counts.malformed += 1

    def _handle(self, host_id: str, message: AnyMessage) -> None:
        match message:
            case Push():
                self._values.on_push(host_id, message)
            case Delta():
                self._values.on_delta(host_id, message)
            case Have():
                self._values.on_have(host_id, message)
            case Digest():
                self._digests.on_digest(host_id, message)
            case Vector():
                self._digests.on_vector(host_id, message)
            case VectorRequest():
                self._digests.send_vector(host_id)
            case Pull():
                self._values.on_pull(host_id, message)

    def _update_watch(self, now_s: float) -> None:
        if not self._has_host_list and now_s < self._started_s + HOST_LIST_WAIT_S:
            return
        rank = self._overlay.watch_rank
        contact_s = self._readiness.last_contact_s
        contact_age_s = now_s - (self._started_s if contact_s is None else contact_s)
        # If the watchers are dead but still listed, their failure domain receives no
        # changes. The hosts next in rank then start to watch, one after the other,
        # and stop once there is contact with the store again.
        due = rank < WATCHERS or (
            rank < STANDBY_WATCHERS
            and contact_age_s > STANDBY_AFTER_S + (rank - WATCHERS)
        )
        if due:
            self._watch.start()
        else:
            self._watch.stop()

    def _on_store_values(self, values: list[VersionedValue]) -> None:
        changed = [value for value in values if self._replica.accept(value)]
        self._readiness.record_contact(self._clock.seconds())
        self._digests.update_readiness()
        self._forwarder.start(changed)

    def _on_accepted(self, value: VersionedValue) -> None:
        self._pulls.complete(value.key)
        try:
            self._on_value(value)
        except Exception:
            # Other hosts may be able to apply the value. If the exception propagated,
            # the value would not reach the hosts below this one in the tree, nor
            # would later values reach this host.
            self.counts.failed += 1
            log.exception(
                "value could not be applied",
                extra={"peer": value.key, "revision": value.revision},
            )

    def _send_pull(self, host_id: str, keys: list[str]) -> None:
        self.counts.pulled += len(keys)
        self._send(host_id, Pull(keys=keys))

    def _send(self, host_id: str, message: AnyMessage) -> None:
        data = encode(message)
        self.counts.sent_messages += 1
        self.counts.sent_bytes += len(data)
        if not self._peers.send(host_id, data):
            self.counts.send_dropped += 1
