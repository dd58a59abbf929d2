"""The daemon's admin port: health, state and the operator's commands over HTTP."""

from ._access import TokenAccess, read_token, token_of
from ._alarms import ALARMS, AlarmRule, AlarmWatch
from ._app import AdminApp
from ._protocols import (
    Alarm,
    BurnView,
    DaemonState,
    DecisionsView,
    DomainLoss,
    DomainsControl,
    FleetRules,
    HostRules,
    HostsView,
    JsonValue,
    KeyOwner,
    KeysControl,
    Measures,
    RulesAtHost,
    RulesControl,
    RulesEverywhere,
    ServersControl,
    ServerStatus,
    StateView,
)
from ._replies import Problem, encode_json

__all__ = [
    "ALARMS",
    "AdminApp",
    "Alarm",
    "AlarmRule",
    "AlarmWatch",
    "BurnView",
    "DaemonState",
    "DecisionsView",
    "DomainLoss",
    "DomainsControl",
    "FleetRules",
    "HostRules",
    "HostsView",
    "JsonValue",
    "KeyOwner",
    "KeysControl",
    "Measures",
    "Problem",
    "RulesAtHost",
    "RulesControl",
    "RulesEverywhere",
    "ServerStatus",
    "ServersControl",
    "StateView",
    "TokenAccess",
    "encode_json",
    "read_token",
    "token_of",
]
