"""What the platform gives, a ``Protocol`` a file; the adapters implement these."""

from ._hosts import HostList, ListedHost
from ._servers import BackendControl, Grant, GrantOutcome, ServerReport
from ._store import (
    ABSENT_REVISION,
    MOST_VALUE_BYTES,
    KeyValueStore,
    StoreLease,
    VersionedValue,
)

__all__ = [
    "ABSENT_REVISION",
    "BackendControl",
    "Grant",
    "GrantOutcome",
    "HostList",
    "KeyValueStore",
    "ListedHost",
    "MOST_VALUE_BYTES",
    "ServerReport",
    "StoreLease",
    "VersionedValue",
]
