"""Changed values as a leader tells them: large ones against what they replace."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import groupby
from operator import attrgetter
from typing import final

from gentianwharf.store import Events, Item, Removal

from ._compression import compressed, decompressed
from ._messages import Change

SMALL_BYTES = 300
"""Values up to this are sent as they are."""


MOST_PART_BYTES = 100_000
"""Of several changes told to a single host in one message: a second of what it may be
told."""


class UnknownBaseError(Exception):
    """A change that is told against a value that this host doesn't have."""


@final
class ToldValues:
    """The leader's memory of what the others have been told."""

    def __init__(self) -> None:
        self._told: dict[str, Item] = {}

    def forget(self) -> None:
        """Tell whole values from now on."""
        self._told.clear()

    def change(self, change: Item | Removal) -> Change:
        """Return a change for hosts that were told what came before it."""
        if isinstance(change, Removal):
            self._told.pop(change.key, None)
            return whole(change)
        value, base_revision = change.value, None
        if len(value) > SMALL_BYTES:
            base = self._told.get(change.key)
            self._told[change.key] = change
            base_revision = base.revision if base is not None else 0
            value = compressed(value, base.value if base is not None else b"")
        return Change(
            change.key, change.revision, value, change.lease_id, base_revision
        )


def whole(change: Item | Removal) -> Change:
    """Return a change for a host of which nothing is known."""
    if isinstance(change, Removal):
        return Change(change.key, change.revision, None, 0, None)
    value = compressed(change.value, b"")
    return Change(change.key, change.revision, value, change.lease_id, 0)


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Part:
    """Changes for one host, all that there were up to a revision."""

    revision: int
    changes: list[Change]


def first_part(lacking: Events) -> Part:
    """Return the oldest changes that one message may hold.

    At least those of one revision, however large: told nothing for its size, a host
    would lack all that came after it as well.
    """
    told: list[Change] = []
    size = until = 0
    for revision, changes in groupby(lacking.changes, key=attrgetter("revision")):
        packed = [whole(one) for one in changes]
        size += sum(len(one.value or b"") for one in packed)
        if told and size > MOST_PART_BYTES:
            return Part(revision=until, changes=told)
        told += packed
        until = revision
    return Part(revision=lacking.revision, changes=told)


def decoded(change: Change, *, item: Callable[[str], Item | None]) -> Item | Removal:
    """Return what was told; ``item`` finds what this host has.

    Raises ``UnknownBaseError`` and ``InputError``: the store has what was told.
    """
    if change.value is None:
        return Removal(key=change.key, revision=change.revision)
    value = change.value
    if change.base_revision is not None:
        known = item(change.key)
        if known is not None and known.revision >= change.revision:
            # This host's own watch was quicker, and it no longer has the value that
            # the change is told against.
            return known
        value = decompressed(value, _base(known, change))
    return Item(
        key=change.key,
        value=value,
        revision=change.revision,
        lease_id=change.lease_id,
    )


def _base(known: Item | None, change: Change) -> bytes:
    if not change.base_revision:
        return b""
    if known is None or known.revision != change.base_revision:
        got = known.revision if known is not None else None
        raise UnknownBaseError(
            f"{change.key}: expected revision {change.base_revision}, got {got}"
        )
    return known.value
