"""The entry hosts and leaving servers, as the platform's list and peers tell."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import final

from gentianwharf.infra import ListedHost
from gentianwharf.topology import Host

# Peers beat every half second at least; three beats that are missing in a row mean
# that the peer or the path to it is gone.
LIVENESS_TIMEOUT_S = 1.5


@final
class HostTable:
    """Every entry host that is listed, when it was heard, and who is leaving.

    The list lags and may be out of reach: the newest one that came stays in force,
    and until one has come, the hosts that the settings know.
    The own host is always in it.
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
        self._set_hosts({one.id: one for one in (*known, own)})
        self.leaving_servers: frozenset[str] = frozenset()
        self.leaving_hosts: Mapping[str, Host] = {}
        self._is_listed = False
        self._servers = frozenset(servers)
        self._now_s = now_s
        self._last_contact_s: dict[str, float] = {}

    def apply_list(self, listed: Iterable[ListedHost]) -> bool:
        """Take the platform's list; returns whether anything changed."""
        self._is_listed = True
        listed = tuple(listed)
        leaving = {one.id for one in listed if one.leaving and one.id in self._servers}
        entry_hosts = [one for one in listed if one.id not in self._servers]
        hosts = _hosts_of(one for one in entry_hosts if not one.leaving)
        hosts[self.own.id] = self.own
        leaving_hosts = _hosts_of(
            one for one in entry_hosts if one.leaving and one.id not in hosts
        )
        same_hosts = hosts == self.hosts and leaving_hosts == self.leaving_hosts
        if same_hosts and leaving == self.leaving_servers:
            return False
        self.leaving_hosts = leaving_hosts
        self._set_hosts(hosts)
        self.leaving_servers = frozenset(leaving)
        return True

    def apply_peer_list(self, hosts: Iterable[Host]) -> bool:
        """Take a peer's list while the platform's has not come."""
        if self._is_listed:
            return False
        self._set_hosts({one.id: one for one in (*hosts, self.own)})
        return True

    @property
    def daemon_count(self) -> int:
        """How many daemons share the servers' slots and connections with this one.

        One that leaves keeps its connections until its last request has ended, and
        counts while it is listed. One that is not heard counts too: a host cut off
        from its peers sees none of them, and would take their shares beside them.
        """
        return len(self.hosts) + len(self.leaving_hosts)

    def record_contact(self, host: str) -> None:
        """Note that a message of ``host`` came."""
        self._last_contact_s[host] = self._now_s()

    def is_live(self, host: str) -> bool:
        """Whether ``host`` has been heard lately."""
        if host == self.own.id:
            return True
        heard_s = self._last_contact_s.get(host)
        return heard_s is not None and self._now_s() - heard_s < LIVENESS_TIMEOUT_S

    def last_contact_ago_s(self, domain: str) -> float | None:
        """Return how long ago a host of ``domain`` was heard, None for never."""
        if domain == self.own.domain:
            return 0.0
        heard_s = [
            self._last_contact_s[host]
            for host in self.hosts_of(domain)
            if host in self._last_contact_s
        ]
        return self._now_s() - max(heard_s) if heard_s else None

    def hosts_of(self, domain: str) -> Sequence[str]:
        """Return the ids of a domain's hosts."""
        return self._ids_by_domain.get(domain, ())

    def _set_hosts(self, hosts: Mapping[str, Host]) -> None:
        self.hosts = hosts
        domains = {one.domain for one in hosts.values()}
        # Asked for many times a second; the list changes a few times a day.
        self._ids_by_domain = {
            domain: tuple(sorted(o.id for o in hosts.values() if o.domain == domain))
            for domain in domains
        }


def _hosts_of(listed: Iterable[ListedHost]) -> dict[str, Host]:
    return {
        one.id: Host(id=one.id, domain=one.domain, peer_address=one.address)
        for one in listed
    }
