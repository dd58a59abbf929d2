"""What an entry host shows of itself beside its requests."""

from collections.abc import Callable, Mapping

from gentianwharf.keyspace import Leadership
from gentianwharf.relay import CallerSite, RelayApp
from gentianwharf.store import Mirror
from gentianwharf.topology import BackendServer

from ._metrics import HostMetrics
from ._rules import RulesInForce


def add_gauges(
    metrics: HostMetrics,
    *,
    leadership: Leadership,
    mirror: Mirror,
    rules: RulesInForce,
    relay: RelayApp,
    site: CallerSite,
    servers: Mapping[str, BackendServer],
    hosts: Callable[[], float],
) -> None:
    """Show what the host believes, read whenever the metrics are asked for."""
    add = metrics.add
    add("leads", "Whether this host leads", lambda: float(leadership.leads))
    add("hosts", "Hosts that report to the leader", hosts)
    add("store_age_seconds", "Since the store was heard", mirror.silent_s)
    add("rules_version", "Version of the rules in force", lambda: rules.version)
    add("in_flight", "Requests being served", lambda: len(relay.in_flight))
    add("callers", "Callers' connections", lambda: len(site.channels))
    add("servers", "Backend servers in use", lambda: len(servers))
