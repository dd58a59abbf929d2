"""The platform's interfaces, one ``Protocol`` per file, and their adapters."""

from ._faults import Fault, FaultKind, FaultyStore
from ._hosts import HostList, ListedHost
from ._http_servers import HttpBackendControl
from ._http_store import HttpHostList, HttpStore
from ._memory import MemoryHostList, MemoryStore, StoreOperation
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
    "MOST_VALUE_BYTES",
    "BackendControl",
    "Fault",
    "FaultKind",
    "FaultyStore",
    "Grant",
    "GrantOutcome",
    "HostList",
    "HttpBackendControl",
    "HttpHostList",
    "HttpStore",
    "KeyValueStore",
    "ListedHost",
    "MemoryHostList",
    "MemoryStore",
    "ServerReport",
    "StoreLease",
    "StoreOperation",
    "VersionedValue",
]
