"""Bodies of the responses of the platform's store."""

import msgspec

from gentianwharf.logs import log
from gentianwharf.store import Item

from ._units import decode_value


class ItemRow(msgspec.Struct):
    """An item, or the removal of one."""

    key: str
    revision: int
    # Absent from removal events.
    value: str | None = None
    lease: int = 0
    deleted: bool = False


class RangeResult(msgspec.Struct, rename="kebab"):
    """One page of items."""

    items: tuple[ItemRow, ...]
    has_more: bool
    # The store's revision at the time of the response.
    as_of: int


class WatchResult(msgspec.Struct, rename="kebab"):
    """The changes that a watch returned."""

    events: tuple[ItemRow, ...]
    as_of: int


class ChangeResult(msgspec.Struct):
    """The revision of a change."""

    revision: int


class LeaseResult(msgspec.Struct):
    """A lease and its duration."""

    # The duration of the lease, as a string with a unit.
    ttl_time: str
    lease: int = 0


def decode_item(item: ItemRow) -> Item:
    """Return an item; a value that can't be decoded becomes empty."""
    return Item(
        key=item.key,
        value=_decode_row_value(item),
        revision=item.revision,
        lease_id=item.lease,
    )


def _decode_row_value(item: ItemRow) -> bytes:
    try:
        return decode_value(item.value or "")
    except ValueError as error:
        # Raising here would discard the other items of the response on every attempt.
        # An empty value is rejected by the readers of this key, which then don't use
        # an older value either.
        log.error(
            "value can't be decoded: {}",
            error,
            extra={"step": "read-value", "peer": item.key, "revision": item.revision},
        )
        return b""
