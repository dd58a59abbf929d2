"""Entry hosts and leaving servers, from the platform's host list and from peers."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import final

from gentianwharf.infra import ListedHost
from gentianwharf.topology import Host

# Peers send a heartbeat at least every half second. After three missing heartbeats in a
# row, the peer or the path to it is assumed to be lost.
LIVENESS_TIMEOUT_S = 1.5


@final
class HostTable:
    """The listed entry hosts, their last contact, and the hosts and servers leaving.

    The platform's list lags and may be out of reach, so the last list received stays in
    force. Until the first one arrives, the table holds the hosts of the settings.
    This host is always in the table.
    """

    def __init__(
        self,
        *,
        own: Host,
        known: Iterable[Host],
        servers: Iterable[str],
        now_s: Callable[[], float],
    ) -> None:
        self.own = own
        self.hosts: Mapping[str, Host] = {}
        self._ids_by_domain: dict[str, tuple[str, ...]] = {}
        self._set_hosts({host.id: host for host in (*known, own)})
        self.leaving_servers: frozenset[str] = frozenset()
        self.leaving_hosts: Mapping[str, Host] = {}
        self._is_listed = False
        self._servers = frozenset(servers)
        self._now_s = now_s
        self._last_contact_s: dict[str, float] = {}

    def apply_list(self, listed: Iterable[ListedHost]) -> bool:
        """Apply the platform's list; returns whether anything changed."""
        self._is_listed = True
        listed = tuple(listed)
        leaving = {
            entry.id for entry in listed if entry.leaving and entry.id in self._servers
        }
        entry_hosts = [entry for entry in listed if entry.id not in self._servers]
        hosts = _hosts_of(entry for entry in entry_hosts if not entry.leaving)
        hosts[self.own.id] = self.own
        leaving_hosts = _hosts_of(
            entry for entry in entry_hosts if entry.leaving and entry.id not in hosts
        )
        same_hosts = hosts == self.hosts and leaving_hosts == self.leaving_hosts
        if same_hosts and leaving == self.leaving_servers:
            return False
        self.leaving_hosts = leaving_hosts
        self._set_hosts(hosts)
        self.leaving_servers = frozenset(leaving)
        return True

    def apply_peer_list(self, hosts: Iterable[Host]) -> bool:
        """Apply a peer's list, unless the platform's list has already arrived.

        Returns whether the list was applied.
        """
        if self._is_listed:
            return False
        self._set_hosts({host.id: host for host in (*hosts, self.own)})
        return True

    @property
    def daemon_count(self) -> int:
        """The number of daemons that share the servers' slots and connections.

        It includes this daemon. A leaving daemon counts while it is listed, since it
        keeps its connections until its last request has ended. A silent daemon counts
        too: a host that is cut off from its peers receives nothing from them, and would
        otherwise use their shares as well while they go on using them.
        """
        return len(self.hosts) + len(self.leaving_hosts)

    def record_contact(self, host: str) -> None:
        """Record the arrival of a message from ``host``."""
        self._last_contact_s[host] = self._now_s()

    def is_live(self, host: str) -> bool:
        """Whether a message of ``host`` arrived within ``LIVENESS_TIMEOUT_S``.

        This host itself is always live.
        """
        if host == self.own.id:
            return True
        contact_s = self._last_contact_s.get(host)
        return contact_s is not None and self._now_s() - contact_s < LIVENESS_TIMEOUT_S

    def last_contact_ago_s(self, domain: str) -> float | None:
        """Return the time since the last message of any host of ``domain``.

        It is 0 for this host's own domain, and None if no message ever arrived.
        """
        if domain == self.own.domain:
            return 0.0
        contacts_s = [
            self._last_contact_s[host]
            for host in self.hosts_of(domain)
            if host in self._last_contact_s
        ]
        return self._now_s() - max(contacts_s) if contacts_s else None

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the ids of a domain's hosts."""
        return self._ids_by_domain.get(domain, ())

    def _set_hosts(self, hosts: Mapping[str, Host]) -> None:
        self.hosts = hosts
        domains = {host.domain for host in hosts.values()}
        # Computed once per list: the ids are read many times a second, and the list
        # changes a few times a day.
        self._ids_by_domain = {
            domain: tuple(
                sorted(host.id for host in hosts.values() if host.domain == domain)
            )
            for domain in domains
        }


def _hosts_of(listed: Iterable[ListedHost]) -> dict[str, Host]:
    return {
        entry.id: Host(id=entry.id, domain=entry.domain, peer_address=entry.address)
        for entry in listed
    }
