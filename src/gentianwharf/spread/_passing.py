"""The way of a new value down the trees of its failure domain, and to the others."""

from collections.abc import Callable
from typing import final

from gentianwharf.platform import VersionedValue

from ._messages import AnyMessage, Have, Push, Version
from ._packing import PackedValues
from ._places import Places
from ._versions import VersionTable


@final
class Passing:
    """Sends values and versions on; ``passed_on`` counts the messages.

    No message goes in circles, though lists of hosts differ: in every list the
    children of a host come after it in the order of hashes, which is the same for all.
    """

    def __init__(
        self,
        *,
        places: Places,
        table: VersionTable,
        packed: PackedValues,
        send: Callable[[str, AnyMessage], None],
    ) -> None:
        self._places = places
        self._table = table
        self._packed = packed
        self._send = send
        self._pushed: dict[str, int] = {}
        self.passed_on = 0

    def begin(self, values: list[VersionedValue]) -> None:
        """Start the way of values that this host has from the store itself."""
        if not values:
            return
        root = self._places.host_id
        versions = [(one.key, one.revision) for one in values]
        # The first watcher sends bodies. The others send versions only, down trees
        # of their own: who got the body already then costs a few bytes.
        if self._places.watch_rank == 0:
            for value in values:
                self.push_on(value, root)
        else:
            self.have_on(versions, root)
        for head in self._places.heads:
            self._send(head, Have(versions=versions))

    def push_on(self, value: VersionedValue, root: str) -> None:
        """Send the body of a value on down the tree of ``root``, once.

        Also when this host had the value already, as the second watcher does: the
        hosts below it wait for the body.
        """
        held = self._table.revision(value.key)
        if value.revision != held or self._pushed.get(value.key) == held:
            return
        self._pushed[value.key] = held
        push = Push(
            key=value.key, packed=self._packed.of(value), revision=held, root=root
        )
        self._to_children(root, push)

    def have_on(self, versions: list[Version], root: str) -> None:
        """Send versions on down the tree of ``root``."""
        self._to_children(root, Have(versions=versions, root=root))

    def tell_partners(self, value: VersionedValue) -> None:
        """Announce a value that came by no tree, so that others may lack it too."""
        for partner in self._places.partners:
            self._send(partner, Have(versions=[(value.key, value.revision)]))

    def _to_children(self, root: str, message: AnyMessage) -> None:
        for child in self._places.children(root):
            self.passed_on += 1
            self._send(child, message)
