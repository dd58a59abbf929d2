"""The hosts that a leader tells, and those that it has not heard for a while."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.links import NngLink

from ._peer_messages import HostAddress

INACTIVE_AFTER_S = 4.0
"""A host that has not reported for so long counts no more."""

REMOVE_AFTER_S = 60.0
"""A host that has not reported for so long is no longer called."""

RECONNECT_INTERVAL_S = 2.0
"""Between the news for a host that is gone: it may be back, and not know who leads."""

Dial = Callable[[str], NngLink]
Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True)
class Peer:
    """A host, and the link to it."""

    host: str
    address: str
    last_seen_s: float
    contacted_s: float
    link: NngLink
    missing_after: int | None = None
    """The revision after which it lacks changes that it can't get."""

    def is_inactive(self, now_s: float) -> bool:
        """Whether it has not reported for long."""
        return now_s > self.last_seen_s + INACTIVE_AFTER_S


@final
class Membership:
    """Known hosts by name, and the list of hosts that stands in the store.

    A new leader has to reach hosts that can't learn from the store that it leads.
    """

    def __init__(self, *, own: HostAddress, dial: Dial, now_s: Clock) -> None:
        self._own = own
        self._dial = dial
        self._now_s = now_s
        self._peers: dict[str, Peer] = {}
        self._leads = False
        self._listed: tuple[HostAddress, ...] = ()

    def start_leading(self) -> None:
        """Take all listed hosts for present, until they fall silent."""
        self._leads = True
        self._add_listed()

    def stop_leading(self) -> None:
        """Close every link."""
        self._leads = False
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def hosts(self) -> tuple[HostAddress, ...]:
        """Return all hosts that this one knows while it leads, itself among them."""
        others = [HostAddress(peer.host, peer.address) for peer in self._peers.values()]
        return tuple(sorted([self._own, *others], key=lambda address: address.host))

    def note_listed(self, hosts: Sequence[HostAddress]) -> None:
        """Follow the list in the store; a leader calls those that it doesn't know."""
        self._listed = tuple(hosts)
        if self._leads:
            self._add_listed()

    def _add_listed(self) -> None:
        for listed in self._listed:
            if listed.host != self._own.host and listed.host not in self._peers:
                self.mark_alive(listed.host, listed.address)

    def is_list_current(self) -> bool:
        """Whether the list in the store is what this leader knows."""
        return self._listed == self.hosts()

    def mark_alive(self, host: str, address: str) -> Peer:
        """Note a sign of life; return the host, with a link to where it is now."""
        now_s = self._now_s()
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(
                host=host,
                address=address,
                last_seen_s=now_s,
                contacted_s=now_s,
                link=self._dial(address),
            )
        elif peer.address != address or peer.is_inactive(now_s):
            # What is queued for a host that was gone is no news any more.
            peer.link.close()
            peer.address, peer.link = address, self._dial(address)
        peer.last_seen_s = now_s
        return peer

    def active(self) -> list[Peer]:
        """Return the hosts that report."""
        now_s = self._now_s()
        return [peer for peer in self._peers.values() if not peer.is_inactive(now_s)]

    def reconnect_inactive(self) -> Iterator[Peer]:
        """Yield hosts that are gone and to be called once more, each on a new link."""
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
