"""Who watches the store, and who passes versions on to whom.

Every host works this out alone from the list of hosts, by rendezvous hashing: a host
that joins or leaves changes the places of few others. Lists differ between hosts for
a while, since the platform's list lags; then a value may come twice or miss a host,
which the digests mend.
"""

from collections.abc import Iterable, Sequence
from typing import final

import xxhash

from gentianwharf.topology import Host

WATCHERS = 2
"""Hosts of a failure domain that watch the store. One may die or its watch go silent
without a pause; a third would add half as many store calls again for less."""

STANDBY_WATCHERS = 8
"""Hosts of a failure domain that may watch when nobody hears from the watchers: so
many of them would have to be listed though dead. Bounds the calls in an outage."""

FAN_OUT = 8
"""Children of a host in the tree; see docs/design/spread.md for the measurement."""

PARTNERS = 4
"""Fellow hosts with which digests are exchanged. A random graph in which each host
picks 4 is connected for every size of domain that is planned for."""


PARTNERS_ELSEWHERE = 2
"""Hosts of other failure domains with which digests are exchanged. Fixed ones, since
each new one opens a link that is probed: a random one every two seconds kept five
more links open."""


def _score(salt: str, host_id: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{host_id}".encode()), host_id


def ranked(salt: str, host_ids: Iterable[str]) -> list[str]:
    """Return hosts in the order of their rendezvous hash under ``salt``."""
    return sorted(host_ids, key=lambda host_id: _score(salt, host_id))


def children(
    root: str, host_id: str, members: Sequence[str], *, revision: int
) -> list[str]:
    """Return the hosts to which ``host_id`` passes ``revision`` on from ``root``.

    Each root and revision has a tree of its own over the same members. A host that is
    dead in the middle of one is most likely a leaf of another; and no host is in the
    middle of all: eight times the bytes of every change would go through the same few.
    """
    salt = f"{root} {revision}"
    order = [root, *ranked(salt, (one for one in members if one != root))]
    if host_id not in order:
        return []
    first = order.index(host_id) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


@final
class Overlay:
    """The places of one host among the hosts that it knows of.

    ``watch_rank`` is 0 for its failure domain's first watcher, 1 for the second, and
    so on; ``partners`` are fellow hosts, ``others`` the hosts of other domains.
    """

    def __init__(self, *, host: Host) -> None:
        self._host = host
        self._members: tuple[str, ...] = ()
        self.watch_rank = 0
        self._heads: tuple[str, ...] = ()
        self.others: tuple[str, ...] = ()
        self.partners: tuple[str, ...] = ()
        self.partners_elsewhere: tuple[str, ...] = ()
        self.set_hosts(())

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Take the list of live hosts; the host itself is always one of them."""
        by_domain: dict[str, set[str]] = {self._host.domain: {self._host.id}}
        for host in hosts:
            by_domain.setdefault(host.domain, set()).add(host.id)
        mine = by_domain.pop(self._host.domain)
        self._members = tuple(sorted(mine))
        watch_order = ranked(f"watch {self._host.domain}", mine)
        self.watch_rank = watch_order.index(self._host.id)
        self._heads = tuple(
            watcher
            for domain, members in sorted(by_domain.items())
            for watcher in ranked(f"watch {domain}", members)[:WATCHERS]
        )
        self.others = tuple(sorted(set().union(*by_domain.values())))
        self.partners_elsewhere = tuple(
            ranked(f"partner {self._host.id}", self.others)[:PARTNERS_ELSEWHERE]
        )
        self.partners = tuple(
            ranked(f"partner {self._host.id}", mine - {self._host.id})[:PARTNERS]
        )

    @property
    def host_id(self) -> str:
        """The host whose places these are."""
        return self._host.id

    @property
    def domain_members(self) -> tuple[str, ...]:
        """The hosts of the own failure domain, the host itself among them."""
        return self._members

    @property
    def heads(self) -> tuple[str, ...]:
        """The watchers of the other failure domains."""
        return self._heads

    def children(self, root: str, revision: int) -> list[str]:
        """Return the hosts to which this one passes ``revision`` on from ``root``."""
        return children(root, self._host.id, self._members, revision=revision)
