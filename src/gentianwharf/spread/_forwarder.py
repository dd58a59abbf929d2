"""Forwarding of new values in trees of a failure domain, and to other domains."""

from collections.abc import Callable
from typing import final

from gentianwharf.infra import VersionedValue

from ._delta import checksum, make_delta
from ._messages import AnyMessage, Delta, Have, Push, Version
from ._overlay import Overlay
from ._packing import PackedValues, pack
from ._versions import VersionTable

MIN_DELTA_VALUE_BYTES = 512
"""Packed values smaller than this are sent complete: a delta would save little."""

MIN_DELTA_RATIO = 2
"""Minimum ratio of the size of the packed value to that of its delta. A host without
the base costs two more messages and the complete value."""


@final
class Forwarder:
    """Forwards values and versions; ``forwarded`` counts the messages.

    Messages don't loop even if hosts have different host lists: the children of a host
    always come after it in the order of hashes, which is the same on all hosts.
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
        self._forwarded_revisions: dict[str, int] = {}
        self.forwarded = 0

    def start(self, values: list[VersionedValue]) -> None:
        """Start forwarding values that this host read from the store or wrote to it."""
        if not values:
            return
        root = self._overlay.host_id
        versions = [(value.key, value.revision) for value in values]
        # The first watcher sends bodies. The others send only versions, in trees of
        # their own, which costs few bytes for a host that already has the body.
        if self._overlay.watch_rank == 0:
            for value in values:
                self.forward(self._root_message(value, root))
        else:
            self.forward_versions(versions, root)
        for watcher in self._overlay.remote_watchers:
            self._send(watcher, Have(versions=versions))

    def forward(self, message: Push | Delta) -> None:
        """Forward a value in the tree of its root, once and unchanged.

        It is forwarded even if this host already had the value, as the second watcher
        does, or lacks the base of a delta: the hosts below depend on the message.
        """
        key, revision = message.key, message.revision
        if revision < max(
            self._table.revision(key), self._forwarded_revisions.get(key, 0) + 1
        ):
            return
        self._forwarded_revisions[key] = revision
        self._send_to_children(message.root, revision, message)

    def forward_versions(self, versions: list[Version], root: str) -> None:
        """Forward versions in the tree of ``root``."""
        newest = max((revision for _, revision in versions), default=0)
        self._send_to_children(root, newest, Have(versions=versions, root=root))

    def _root_message(self, value: VersionedValue, root: str) -> Push | Delta:
        """Return the message to forward: a delta if it is much smaller, else a push."""
        packed = self._packed.get(value)
        previous = self._table.previous(value.key)
        if previous is not None and len(packed) >= MIN_DELTA_VALUE_BYTES:
            delta = pack(make_delta(previous.value, value.value))
            if len(delta) * MIN_DELTA_RATIO <= len(packed):
                return Delta(
                    key=value.key,
                    base=previous.revision,
                    packed=delta,
                    revision=value.revision,
                    checksum=checksum(value.value),
                    root=root,
                )
        return Push(key=value.key, packed=packed, revision=value.revision, root=root)

    def announce_to_partners(self, value: VersionedValue) -> None:
        """Announce a value that was not received in a tree; others may lack it too."""
        for partner in self._overlay.partners:
            self._send(partner, Have(versions=[(value.key, value.revision)]))

    def _send_to_children(self, root: str, revision: int, message: AnyMessage) -> None:
        for child in self._overlay.children(root, revision):
            self.forwarded += 1
            self._send(child, message)
