"""Gauges of an entry host's state."""

from collections.abc import Callable, Mapping
from functools import partial

from gentianwharf.keyspace import PlacementSnapshot
from gentianwharf.load import Gate
from gentianwharf.relay import (
    CallerSite,
    ConnectFailure,
    LoadClient,
    Reachability,
    RelayApp,
)
from gentianwharf.topology import BackendServer

from ._coordinator import Coordinator
from ._metrics import HostMetrics
from ._retry_metrics import RetryMetrics


def add_gauges(
    metrics: HostMetrics,
    *,
    coordinator: Coordinator,
    relay: RelayApp,
    site: CallerSite,
    servers: Mapping[str, BackendServer],
    load_client: LoadClient,
    gate: Gate,
    reachability: Reachability,
    held_slots: Callable[[], int],
    now_s: Callable[[], float],
) -> None:
    """Add gauges of the state, which are read whenever metrics are requested."""
    metrics.sample_sources.append(RetryMetrics(gate=gate, now_s=now_s).samples)
    add = metrics.add_gauge
    leadership, mirror, rules = (
        coordinator.leadership,
        coordinator.mirror,
        coordinator.rules,
    )

    def placements() -> list[PlacementSnapshot]:
        found = map(coordinator.placement_of, sorted(coordinator.keyed))
        return [placement for placement in found if placement is not None]

    add("leads", "Whether this host leads", lambda: float(leadership.leads))
    add("hosts", "Hosts that report to the leader", lambda: coordinator.host_count)
    add(
        "leader_revision",
        "Revision of the item of the leader that this host follows, or followed last",
        lambda: coordinator.peers.followed_revision,
    )
    add(
        "leader_silent_seconds",
        "Since the leader that this host follows was heard",
        coordinator.peers.leader_silent_s,
    )
    add("store_age_seconds", "Since the store was heard", mirror.silent_s)
    add(
        "view_age_seconds",
        "How old what this host believes may be: rules, servers, holders of keys",
        mirror.age_s,
    )
    add("rules_version", "Version of the rules in force", lambda: rules.version)
    add(
        "rules_refused_seconds",
        "Since a newer configuration is known and not in force, 0 if none is",
        rules.refused_s,
    )
    add(
        "rules_lacking_seconds",
        "Since newer rules have been known to exist and are missing here, 0 if none",
        rules.newest.lacking_s,
    )
    add("rules_unread", "Parts of the configuration that can't be read", rules.unread)
    add("in_flight", "Requests being served", lambda: len(relay.in_flight))
    add("callers", "Callers' connections", lambda: len(site.channels))
    add("servers", "Backend servers in use", lambda: len(servers))
    add(
        "limited_servers",
        "Backend servers that name a limit of requests per second",
        lambda: gate.notices.limited_servers,
    )
    add(
        "leaving_servers",
        "Backend servers that stated in answers that they leave",
        lambda: gate.notices.leaving_servers,
    )
    add(
        "resting_servers",
        "Backend servers that asked this host for rest, which has not ended",
        lambda: gate.notices.resting_servers(now_s()),
    )
    add(
        "limited_requests",
        "Requests sent to servers that named a limit since the start",
        lambda: gate.notices.limited_requests,
    )
    _add_reachability(add, reachability)
    add("slots_held", "Slots that requests of this host hold", held_slots)
    add(
        "hot_shards",
        "Shards whose load exceeds a server's capacity, as this host knows as leader",
        lambda: sum(len(found.hot_shards) for found in placements()),
    )
    add(
        "planned_moves",
        "Moves of shards that this host has planned since the start",
        lambda: sum(sum(found.moves.values()) for found in placements()),
    )
    add(
        "load_queries",
        "Queries to servers for their load since the start",
        lambda: load_client.queries,
    )


def _add_reachability(
    add: Callable[[str, str, Callable[[], float]], None], reachability: Reachability
) -> None:
    add(
        "servers_unheard_seconds",
        "Since any backend server was heard",
        reachability.unheard_s,
    )
    add(
        "cut_off",
        "Whether no new connection to a backend server can be opened from this host",
        lambda: float(reachability.is_cut_off),
    )
    add(
        "cut_offs",
        "How often this host could reach no backend server, since the start",
        lambda: reachability.cut_offs,
    )
    add(
        "server_connections_opened",
        "Connections to backend servers that were opened since the start",
        lambda: reachability.opened,
    )
    for failure in ConnectFailure:
        add(
            f"server_connections_{failure.replace('-', '_')}",
            f"Connections to backend servers since the start that were not opened:"
            f" {failure}",
            partial(reachability.failures.__getitem__, failure),
        )
