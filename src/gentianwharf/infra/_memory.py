"""A store and a host list in memory, which use the clock that is passed to them.

They fulfil the contracts of ``KeyValueStore`` and ``HostList`` exactly: the stand-in
serves them over HTTP, and tests use them directly.
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
    """The calls that count against the platform's rate limits."""

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
    expires_at_s: float


@dataclass(kw_only=True, slots=True)
class _Waiter:
    prefix: str
    after_revision: int
    wakeup: Deferred[None]


@final
class MemoryStore:
    """A ``KeyValueStore`` in memory.

    Revisions increase over the whole store, so that a key that is deleted and written
    again never gets an earlier revision. ``calls`` counts the calls by operation; a
    watch counts once, however long it waits.

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
        self._lease_count = 0
        self.calls: Counter[StoreOperation] = Counter()

    def reads(self) -> int:
        """Return the number of reads, including watches."""
        return sum(self.calls[operation] for operation in READS)

    def writes(self) -> int:
        """Return the number of writes, including calls on leases."""
        return sum(self.calls[operation] for operation in WRITES)

    @property
    def waiting_watches(self) -> int:
        """The number of watches that are waiting."""
        return len(self._waiters)

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None if the key is absent."""
        self._count(StoreOperation.GET)
        entry = self._entries.get(key)
        return None if entry is None else entry.value

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``, sorted by key."""
        self._count(StoreOperation.GET_MANY)
        return self._newer_values(prefix, ABSENT_REVISION)

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
            self._find_lease(lease_id, step="compare_and_swap")
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
        found = self._newer_values(prefix, after_revision)
        if found or wait_s <= 0:
            return found
        waiter = _Waiter(
            prefix=prefix, after_revision=after_revision, wakeup=Deferred()
        )
        self._waiters.append(waiter)
        timer = self._clock.callLater(wait_s, waiter.wakeup.callback, None)
        try:
            await waiter.wakeup
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if timer.active():
                timer.cancel()
        self._remove_expired()
        return self._newer_values(prefix, after_revision)

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Create a lease that expires ``ttl_s`` after its last renewal."""
        self._count(StoreOperation.LEASE_GRANT)
        if ttl_s <= 0:
            raise RefusedError(
                f"ttl_s: expected more than 0, got {ttl_s}",
                step="lease_grant",
                peer=PEER,
            )
        self._lease_count += 1
        lease_id = f"lease-{self._lease_count}"
        self._leases[lease_id] = _Lease(
            ttl_s=ttl_s, expires_at_s=self._clock.seconds() + ttl_s
        )
        return StoreLease(id=lease_id, ttl_s=ttl_s)

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease; raises ``RefusedError`` if it has already expired."""
        self._count(StoreOperation.LEASE_RENEW)
        lease = self._find_lease(lease_id, step="lease_renew")
        lease.expires_at_s = self._clock.seconds() + lease.ttl_s

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once and delete the keys written under it.

        Revoking a lease that has expired has no effect, so the call is idempotent.
        """
        self._count(StoreOperation.LEASE_REVOKE)
        self._end_lease(lease_id)

    def _count(self, operation: StoreOperation) -> None:
        self.calls[operation] += 1
        self._remove_expired()

    def _newer_values(self, prefix: str, after_revision: int) -> list[VersionedValue]:
        return [
            entry.value
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.value.revision > after_revision
        ]

    def _wake(self, key: str) -> None:
        matching = [waiter for waiter in self._waiters if key.startswith(waiter.prefix)]
        for waiter in matching:
            # All are removed first, since a caller may write from its callback and so
            # wake other waiters.
            self._waiters.remove(waiter)
        for waiter in matching:
            if not waiter.wakeup.called:
                waiter.wakeup.callback(None)

    def _find_lease(self, lease_id: str, *, step: str) -> _Lease:
        lease = self._leases.get(lease_id)
        if lease is None:
            raise RefusedError(
                f"lease {lease_id} has lapsed or never was; ask for a new one",
                step=step,
                peer=PEER,
            )
        return lease

    def _remove_expired(self) -> None:
        now_s = self._clock.seconds()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)
        deleted = [
            key for key, entry in self._entries.items() if entry.lease_id == lease_id
        ]
        for key in deleted:
            del self._entries[key]


@final
class MemoryHostList:
    """A ``HostList`` in memory that returns the hosts as they were ``lag_s`` ago."""

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
        self._versions: list[tuple[float, list[ListedHost]]] = [
            (float("-inf"), list(self._current.values()))
        ]
        self.calls = 0

    def put(self, host: ListedHost) -> None:
        """Add a host or replace its entry."""
        self._current[host.id] = host
        self._record()

    def remove(self, host_id: str) -> None:
        """Remove a host from the list; does nothing if it isn't listed."""
        self._current.pop(host_id, None)
        self._record()

    async def read(self) -> list[ListedHost]:
        """Return the hosts that were listed ``lag_s`` ago."""
        self.calls += 1
        shown_at_s = self._clock.seconds() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= shown_at_s:
            del self._versions[0]
        return list(self._versions[0][1])

    def _record(self) -> None:
        self._versions.append((self._clock.seconds(), list(self._current.values())))
