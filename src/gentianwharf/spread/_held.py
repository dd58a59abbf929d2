"""The values that a host carries, and who is told of a newer one."""

from collections.abc import Callable, Sequence
from typing import final

from gentianwharf.infra import VersionedValue

from ._messages import Version
from ._state import SpreadCounts
from ._versions import VersionTable


@final
class HeldValues:
    """The newest values under ``prefixes``; others are neither taken nor passed on.

    A prefix that does not end with a slash is one key. ``on_taken`` is called for
    each value that is newer than the one before.
    """

    def __init__(
        self,
        *,
        prefixes: Sequence[str],
        counts: SpreadCounts,
        on_taken: Callable[[VersionedValue], None],
    ) -> None:
        self.table = VersionTable()
        self._prefixes = tuple(prefixes)
        self._counts = counts
        self._on_taken = on_taken

    def carries(self, key: str) -> bool:
        """Say whether ``key`` is under one of the prefixes."""
        return any(
            key.startswith(prefix) if prefix.endswith("/") else key == prefix
            for prefix in self._prefixes
        )

    def carried(self, versions: list[Version]) -> list[Version]:
        """Return those of ``versions`` that this host carries."""
        return [one for one in versions if self.carries(one[0])]

    def take(self, value: VersionedValue) -> bool:
        """Take a value if it is newer than the one held; say whether it was."""
        if not self.carries(value.key):
            return False
        if not self.table.offer(value):
            self._counts.stale_dropped += 1
            return False
        self._counts.accepted += 1
        self._on_taken(value)
        return True
