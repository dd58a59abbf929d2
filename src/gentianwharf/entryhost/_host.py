"""An entry host: everything it is made of, started and stopped together."""

from collections.abc import Callable, Mapping
from dataclasses import fields
from random import Random, SystemRandom
from typing import Any, final

import msgspec
from twisted.internet.defer import Deferred

from gentianwharf.admission import GateAdmission
from gentianwharf.keyspace import (
    GrantTiming,
    Keeper,
    Leadership,
    LoadSeen,
    Planner,
    Span,
)
from gentianwharf.lifecycle import Phase, Shutdown, Ticks
from gentianwharf.load import Gate
from gentianwharf.logs import log
from gentianwharf.platform import (
    CONFIG_KEY,
    SERVERS_PREFIX,
    SHARDS,
    Configuration,
    HostSettings,
    PlatformDialect,
    PlatformStore,
    ServerOrders,
)
from gentianwharf.relay import (
    HEAD_SWEEP_S,
    CallerSite,
    ConnectionLimits,
    RelayApp,
    ServerConnections,
    ServerLoad,
)
from gentianwharf.store import Item, Mirror
from gentianwharf.topology import BackendServer, Service

from ._classes import class_of
from ._directory import Directory, takes_work
from ._entities import candidate_of, holder_of, limits_of, server_of
from ._gauges import add_gauges
from ._keys import KeyHolders
from ._metrics import METRICS_PORT, HostMetrics, metrics_site
from ._observer import AnswerLog
from ._peers import Peers
from ._readiness import readiness_site
from ._rules import RulesInForce
from ._store_keys import LEADER_KEY, RESIGNED_KEY, TABLE_PREFIX

CONTROL_TICK_S = 0.05
GATE_TICK_S = 0.02

BACKLOG = 1024
"""Callers' connections that wait to be accepted: after a loss of hosts the others get
all of theirs within a moment."""

NOTICE_S = 2.5
"""The balancer asks once a second and takes a host out after two misses."""

STOP_MARGIN_S = 0.3
"""Before the platform ends the process by force."""

STAND_BACK_S = 4.0
"""For how long a host that could reach few servers leaves the lead to others: about as
long as they need to find out whether they can."""

FIRST_HOSTS = 10
"""How many hosts there are, until the leader tells."""


