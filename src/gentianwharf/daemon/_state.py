"""A daemon's state as the admin port shows it, with its measures and alarms."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import final

from gentianwharf.admin import AlarmEvaluator, DaemonState, Measures
from gentianwharf.logs import log
from gentianwharf.ownership import OwnershipState, OwnershipSystem
from gentianwharf.topology import Service

from ._parts import Parts
from ._views import ServersView, table_version


def _may_send(ownership: OwnershipState, service: Service) -> bool:
    """Return whether this host may send to every server of a keyed service."""
    domains = {server.domain for server in service.servers}
    return all(ownership.right_left_s.get(domain, 0.0) > 0 for domain in domains)


@final
class OwnerChanges:
    """Counts shards that changed owner, as this host saw it."""

    def __init__(self, *, on_moved: Callable[[str, int], None]) -> None:
        self.changes: Counter[str] = Counter()
        self._on_moved = on_moved
        self._before: dict[str, list[str]] = {}
        self._versions: dict[str, int] = {}

    def look(self, ownership: OwnershipSystem, services: Iterable[Service]) -> None:
        """Compare the owners with those of the last look."""
        versions = ownership.state().versions
        if versions == self._versions:
            # Nothing was assigned since: a look over all shards of a large service
            # would hold the loop for nothing.
            return
        self._versions = dict(versions)
        for service in services:
            owners = [
                ownership.owner(service.name, shard).owner
                for shard in range(service.shards)
            ]
            before = self._before.get(service.name, owners)
            moved = sum(
                old != new for old, new in zip(before, owners, strict=True) if old
            )
            self.changes[service.name] += moved
            self._on_moved(service.name, moved)
            self._before[service.name] = owners


@final
class DaemonStateView:
    """Health and state."""

    def __init__(
        self,
        *,
        parts: Parts,
        servers: ServersView,
        why_not_ready: Callable[[], list[str]],
    ) -> None:
        self._parts = parts
        self._servers = servers
        self._why_not_ready = why_not_ready
        self._alarms = AlarmEvaluator()
        self._owners = OwnerChanges(on_moved=parts.recorder.record_owner_changes)
        self._state: DaemonState | None = None
        self._begun_s = parts.reactor.seconds()

    def update(self) -> None:
        """Look at alarms and owners; call it each second or so."""
        parts = self._parts
        self._owners.look(parts.ownership, parts.keyed_services())
        before = {one.name for one in self._state.alarms} if self._state else set()
        self._state = self._alarms.update(
            self._look(), self._servers.servers(), now_s=parts.reactor.seconds()
        )
        for alarm in self._state.alarms:
            if alarm.name not in before:
                log.error("alarm: {}", alarm.detail, extra={"alarm": alarm.name})

    def is_live(self) -> bool:
        """Return True: whoever can answer this needs no restart."""
        return True

    def unready_reasons(self) -> Sequence[str]:
        """Return why the balancer should send no request here."""
        return self._why_not_ready()

    def state(self) -> DaemonState:
        """Return the whole state."""
        alarms = self._state.alarms if self._state is not None else ()
        return replace(self._look(), alarms=alarms)

    def _look(self) -> DaemonState:
        parts = self._parts
        host = parts.settings.host
        ownership = parts.ownership.state()
        sites = {domain.name: domain.site for domain in parts.domains}
        rules = parts.rules.current
        return DaemonState(
            customer=parts.settings.customer,
            host=host.id,
            domain=host.domain,
            site=sites[host.domain],
            ready=not self._why_not_ready(),
            stopping=parts.relay.stopping,
            rules_revision=rules.revision if rules is not None else None,
            store_heard_ago_s=parts.spread.state().store_age_s,
            table_versions={
                service.name: table_version(ownership, service.name)
                for service in parts.keyed_services()
            },
            right_to_send={
                service.name: _may_send(ownership, service)
                for service in parts.keyed_services()
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
        """Whether the last holder that was heard of still is one."""
        return service in ownership.controls or self._parts.link.hears_control(service)

    def _measures(self) -> Measures | None:
        services = self._parts.recorder.state()["services"]
        if not services:
            return None
        return Measures(
            window_s=self._parts.reactor.seconds() - self._begun_s,
            imbalance={
                name: one["imbalance"]
                for name, one in services.items()
                if one["imbalance"] is not None
            },
            churn=dict(self._owners.changes),
            unavailable_s={
                name: one["unavailable_shard_s"] for name, one in services.items()
            },
        )
