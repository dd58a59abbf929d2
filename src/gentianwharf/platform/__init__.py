"""Adapters for the users' platform: formats, headers and clients.

Data of the platform is decoded here into the router's own types.
"""

from ._config import (
    CONFIG_KEY,
    SHARDS,
    CallerLimits,
    Configuration,
    ConfiguredService,
    UnreadablePart,
    decode_configuration,
)
from ._decoded_targets import DecodedTargets
from ._evacuations import evacuated_domain
from ._header_codec import PlatformHeaderCodec
from ._orders import ServerOrders
from ._overdue_calls import probe_interval_s
from ._request_kind import RequestKind
from ._servers import (
    SERVERS_PREFIX,
    ServerEntry,
    ServerState,
    decode_server_entry,
)
from ._settings import (
    SETTINGS_PATH_VARIABLE,
    Agreements,
    HostSettings,
    StoreLimits,
    decode_host_settings,
    read_host_settings,
)
from ._store import PlatformStore

__all__ = [
    "CONFIG_KEY",
    "SERVERS_PREFIX",
    "SETTINGS_PATH_VARIABLE",
    "SHARDS",
    "Agreements",
    "CallerLimits",
    "Configuration",
    "ConfiguredService",
    "HostSettings",
    "PlatformHeaderCodec",
    "PlatformStore",
    "RequestKind",
    "ServerEntry",
    "ServerOrders",
    "ServerState",
    "StoreLimits",
    "UnreadablePart",
    "DecodedTargets",
    "decode_configuration",
    "decode_host_settings",
    "decode_server_entry",
    "evacuated_domain",
    "probe_interval_s",
    "read_host_settings",
]
