"""What a store with revisions, conditions, leases and watches says and is told."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol, final

from gentianwharf.errors import GentianwharfError


class HistoryGoneError(GentianwharfError):
    """The store no longer knows what happened after the revision asked for."""


class LeaseEndedError(GentianwharfError):
    """The store knows no such lease any more."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A stored value; ``revision`` is its last change, ``lease_id`` 0 without one."""

    key: str
    value: bytes
    revision: int
    lease_id: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Removal:
    """An item that is gone since ``revision``."""

    key: str
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """What stands below a prefix; ``revision`` is the store's when it answered."""

    items: tuple[Item, ...]
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Events:
    """Changes in their order; a next watch goes on after ``revision``."""

    changes: tuple[Item | Removal, ...]
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """An item to write."""

    key: str
    value: bytes
    lease_id: int = 0


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A change that takes effect whole, if every key has the revision given for it.

    A revision of 0 says that there is no such key.
    """

    expected: Mapping[str, int] = field(default_factory=dict)
    puts: Sequence[Put] = ()
    removals: Sequence[str] = ()


class Store(Protocol):
    """Calls to the store, each bounded in time.

    ``PeerUnavailableError``: the store did nothing. ``OutcomeUnknownError``: the call
    may have taken effect, or may still do so seconds later.
    """

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix, as of the revision that is returned."""

    async def item(self, key: str) -> Item | None:
        """Return an item, None if there is none."""

    async def watch(self, prefix: str, *, after_revision: int, wait_s: float) -> Events:
        """Return what changed below a prefix, waiting ``wait_s`` for something.

        Raises ``HistoryGoneError`` when the items have to be read anew.
        """

    async def change(self, change: Change) -> int:
        """Make a change and return its revision; ``ConflictError`` on a condition."""

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease that lasts so long from the arrival of the call."""

    async def renew_lease(self, lease_id: int) -> float:
        """Let a lease begin anew; ``LeaseEndedError`` when it is over."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; its items go at once."""
