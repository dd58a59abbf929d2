"""From settings to entities."""

from gentianwharf.rules import RuleScope
from gentianwharf.topology import BackendServer, Domain, Service

from ._entities import NumberedServers, ServiceSettings
from ._models import Settings


def domains_of(settings: Settings) -> tuple[Domain, ...]:
    """Return the failure domains that the settings name."""
    return tuple(Domain(name=one.name, site=one.site) for one in settings.domains)


def services_of(settings: Settings) -> tuple[Service, ...]:
    """Return the services with their backend servers."""
    return tuple(
        Service(
            name=one.name,
            keyed=one.keyed,
            shards=one.shards,
            servers=_servers_of(one),
        )
        for one in settings.services
    )


def rule_scope_of(settings: Settings) -> RuleScope:
    """Return what a rule document may speak of."""
    return RuleScope.from_topology(
        services=services_of(settings),
        domains=domains_of(settings),
        classes=[one.name for one in settings.classes],
        deadline_caps_ms={
            one.name: one.deadline_cap_ms
            for one in settings.services
            if one.deadline_cap_ms is not None
        },
    )


def _servers_of(service: ServiceSettings) -> tuple[BackendServer, ...]:
    if isinstance(service.servers, NumberedServers):
        places = _numbered_places(service.name, service.servers)
    else:
        places = [(one.id, one.domain, one.address) for one in service.servers]
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
        for server_id, domain, address in places
    )


def _numbered_places(
    service: str, servers: NumberedServers
) -> list[tuple[str, str, str]]:
    return [
        (
            f"{service}-{number + 1}",
            servers.domains[number % len(servers.domains)],
            f"{servers.ip}:{servers.first_port + number}",
        )
        for number in range(servers.count)
    ]
