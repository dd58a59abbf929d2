"""What the admin port shows and does, over the daemon's parts."""

from collections.abc import Container, Mapping, Sequence
from typing import final

from gentianwharf.admin import (
    DomainLoss,
    KeyOwner,
    ServerStatus,
)
from gentianwharf.errors import InputError, OutcomeUnknownError
from gentianwharf.infra import HostList, ListedHost
from gentianwharf.keys import shard_of
from gentianwharf.load import Gate, HealthStatus, ServerSnapshot
from gentianwharf.logs import log
from gentianwharf.ownership import (
    Assignment,
    OwnershipState,
    OwnershipSystem,
    RequestOutcome,
)
from gentianwharf.rules import (
    ApplyResult,
    RuleBook,
    RuleDocument,
    RulesApplied,
    RuleSet,
    RuleVersion,
)
from gentianwharf.topology import BackendServer, Domain, Service

from ._hosts import HostTable
from ._keyed_servers import WatchedControl
from ._reports import ServerReports
from ._rules import RulesInForce


def table_version(ownership: OwnershipState, service: str) -> int:
    """Return the newest store revision of the service's chunks that is known."""
    prefix = f"table/{service}/"
    known = [
        revision
        for key, revision in ownership.versions.items()
        if key.startswith(prefix)
    ]
    return max(known, default=0)


@final
class RulesView:
    """The rules in force here and the operators' document in the store."""

    def __init__(self, *, in_force: RulesInForce, book: RuleBook) -> None:
        self._in_force = in_force
        self._book = book

    def in_force(self) -> RuleSet | None:
        """Return what this host matches requests with."""
        return self._in_force.current

    async def read(self) -> RuleVersion | None:
        """Return the document in the store."""
        return await self._book.read()

    async def history(self) -> list[RuleVersion]:
        """Return the documents still kept, newest first."""
        return await self._book.history()

    async def apply(
        self,
        document: RuleDocument,
        *,
        edited_from_revision: int,
        author: str,
        change_id: str | None = None,
    ) -> ApplyResult:
        """Put ``document`` in force if nobody else was faster."""
        result = await self._book.apply(
            document,
            edited_from_revision=edited_from_revision,
            author=author,
            change_id=change_id,
        )
        if isinstance(result, RulesApplied):
            # The watch would bring it too, a little later.
            self._in_force.take_version(result.version)
        return result


def _check_confirmed(outcome: RequestOutcome, *, step: str, peer: str) -> None:
    if outcome is not RequestOutcome.CONFIRMED:
        raise OutcomeUnknownError(
            "expected the store to take the move within some seconds, heard of none:"
            " the server may be leaving or lost, or the store out of reach. It may"
            " still come; look with `gentianwharf keys owner`, or ask again",
            step=step,
            peer=peer,
        )


@final
class KeysView:
    """Owners of keys."""

    def __init__(
        self,
        *,
        ownership: OwnershipSystem,
        services: Mapping[str, Service],
        domains: Sequence[Domain],
    ) -> None:
        self._ownership = ownership
        self._services = services
        self._sites = {domain.name: domain.site for domain in domains}

    def owner(self, service: str, key: str) -> KeyOwner:
        """Return who owns ``key`` as this host knows it."""
        shard = shard_of(key, self._keyed(service).shards)
        assignment = self._ownership.owner(service, shard, key)
        return self._owner(service, key, shard, assignment)

    async def move(self, service: str, key: str, server: str, author: str) -> KeyOwner:
        """Begin to move the key's shard; returns once the store has the move."""
        shard = shard_of(key, self._keyed(service).shards)
        _check_confirmed(
            await self._ownership.move(service, shard, server),
            step="move shard",
            peer=server,
        )
        return self.owner(service, key)

    async def pin(
        self, service: str, key: str, server: str | None, author: str
    ) -> KeyOwner:
        """Give ``key`` an entry of its own on ``server``, or take it away."""
        self._keyed(service)
        _check_confirmed(
            await self._ownership.pin(service, key, server or ""),
            step="pin key",
            peer=server or service,
        )
        return self.owner(service, key)

    def _keyed(self, name: str) -> Service:
        service = self._services.get(name)
        if service is None or not service.keyed:
            keyed = ", ".join(one.name for one in self._services.values() if one.keyed)
            raise InputError(
                f"expected a service that is divided by key ({keyed}), got {name!r}",
                step="find service",
                peer=name,
            )
        return service

    def _owner(
        self, service: str, key: str, shard: int, assignment: Assignment
    ) -> KeyOwner:
        servers = {one.id: one for one in self._services[service].servers}
        found = servers.get(assignment.owner)
        return KeyOwner(
            service=service,
            key=key,
            shard=shard,
            single=assignment.shard != shard,
            server=assignment.owner or None,
            site=self._sites[found.domain] if found is not None else None,
            token=assignment.token,
            table_version=table_version(self._ownership.state(), service),
            moving_to=assignment.target or None,
            step=assignment.state,
        )


