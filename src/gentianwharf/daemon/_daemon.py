"""The daemon's parts, put together and ticked."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, final

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from gentianwharf import load
from gentianwharf.admin import AdminApp, read_token
from gentianwharf.errors import GentianwharfError
from gentianwharf.logs import log
from gentianwharf.metrics import Objective, Recorder
from gentianwharf.ownership import TICK_S, OwnershipSystem
from gentianwharf.placement import PlacementWeights
from gentianwharf.platform import (
    HttpBackendControl,
    HttpHostList,
    HttpStore,
    ServerReport,
)
from gentianwharf.relay import CallerSite, ConnectionLimits, RelayApp, ServerConnections
from gentianwharf.rules import RuleBook, RuleChecker
from gentianwharf.settings import (
    Settings,
    domains_of,
    load_initial_rules,
    rule_scope_of,
    services_of,
)
from gentianwharf.spread import Channel, PeerMesh, SpreadSystem
from gentianwharf.topology import Host, Service

from . import _views as views
from ._admission import GateAdmission
from ._channels import OwnershipLink
from ._hosts import HostTable
from ._listen import listen
from ._observer import RecordingObserver
from ._ownership import RoutedOwnership
from ._reports import ServerReports
from ._rules import RulesInForce, write_initial_rules
from ._shutdown import Shutdown

# The list lags by itself; a leaving server must get no new work after a few seconds.
HOSTS_EVERY_S = 1.0
# The gate refuses, hedges and finds silent servers at this step, a fraction of the
# shortest limit that callers notice (a consultation's late answer, tens of ms).
GATE_TICK_S = 0.02
RECORDER_TICK_S = 1.0
REPORTS_TICK_S = 0.1
ALARMS_EVERY_S = 1.0
# Until the store has rules, somebody must write the first ones.
INITIAL_RULES_EVERY_S = 1.0


@final
class Daemon:
    """One daemon: callers' port, deciding parts, links to hosts and servers."""

    def __init__(self, *, settings: Settings, directory: Path, reactor: Any) -> None:
        self.settings = settings
        self.reactor = reactor
        self.prefix = f"gentianwharf/{settings.customer}/"
        self.services = {one.name: one for one in services_of(settings)}
        self.domains = domains_of(settings)
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
        self._initial_rules = load_initial_rules(settings, directory=directory)
        self._token = _admin_token(settings, directory)
        self._loops: list[LoopingCall] = []
        self._callers_port: Any = None
        self.on_end: Callable[[], None] = lambda: None
        self.shutdown = Shutdown(
            drained=self,
            clock=reactor,
            notice_s=settings.shutdown.balancer_notice_s,
            limit_s=settings.shutdown.drain_limit_s,
        )
        self._build_platform()
        self._build_links()
        self._build_deciding()
        self._build_relay()

    def _build_platform(self) -> None:
        reactor, platform = self.reactor, self.settings.platform
        timeout_s = platform.call_timeout_s
        self.store = HttpStore(
            reactor=reactor, url=platform.store_url, call_timeout_s=timeout_s
        )
        self.host_list = HttpHostList(
            reactor=reactor, url=platform.hosts_url, call_timeout_s=timeout_s
        )
        self.control = HttpBackendControl(reactor=reactor)
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
            rng=_seeded(),
            on_report=self._on_report,
        )

    def _on_report(self, server: str, report: ServerReport) -> None:
        self.gate.report(server, report, self.reactor.seconds())

    def _build_links(self) -> None:
        self.mesh = PeerMesh(reactor=self.reactor, host=self.host, rng=_seeded())
        self.link = OwnershipLink(mesh=self.mesh, hosts=self.hosts)
        self.rules = RulesInForce(
            shards={name: one.shards for name, one in self.services.items()}
        )
        self.spread = SpreadSystem(
            host=self.host,
            clock=self.reactor,
            store=self.store,
            peers=self.mesh.channel(Channel.SPREAD, self._spread_received),
            prefixes=(self.rules_key,),
            on_value=self.rules.take,
            rng=_seeded(),
        )

    def _spread_received(self, host_id: str, message: bytes) -> None:
        self.hosts.heard(host_id)
        self.spread.received(host_id, message)

    @property
    def rules_key(self) -> str:
        """The store's key of the rules."""
        return self.prefix + "rules"

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
            rng=_seeded(),
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
            rng=_seeded(),
            daemons=len(self.hosts.hosts),
        )
        self.admission = GateAdmission(
            gate=self.gate,
            servers=self.servers,
            now_s=self.reactor.seconds,
            on_evidence=lambda server, ok: self.ownership.answered(server, ok=ok),
        )

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
            random=_seeded(),
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
                server.id: ServerConnections(server=server, reactor=self.reactor)
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
        self.admin = self._build_admin()
        self.site = CallerSite(
            resource=self.relay.klein.resource(),
            reactor=self.reactor,
            limits=ConnectionLimits(**self.settings.caller_limits.model_dump()),
        )
        self.site.noisy = False

    def _build_admin(self) -> AdminApp:
        book = RuleBook(
            store=self.store,
            prefix=self.prefix,
            checker=RuleChecker(scope=rule_scope_of(self.settings)),
            clock=self.reactor,
            rng=_seeded(),
        )
        servers = views.ServersView(
            servers=self.servers,
            services=self.services,
            domains=self.domains,
            gate=self.gate,
            control=self.control,
            ownership=self.ownership,
            reports=self.reports,
        )
        self.state_view = views.DaemonStateView(daemon=self, servers=servers)
        return AdminApp(
            state=self.state_view,
            rules=views.RulesView(in_force=self.rules, book=book),
            keys=views.KeysView(
                ownership=self.ownership, services=self.services, domains=self.domains
            ),
            servers=servers,
            hosts=views.HostsView(host_list=self.host_list),
            domains=views.DomainsView(
                ownership=self.ownership,
                services=self.services,
                domains=self.domains,
                hosts=self.hosts,
            ),
            burn=views.BurnOfRecorder(recorder=self.recorder),
            decisions=views.DecisionsOfRecorder(recorder=self.recorder),
            metrics=lambda: self.recorder.prometheus_text().encode(),
            token=self._token,
        )

    def keyed_services(self) -> list[Service]:
        """Return the services that are divided by key."""
        return [one for one in self.services.values() if one.keyed]

    def is_stopping(self) -> bool:
        """Return whether a shutdown is under way."""
        return self.relay.stopping

    def store_age_s(self) -> float | None:
        """Return how long ago the store was heard, None for never."""
        return self.spread.state().store_age_s

    def start(self) -> None:
        """Listen, and begin to tick."""
        listen(self.reactor, self.settings.host.admin_address, self.admin.site())
        self.mesh.listen()
        self._every(TICK_S, self._tick)
        self._every(GATE_TICK_S, self.admission.tick)
        self._every(RECORDER_TICK_S, self.recorder.tick)
        self._every(REPORTS_TICK_S, self.reports.tick)
        self._every(ALARMS_EVERY_S, self.state_view.update)
        self._follow_hosts()
        self._every_async(HOSTS_EVERY_S, self._read_hosts)
        self._every_async(INITIAL_RULES_EVERY_S, self._write_initial_rules)
        self._callers_port = listen(
            self.reactor, self.settings.host.callers_address, self.site
        )
        log.info("started", extra={"host": self.host.id, "domain": self.host.domain})

    def _tick(self) -> None:
        self.mesh.tick()
        self.spread.tick()
        self.ownership.tick()

    def _every(self, interval_s: float, system: Callable[[], None]) -> None:
        def run() -> None:
            # A fault in one tick must not end the loop that renews every grant.
            try:
                system()
            except Exception:
                log.exception("tick failed")

        loop = LoopingCall(run)
        loop.clock = self.reactor
        loop.start(interval_s)
        self._loops.append(loop)

    def _every_async(
        self, interval_s: float, call: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        def run() -> Deferred[None]:
            done = Deferred.fromCoroutine(call())
            done.addErrback(
                lambda failure: log.error("call failed: {}", failure.getErrorMessage())
            )
            return done

        loop = LoopingCall(run)
        loop.clock = self.reactor
        loop.start(interval_s)
        self._loops.append(loop)

    async def _read_hosts(self) -> None:
        try:
            listed = await self.host_list.read()
        except GentianwharfError:
            # The list that is known stays in force; readiness shows its age.
            return
        if self.hosts.take(listed):
            self._follow_hosts()

    def _follow_hosts(self) -> None:
        daemons = len(self.hosts.hosts)
        self.gate.set_daemons(daemons)
        for connections in self.relay.connections.values():
            connections.share_with(daemons)
        self.mesh.set_peers(self.hosts.hosts.values())
        self.spread.set_hosts(self.hosts.hosts.values())
        leaving = self.hosts.leaving_servers
        self.ownership.set_leaving(leaving)
        for name, service in self.services.items():
            kept = [one for one in service.servers if one.id not in leaving]
            self.admission.set_servers(name, kept)
        self.reports.set_servers(
            server
            for server in self.servers.values()
            if not self.services[server.service].keyed and server.id not in leaving
        )

    async def _write_initial_rules(self) -> None:
        if self._initial_rules is None or self.rules.current is not None:
            return
        written = await write_initial_rules(
            self.store, key=self.rules_key, document=self._initial_rules
        )
        if written is not None:
            self.spread.publish(written)

    def why_not_ready(self) -> list[str]:
        """Return why callers should not be sent here; empty when ready."""
        reasons = []
        if self.relay.stopping:
            reasons.append("stopping")
        if self.rules.current is None:
            reasons.append("no rules are in force yet")
        if not self.spread.ready:
            reasons.append("the newest rules have not been confirmed yet")
        return reasons

    # What a shutdown asks for.

    def turn_unready(self) -> None:
        """Say to the balancer that no new requests are wanted."""
        self.relay.stopping = True
        self.site.stop_keeping()

    def stop_accepting(self) -> None:
        """Close the listening port and idle connections."""
        if self._callers_port is not None:
            self._callers_port.stopListening()
            self._callers_port = None
        self.site.close_idle()

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""
        return [one.ticket.request_id for one in self.relay.in_flight]

    def open_connections(self) -> int:
        """Return how many callers' connections are open."""
        return len(self.site.channels)

    def hand_over(self, done: Callable[[], None]) -> None:
        """Give up the control work that this host holds."""
        handed_over = Deferred.fromCoroutine(self.ownership.stop())
        handed_over.addBoth(lambda _: done())

    def end(self) -> None:
        """End every loop and link, then call ``on_end``."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self.spread.close()
        self.mesh.close()
        self.on_end()


def _admin_token(settings: Settings, directory: Path) -> str | None:
    name = settings.host.admin_token_file
    return read_token(directory / name) if name is not None else None


def _seeded() -> Random:
    """Return a generator with a seed of its own, from the system's entropy."""
    return Random(SystemRandom().getrandbits(64))


def _log_event(event: str, **fields: object) -> None:
    log.info(event, extra=fields)