@final
class EntryHost:
    """One process; ``start`` it within a running reactor."""

    def __init__(self, *, settings: HostSettings, reactor: Any) -> None:
        self.settings = settings
        self.on_end: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._rng = Random(SystemRandom().getrandbits(64))
        self._servers: dict[str, BackendServer] = {}
        self._hosts = FIRST_HOSTS
        self._build_control()
        self._build_relay()
        self._ticks = Ticks(reactor=reactor)
        agreed = settings.agreements
        self.shutdown = Shutdown(
            drained=self,
            clock=reactor,
            notice_s=NOTICE_S,
            limit_s=agreed.grace_period_s - STOP_MARGIN_S,
        )

    def _build_control(self) -> None:
        settings, reactor = self.settings, self._reactor
        now_s = reactor.seconds
        self._store = PlatformStore(reactor=reactor, address=settings.store.address)
        self._mirror = Mirror(
            store=self._store, prefix="", reactor=reactor, rng=self._rng
        )
        self._peers = Peers(
            host=settings.name,
            address=f"{settings.ip}:{settings.first_internal_port}",
            reactor=reactor,
        )
        self._leadership = Leadership(
            store=self._store,
            key=LEADER_KEY,
            resigned_key=RESIGNED_KEY,
            value=msgspec.json.encode(self._peers.name),
            now_s=now_s,
            rng=self._rng,
        )
        self._keeper = Keeper(
            orders=ServerOrders(reactor=reactor),
            timing=GrantTiming(longest_grant_s=settings.agreements.longest_grant_s),
            now_s=now_s,
        )
        self._planner = Planner(
            store=self._store,
            leadership=self._leadership,
            leader_key=LEADER_KEY,
            table_prefix=TABLE_PREFIX,
            keeper=self._keeper,
            shards=SHARDS,
            now_s=now_s,
        )
        self._directory = Directory(mirror=self._mirror, reactor=reactor)
        self._rules = RulesInForce()
        self._keys = KeyHolders(server_of=self._servers.get, reactor=reactor)
        self._mirror.listen(self._note_item)
        self._mirror.on_read = self._note_read
        self._leadership.on_gained = self._begin_to_lead
        self._leadership.on_lost = self._cease_to_lead
        self._keeper.on_granted = self._note_granted
        self._planner.on_table = self._keys.take
        self._connect_peers()
        self._directory.on_change = self._follow_servers
        self._rules.on_change = self._follow_configuration

    def _connect_peers(self) -> None:
        peers = self._peers
        peers.on_requests = self._note_requests
        peers.on_load = self._note_load
        peers.on_granted = lambda service, first, last, token: self._keys.open(
            service, first, token
        )
        peers.on_events = lambda after_revision, events: self._mirror.feed(
            events, after_revision=after_revision
        )
        peers.known_revision = self._known_revision
        peers.on_hosts = self._note_hosts
        self._keys.on_request = peers.note_request
        self._mirror.on_events = peers.tell_events
        self._mirror.is_fed = peers.is_fed
        self._planner.on_isolated = self._step_aside
        self._keys.hears_leader = peers.hears_leader

    def _build_relay(self) -> None:
        reactor = self._reactor
        self._gate = Gate(
            services=(),
            classes=(),
            domain=self.settings.domain,
            rng=self._rng,
            daemons=self._hosts,
        )
        self._admission = GateAdmission(
            gate=self._gate,
            servers={},
            now_s=reactor.seconds,
            on_evidence=lambda server, answered, busy_s: None,
        )
        self._admission.on_load = self._note_server_load
        self._admission.on_unanswered = self._note_unanswered
        self._keyed: set[str] = set()
        self.metrics = HostMetrics()
        self.relay = RelayApp(
            rules=self._rules,
            ownership=self._keys,
            admission=self._admission,
            connections={},
            observer=AnswerLog(metrics=self.metrics),
            deadlines_ms={},
            keyed=self._keyed,
            reactor=reactor,
            rng=self._rng,
            dialect=PlatformDialect(),
        )
        self._site = CallerSite(
            resource=self.relay.resource(), reactor=reactor, limits=ConnectionLimits()
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        add_gauges(
            self.metrics,
            leadership=self._leadership,
            mirror=self._mirror,
            rules=self._rules,
            relay=self.relay,
            site=self._site,
            servers=self._servers,
            hosts=lambda: self._hosts,
        )

    # Start and stop.

    def start(self) -> None:
        """Listen, and begin to follow the store."""
        self._callers_port = self._listen(self.settings.callers_address, self._site)
        self._listen(
            self.settings.readiness_address,
            readiness_site(is_ready=self.is_ready, reactor=self._reactor),
        )
        self._peers.start()
        metrics = metrics_site(metrics=self.metrics, reactor=self._reactor)
        self._listen(f"{self.settings.ip}:{METRICS_PORT}", metrics)
        self._mirror.start()
        self._ticks.every(CONTROL_TICK_S, self._control)
        self._ticks.every(GATE_TICK_S, self._admission.tick)
        self._ticks.every(HEAD_SWEEP_S, self._site.refuse_slow_heads)
        log.info("started", extra={"host": self.settings.name})

    def _listen(self, address: str, site: Any) -> Any:
        ip, _, port = address.rpartition(":")
        return self._reactor.listenTCP(int(port), site, backlog=BACKLOG, interface=ip)

    def take_settings(self, settings: HostSettings) -> None:
        """Use settings that were read again.

        Addresses, the failure domain and the store stay as they were at the start:
        the platform restarts a host for these.
        """
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        log.info("settings read again", extra={"changed": changed})
        self.settings = settings

    def is_ready(self) -> bool:
        """Whether a request of each service could be served here."""
        if self.shutdown.phase is not Phase.SERVING:
            return False
        configuration = self._rules.configuration
        if configuration is None:
            return False
        return all(
            self._keys.has_table(name)
            for name, service in configuration.services.items()
            if service.keyed
        )

    def turn_unready(self) -> None:
        """Tell clients to use other hosts; somebody else should lead."""
        self._site.stop_keeping()
        self._resign(self.settings.agreements.grace_period_s)

    def _resign(self, stand_back_s: float) -> None:
        held_s = self._keeper.held_s()
        done = Deferred.fromCoroutine(
            self._leadership.resign(held_s, stand_back_s=stand_back_s)
        )
        done.addErrback(lambda failure: log.error(failure.getTraceback()))

    def _step_aside(self) -> None:
        if self._hosts > 1 and self._leadership.term is not None:
            log.warning("most servers can't be reached from here: no longer leading")
            self._resign(STAND_BACK_S)

    def stop_accepting(self) -> None:
        """Close the callers' port and idle connections."""
        self._callers_port.stopListening()
        self._site.close_idle()

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""
        return [one.ticket.request_id for one in self.relay.in_flight]

    def open_connections(self) -> int:
        """Return how many callers' connections are open."""
        return len(self._site.channels)

    def hand_over(self, done: Callable[[], None]) -> None:
        """Have nothing left to hand over."""
        done()

    def end(self) -> None:
        """Leave the process."""
        self._ticks.stop()
        self._mirror.stop()
        self._peers.stop()
        self.on_end()

    # What the store says.

    def _note_item(self, key: str, item: Item | None) -> None:
        if key == CONFIG_KEY:
            self._rules.note_item(item)
        elif key.startswith(SERVERS_PREFIX):
            self._directory.note_item(key, item)
        elif key == LEADER_KEY:
            self._peers.follow(item)
            self._leadership.note_item(item)
        elif key == RESIGNED_KEY:
            self._leadership.note_resigned(item)
        elif key.startswith(TABLE_PREFIX) and item is not None:
            self._planner.note_table(item)

    def _note_read(self) -> None:
        if LEADER_KEY not in self._mirror.items:
            self._leadership.note_item(None)

    def _known_revision(self) -> int | None:
        """Return up to where this host surely knows the store, None if it may not."""
        mirror = self._mirror
        if not self._leadership.may_change() or mirror.silent_s() > 0:
            return None
        return mirror.revision if mirror.is_current else None

    def _control(self) -> None:
        self._leadership.tick()
        self._planner.tick()
        self._keeper.tick()
        self._peers.tick()

    def _begin_to_lead(self, held_s: float | None) -> None:
        self._peers.lead(True)
        self._planner.note_gained(held_s)

    def _cease_to_lead(self) -> None:
        self._peers.lead(False)
        self._keeper.stop()

    def _note_granted(self, service: str, span: Span) -> None:
        self._keys.open(service, span.first, span.token)
        self._peers.tell_granted(service, span)

    def _note_requests(self, service: str, counts: Mapping[int, float]) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_requests(counts)

    def _note_load(self, service: str, server_id: str, seen: LoadSeen) -> None:
        demand = self._planner.demand(service)
        if demand is not None:
            demand.note_load(server_id, seen)

    def _note_server_load(
        self, server: BackendServer, load: ServerLoad, elapsed_s: float | None
    ) -> None:
        if server.service in self._keyed:
            self._peers.note_load(server, load, elapsed_s)

    def _note_unanswered(self, server: BackendServer) -> None:
        if server.service in self._keyed:
            self._peers.note_unanswered(server)

    def _note_hosts(self, hosts: int) -> None:
        if hosts == self._hosts:
            return
        self._hosts = hosts
        self._gate.set_daemons(hosts)
        for pool in self.relay.connections.values():
            pool.share_with(hosts)

    def _follow_configuration(self, configuration: Configuration) -> None:
        keyed = {name for name, one in configuration.services.items() if one.keyed}
        self._keyed.update(keyed)
        self._planner.set_services(
            {name: configuration.services[name].warm_up_s for name in keyed}
        )
        self._gate.add(
            services=[
                Service(name=name, keyed=name in keyed, shards=0)
                for name in configuration.services
            ],
            classes=[class_of(kind) for kind in configuration.kinds.values()],
        )
        self._site.take_limits(limits_of(configuration.limits))
        self.relay.splitter.keep_only(
            frozenset(rule.name for rule in configuration.document.rules)
        )
        for name in configuration.services:
            self._follow_servers(name)

    def _follow_servers(self, service: str) -> None:
        configuration = self._rules.configuration
        if configuration is None or service not in configuration.services:
            return
        connections = configuration.services[service].connections
        usable = self._directory.usable(service)
        servers = [server_of(one, connections) for one in usable]
        for name in [
            one.id for one in self._servers.values() if one.service == service
        ]:
            if name not in {server.id for server in servers}:
                del self._servers[name]
        for server in servers:
            self._servers[server.id] = server
            if server.id not in self.relay.connections:
                pool = ServerConnections(server=server, reactor=self._reactor)
                pool.share_with(self._hosts)
                self.relay.connections[server.id] = pool
        self._admission.set_servers(service, servers)
        self._keeper.note_listed(holder_of(one) for one in self._directory.all())
        if service in self._keyed:
            # One in doubt keeps its keys until it is sure that it is gone.
            listed = self._directory.entries(service)
            self._planner.set_candidates(
                service, [candidate_of(one) for one in listed if takes_work(one)]
            )
            self._keys.wake(service)