@final
class ServersView:
    """Backend servers."""

    def __init__(
        self,
        *,
        servers: Mapping[str, BackendServer],
        domains: Sequence[Domain],
        gate: Gate,
        control: WatchedControl,
        ownership: OwnershipSystem,
        reports: ServerReports,
        keyed: Container[str],
        hosts: HostTable,
    ) -> None:
        self._keyed = keyed
        self._hosts = hosts
        self._reports = reports
        self._servers = servers
        self._sites = {domain.name: domain.site for domain in domains}
        self._gate = gate
        self._control = control
        self._ownership = ownership

    def servers(self) -> Sequence[ServerStatus]:
        """Return every backend server."""
        snapshots = {one.id: one for one in self._gate.snapshot().servers}
        return [
            self._status(server, snapshots.get(server.id))
            for server in self._servers.values()
        ]

    def _status(
        self, server: BackendServer, snapshot: ServerSnapshot | None
    ) -> ServerStatus:
        report = self._reports.latest.get(server.id)
        return ServerStatus(
            id=server.id,
            service=server.service,
            domain=server.domain,
            site=self._sites[server.domain],
            address=server.address,
            state=self._state(server, snapshot),
            slots=server.slots,
            slots_busy=snapshot.in_flight if snapshot is not None else 0,
            reported_load=report.load if report is not None else None,
            shards=self._ownership.count_shards(server.id),
        )

    def _state(self, server: BackendServer, snapshot: ServerSnapshot | None) -> str:
        if server.id in self._hosts.leaving_servers or self._control.is_draining(
            server.id
        ):
            return str(HealthStatus.LEAVING)
        if snapshot is None:
            return "gone"
        if server.service in self._keyed and self._control.is_suspect(server.id):
            return str(HealthStatus.SUSPECT)
        return str(snapshot.health)

    async def drain(self, server: str, author: str) -> ServerStatus:
        """Tell ``server`` that it is leaving; its shards move away."""
        found = self._servers.get(server)
        if found is None:
            raise InputError(
                f"{server!r} is not a backend server; see: gentianwharf servers list",
                step="drain server",
                peer=server,
            )
        await self._control.drain(found)
        return next(one for one in self.servers() if one.id == server)


@final
class HostsView:
    """The platform's host list."""

    def __init__(self, *, host_list: HostList) -> None:
        self._host_list = host_list

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the live and leaving hosts as the platform lists them."""
        return await self._host_list.read()


@final
class DomainsView:
    """Failure domains that an operator may declare lost."""

    def __init__(
        self,
        *,
        ownership: OwnershipSystem,
        services: Mapping[str, Service],
        domains: Sequence[Domain],
        hosts: HostTable,
    ) -> None:
        self._hosts = hosts
        self._ownership = ownership
        self._services = services
        self._domains = {domain.name: domain for domain in domains}

    def preview_loss(self, domain: str) -> DomainLoss:
        """Return what it would do and risk, without doing it."""
        return self._loss(domain, declared=False)

    async def declare_lost(self, domain: str, author: str) -> DomainLoss:
        """Write an operator's word that ``domain`` is lost."""
        loss = self._loss(domain, declared=True)
        log.warning("domain declared lost", extra={"domain": domain, "author": author})
        await self._ownership.declare_lost(domain)
        return loss

    def _loss(self, domain: str, *, declared: bool) -> DomainLoss:
        self._known(domain)
        return DomainLoss(
            domain=domain,
            shards=self._count_shards(domain),
            heard_ago_s=self._hosts.heard_ago_s(domain),
            risks=(
                "if the domain is only cut off, its servers go on serving keys that"
                " get second owners",
            ),
            declared=declared,
        )

    def _count_shards(self, domain: str) -> dict[str, int]:
        return {
            service.name: sum(
                self._ownership.count_shards(server.id)
                for server in service.servers
                if server.domain == domain
            )
            for service in self._services.values()
            if service.keyed
        }

    def _known(self, domain: str) -> None:
        if domain not in self._domains:
            raise InputError(
                f"expected one of {', '.join(sorted(self._domains))}, got {domain!r}",
                step="find domain",
                peer=domain,
            )
