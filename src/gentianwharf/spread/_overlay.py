"""The overlay network: which hosts watch the store, and which forward to which.

Each host computes this from the host list by rendezvous hashing, so that a host that
joins or leaves affects few others. The lists of two hosts may differ for a while, since
the platform's list lags. A value may then arrive twice or miss a host; the exchange of
digests corrects the latter.
"""

from collections.abc import Iterable, Sequence
from typing import final

import xxhash

from gentianwharf.topology import Host

WATCHERS = 2
"""Hosts of a failure domain that watch the store. With two, updates continue while one
host or its watch fails. A third would add 50 % to the store calls for less benefit."""

STANDBY_WATCHERS = 8
"""Hosts of a failure domain that may watch the store, including the standby watchers
that start when the last store contact is too old. Updates stop only if all of them are
dead but still listed. The limit bounds the store calls in an outage."""

FAN_OUT = 8
"""Children of a host in a tree; docs/design/spread.md has the measurements."""

PARTNERS = 4
"""Hosts of the own failure domain with which a host exchanges digests. A random graph
in which each node picks 4 others is connected for all planned domain sizes."""

REMOTE_PARTNERS = 2
"""Hosts of other failure domains with which a host exchanges digests. They are fixed,
since each new one opens a link that is probed: choosing a random host every two seconds
kept five more links open."""


def _score(salt: str, host_id: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{host_id}".encode()), host_id


def rendezvous_order(salt: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts sorted by their rendezvous hash with ``salt``."""
    return sorted(host_ids, key=lambda host_id: _score(salt, host_id))


def children(
    root: str, host_id: str, members: Sequence[str], *, revision: int
) -> list[str]:
    """Return the children of ``host_id`` in the tree of ``root`` and ``revision``.

    Each root and revision has its own tree over the same members. A dead host that is
    an inner node of one tree is most likely a leaf of another. If the inner nodes were
    always the same, these few hosts would send eight times the bytes of every change.
    """
    salt = f"{root} {revision}"
    order = [
        root,
        *rendezvous_order(salt, (member for member in members if member != root)),
    ]
    if host_id not in order:
        return []
    first = order.index(host_id) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


@final
class Overlay:
    """The neighbours of one host in the overlay network.

    ``watch_rank`` is 0 for the first watcher of its failure domain, 1 for the second,
    and so on. ``partners`` are hosts of its own failure domain, ``remote_hosts`` the
    hosts of all others.
    """

    def __init__(self, *, host: Host) -> None:
        self._host = host
        self._members: tuple[str, ...] = ()
        self.watch_rank = 0
        self._remote_watchers: tuple[str, ...] = ()
        self.remote_hosts: tuple[str, ...] = ()
        self.partners: tuple[str, ...] = ()
        self.remote_partners: tuple[str, ...] = ()
        self.set_hosts(())

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Set the list of live hosts; the host itself is always included."""
        by_domain: dict[str, set[str]] = {self._host.domain: {self._host.id}}
        for host in hosts:
            by_domain.setdefault(host.domain, set()).add(host.id)
        own_members = by_domain.pop(self._host.domain)
        self._members = tuple(sorted(own_members))
        watch_order = rendezvous_order(f"watch {self._host.domain}", own_members)
        self.watch_rank = watch_order.index(self._host.id)
        self._remote_watchers = tuple(
            watcher
            for domain, members in sorted(by_domain.items())
            for watcher in rendezvous_order(f"watch {domain}", members)[:WATCHERS]
        )
        self.remote_hosts = tuple(sorted(set().union(*by_domain.values())))
        self.remote_partners = tuple(
            rendezvous_order(f"partner {self._host.id}", self.remote_hosts)[
                :REMOTE_PARTNERS
            ]
        )
        self.partners = tuple(
            rendezvous_order(f"partner {self._host.id}", own_members - {self._host.id})[
                :PARTNERS
            ]
        )

    @property
    def host_id(self) -> str:
        """The id of the host whose neighbours these are."""
        return self._host.id

    @property
    def domain_members(self) -> tuple[str, ...]:
        """The hosts of the own failure domain, including the host itself."""
        return self._members

    @property
    def remote_watchers(self) -> tuple[str, ...]:
        """The watchers of the other failure domains."""
        return self._remote_watchers

    def children(self, root: str, revision: int) -> list[str]:
        """Return the hosts to which this one forwards ``revision`` from ``root``."""
        return children(root, self._host.id, self._members, revision=revision)
