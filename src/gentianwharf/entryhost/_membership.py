"""The hosts that report to the leader, and those that have stopped reporting."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.links import NngLink

from ._peer_messages import HostAddress

INACTIVE_AFTER_S = 4.0
"""A host that has not reported for this long is no longer counted."""

REMOVE_AFTER_S = 60.0
"""A host that has not reported for this long is removed, and no longer contacted."""

OVERDUE_REPORTS = 2
"""Number of its report intervals after which a silent host may have stopped."""

MIN_OVERDUE_S = 0.6

RECONNECT_INTERVAL_S = 2.0
"""Interval of updates to an inactive host, which may have restarted without a
leader."""

Dial = Callable[[str], NngLink]
Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True)
class Peer:
    """A host, and the link to it."""

    entry: HostAddress
    last_seen_s: float
    contacted_s: float
    link: NngLink
    missing_after: int | None = None
    """The revision after which this host lacks changes that it cannot fetch."""
    report_interval_s: float = INACTIVE_AFTER_S
    """Time between its last two reports."""

    @property
    def host(self) -> str:
        """The host's name."""
        return self.entry.host

    @property
    def address(self) -> str:
        """The host's address for other hosts."""
        return self.entry.address

    def is_inactive(self, now_s: float) -> bool:
        """Whether the host has not reported for ``INACTIVE_AFTER_S``."""
        return now_s > self.last_seen_s + INACTIVE_AFTER_S

    def is_overdue(self, latest_report_s: float) -> bool:
        """Whether the host's next report is late, so that it may have stopped.

        ``latest_report_s`` is the time of the latest report of any host. It is used
        instead of the current time because all reports are late while this host reads a
        large value over its own link.
        """
        wait_s = max(MIN_OVERDUE_S, OVERDUE_REPORTS * self.report_interval_s)
        return latest_report_s > self.last_seen_s + wait_s


@final
class Membership:
    """Known hosts by name, and the list of hosts from the store.

    A new leader has to reach hosts that cannot read from the store which host leads.
    """

    def __init__(self, *, own: HostAddress, dial: Dial, now_s: Clock) -> None:
        self._own = own
        self._dial = dial
        self._now_s = now_s
        self._peers: dict[str, Peer] = {}
        self._leads = False
        self._listed: tuple[HostAddress, ...] = ()

    def start_leading(self) -> None:
        """Treat all listed hosts as active until they time out."""
        self._leads = True
        self._add_listed()

    def stop_leading(self) -> None:
        """Close every link."""
        self._leads = False
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def hosts(self) -> tuple[HostAddress, ...]:
        """Return this leader's hosts, including itself."""
        others = [peer.entry for peer in self._peers.values()]
        return tuple(sorted([self._own, *others], key=lambda address: address.host))

    def note_listed(self, hosts: Sequence[HostAddress]) -> None:
        """Apply the list from the store; a leader contacts new hosts in it."""
        self._listed = tuple(hosts)
        if self._leads:
            self._add_listed()

    @property
    def listed(self) -> tuple[HostAddress, ...]:
        """The hosts in the list from the store."""
        return self._listed

    def listed_names(self) -> tuple[str, ...]:
        """Return the names of the hosts in the list from the store."""
        return tuple(listed.host for listed in self._listed)

    def _add_listed(self) -> None:
        for listed in self._listed:
            if listed.host != self._own.host and listed.host not in self._peers:
                self.mark_alive(listed)

    def is_list_current(self) -> bool:
        """Whether the list in the store equals this leader's list of hosts."""
        return self._listed == self.hosts()

    def mark_alive(self, entry: HostAddress) -> Peer:
        """Record that a host is alive; return it with a link to its current address."""
        now_s = self._now_s()
        peer = self._peers.get(entry.host)
        if peer is None:
            peer = self._peers[entry.host] = Peer(
                entry=entry,
                last_seen_s=now_s,
                contacted_s=now_s,
                link=self._dial(entry.address),
            )
        elif peer.address != entry.address or peer.is_inactive(now_s):
            # Messages queued for a host that was inactive are outdated.
            peer.link.close()
            peer.link = self._dial(entry.address)
        peer.entry = entry
        if now_s > peer.last_seen_s:
            peer.report_interval_s = now_s - peer.last_seen_s
        peer.last_seen_s = now_s
        return peer

    def active(self) -> list[Peer]:
        """Return the hosts that report."""
        now_s = self._now_s()
        return [peer for peer in self._peers.values() if not peer.is_inactive(now_s)]

    def reconnect_inactive(self) -> Iterator[Peer]:
        """Yield inactive hosts that are due to be contacted, each with a new link."""
        now_s = self._now_s()
        for name, peer in list(self._peers.items()):
            if (
                not peer.is_inactive(now_s)
                or now_s < peer.contacted_s + RECONNECT_INTERVAL_S
            ):
                continue
            peer.link.close()
            if now_s > peer.last_seen_s + REMOVE_AFTER_S:
                del self._peers[name]
                peer.missing_after = None
                continue
            peer.contacted_s = now_s
            peer.link = self._dial(peer.address)
            yield peer
