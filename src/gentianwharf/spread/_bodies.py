"""Values that come from peers and go to them: whole, as a delta, or asked for."""

from collections.abc import Callable
from typing import final

from twisted.internet.interfaces import IReactorTime

from gentianwharf.infra import VersionedValue

from ._delta import apply_delta, checksum
from ._held import HeldValues
from ._messages import AnyMessage, Delta, Have, Pull, Push, Version
from ._packing import PackedValues, unpack
from ._passing import Passing
from ._pulls import BODY_WAIT_S, PULLED_AT_ONCE, Pulls
from ._state import SpreadCounts

PUSHED_UNASKED_BYTES = 16_000
"""A value up to this size is sent to a host that lacks it without asking first: two
messages fewer that can be lost."""


@final
class Bodies:
    """Takes what peers send, passes it on, and mends peers that are behind."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        held: HeldValues,
        packed: PackedValues,
        passing: Passing,
        pulls: Pulls,
        counts: SpreadCounts,
        send: Callable[[str, AnyMessage], None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._held = held
        self._packed = packed
        self._passing = passing
        self._pulls = pulls
        self._counts = counts
        self._send = send
        self._is_ready = is_ready

    def on_push(self, host_id: str, push: Push) -> None:
        """Take a whole value, and pass it on."""
        body = unpack(push.packed, peer=host_id)
        value = VersionedValue(key=push.key, value=body, revision=push.revision)
        taken = self._held.take(value)
        if taken:
            self._packed.keep(value, push.packed)
        else:
            self._mend_older(host_id, [(push.key, push.revision)])
        if push.root and self._held.carries(push.key):
            self._passing.pass_on(push)
        elif taken and self._is_ready():
            # A host that only starts pulls what all others have.
            self._passing.tell_partners(value)

    def on_delta(self, host_id: str, delta: Delta) -> None:
        """Take the value that a delta makes, and pass the delta on."""
        if not self._held.carries(delta.key):
            return
        held = self._held.table.get(delta.key)
        if held is None or held.revision < delta.revision:
            self._build(host_id, delta, held)
        else:
            self._mend_older(host_id, [(delta.key, delta.revision)])
        self._passing.pass_on(delta)

    def _build(self, host_id: str, delta: Delta, held: VersionedValue | None) -> None:
        """Take the value, or pull the whole from the sender when it can't be made."""
        body = None
        if held is not None and held.revision == delta.base:
            steps = unpack(delta.packed, peer=host_id)
            body = apply_delta(held.value, steps, peer=host_id)
        if body is None or checksum(body) != delta.checksum:
            self._counts.delta_failures += 1
            wanted = [(delta.key, delta.revision)]
            self._pulls.announced(host_id, wanted, now_s=self._clock.seconds())
            return
        value = VersionedValue(key=delta.key, value=body, revision=delta.revision)
        self._held.take(value)

    def on_have(self, host_id: str, have: Have) -> None:
        """Ask for what is lacking, and pass the versions on."""
        lacking = self._held.carried(self._held.table.lacking(have.versions))
        self._pulls.announced(
            host_id,
            lacking,
            now_s=self._clock.seconds(),
            wait_s=BODY_WAIT_S if have.root else 0.0,
        )
        self._mend_older(host_id, have.versions)
        if have.root:
            self._passing.have_on(have.versions, have.root)

    def on_pull(self, host_id: str, pull: Pull) -> None:
        """Send the values that a peer asks for, whole."""
        for key in pull.keys[:PULLED_AT_ONCE]:
            self._send_value(host_id, key)

    def bring(self, host_id: str, newer: list[Version]) -> None:
        """Bring a host what it lacks: small values at once, of others the version."""
        announced: list[Version] = []
        for key, revision in newer:
            value = self._held.table.get(key)
            small = value is not None and len(value.value) <= PUSHED_UNASKED_BYTES
            if small and len(newer) <= PULLED_AT_ONCE:
                self._send_value(host_id, key)
            else:
                announced.append((key, revision))
        if announced:
            self._send(host_id, Have(versions=announced))

    def _mend_older(self, host_id: str, versions: list[Version]) -> None:
        """Tell a peer that has an older version what the newer one is."""
        table = self._held.table
        newer = [
            (key, table.revision(key))
            for key, revision in versions
            if table.revision(key) > revision
        ]
        self.bring(host_id, newer)

    def _send_value(self, host_id: str, key: str) -> None:
        value = self._held.table.get(key)
        if value is not None:
            packed = self._packed.of(value)
            self._send(host_id, Push(key=key, packed=packed, revision=value.revision))
