"""The services, sites and request classes that rule documents can refer to."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self, final

from gentianwharf.topology import Domain, Service


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleScope:
    """The entities that rule documents can refer to.

    ``shards`` and ``sites`` map each service to its number of shards (0 if it is not
    keyed) and to the sites of its servers. ``deadline_caps_ms`` limits the deadline of
    requests to some keyed services: if a server that supports only tokens is lost, its
    shards are unavailable until the longest deadline has passed.
    """

    shards: Mapping[str, int]
    sites: Mapping[str, frozenset[str]]
    classes: frozenset[str]
    deadline_caps_ms: Mapping[str, int] = field(default_factory=dict)

    @classmethod
    def from_topology(
        cls,
        *,
        services: Iterable[Service],
        domains: Iterable[Domain],
        classes: Iterable[str],
        deadline_caps_ms: Mapping[str, int] | None = None,
    ) -> Self:
        """Return the scope of these services, failure domains and request classes."""
        site_of = {domain.name: domain.site for domain in domains}
        all_services = tuple(services)
        return cls(
            shards={service.name: service.shards for service in all_services},
            sites={
                service.name: frozenset(
                    site_of[server.domain] for server in service.servers
                )
                for service in all_services
            },
            classes=frozenset(classes),
            deadline_caps_ms=deadline_caps_ms or {},
        )
