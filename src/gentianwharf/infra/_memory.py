"""A store and a host list in memory, on the clock that they are given.

They keep the contract of ``KeyValueStore`` and ``HostList`` exactly: the stand-in
serves them over HTTP, and tests use them as they are.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import final

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianwharf.errors import ConflictError, RefusedError

from ._hosts import ListedHost
from ._store import ABSENT_REVISION, MOST_VALUE_BYTES, StoreLease, VersionedValue

PEER = "memory store"


class StoreOperation(StrEnum):
    """The calls that the platform counts, each against its rate."""

    GET = "get"
    GET_MANY = "get_many"
    COMPARE_AND_SWAP = "compare_and_swap"
    WATCH = "watch"
    LEASE_GRANT = "lease_grant"
    LEASE_RENEW = "lease_renew"
    LEASE_REVOKE = "lease_revoke"


READS = frozenset({StoreOperation.GET, StoreOperation.GET_MANY, StoreOperation.WATCH})
WRITES = frozenset(StoreOperation) - READS


@dataclass(kw_only=True, slots=True)
class _Entry:
    value: VersionedValue
    lease_id: str | None


@dataclass(kw_only=True, slots=True)
class _Lease:
    ttl_s: float
    lapses_at_s: float


@dataclass(kw_only=True, slots=True)
class _Waiter:
    prefix: str
    after_revision: int
    wakes: Deferred[None]


@final
class MemoryStore:
    """A ``KeyValueStore`` in memory.

    Revisions grow over the whole store, so a key that was deleted and written again
    never gets an earlier one. ``calls`` counts by operation; a watch counts once,
    however long it waits.

    >>> from twisted.internet.task import Clock
    >>> from twisted.internet.defer import Deferred
    >>> store = MemoryStore(clock=Clock())
    >>> write = store.compare_and_swap("a", b"1", expected_revision=0)
    >>> _ = Deferred.fromCoroutine(write).addCallback(print)
    VersionedValue(key='a', value=b'1', revision=1)
    >>> store.writes(), store.reads()
    (1, 0)
    """

    def __init__(self, *, clock: IReactorTime) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[str, _Lease] = {}
        self._waiters: list[_Waiter] = []
        self._revision = ABSENT_REVISION
        self._leases_made = 0
        self.calls: Counter[StoreOperation] = Counter()

    def reads(self) -> int:
        """Return how many reads were counted, watches among them."""
        return sum(self.calls[operation] for operation in READS)

    def writes(self) -> int:
        """Return how many writes were counted, calls on leases among them."""
        return sum(self.calls[operation] for operation in WRITES)

    @property
    def waiting_watches(self) -> int:
        """How many watches wait at this moment."""
        return len(self._waiters)

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None when there is none."""
        self._count(StoreOperation.GET)
        entry = self._entries.get(key)
        return None if entry is None else entry.value

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``, sorted by key."""
        self._count(StoreOperation.GET_MANY)
        return self._newer(prefix, ABSENT_REVISION)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write ``value`` if the key still has ``expected_revision`` (0: absent)."""
        self._count(StoreOperation.COMPARE_AND_SWAP)
        if len(value) > MOST_VALUE_BYTES:
            raise RefusedError(
                f"value of {key}: expected at most {MOST_VALUE_BYTES} bytes,"
                f" got {len(value)}; split it over several keys",
                step="compare_and_swap",
                peer=PEER,
            )
        if lease_id is not None:
            self._lease(lease_id, step="compare_and_swap")
        entry = self._entries.get(key)
        revision = ABSENT_REVISION if entry is None else entry.value.revision
        if revision != expected_revision:
            raise ConflictError(
                f"{key}: expected revision {expected_revision}, found {revision};"
                " read it again and decide anew",
                step="compare_and_swap",
                peer=PEER,
            )
        self._revision += 1
        written = VersionedValue(key=key, value=value, revision=self._revision)
        self._entries[key] = _Entry(value=written, lease_id=lease_id)
        self._wake(key)
        return written

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision."""
        self._count(StoreOperation.WATCH)
        found = self._newer(prefix, after_revision)
        if found or wait_s <= 0:
            return found
        waiter = _Waiter(prefix=prefix, after_revision=after_revision, wakes=Deferred())
        self._waiters.append(waiter)
        timer = self._clock.callLater(wait_s, waiter.wakes.callback, None)
        try:
            await waiter.wakes
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if timer.active():
                timer.cancel()
        self._drop_lapsed()
        return self._newer(prefix, after_revision)

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Make a lease that lapses ``ttl_s`` after its last renewal."""
        self._count(StoreOperation.LEASE_GRANT)
        if ttl_s <= 0:
            raise RefusedError(
                f"ttl_s: expected more than 0, got {ttl_s}",
                step="lease_grant",
                peer=PEER,
            )
        self._leases_made += 1
        lease_id = f"lease-{self._leases_made}"
        self._leases[lease_id] = _Lease(
            ttl_s=ttl_s, lapses_at_s=self._clock.seconds() + ttl_s
        )
        return StoreLease(id=lease_id, ttl_s=ttl_s)

    async def lease_renew(self, lease_id: str) -> None:
        """Renew; raises ``RefusedError`` when the lease has lapsed already."""
        self._count(StoreOperation.LEASE_RENEW)
        lease = self._lease(lease_id, step="lease_renew")
        lease.lapses_at_s = self._clock.seconds() + lease.ttl_s

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once, with the keys written under it.

        One that has lapsed already is gone, so that revoking is idempotent.
        """
        self._count(StoreOperation.LEASE_REVOKE)
        self._end_lease(lease_id)

    def _count(self, operation: StoreOperation) -> None:
        self.calls[operation] += 1
        self._drop_lapsed()

    def _newer(self, prefix: str, after_revision: int) -> list[VersionedValue]:
        return [
            entry.value
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.value.revision > after_revision
        ]

    def _wake(self, key: str) -> None:
        woken = [one for one in self._waiters if key.startswith(one.prefix)]
        for waiter in woken:
            # Taken out first: a woken caller may write and wake others at once.
            self._waiters.remove(waiter)
        for waiter in woken:
            if not waiter.wakes.called:
                waiter.wakes.callback(None)

    def _lease(self, lease_id: str, *, step: str) -> _Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise RefusedError(
                f"lease {lease_id} has lapsed or never was; ask for a new one",
                step=step,
                peer=PEER,
            )
        return lease

    def _drop_lapsed(self) -> None:
        now_s = self._clock.seconds()
        lapsed = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.lapses_at_s <= now_s
        ]
        for lease_id in lapsed:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        gone = [
            key for key, entry in self._entries.items() if entry.lease_id == lease_id
        ]
        for key in gone:
            del self._entries[key]


@final
class MemoryHostList:
    """A ``HostList`` in memory that shows the hosts as they were ``lag_s`` ago."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        hosts: Iterable[ListedHost] = (),
        lag_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._lag_s = lag_s
        self._current = {host.id: host for host in hosts}
        self._shown: list[tuple[float, list[ListedHost]]] = [
            (float("-inf"), list(self._current.values()))
        ]
        self.calls = 0

    def put(self, host: ListedHost) -> None:
        """Add a host or change its line."""
        self._current[host.id] = host
        self._record()

    def remove(self, host_id: str) -> None:
        """Take a host off the list; one that isn't on it stays off."""
        self._current.pop(host_id, None)
        self._record()

    async def read(self) -> list[ListedHost]:
        """Return the hosts that the platform believed to be live ``lag_s`` ago."""
        self.calls += 1
        horizon_s = self._clock.seconds() - self._lag_s
        while len(self._shown) > 1 and self._shown[1][0] <= horizon_s:
            del self._shown[0]
        return list(self._shown[0][1])

    def _record(self) -> None:
        self._shown.append((self._clock.seconds(), list(self._current.values())))
