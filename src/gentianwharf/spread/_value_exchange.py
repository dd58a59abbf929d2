"""Exchange of values with peers: pushed, sent as a delta, or pulled."""

from collections.abc import Callable
from typing import final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.infra import VersionedValue

from ._delta import apply_delta, checksum
from ._forwarder import Forwarder
from ._messages import AnyMessage, Delta, Have, Pull, Push, Version
from ._packing import PackedValues, unpack
from ._pulls import MAX_KEYS_PER_PULL, PULL_DELAY_S, PullQueue
from ._replica import Replica
from ._state import SpreadCounts

MAX_UNREQUESTED_PUSH_BYTES = 16_000
"""A value up to this size is pushed to a host that lacks it without an announcement.
This saves two messages, each of which can be lost."""


@final
class ValueExchange:
    """Applies values from peers, forwards them, and updates peers that are behind."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        replica: Replica,
        packed: PackedValues,
        forwarder: Forwarder,
        pulls: PullQueue,
        counts: SpreadCounts,
        send: Callable[[str, AnyMessage], None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._packed = packed
        self._forwarder = forwarder
        self._pulls = pulls
        self._counts = counts
        self._send = send
        self._is_ready = is_ready

    def on_push(self, host_id: str, push: Push) -> None:
        """Apply a complete value and forward it."""
        body = unpack(push.packed, peer=host_id)
        value = VersionedValue(key=push.key, value=body, revision=push.revision)
        accepted = self._replica.accept(value)
        if accepted:
            self._packed.put(value, push.packed)
        else:
            self._update_stale_peer(host_id, [(push.key, push.revision)])
        if push.root and self._replica.replicates(push.key):
            self._forwarder.forward(push)
        elif accepted and self._is_ready():
            # A starting host announces nothing: it pulls values that the others hold.
            self._forwarder.announce_to_partners(value)

    def on_delta(self, host_id: str, delta: Delta) -> None:
        """Apply a delta and forward it."""
        if not self._replica.replicates(delta.key):
            return
        held = self._replica.table.get(delta.key)
        if held is None or held.revision < delta.revision:
            self._apply(host_id, delta, held)
        else:
            self._update_stale_peer(host_id, [(delta.key, delta.revision)])
        self._forwarder.forward(delta)

    def _apply(self, host_id: str, delta: Delta, held: VersionedValue | None) -> None:
        """Apply the result of a delta.

        If the base is missing or the checksum differs, pull the complete value from
        the sender.
        """
        body = None
        if held is not None and held.revision == delta.base:
            steps = unpack(delta.packed, peer=host_id)
            body = apply_delta(held.value, steps, peer=host_id)
        if body is None or checksum(body) != delta.checksum:
            self._counts.delta_failures += 1
            wanted = [(delta.key, delta.revision)]
            self._pulls.request(host_id, wanted, now_s=self._clock.seconds())
            return
        value = VersionedValue(key=delta.key, value=body, revision=delta.revision)
        self._replica.accept(value)

    def on_have(self, host_id: str, have: Have) -> None:
        """Pull the values that this host lacks, and forward the versions."""
        missing = self._replica.select(self._replica.table.missing(have.versions))
        self._pulls.request(
            host_id,
            missing,
            now_s=self._clock.seconds(),
            wait_s=PULL_DELAY_S if have.root else 0.0,
        )
        self._update_stale_peer(host_id, have.versions)
        if have.root:
            self._forwarder.forward_versions(have.versions, have.root)

    def on_pull(self, host_id: str, pull: Pull) -> None:
        """Send the complete values that a peer requested."""
        for key in pull.keys[:MAX_KEYS_PER_PULL]:
            self._send_value(host_id, key)

    def send_newer(self, host_id: str, newer: list[Version]) -> None:
        """Push small values to a host that lacks them, and announce the others."""
        announced: list[Version] = []
        for key, revision in newer:
            value = self._replica.table.get(key)
            small = value is not None and len(value.value) <= MAX_UNREQUESTED_PUSH_BYTES
            if small and len(newer) <= MAX_KEYS_PER_PULL:
                self._send_value(host_id, key)
            else:
                announced.append((key, revision))
        if announced:
            self._send(host_id, Have(versions=announced))

    def _update_stale_peer(self, host_id: str, versions: list[Version]) -> None:
        """Send newer versions to a peer that holds older ones."""
        table = self._replica.table
        newer = [
            (key, table.revision(key))
            for key, revision in versions
            if table.revision(key) > revision
        ]
        self.send_newer(host_id, newer)

    def _send_value(self, host_id: str, key: str) -> None:
        value = self._replica.table.get(key)
        if value is not None:
            packed = self._packed.get(value)
            self._send(host_id, Push(key=key, packed=packed, revision=value.revision))
