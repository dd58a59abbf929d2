"""The hosts that may grant the slots of a subject, in the order in which to ask them.

All hosts compute the same order from the list of hosts in the store. The dispatchers of
a failure domain are the hosts with the most cores in it, since a dispatcher's work
grows with the number of hosts.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.placement import rendezvous_score

DISPATCHERS_PER_DOMAIN = 3

MIN_DISPATCHER_CORES = 1.0
"""Smaller hosts grant no slots: the requests of a whole failure domain would leave them
no time to answer within 60 ms."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchHost:
    """A listed host; without ``cores`` it runs a release that grants no slots."""

    name: str
    address: str
    domain: str
    cores: float


def dispatchers_by_domain(
    hosts: Iterable[DispatchHost],
) -> dict[str, tuple[DispatchHost, ...]]:
    """Return the dispatchers of each failure domain, the strongest first.

    >>> hosts = [DispatchHost(name=name, address="", domain="d1", cores=cores)
    ...          for name, cores in (("h1", 0.4), ("h2", 1), ("h3", 2))]
    >>> [host.name for host in dispatchers_by_domain(hosts)["d1"]]
    ['h3', 'h2']
    """
    by_domain: dict[str, list[DispatchHost]] = {}
    for host in hosts:
        if host.domain and host.cores >= MIN_DISPATCHER_CORES:
            by_domain.setdefault(host.domain, []).append(host)
    return {
        domain: tuple(
            sorted(members, key=lambda host: (-host.cores, host.name))[
                :DISPATCHERS_PER_DOMAIN
            ]
        )
        for domain, members in by_domain.items()
    }


def candidates(
    subject: str, dispatchers: Sequence[DispatchHost]
) -> tuple[DispatchHost, ...]:
    """Return a domain's dispatchers in the order in which to ask them for a subject."""
    return tuple(
        sorted(
            dispatchers,
            key=lambda host: rendezvous_score(subject, host.name),
            reverse=True,
        )
    )


def domain_subject(service: str, domain: str) -> str:
    """Return the subject of an unkeyed service's servers in one failure domain."""
    return f"{service}/{domain}"
