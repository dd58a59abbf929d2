"""Loads settings and rules from JSON with comments, and validates them."""

from ._entities import (
    BackendServerSettings,
    DomainSettings,
    HostSettings,
    KnownHost,
    NumberedServers,
    PlatformSettings,
    ServerCapabilities,
    ServiceSettings,
)
from ._lines import LineMap, map_lines
from ._load import (
    load_rules,
    load_rules_with_lines,
    load_settings,
    parse_jsonc,
    validate,
)
from ._models import Settings
from ._policy import (
    CallerLimits,
    ClassSettings,
    LogLevel,
    LogSettings,
    ObjectiveSettings,
    ShutdownSettings,
    WeightSettings,
)
from ._rules import line_of_finding, load_initial_rules
from ._topology import domains_of, rule_scope_of, services_of
from ._values import Address, Url, check_address, check_ip_url, is_loopback

__all__ = [
    "Address",
    "BackendServerSettings",
    "CallerLimits",
    "ClassSettings",
    "DomainSettings",
    "HostSettings",
    "KnownHost",
    "LineMap",
    "LogLevel",
    "LogSettings",
    "NumberedServers",
    "ObjectiveSettings",
    "PlatformSettings",
    "ServerCapabilities",
    "ServiceSettings",
    "Settings",
    "ShutdownSettings",
    "Url",
    "WeightSettings",
    "check_address",
    "check_ip_url",
    "domains_of",
    "is_loopback",
    "line_of_finding",
    "load_initial_rules",
    "load_rules",
    "load_rules_with_lines",
    "load_settings",
    "map_lines",
    "parse_jsonc",
    "rule_scope_of",
    "services_of",
    "validate",
]
