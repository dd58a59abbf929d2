"""An entry host: creates, starts and stops its components."""

from collections.abc import Callable, Sequence
from dataclasses import fields
from random import Random, SystemRandom
from socket import socket
from typing import Any, final

from gentianwharf.admission import GateAdmission
from gentianwharf.dispatch import DispatchHost, SlotNode, SlotSource
from gentianwharf.lifecycle import PeriodicCalls, Phase, Shutdown
from gentianwharf.load import Gate
from gentianwharf.logs import log
from gentianwharf.platform import Configuration, HostSettings, PlatformHeaderCodec
from gentianwharf.relay import (
    SLOW_HEAD_CHECK_INTERVAL_S,
    CallerSite,
    ConnectionLimits,
    LoadClient,
    RelayApp,
    ServerConnectionPool,
)
from gentianwharf.topology import Service

from ._answer_log import AnswerLog
from ._callers_port import CallersPort
from ._conversions import limits_of, notice_of, retry_agreement_of, server_of
from ._coordinator import Coordinator
from ._dispatch_state import DispatchState
from ._gauges import add_gauges
from ._listed_servers import ListedServers
from ._metrics import METRICS_PORT, HostMetrics, metrics_site
from ._peer_messages import Notices
from ._quarantine_setup import quarantine_of
from ._readiness import can_serve, readiness_site
from ._request_classes import request_class_of
from ._retry_exchange import exchange_retries
from ._slot_log import SlotLog
from ._slots import HostSlots
from ._tunnels import HostTunnels

COORDINATOR_TICK_S = 0.05
SLOT_TICK_S = 0.04
GATE_TICK_S = 0.02
"""Interval at which the gate refuses and hedges requests and detects silent servers: a
fraction of the shortest wait that callers notice."""

IDLE_GATE_TICK_S = 0.1
"""Interval without requests in flight. The gate then only detects pauses of the
process, which are gaps of more than 150 ms."""

NOTICE_S = 2.5
"""The balancer checks once per second and removes a host after two failed checks."""

LEAVING_GRACE_SHARE = 0.75
"""Part of the drain timeout for which owners that leave get requests for their keys."""

STOP_MARGIN_S = 0.3
"""Time between the last answers and the forced end by the platform."""


