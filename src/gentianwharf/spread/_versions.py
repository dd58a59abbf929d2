"""The values that a host holds, each at the highest revision received.

This guards against going back to an older rule list or table. An older value can come
from a peer that was disconnected, from a late answer to a watch, or from a host that
restarted. It has a lower revision, since the store's revisions only increase, and is
dropped regardless of its sender.
"""

from collections.abc import Iterable
from typing import final

import xxhash

from gentianwharf.infra import ABSENT_REVISION, VersionedValue

from ._messages import Version


@final
class VersionTable:
    """Values by key; the revision of a key never decreases.

    >>> table = VersionTable()
    >>> table.update(VersionedValue(key="rules", value=b"new", revision=8))
    True
    >>> table.update(VersionedValue(key="rules", value=b"old", revision=7))
    False
    """

    def __init__(self) -> None:
        self._values: dict[str, VersionedValue] = {}
        self._previous: dict[str, VersionedValue] = {}
        self._checksum: int | None = None

    def __len__(self) -> int:
        return len(self._values)

    def update(self, value: VersionedValue) -> bool:
        """Store a value if it is newer than the one held; return whether it was."""
        if value.revision <= self.revision(value.key):
            return False
        if value.key in self._values:
            self._previous[value.key] = self._values[value.key]
        self._values[value.key] = value
        self._checksum = None
        return True

    def get(self, key: str) -> VersionedValue | None:
        """Return the value held, None if there is none."""
        return self._values.get(key)

    def previous(self, key: str) -> VersionedValue | None:
        """Return the previous value of a key; most other hosts have it too."""
        return self._previous.get(key)

    def revision(self, key: str) -> int:
        """Return the revision held, 0 if there is none."""
        value = self._values.get(key)
        return ABSENT_REVISION if value is None else value.revision

    def versions(self) -> list[Version]:
        """Return the key and revision of every value, sorted by key."""
        return [(key, self._values[key].revision) for key in sorted(self._values)]

    def highest_revision(self) -> int:
        """Return the highest revision held, 0 if the table is empty."""
        return max(
            (value.revision for value in self._values.values()), default=ABSENT_REVISION
        )

    def checksum(self) -> int:
        """Return a checksum that is equal only for tables with the same versions."""
        if self._checksum is None:
            digest = xxhash.xxh3_64()
            for key, revision in self.versions():
                digest.update(f"{key}\0{revision}\n".encode())
            self._checksum = digest.intdigest()
        return self._checksum

    def missing(self, versions: Iterable[Version]) -> list[Version]:
        """Return those of ``versions`` that are newer than the versions held."""
        return [
            (key, revision)
            for key, revision in versions
            if revision > self.revision(key)
        ]

    def newer_than(self, versions: Iterable[Version]) -> list[Version]:
        """Return the versions held that are newer than ``versions``."""
        theirs = dict(versions)
        return [
            (key, revision)
            for key, revision in self.versions()
            if revision > theirs.get(key, ABSENT_REVISION)
        ]
