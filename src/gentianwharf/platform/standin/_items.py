"""Items, leases and change history of a stand-in for the platform's store."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import final

from gentianwharf.store import Change, Item, Removal

MAX_HISTORY = 2000
"""Number of changes that are kept for watches; older ones are discarded."""

TimeSource = Callable[[], float]


class ConditionError(Exception):
    """A condition of the change does not hold."""


class UnknownLeaseError(Exception):
    """The lease was never opened, or has ended."""


@final
@dataclass(kw_only=True, slots=True)
class _Lease:
    duration_s: float
    until_s: float
    keys: set[str] = field(default_factory=set)


@final
class Items:
    """An in-memory store with a revision for each change, and items bound to leases.

    >>> items = Items(now_s=lambda: 0.0)
    >>> from gentianwharf.store import Put
    >>> items.change(Change(puts=(Put(key="a", value=b"1"),)))
    2
    >>> [item.key for item in items.with_prefix("")]
    ['a']
    >>> items.changes_after("", 1)[0].revision
    2
    """

    def __init__(self, *, now_s: TimeSource) -> None:
        self.revision = 1
        self.listeners: list[Callable[[], None]] = []
        self._now_s = now_s
        self._items: dict[str, Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[Item | Removal] = []
        self._history_from = 0
        """Revision after which all changes are known."""
        self._last_lease_id = 0

    def get(self, key: str) -> Item | None:
        """Return an item, or None if it doesn't exist."""
        return self._items.get(key)

    def with_prefix(self, prefix: str) -> list[Item]:
        """Return all items whose keys start with a prefix, sorted by key."""
        found = [item for key, item in self._items.items() if key.startswith(prefix)]
        return sorted(found, key=lambda item: item.key)

    def changes_after(self, prefix: str, revision: int) -> list[Item | Removal] | None:
        """Return the changes below a prefix, or None if the history is too short."""
        if revision < self._history_from:
            return None
        return [
            change
            for change in self._history
            if change.revision > revision and change.key.startswith(prefix)
        ]

    def change(self, change: Change) -> int:
        """Apply a change atomically and return its revision.

        Raises ``ConditionError`` or ``UnknownLeaseError``, and then changes nothing.
        """
        for key, revision in change.expected.items():
            current = self._items.get(key)
            if (current.revision if current is not None else 0) != revision:
                raise ConditionError(key)
        for put in change.puts:
            if put.lease_id and put.lease_id not in self._leases:
                raise UnknownLeaseError(put.lease_id)
        self.revision += 1
        for put in change.puts:
            item = Item(
                key=put.key,
                value=put.value,
                revision=self.revision,
                lease_id=put.lease_id,
            )
            self._put(item)
        self._remove(change.removals)
        self._notify_listeners()
        return self.revision

    def open_lease(self, duration_s: float) -> int:
        """Open a lease that starts now, and return its id."""
        self._last_lease_id += 1
        until_s = self._now_s() + duration_s
        lease = _Lease(duration_s=duration_s, until_s=until_s)
        self._leases[self._last_lease_id] = lease
        return self._last_lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Renew a lease for its full duration, and return that in seconds."""
        lease = self._leases.get(lease_id)
        if lease is None:
            raise UnknownLeaseError(lease_id)
        lease.until_s = self._now_s() + lease.duration_s
        return lease.duration_s

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its items."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            raise UnknownLeaseError(lease_id)
        if lease.keys:
            self.revision += 1
            self._remove(sorted(lease.keys))
            self._notify_listeners()

    def revoke_leases(self, lease_ids: Iterable[int]) -> int:
        """End leases early that have items, and count these items."""
        keys = self._leased_keys(lease_ids)
        for lease_id in keys:
            self.end_lease(lease_id)
        return sum(map(len, keys.values()))

    def revoke_items(self, lease_ids: Iterable[int]) -> int:
        """Remove the items of leases, and count them; the leases live on."""
        keys = sorted(
            key for each in self._leased_keys(lease_ids).values() for key in each
        )
        if keys:
            self.revision += 1
            self._remove(keys)
            self._notify_listeners()
        return len(keys)

    def _leased_keys(self, lease_ids: Iterable[int]) -> dict[int, set[str]]:
        """Return the keys of each lease that has any."""
        return {
            lease_id: set(self._leases[lease_id].keys)
            for lease_id in lease_ids
            if lease_id in self._leases and self._leases[lease_id].keys
        }

    def expire(self) -> None:
        """End the expired leases; to be called a few times per second."""
        now_s = self._now_s()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.until_s <= now_s
        ]
        for lease_id in expired:
            self.end_lease(lease_id)

    def drop_history(self) -> None:
        """Discard all changes, so that clients with a watch must read the items again.

        The revision increases, so that this includes clients that are up to date.
        """
        self.revision += 1
        self._history_from = self.revision
        self._history.clear()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    def _put(self, item: Item) -> None:
        self._detach_from_lease(item.key)
        self._items[item.key] = item
        if item.lease_id:
            self._leases[item.lease_id].keys.add(item.key)
        self._append_to_history(item)

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            if key in self._items:
                self._detach_from_lease(key)
                del self._items[key]
                self._append_to_history(Removal(key=key, revision=self.revision))

    def _detach_from_lease(self, key: str) -> None:
        item = self._items.get(key)
        if item is not None and item.lease_id in self._leases:
            self._leases[item.lease_id].keys.discard(key)

    def _append_to_history(self, change: Item | Removal) -> None:
        self._history.append(change)
        if len(self._history) > MAX_HISTORY:
            del self._history[:-MAX_HISTORY]
            self._history_from = max(self._history_from, self._history[0].revision - 1)
