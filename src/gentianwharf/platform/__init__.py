"""What the platform gives, a ``Protocol`` a file; the adapters implement these."""

from ._hosts import HostList, ListedHost
from ._servers import BackendControl, Grant, GrantOutcome, ServerReport
from ._store import KeyValueStore, StoreLease, VersionedValue

__all__ = [
    "BackendControl",
    "Grant",
    "GrantOutcome",
    "HostList",
    "KeyValueStore",
    "ListedHost",
    "ServerReport",
    "StoreLease",
    "VersionedValue",
]
