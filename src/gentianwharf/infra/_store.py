"""The platform's key-value service: compare-and-swap, leases, watches.

Every call counts against the platform's rate, a waiting watch as one. A call that
raises ``PeerUnavailableError`` had no effect; ``OutcomeUnknownError`` means that a
write may have taken effect and must be read back.
"""

from dataclasses import dataclass
from typing import Protocol, final

ABSENT_REVISION = 0
MOST_VALUE_BYTES = 1_000_000


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedValue:
    """A value and the store's revision of it, which only grows."""

    key: str
    value: bytes
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StoreLease:
    """A lease of the store; keys written under it vanish when it lapses."""

    id: str
    ttl_s: float


class KeyValueStore(Protocol):
    """The store as this project uses it."""

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None when there is none."""

    async def get_many(self, prefix: str) -> list[VersionedValue]:
        """Return every value whose key begins with ``prefix``, in one call."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> VersionedValue:
        """Write ``value`` if the key still has ``expected_revision`` (0: absent).

        Raises ``ConflictError`` when it has another one.
        """

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision.

        Returns an empty list when nothing changed.
        """

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Make a lease that lapses ``ttl_s`` after its last renewal."""

    async def lease_renew(self, lease_id: str) -> None:
        """Renew; raises ``RefusedError`` when the lease has lapsed already."""

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once, with the keys written under it."""
