"""The items, leases and history of a stand-in for the platform's store."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import final

from gentianwharf.store import Change, Item, Removal

HISTORY = 2000
"""Changes that a watch may ask for; older ones are gone."""

Clock = Callable[[], float]


class ConditionError(Exception):
    """A change whose condition does not hold."""


class UnknownLeaseError(Exception):
    """A lease that was never opened, or is over."""


@final
@dataclass(kw_only=True, slots=True)
class _Lease:
    duration_s: float
    until_s: float
    keys: set[str] = field(default_factory=set)


@final
class Items:
    """A store in memory: every change has a revision, and some items end with a lease.

    >>> items = Items(now_s=lambda: 0.0)
    >>> from gentianwharf.store import Put
    >>> items.change(Change(puts=(Put(key="a", value=b"1"),)))
    2
    >>> [item.key for item in items.with_prefix("")]
    ['a']
    >>> items.changes_after("", 1)[0].revision
    2
    """

    def __init__(self, *, now_s: Clock) -> None:
        self.revision = 1
        self.listeners: list[Callable[[], None]] = []
        self._now_s = now_s
        self._items: dict[str, Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[Item | Removal] = []
        self._last_lease_id = 0

    def get(self, key: str) -> Item | None:
        """Return an item, None if there is none."""
        return self._items.get(key)

    def with_prefix(self, prefix: str) -> list[Item]:
        """Return all items below a prefix, in the order of their keys."""
        found = [one for key, one in self._items.items() if key.startswith(prefix)]
        return sorted(found, key=lambda one: one.key)

    def changes_after(self, prefix: str, revision: int) -> list[Item | Removal] | None:
        """Return what changed below a prefix, None if that is no longer known."""
        if len(self._history) == HISTORY and revision < self._history[0].revision - 1:
            return None
        return [
            one
            for one in self._history
            if one.revision > revision and one.key.startswith(prefix)
        ]

    def change(self, change: Change) -> int:
        """Make a change whole, or raise ``ConditionError``; return its revision."""
        for key, revision in change.expected.items():
            known = self._items.get(key)
            if (known.revision if known is not None else 0) != revision:
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
        self._tell()
        return self.revision

    def open_lease(self, duration_s: float) -> int:
        """Open a lease that lasts from now."""
        self._last_lease_id += 1
        until_s = self._now_s() + duration_s
        lease = _Lease(duration_s=duration_s, until_s=until_s)
        self._leases[self._last_lease_id] = lease
        return self._last_lease_id

    def renew_lease(self, lease_id: int) -> float:
        """Let a lease begin anew; return how long it lasts."""
        lease = self._leases.get(lease_id)
        if lease is None:
            raise UnknownLeaseError(lease_id)
        lease.until_s = self._now_s() + lease.duration_s
        return lease.duration_s

    def end_lease(self, lease_id: int) -> None:
        """End a lease, and its items with it."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            raise UnknownLeaseError(lease_id)
        if lease.keys:
            self.revision += 1
            self._remove(sorted(lease.keys))
            self._tell()

    def expire(self) -> None:
        """End the leases whose time is over; to be called a few times a second."""
        now_s = self._now_s()
        over = [one for one, lease in self._leases.items() if lease.until_s <= now_s]
        for lease_id in over:
            self.end_lease(lease_id)

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()

    def _put(self, item: Item) -> None:
        self._forget_lease(item.key)
        self._items[item.key] = item
        if item.lease_id:
            self._leases[item.lease_id].keys.add(item.key)
        self._remember(item)

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            if key in self._items:
                self._forget_lease(key)
                del self._items[key]
                self._remember(Removal(key=key, revision=self.revision))

    def _forget_lease(self, key: str) -> None:
        known = self._items.get(key)
        if known is not None and known.lease_id in self._leases:
            self._leases[known.lease_id].keys.discard(key)

    def _remember(self, change: Item | Removal) -> None:
        self._history.append(change)
        del self._history[:-HISTORY]
