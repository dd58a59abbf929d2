"""Encoding of changed values between hosts: large values relative to former ones."""

from dataclasses import dataclass, replace
from itertools import groupby
from operator import attrgetter
from typing import final

from gentianwharf.store import Events, Item, Removal

from ._compression import compress, decompress
from ._peer_messages import EncodedChange

MAX_UNCOMPRESSED_BYTES = 300
"""Values up to this size are sent uncompressed."""


MAX_BATCH_BYTES = 100_000
"""Maximum size of the changes that are sent to a single host in one message. It takes
one second of the bandwidth reserved for single hosts."""


class UnknownBaseError(Exception):
    """The value that a change was encoded against is not available on this host."""


@final
class DeltaEncoder:
    """Encodes changes against the values that the other hosts have received."""

    def __init__(self) -> None:
        self._bases: dict[str, Item] = {}

    def reset(self) -> None:
        """Encode complete values until they have been sent again."""
        self._bases.clear()

    def encode(self, change: Item | Removal) -> EncodedChange:
        """Encode a change for hosts that received all earlier changes."""
        if isinstance(change, Removal):
            self._bases.pop(change.key, None)
            return encode_whole(change)
        value, base_revision = change.value, None
        if len(value) > MAX_UNCOMPRESSED_BYTES:
            base = self._bases.get(change.key)
            self._bases[change.key] = change
            base_revision = base.revision if base is not None else 0
            value = compress(value, base.value if base is not None else b"")
        return EncodedChange(
            change.key, change.revision, value, change.lease_id, base_revision
        )


def encode_whole(change: Item | Removal) -> EncodedChange:
    """Encode a change for a host whose state is unknown."""
    if isinstance(change, Removal):
        return EncodedChange(change.key, change.revision, None, 0, None)
    value = compress(change.value, b"")
    return EncodedChange(change.key, change.revision, value, change.lease_id, 0)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeBatch:
    """All changes for one host up to a revision."""

    revision: int
    changes: list[EncodedChange]


def first_batch(missing: Events) -> ChangeBatch:
    """Return the oldest changes that fit into one message.

    Changes of one revision are never divided, whatever their size: if they were left
    out as too large, the host would lack all later changes as well.
    """
    encoded: list[EncodedChange] = []
    size = until = 0
    for revision, changes in groupby(missing.changes, key=attrgetter("revision")):
        group = [encode_whole(change) for change in changes]
        size += sum(len(change.value or b"") for change in group)
        if encoded and size > MAX_BATCH_BYTES:
            return ChangeBatch(revision=until, changes=encoded)
        encoded += group
        until = revision
    return ChangeBatch(revision=missing.revision, changes=encoded)


MAX_BASE_BYTES = 4_000_000
"""Size of the values kept as bases. Most of them are also the host's current values,
and take no further memory; a table of 200 servers has 40 kB, rules have up to 1 MB."""

MAX_BASES_PER_KEY = 2
"""The last value that was sent to all hosts, and one that was sent to this host only:
the next change may be encoded against either."""


@final
class DeltaDecoder:
    """Decodes changes against the values that the leader has sent to this host.

    This host's own value may be newer than the one that a change was encoded against:
    if its watch was faster, and the leader's watch returned only the newest of several
    versions.
    """

    def __init__(self) -> None:
        self._bases: dict[tuple[str, int], Item] = {}
        """By key and revision, the last one received at the end."""
        self.base_bytes = 0

    def reset(self) -> None:
        """Discard all bases: the next changes come from another leader."""
        self._bases.clear()
        self.base_bytes = 0

    def decode(self, change: EncodedChange, current: Item | None) -> Item | Removal:
        """Return the decoded change, or this host's current item if that is not older.

        Raises ``UnknownBaseError`` and ``InputError``; the value then has to be
        requested from the leader or read from the store.
        """
        if change.value is None:
            self._drop(change.key, keep=0)
            return Removal(key=change.key, revision=change.revision)
        is_newest = current is None or current.revision < change.revision
        item = Item(
            key=change.key,
            value=change.value,
            revision=change.revision,
            lease_id=change.lease_id,
        )
        if change.base_revision is not None:
            base = self._base(change, current)
            if base is None and not is_newest and current is not None:
                return current
            item = replace(item, value=decompress(change.value, base or b""))
            self._keep(item, current)
        return item if is_newest or current is None else current

    def _base(self, change: EncodedChange, current: Item | None) -> bytes | None:
        """Return the value of the change's base.

        None if it is missing, but this host has the changed value or a newer one.
        """
        if not change.base_revision:
            return b""
        base = self._bases.get((change.key, change.base_revision))
        if base is not None:
            return base.value
        if current is not None and current.revision == change.base_revision:
            return current.value
        if current is not None and current.revision >= change.revision:
            return None
        actual = current.revision if current is not None else None
        raise UnknownBaseError(
            f"{change.key}: expected revision {change.base_revision}, got {actual}"
        )

    def _keep(self, item: Item, current: Item | None) -> None:
        is_known = (item.key, item.revision) in self._bases
        if is_known or len(item.value) <= MAX_UNCOMPRESSED_BYTES:
            return
        if current is not None and current.revision == item.revision:
            item = current
        self._drop(item.key, keep=MAX_BASES_PER_KEY - 1)
        self._bases[item.key, item.revision] = item
        self.base_bytes += len(item.value)
        while self.base_bytes > MAX_BASE_BYTES:
            self._remove(next(iter(self._bases)))

    def _drop(self, key: str, *, keep: int) -> None:
        """Discard the bases of a key, except for the last ones."""
        known = [base for base in self._bases if base[0] == key]
        for base in known[: len(known) - keep]:
            self._remove(base)

    def _remove(self, base: tuple[str, int]) -> None:
        self.base_bytes -= len(self._bases.pop(base).value)
