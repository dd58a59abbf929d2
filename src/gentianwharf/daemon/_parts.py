"""The daemon's parts, put together: what it is told, reaches and decides with."""

from collections.abc import Iterable
from random import Random, SystemRandom
from typing import Any, final

from gentianwharf import load
from gentianwharf.admission import GateAdmission
from gentianwharf.infra import (
    HttpBackendControl,
    HttpHostList,
    HttpStore,
    ServerReport,
)
from gentianwharf.logs import log
from gentianwharf.metrics import Objective, Recorder
from gentianwharf.ownership import OwnershipSystem
from gentianwharf.placement import PlacementWeights
from gentianwharf.relay import RelayApp, ServerConnectionPool
from gentianwharf.settings import Settings, domains_of, services_of
from gentianwharf.spread import Channel, PeerMesh, PeerQueries, SpreadSystem
from gentianwharf.topology import BackendServer, Host, Service

from ._channels import OwnershipLink
from ._hosts import HostTable
from ._keyed_servers import WatchedControl
from ._observer import RecordingObserver
from ._ownership import RoutedOwnership
from ._reports import ServerReports
from ._rules import RulesInForce


@final
class Parts:
    """Every part of one daemon; nothing here listens or ticks yet."""

    def __init__(self, *, settings: Settings, reactor: Any) -> None:
        self.settings = settings
        self.reactor = reactor
        self.prefix = f"gentianwharf/{settings.customer}/"
        self.services = {one.name: one for one in services_of(settings)}
        self.domains = domains_of(settings)
        self._sites = {domain.name: domain.site for domain in self.domains}
        self.servers = {
            server.id: server
            for service in self.services.values()
            for server in service.servers
        }
        self.host = Host(
            id=settings.host.id,
            domain=settings.host.domain,
            peer_address=settings.host.peer_address,
        )
        self._build_platform()
        self._build_links()
        self._build_deciding()
        self._build_relay()

    def keyed_services(self) -> list[Service]:
        """Return the services that are divided by key."""
        return [one for one in self.services.values() if one.keyed]

    @property
    def rules_key(self) -> str:
        """The store's key of the rules."""
        return self.prefix + "rules"

    def _build_platform(self) -> None:
        reactor, platform = self.reactor, self.settings.platform
        timeout_s = platform.call_timeout_s
        self.store = HttpStore(
            reactor=reactor, url=platform.store_url, call_timeout_s=timeout_s
        )
        self.host_list = HttpHostList(
            reactor=reactor, url=platform.hosts_url, call_timeout_s=timeout_s
        )
        self.control = WatchedControl(control=HttpBackendControl(reactor=reactor))
        self.hosts = HostTable(
            own=self.host,
            known=[
                Host(id=one.id, domain=one.domain, peer_address=one.peer_address)
                for one in self.settings.known_hosts
            ],
            servers=self.servers,
            now_s=reactor.seconds,
        )
        self.reports = ServerReports(
            control=self.control,
            clock=reactor,
            rng=seeded(),
            on_report=self._on_report,
        )

    def _on_report(self, server: str, report: ServerReport) -> None:
        self.gate.apply_server_report(server, report, self.reactor.seconds())

    def _build_links(self) -> None:
        self.mesh = PeerMesh(
            reactor=self.reactor,
            host=self.host,
            rng=seeded(),
            on_hosts=self._on_hosts,
        )
        self.link = OwnershipLink(
            mesh=self.mesh, hosts=self.hosts, now_s=self.reactor.seconds
        )
        self.rules = RulesInForce(
            shards={name: one.shards for name, one in self.services.items()},
            now_s=self.reactor.seconds,
        )
        self.spread = SpreadSystem(
            host=self.host,
            clock=self.reactor,
            store=self.store,
            peers=self.mesh.channel(Channel.SPREAD, self._spread_received),
            prefixes=(self.rules_key,),
            on_value=self.rules.take,
            rng=seeded(),
        )
        self.queries = PeerQueries(
            clock=self.reactor,
            peers=self.mesh.channel(Channel.QUERIES, self._query_received),
            rng=seeded(),
        )

    def _on_hosts(self, hosts: tuple[Host, ...]) -> None:
        if self.hosts.take_from_peer(hosts):
            self.follow_hosts()

    def follow_hosts(self) -> None:
        """Let every part know the hosts and the leaving servers of the table."""
        daemons = self.hosts.daemons
        self.gate.set_daemons(daemons)
        for connections in self.relay.connections.values():
            connections.set_daemon_count(daemons)
        self.mesh.set_peers(
            self.hosts.hosts.values(), leaving=self.hosts.leaving_hosts.values()
        )
        self.spread.set_hosts(self.hosts.hosts.values())
        leaving = self.hosts.leaving_servers
        self.ownership.set_leaving(leaving)
        for name, service in self.services.items():
            kept = [one for one in service.servers if one.id not in leaving]
            self.admission.set_servers(name, kept)
            self.recorder.server_loads.set_servers(name, self._by_site(kept))
        self.reports.set_servers(
            server
            for server in self.servers.values()
            if not self.services[server.service].keyed and server.id not in leaving
        )

    def _by_site(self, servers: Iterable[BackendServer]) -> list[list[str]]:
        sites: dict[str, list[str]] = {}
        for server in servers:
            sites.setdefault(self._sites[server.domain], []).append(server.id)
        return list(sites.values())

    def _spread_received(self, host_id: str, message: bytes) -> None:
        self.hosts.heard(host_id)
        self.spread.received(host_id, message)

    def _query_received(self, host_id: str, message: bytes) -> None:
        self.queries.received(host_id, message)

    def _build_deciding(self) -> None:
        self.ownership = OwnershipSystem(
            host=self.host,
            domains=self.domains,
            services=tuple(self.services.values()),
            clock=self.reactor,
            store=self.store,
            prefix=self.prefix,
            servers=self.control,
            peers=self.link,
            site_of=self.rules.site_of,
            single_key_sites=self.rules.single_key_sites,
            deadline_caps_s=self._deadline_caps_s(),
            weights=PlacementWeights(
                imbalance=self.settings.weights.imbalance,
                churn=self.settings.weights.churn,
                unavailable_time=self.settings.weights.unavailable_time,
            ),
            rng=seeded(),
            log=_log_event,
        )
        self.link.on_message = self.ownership.received
        self.gate = load.Gate(
            services=self.services.values(),
            classes=[
                load.RequestClass.from_deadline(
                    name=one.name, deadline_ms=one.deadline_ms, weight=one.weight
                )
                for one in self.settings.classes
            ],
            domain=self.host.domain,
            rng=seeded(),
            daemons=self.hosts.daemons,
        )
        self.admission = GateAdmission(
            gate=self.gate,
            servers=self.servers,
            now_s=self.reactor.seconds,
            on_server_outcome=self._on_evidence,
        )

    def _on_evidence(self, server: str, ok: bool, busy_s: float | None) -> None:
        self.control.note(server, answered=ok)
        self.ownership.answered(server, ok=ok, busy_s=busy_s)

    def _deadline_caps_s(self) -> dict[str, float]:
        longest_ms = max(one.deadline_ms for one in self.settings.classes)
        return {
            one.name: (one.deadline_cap_ms or longest_ms) / 1000
            for one in self.settings.services
            if one.keyed
        }

    def _build_relay(self) -> None:
        self.recorder = Recorder(
            clock=self.reactor,
            random=seeded(),
            objectives=[
                Objective(
                    request_class=one.name,
                    limit_s=one.objective.limit_ms / 1000,
                    share=one.objective.share,
                    unavailable_s=one.objective.unavailable_s,
                )
                for one in self.settings.classes
                if one.objective is not None
            ],
        )
        self.relay = RelayApp(
            rules=self.rules,
            ownership=RoutedOwnership(
                system=self.ownership, servers=self.servers, reactor=self.reactor
            ),
            admission=self.admission,
            connections={
                server.id: ServerConnectionPool(server=server, reactor=self.reactor)
                for server in self.servers.values()
            },
            observer=RecordingObserver(
                recorder=self.recorder,
                domain=self.host.domain,
                now_s=self.reactor.seconds,
            ),
            deadlines_ms={one.name: one.deadline_ms for one in self.settings.classes},
            keyed=frozenset(name for name, one in self.services.items() if one.keyed),
            reactor=self.reactor,
            rng=SystemRandom(),
        )


def seeded() -> Random:
    """Return a generator with a seed of its own, from the system's entropy."""
    return Random(SystemRandom().getrandbits(64))


def _log_event(event: str, **fields: object) -> None:
    log.info(event, extra=fields)
