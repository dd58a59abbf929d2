"""The way of a new value down the trees of its failure domain, and to the others."""

from collections.abc import Callable
from typing import final

from gentianwharf.infra import VersionedValue

from ._delta import checksum, make_delta
from ._messages import AnyMessage, Delta, Have, Push, Version
from ._overlay import Overlay
from ._packing import PackedValues, pack
from ._versions import VersionTable

LEAST_DELTA_FROM_BYTES = 512
"""Packed values below this go whole: there is little to gain."""

LEAST_GAIN = 2
"""How many times smaller a delta must be: a host without its base costs two messages
and the whole value more."""


@final
class Passing:
    """Sends values and versions on; ``forwarded`` counts the messages.

    No message goes in circles, though lists of hosts differ: in every list the
    children of a host come after it in the order of hashes, which is the same for all.
    """

    def __init__(
        self,
        *,
        overlay: Overlay,
        table: VersionTable,
        packed: PackedValues,
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self._overlay = overlay
        self._table = table
        self._packed = packed
        self._send = send
        self._passed: dict[str, int] = {}
        self.forwarded = 0

    def begin(self, values: list[VersionedValue]) -> None:
        """Start the way of values that this host has from the store itself."""
        if not values:
            return
        root = self._overlay.host_id
        versions = [(one.key, one.revision) for one in values]
        # The first watcher sends bodies. The others send versions only, down trees
        # of their own: who got the body already then costs a few bytes.
        if self._overlay.watch_rank == 0:
            for value in values:
                self.pass_on(self._first(value, root))
        else:
            self.have_on(versions, root)
        for head in self._overlay.heads:
            self._send(head, Have(versions=versions))

    def pass_on(self, message: Push | Delta) -> None:
        """Send a value on down its root's tree, once, as it came.

        Also when this host had the value already, as the second watcher does, or lacks
        what a delta builds on: the hosts below it wait for the message.
        """
        key, revision = message.key, message.revision
        if revision < max(self._table.revision(key), self._passed.get(key, 0) + 1):
            return
        self._passed[key] = revision
        self._to_children(message.root, revision, message)

    def have_on(self, versions: list[Version], root: str) -> None:
        """Send versions on down the tree of ``root``."""
        newest = max((revision for _, revision in versions), default=0)
        self._to_children(root, newest, Have(versions=versions, root=root))

    def _first(self, value: VersionedValue, root: str) -> Push | Delta:
        """Return what goes down the tree: the delta where it is much smaller."""
        packed = self._packed.of(value)
        before = self._table.before(value.key)
        if before is not None and len(packed) >= LEAST_DELTA_FROM_BYTES:
            delta = pack(make_delta(before.value, value.value))
            if len(delta) * LEAST_GAIN <= len(packed):
                return Delta(
                    key=value.key,
                    base=before.revision,
                    packed=delta,
                    revision=value.revision,
                    checksum=checksum(value.value),
                    root=root,
                )
        return Push(key=value.key, packed=packed, revision=value.revision, root=root)

    def tell_partners(self, value: VersionedValue) -> None:
        """Announce a value that came by no tree, so that others may lack it too."""
        for partner in self._overlay.partners:
            self._send(partner, Have(versions=[(value.key, value.revision)]))

    def _to_children(self, root: str, revision: int, message: AnyMessage) -> None:
        for child in self._overlay.children(root, revision):
            self.forwarded += 1
            self._send(child, message)
