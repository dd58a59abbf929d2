"""The daemon: starts its components, calls them periodically and shuts them down."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, final

from twisted.internet.defer import Deferred

from gentianwharf.admin import read_token
from gentianwharf.collector import freeze_objects
from gentianwharf.errors import GentianwharfError
from gentianwharf.lifecycle import PeriodicCalls, Shutdown
from gentianwharf.logs import log
from gentianwharf.ownership import TICK_S
from gentianwharf.relay import CallerSite, ConnectionLimits
from gentianwharf.settings import Settings, load_initial_rules

from ._admin import build_admin, servers_view
from ._components import Components
from ._listen import listen
from ._rules import write_initial_rules
from ._state import DaemonStateView

# A leaving server must get no new work after a few seconds, and the list itself lags
# behind.
HOST_LIST_INTERVAL_S = 1.0
# The gate refuses requests, sends hedges and detects silent servers at this interval: a
# fraction of the shortest delay that callers notice, the tens of milliseconds after
# which the answer to a consultation is late.
GATE_TICK_S = 0.02
# Without a request in flight, a tick only detects pauses of the host itself. It counts
# gaps of more than 150 ms between two ticks as pauses.
IDLE_GATE_TICK_S = 0.1
RECORDER_TICK_S = 1.0
REPORTS_TICK_S = 0.1
ALARMS_INTERVAL_S = 1.0
FREEZE_INTERVAL_S = 1.0
# The daemon tries to write the initial rules until the store has rules.
INITIAL_RULES_INTERVAL_S = 1.0


@final
class Daemon:
    """One daemon: its components, listening ports and shutdown."""

    def __init__(self, *, settings: Settings, directory: Path, reactor: Any) -> None:
        self.components = components = Components(settings=settings, reactor=reactor)
        self.on_end: Callable[[], None] = lambda: None
        self.shutdown = Shutdown(
            target=self,
            clock=reactor,
            notice_s=settings.shutdown.balancer_notice_s,
            limit_s=settings.shutdown.drain_limit_s,
        )
        servers = servers_view(components)
        self.state = DaemonStateView(
            components=components,
            servers=servers,
            unready_reasons=self.unready_reasons,
        )
        self.admin = build_admin(
            components,
            state=self.state,
            servers=servers,
            token=_admin_token(settings, directory),
        )
        self.site = CallerSite(
            resource=components.relay.resource(),
            reactor=reactor,
            limits=ConnectionLimits(**settings.caller_limits.model_dump()),
        )
        self.site.noisy = False
        self._initial_rules = load_initial_rules(settings, directory=directory)
        self._periodic_calls = PeriodicCalls(reactor=reactor)
        self._callers_port: Any = None
        self._is_frozen = False

    def start(self) -> None:
        """Listen on every port and start the periodic calls."""
        components = self.components
        listen(
            components.reactor,
            components.settings.host.admin_address,
            self.admin.site(),
        )
        components.mesh.listen()
        self._periodic_calls.every(TICK_S, self._tick)
        gate = self._periodic_calls.every_dynamic(
            self._gate_interval_s, components.admission.tick
        )
        components.relay.on_first_in_flight = gate.reschedule
        self._periodic_calls.every(RECORDER_TICK_S, components.recorder.tick)
        self._periodic_calls.every(REPORTS_TICK_S, components.reports.tick)
        self._periodic_calls.every(ALARMS_INTERVAL_S, self.state.update)
        freeze_objects()
        self._periodic_calls.every(FREEZE_INTERVAL_S, self._freeze_tables)
        components.apply_hosts()
        self._periodic_calls.every_async(HOST_LIST_INTERVAL_S, self._read_hosts)
        self._periodic_calls.every_async(
            INITIAL_RULES_INTERVAL_S, self._write_initial_rules
        )
        self._callers_port = listen(
            components.reactor, components.settings.host.callers_address, self.site
        )
        log.info(
            "started",
            extra={"host": components.host.id, "domain": components.host.domain},
        )

    def _freeze_tables(self) -> None:
        # Rules and owner tables are the largest objects, so the heap is frozen a second
        # time when they have been read; they seldom change afterwards.
        if self._is_frozen or self.unready_reasons():
            return
        if self.components.ownership.state().has_read_store:
            self._is_frozen = True
            freeze_objects()

    def _gate_interval_s(self) -> float:
        return GATE_TICK_S if self.components.relay.in_flight else IDLE_GATE_TICK_S

    def _tick(self) -> None:
        components = self.components
        components.mesh.tick()
        components.spread.tick()
        components.ownership.tick()

    async def _read_hosts(self) -> None:
        components = self.components
        try:
            listed = await components.host_list.read()
        except GentianwharfError:
            # The last list that was read stays in force.
            return
        if components.hosts.apply_list(listed):
            components.apply_hosts()

    async def _write_initial_rules(self) -> None:
        components = self.components
        if self._initial_rules is None or components.rules.current is not None:
            return
        written = await write_initial_rules(
            components.store, key=components.rules_key, document=self._initial_rules
        )
        if written is not None:
            components.spread.publish(written)

    def unready_reasons(self) -> list[str]:
        """Return the reasons not to route callers to this host; empty when ready."""
        components = self.components
        reasons = []
        if components.relay.stopping:
            reasons.append("stopping")
        if components.rules.current is None:
            reasons.append("no rules are in force yet")
        if not components.spread.ready:
            reasons.append("the newest rules have not been confirmed yet")
        return reasons

    # The methods of ``ShutdownTarget``.

    def mark_unready(self, *, answer_by_s: float) -> None:
        """Report this host as unready, so that the balancer sends no new requests."""
        components = self.components
        components.relay.stopping = True
        components.relay.refuse_requests_beyond(answer_by_s)
        self.site.disable_keep_alive()

    def stop_accepting(self) -> None:
        """Close the listening port and idle connections, and refuse new requests."""
        self.components.relay.refuse_new_requests()
        if self._callers_port is not None:
            self._callers_port.stopListening()
            self._callers_port = None
        self.site.close_idle_connections()

    def in_flight(self) -> list[str]:
        """Return the ids of the requests that are being served."""
        components = self.components
        return [exchange.ticket.request_id for exchange in components.relay.in_flight]

    def open_connections(self) -> int:
        """Return how many callers' connections are open."""
        return len(self.site.channels)

    def answer_in_flight(self) -> None:
        """Send a final answer to each request in flight, and refuse new ones."""
        self.components.relay.answer_in_flight()

    def hand_over(self, done: Callable[[], None]) -> None:
        """Release the control of services that this host holds, then call ``done``."""
        components = self.components
        handed_over = Deferred.fromCoroutine(components.ownership.stop())
        handed_over.addBoth(lambda _: done())

    def end(self) -> None:
        """Stop the periodic calls, close the peer links, then call ``on_end``."""
        components = self.components
        self._periodic_calls.stop()
        components.spread.close()
        components.mesh.close()
        self.on_end()


def _admin_token(settings: Settings, directory: Path) -> str | None:
    name = settings.host.admin_token_file
    return read_token(directory / name) if name is not None else None
