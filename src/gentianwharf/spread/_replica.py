"""The replica of the store's values on one host."""

from collections.abc import Callable, Sequence
from typing import final

from gentianwharf.infra import VersionedValue

from ._messages import Version
from ._state import SpreadCounts
from ._versions import VersionTable


@final
class Replica:
    """Holds the newest values under ``prefixes``; others are dropped.

    A prefix that does not end with a slash is a single key. ``on_accepted`` is called
    for each value that is newer than the one held before.
    """

    def __init__(
        self,
        *,
        prefixes: Sequence[str],
        counts: SpreadCounts,
        on_accepted: Callable[[VersionedValue], None],
    ) -> None:
        self.table = VersionTable()
        self._prefixes = tuple(prefixes)
        self._counts = counts
        self._on_accepted = on_accepted

    def replicates(self, key: str) -> bool:
        """Return whether ``key`` is under one of the prefixes."""
        return any(
            key.startswith(prefix) if prefix.endswith("/") else key == prefix
            for prefix in self._prefixes
        )

    def select(self, versions: list[Version]) -> list[Version]:
        """Return those of ``versions`` whose keys are replicated on this host."""
        return [version for version in versions if self.replicates(version[0])]

    def accept(self, value: VersionedValue) -> bool:
        """Store a value if it is newer than the one held; return whether it was."""
        if not self.replicates(value.key):
            return False
        if not self.table.update(value):
            self._counts.stale_dropped += 1
            return False
        self._counts.accepted += 1
        self._on_accepted(value)
        return True