@final
class EntryHost:
    """The process of an entry host; ``start`` it within a running reactor."""

    def __init__(
        self,
        *,
        settings: HostSettings,
        reactor: Any,
        callers_port: socket | None = None,
    ) -> None:
        self.settings = settings
        self.on_end: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._rng = Random(SystemRandom().getrandbits(64))
        self._pools: dict[str, ServerConnectionPool] = {}
        self._listed = ListedServers(pools=self._pools, reactor=reactor)
        self._explored: set[str] = set()
        """Services of which one server was queried for its load."""
        self._coordinator = Coordinator(
            settings=settings,
            server_by_id=self._listed.by_id.get,
            reactor=reactor,
            rng=self._rng,
        )
        self._build_relay()
        self._slot_node = self._build_slots()
        self._callers_port = CallersPort(
            address=settings.callers_address,
            listener=callers_port,
            site=self._site,
            can_serve=self.is_ready,
            reactor=reactor,
        )
        self._coordinator.on_host_count = self._set_host_count
        self._coordinator.on_hosts = self._gate.set_hosts
        self._coordinator.on_listed = self._tunnels.set_hosts
        self._coordinator.is_cut_off = self._tunnels.is_cut_off
        self._tunnels.on_cut_off = self._coordinator.resign_isolated
        self._coordinator.peers.on_speeds = self._gate.set_speeds
        exchange_retries(
            gate=self._gate, peers=self._coordinator.peers, now_s=reactor.seconds
        )
        self._coordinator.on_notices = self._apply_notices
        directory = self._coordinator.directory
        directory.on_change = self._update_servers
        directory.on_cold = lambda server_id, until_s: self._gate.set_cold(
            server_id, until_s=until_s
        )
        self._listed.on_reassigned = directory.set_reassigned
        self._coordinator.rules.on_change = self._apply_configuration
        self._ticks = PeriodicCalls(reactor=reactor)
        self.shutdown = Shutdown(
            target=self,
            clock=reactor,
            notice_s=NOTICE_S,
            limit_s=settings.agreements.grace_period_s - STOP_MARGIN_S,
        )

    def _build_relay(self) -> None:
        reactor = self._reactor
        self.metrics = HostMetrics()
        self._gate = Gate(
            services=(),
            classes=(),
            domain=self.settings.domain,
            rng=self._rng,
            daemons=self._coordinator.host_count,
            name=self.settings.name,
            retry_agreement=retry_agreement_of(self.settings.agreements),
            leaving_grace_s=self.settings.agreements.drain_timeout_s
            * LEAVING_GRACE_SHARE,
        )
        self._admission = GateAdmission(
            gate=self._gate,
            servers={},
            now_s=reactor.seconds,
            on_server_outcome=lambda server, answered, busy_s: None,
        )
        self._dispatch = DispatchState(
            gate=self._gate,
            admission=self._admission,
            observer=SlotLog(metrics=self.metrics.slots),
            domain=self.settings.domain,
            reactor=reactor,
        )
        self._admission.on_load = self._coordinator.note_server_load
        self._admission.on_notice = self._coordinator.note_notice
        self._admission.on_timeout = self._coordinator.note_unanswered
        self._quarantine = quarantine_of(
            coordinator=self._coordinator,
            pools=self._pools,
            metrics=self.metrics,
            reactor=reactor,
            rng=self._rng,
        )
        codec = PlatformHeaderCodec()
        self.relay = RelayApp(
            rules=self._coordinator.rules,
            ownership=self._coordinator.keys,
            admission=self._admission,
            connections=self._pools,
            observer=AnswerLog(
                metrics=self.metrics,
                rules_version=lambda: self._coordinator.rules.version,
                view_age_s=self._coordinator.mirror.age_s,
                on_served=self._coordinator.keys.service_times.record,
            ),
            deadlines_ms={},
            keyed=self._coordinator.keyed,
            reactor=reactor,
            rng=self._rng,
            codec=codec,
            run_guard=self._quarantine,
        )
        self._tunnels = HostTunnels(
            settings=self.settings,
            servers=self._listed.by_id,
            pools=self._listed.pools,
            secret=lambda: self._coordinator.tunnel_secret.value,
            admission=self._admission,
            reactor=reactor,
            rng=self._rng,
        )
        self._load_paths: dict[str, str] = {}
        self._load_client = LoadClient(
            connections=self.relay.connections,
            paths=self._load_paths,
            codec=codec,
            reactor=reactor,
        )
        self._admission.set_load_queries(self._load_client, reactor=reactor)
        self._site = CallerSite(
            resource=self.relay.resource(), reactor=reactor, limits=ConnectionLimits()
        )
        self._add_gauges()

    def _add_gauges(self) -> None:
        self._tunnels.add_gauges(self.metrics)
        add_gauges(
            self.metrics,
            coordinator=self._coordinator,
            relay=self.relay,
            site=self._site,
            servers=self._listed.by_id,
            load_client=self._load_client,
            gate=self._gate,
            reachability=self._tunnels.reachability,
            held_slots=lambda: self._dispatch.held_slots,
            now_s=self._reactor.seconds,
        )

    def _build_slots(self) -> SlotNode:
        peers = self._coordinator.peers
        slots = HostSlots(
            settings=self.settings,
            own=peers.identity,
            reactor=self._reactor,
            rng=self._rng,
        )
        slots.add_gauges(self.metrics)
        node = slots.node
        peers.on_slot_message = node.receive
        self._coordinator.on_dispatch_hosts = self._set_dispatch_hosts
        self.set_slot_source(
            node.client,
            set_dispatched=node.set_dispatched,
            dispatcher_of=node.client.dispatcher_of,
        )
        return node

    def set_slot_source(
        self,
        source: SlotSource,
        *,
        set_dispatched: Callable[[frozenset[str]], None],
        dispatcher_of: Callable[[str], str] = lambda subject: "",
    ) -> None:
        """Acquire slots of dispatched services from ``source``."""
        self._dispatch.set_source(
            source, set_services=set_dispatched, dispatcher_of=dispatcher_of
        )
        self._update_dispatched()

    # Start and stop.

    def start(self) -> None:
        """Listen, and start to follow the store."""
        readiness = readiness_site(is_ready=self.is_ready, reactor=self._reactor)
        self._listen(self.settings.readiness_address, readiness)
        metrics = metrics_site(metrics=self.metrics, reactor=self._reactor)
        self._listen(f"{self.settings.ip}:{METRICS_PORT}", metrics)
        self._tunnels.start()
        self._coordinator.start()
        self._callers_port.start()
        self._ticks.every(COORDINATOR_TICK_S, self._coordinator.tick)
        self._ticks.every(COORDINATOR_TICK_S, self._quarantine.tick)
        self._ticks.every(SLOT_TICK_S, self._slot_node.tick)
        requests = self._ticks.every_dynamic(self._tick_interval_s, self._tick_requests)
        self.relay.on_first_in_flight = requests.reschedule
        self._ticks.every(SLOW_HEAD_CHECK_INTERVAL_S, self._site.refuse_slow_heads)
        log.info("started", extra={"host": self.settings.name})

    def _tick_requests(self) -> None:
        self._tunnels.monitor.tick()
        self._gate.retries.set_view_age_s(self._coordinator.mirror.age_s())
        self._admission.tick()

    def _tick_interval_s(self) -> float:
        return GATE_TICK_S if self.relay.in_flight else IDLE_GATE_TICK_S

    def _listen(self, address: str, site: Any) -> None:
        ip, _, port = address.rpartition(":")
        self._reactor.listenTCP(int(port), site, interface=ip)

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply settings that were read again.

        Addresses, the failure domain and the store keep their values from the start:
        the platform restarts a host to change them.
        """
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        log.info("settings reloaded", extra={"changed": changed})
        self.settings = settings

    def is_ready(self) -> bool:
        """Whether this host can serve a request to each service."""
        if self.shutdown.phase is not Phase.SERVING:
            return False
        return self._quarantine.exchange.is_current and can_serve(self._coordinator)

    def mark_unready(self, *, answer_by_s: float) -> None:
        """Make clients reconnect to other hosts, and resign from leadership."""
        self.relay.refuse_requests_beyond(answer_by_s)
        self._site.disable_keep_alive()
        self._coordinator.resign(self.settings.agreements.grace_period_s)
        self._slot_node.stop()
        self._tunnels.server.stop_accepting()

    def stop_accepting(self) -> None:
        """Close the callers' port and idle connections, and refuse new requests."""
        self.relay.refuse_new_requests()
        self._callers_port.stop()
        self._site.close_idle_connections()

    def in_flight(self) -> list[str]:
        """Return the ids of the requests in flight."""
        return [exchange.ticket.request_id for exchange in self.relay.in_flight]

    def open_connections(self) -> int:
        """Return the number of connections of callers, and of tunnels for others."""
        return len(self._site.channels) + self._tunnels.server.open_tunnels

    def answer_in_flight(self) -> None:
        """Send a final answer to each request in flight, and refuse new ones."""
        self.relay.answer_in_flight()

    def hand_over(self, done: Callable[[], None]) -> None:
        """Call ``done`` at once: an entry host holds nothing to hand over."""
        done()

    def end(self) -> None:
        """Stop all components, and call ``on_end``."""
        self._ticks.stop()
        self._slot_node.close()
        self._tunnels.stop()
        self._quarantine.stop()
        self._coordinator.stop()
        self.on_end()

    # Changes from the coordinator.

    def _set_host_count(self, host_count: int) -> None:
        self._gate.set_daemons(host_count)
        for pool in self.relay.connections.values():
            pool.set_daemon_count(host_count)
        self._update_dispatched()

    def _apply_configuration(self, configuration: Configuration) -> None:
        keyed = {
            name for name, service in configuration.services.items() if service.keyed
        }
        self._coordinator.set_keyed_services(
            {name: configuration.services[name].warm_up_s for name in keyed}
        )
        self._gate.add(
            services=[
                Service(name=name, keyed=name in keyed, shards=0)
                for name in configuration.services
            ],
            classes=[request_class_of(kind) for kind in configuration.kinds.values()],
        )
        self._load_paths.update(
            (name, service.health_path)
            for name, service in configuration.services.items()
        )
        if configuration.limits is not None:
            self._site.apply_limits(limits_of(configuration.limits))
        self.relay.splitter.retain_rules(
            frozenset(rule.name for rule in configuration.document.rules)
        )
        for name in configuration.services:
            self._update_servers(name)
        self._update_dispatched()

    def _set_dispatch_hosts(self, hosts: Sequence[DispatchHost]) -> None:
        self._slot_node.set_hosts(hosts)
        self._update_dispatched()

    def _update_dispatched(self) -> None:
        self._dispatch.update(
            self._coordinator.rules.configuration,
            host_count=self._coordinator.host_count,
        )

    def _update_servers(self, service: str) -> None:
        configuration = self._coordinator.rules.configuration
        configured = configuration.services.get(service) if configuration else None
        if configured is None:
            return
        entries = self._coordinator.directory.usable(service)
        servers = [server_of(entry, configured) for entry in entries]
        self._listed.update(
            service,
            servers,
            links=self._tunnels.links,
            host_count=self._coordinator.host_count,
        )
        self._admission.set_servers(service, servers)
        self._slot_node.set_servers(service, servers)
        if servers and service not in self._explored:
            self._explored.add(service)
            self._admission.explore(self._rng.choice(servers))
        self._coordinator.note_servers(service)

    def _apply_notices(self, notices: Notices) -> None:
        for server_id, report in notices.items():
            self._admission.note_reported_notice(server_id, notice_of(report))
