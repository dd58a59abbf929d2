"""Settings in JSON with comments, checked before anything starts."""

from ._load import load_rules, load_settings, parse_jsonc
from ._models import (
    Address,
    BackendServerSettings,
    ClassSettings,
    DomainSettings,
    HostSettings,
    NumberedServers,
    PlatformSettings,
    ServiceSettings,
    Settings,
    Url,
)
from ._topology import domains_of, services_of

__all__ = [
    "Address",
    "BackendServerSettings",
    "ClassSettings",
    "DomainSettings",
    "HostSettings",
    "NumberedServers",
    "PlatformSettings",
    "ServiceSettings",
    "Settings",
    "Url",
    "domains_of",
    "load_rules",
    "load_settings",
    "parse_jsonc",
    "services_of",
]
