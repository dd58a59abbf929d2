"""The interface of a store with revisions, conditional writes, leases and watches."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol, final

from gentianwharf.errors import GentianwharfError


class HistoryGoneError(GentianwharfError):
    """The store no longer has the changes after the requested revision."""


class CallAbandonedError(GentianwharfError):
    """A read was cancelled because the store had answered later calls.

    It can be repeated at once.
    """


class LeaseEndedError(GentianwharfError):
    """The store has no such lease, or no longer has it."""


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
    """An item that was removed at ``revision``."""

    key: str
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """All items below a prefix; ``revision`` is the store's revision at the time."""

    items: tuple[Item, ...]
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Events:
    """Changes in order; the next watch continues after ``revision``."""

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
    """A change that is made as a whole if every expected key has its given revision.

    An expected revision of 0 means that the key must not exist.
    """

    expected: Mapping[str, int] = field(default_factory=dict)
    puts: Sequence[Put] = ()
    removals: Sequence[str] = ()


class Store(Protocol):
    """Calls to the store, each with a bounded duration.

    All of them raise ``PeerUnavailableError`` if the store did nothing, and
    ``OutcomeUnknownError`` if the call may have taken effect or may still take effect
    seconds later. Reads may raise ``CallAbandonedError``.
    """

    async def items(self, prefix: str) -> Page:
        """Return all items below a prefix, as of the returned revision."""

    async def item(self, key: str) -> Item | None:
        """Return an item, None if it does not exist."""

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_s: float,
        on_response_start: Callable[[], None] = lambda: None,
    ) -> Events:
        """Return the changes below a prefix, waiting up to ``wait_s`` for the first.

        ``on_response_start`` is called once the answer has begun to arrive. Raises
        ``HistoryGoneError`` if all items have to be read again.
        """

    async def change(self, change: Change) -> int:
        """Make a change, return its revision; ``ConflictError`` if a check fails."""

    async def open_lease(self, duration_s: float) -> int:
        """Open a lease that lasts ``duration_s`` from the arrival of the call."""

    async def renew_lease(self, lease_id: int) -> float:
        """Restart the duration of a lease; ``LeaseEndedError`` if it has ended."""

    async def end_lease(self, lease_id: int) -> None:
        """End a lease; its items are removed at once."""
