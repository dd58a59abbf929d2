"""The platform's key-value store: compare-and-swap, leases, watches.

Every call counts against the platform's rate limit; a watch counts as one call while
it waits. A call that raises ``PeerUnavailableError`` had no effect. After
``OutcomeUnknownError`` a write may have taken effect, and the key must be read back.
"""

from dataclasses import dataclass
from typing import Protocol, final

ABSENT_REVISION = 0
MOST_VALUE_BYTES = 1_000_000


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedValue:
    """A value with the store's revision of it; revisions only increase."""

    key: str
    value: bytes
    revision: int


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StoreLease:
    """A lease of the store; keys written under it are deleted when it expires."""

    id: str
    ttl_s: float


class KeyValueStore(Protocol):
    """The interface to the store that this project uses."""

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of ``key``, or None if the key is absent."""

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

        Raises ``ConflictError`` if the key has another revision.
        """

    async def watch(
        self, prefix: str, *, after_revision: int, wait_s: float
    ) -> list[VersionedValue]:
        """Wait up to ``wait_s`` for values under ``prefix`` newer than a revision.

        Returns an empty list if nothing changed.
        """

    async def lease_grant(self, *, ttl_s: float) -> StoreLease:
        """Create a lease that expires ``ttl_s`` after its last renewal."""

    async def lease_renew(self, lease_id: str) -> None:
        """Renew a lease; raises ``RefusedError`` if it has already expired."""

    async def lease_revoke(self, lease_id: str) -> None:
        """End a lease at once and delete the keys written under it."""
