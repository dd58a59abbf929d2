"""What a rule document may speak of: the services, sites and classes that exist."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self, final

from gentianwharf.topology import Domain, Service


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RuleScope:
    """Services with their shards (0 when not keyed) and sites, and the classes.

    ``deadline_caps_ms`` bounds the deadline of requests to some keyed services: after
    the loss of a server that knows tokens alone, its shards stay unserved until the
    longest deadline has passed.
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
        """Return the scope of these entities."""
        site_of = {domain.name: domain.site for domain in domains}
        kept = tuple(services)
        return cls(
            shards={one.name: one.shards for one in kept},
            sites={
                one.name: frozenset(site_of[server.domain] for server in one.servers)
                for one in kept
            },
            classes=frozenset(classes),
            deadline_caps_ms=deadline_caps_ms or {},
        )
