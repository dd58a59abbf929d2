"""Encoding of changed values between hosts: large values relative to former ones."""

from collections.abc import Callable
from dataclasses import dataclass
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


def decode_change(
    change: EncodedChange, *, item: Callable[[str], Item | None]
) -> Item | Removal:
    """Return the decoded change; ``item`` returns this host's current item of a key.

    Raises ``UnknownBaseError`` and ``InputError``; the value can then be read from the
    store.
    """
    if change.value is None:
        return Removal(key=change.key, revision=change.revision)
    value = change.value
    if change.base_revision is not None:
        current = item(change.key)
        if current is not None and current.revision >= change.revision:
            # This host's own watch was faster, and the value that the change was
            # encoded against has been replaced.
            return current
        value = decompress(value, _base(current, change))
    return Item(
        key=change.key,
        value=value,
        revision=change.revision,
        lease_id=change.lease_id,
    )


def _base(current: Item | None, change: EncodedChange) -> bytes:
    if not change.base_revision:
        return b""
    if current is None or current.revision != change.base_revision:
        actual = current.revision if current is not None else None
        raise UnknownBaseError(
            f"{change.key}: expected revision {change.base_revision}, got {actual}"
        )
    return current.value
