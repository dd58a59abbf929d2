"""Converts settings to topology entities."""

from gentianwharf.rules import RuleScope
from gentianwharf.topology import BackendServer, Domain, Service

from ._entities import NumberedServers, ServiceSettings
from ._models import Settings


def domains_of(settings: Settings) -> tuple[Domain, ...]:
    """Return the failure domains that the settings name."""
    return tuple(
        Domain(name=domain.name, site=domain.site) for domain in settings.domains
    )


def services_of(settings: Settings) -> tuple[Service, ...]:
    """Return the services with their backend servers."""
    return tuple(
        Service(
            name=service.name,
            keyed=service.keyed,
            shards=service.shards,
            servers=_servers_of(service),
        )
        for service in settings.services
    )


def rule_scope_of(settings: Settings) -> RuleScope:
    """Return the entities that rule documents can refer to."""
    return RuleScope.from_topology(
        services=services_of(settings),
        domains=domains_of(settings),
        classes=[item.name for item in settings.classes],
        deadline_caps_ms={
            service.name: service.deadline_cap_ms
            for service in settings.services
            if service.deadline_cap_ms is not None
        },
    )


def _servers_of(service: ServiceSettings) -> tuple[BackendServer, ...]:
    if isinstance(service.servers, NumberedServers):
        entries = _number_servers(service.name, service.servers)
    else:
        entries = [
            (server.id, server.domain, server.address) for server in service.servers
        ]
    return tuple(
        BackendServer(
            id=server_id,
            service=service.name,
            domain=domain,
            address=address,
            slots=service.slots,
            connections=service.connections,
            checks_giver=service.capabilities.checks_giver,
            knows_validity=service.capabilities.knows_validity,
            gives_stamp=service.capabilities.gives_stamp,
        )
        for server_id, domain, address in entries
    )


def _number_servers(
    service: str, servers: NumberedServers
) -> list[tuple[str, str, str]]:
    return [
        (
            f"{service}-{index + 1}",
            servers.domains[index % len(servers.domains)],
            f"{servers.ip}:{servers.first_port + index}",
        )
        for index in range(servers.count)
    ]
