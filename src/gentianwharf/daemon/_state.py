"""The daemon's state for the admin port, with its measures and alarms."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import final

from gentianwharf.admin import AlarmEvaluator, DaemonState, Measures
from gentianwharf.logs import log
from gentianwharf.ownership import OwnershipState, OwnershipSystem
from gentianwharf.topology import Service

from ._components import Components
from ._views import ServersView, table_version


def _may_send(ownership: OwnershipState, service: Service) -> bool:
    """Return whether this host may send to every server of a keyed service."""
    domains = {server.domain for server in service.servers}
    return all(ownership.right_left_s.get(domain, 0.0) > 0 for domain in domains)


@final
class OwnerChanges:
    """Counts the changes of shard owners that this host observes."""

    def __init__(self, *, on_changes: Callable[[str, int], None]) -> None:
        self.changes: Counter[str] = Counter()
        self._on_changes = on_changes
        self._previous: dict[str, list[str]] = {}
        self._versions: dict[str, int] = {}

    def update(self, ownership: OwnershipSystem, services: Iterable[Service]) -> None:
        """Count the changes of owners since the last call."""
        versions = ownership.state().versions
        if versions == self._versions:
            # No assignment has changed. Comparing all shards of a large service would
            # block the event loop needlessly.
            return
        self._versions = dict(versions)
        for service in services:
            owners = [
                ownership.owner(service.name, shard).owner
                for shard in range(service.shards)
            ]
            before = self._previous.get(service.name, owners)
            changed = sum(
                old != new for old, new in zip(before, owners, strict=True) if old
            )
            self.changes[service.name] += changed
            self._on_changes(service.name, changed)
            self._previous[service.name] = owners


@final
class DaemonStateView:
    """Liveness, readiness and state of the daemon."""

    def __init__(
        self,
        *,
        components: Components,
        servers: ServersView,
        unready_reasons: Callable[[], list[str]],
    ) -> None:
        self._components = components
        self._servers = servers
        self._unready_reasons = unready_reasons
        self._alarms = AlarmEvaluator()
        self._owner_changes = OwnerChanges(
            on_changes=components.recorder.record_owner_changes
        )
        self._state: DaemonState | None = None
        self._started_s = components.reactor.seconds()

    def update(self) -> None:
        """Evaluate the alarms and count owner changes; called about once a second."""
        components = self._components
        self._owner_changes.update(components.ownership, components.keyed_services())
        before = {alarm.name for alarm in self._state.alarms} if self._state else set()
        self._state = self._alarms.update(
            self._snapshot(),
            self._servers.servers(),
            now_s=components.reactor.seconds(),
        )
        for alarm in self._state.alarms:
            if alarm.name not in before:
                log.error("alarm: {}", alarm.detail, extra={"alarm": alarm.name})

    def is_live(self) -> bool:
        """Return True: a process that can answer needs no restart."""
        return True

    def unready_reasons(self) -> Sequence[str]:
        """Return the reasons why the balancer should send no requests to this host."""
        return self._unready_reasons()

    def state(self) -> DaemonState:
        """Return the current state, with the alarms of the last update."""
        alarms = self._state.alarms if self._state is not None else ()
        return replace(self._snapshot(), alarms=alarms)

    def _snapshot(self) -> DaemonState:
        components = self._components
        host = components.settings.host
        ownership = components.ownership.state()
        sites = {domain.name: domain.site for domain in components.domains}
        rules = components.rules.current
        return DaemonState(
            customer=components.settings.customer,
            host=host.id,
            domain=host.domain,
            site=sites[host.domain],
            ready=not self._unready_reasons(),
            stopping=components.relay.stopping,
            rules_revision=rules.revision if rules is not None else None,
            store_heard_ago_s=components.spread.state().store_age_s,
            table_versions={
                service.name: table_version(ownership, service.name)
                for service in components.keyed_services()
            },
            right_to_send={
                service.name: _may_send(ownership, service)
                for service in components.keyed_services()
            },
            control_holders={
                name: holder if self._is_held(ownership, name) else None
                for name, holder in ownership.holders.items()
            },
            is_witness=ownership.is_witness,
            witness_has_memory=ownership.has_memory,
            measures=self._measures(),
            alarms=(),
        )

    def _is_held(self, ownership: OwnershipState, service: str) -> bool:
        """Whether the last known holder of the service's control still holds it."""
        return (
            service in ownership.controls
            or self._components.link.has_live_control_holder(service)
        )

    def _measures(self) -> Measures | None:
        services = self._components.recorder.state()["services"]
        if not services:
            return None
        return Measures(
            window_s=self._components.reactor.seconds() - self._started_s,
            imbalance={
                name: service["imbalance"]
                for name, service in services.items()
                if service["imbalance"] is not None
            },
            churn=dict(self._owner_changes.changes),
            unavailable_s={
                name: service["unavailable_shard_s"]
                for name, service in services.items()
            },
        )
