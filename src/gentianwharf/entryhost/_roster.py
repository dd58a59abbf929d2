"""The hosts that a leader tells, and those that it has not heard for a while."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import final

from gentianwharf.links import NngLink

from ._messages import HostAddress

GONE_S = 4.0
"""A host that has not reported for so long counts no more."""

FORGOTTEN_S = 60.0
"""A host that has not reported for so long is no longer called."""

CALL_AGAIN_S = 2.0
"""Between the news for a host that is gone: it may be back, and not know who leads."""

Dial = Callable[[str], NngLink]
Clock = Callable[[], float]


@final
@dataclass(kw_only=True, slots=True)
class Peer:
    """A host, and the link to it."""

    host: str
    address: str
    heard_s: float
    called_s: float
    link: NngLink
    lacks_after: int | None = None
    """The revision after which it lacks changes that it can't get."""

    def is_gone(self, now_s: float) -> bool:
        """Whether it has not reported for long."""
        return now_s > self.heard_s + GONE_S


@final
class Roster:
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

    def begin_to_lead(self) -> None:
        """Take all listed hosts for present, until they fall silent."""
        self._leads = True
        self._meet_listed()

    def cease_to_lead(self) -> None:
        """Close every link."""
        self._leads = False
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def hosts(self) -> tuple[HostAddress, ...]:
        """Return all hosts that this one knows while it leads, itself among them."""
        known = [HostAddress(one.host, one.address) for one in self._peers.values()]
        return tuple(sorted([self._own, *known], key=lambda one: one.host))

    def note_listed(self, hosts: Sequence[HostAddress]) -> None:
        """Follow the list in the store; a leader calls those that it doesn't know."""
        self._listed = tuple(hosts)
        if self._leads:
            self._meet_listed()

    def _meet_listed(self) -> None:
        for one in self._listed:
            if one.host != self._own.host and one.host not in self._peers:
                self.hear(one.host, one.address)

    def is_listed(self) -> bool:
        """Whether the list in the store is what this leader knows."""
        return self._listed == self.hosts()

    def hear(self, host: str, address: str) -> Peer:
        """Note a sign of life; return the host, with a link to where it is now."""
        now_s = self._now_s()
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = Peer(
                host=host,
                address=address,
                heard_s=now_s,
                called_s=now_s,
                link=self._dial(address),
            )
        elif peer.address != address or peer.is_gone(now_s):
            # What is queued for a host that was gone is no news any more.
            peer.link.close()
            peer.address, peer.link = address, self._dial(address)
        peer.heard_s = now_s
        return peer

    def present(self) -> list[Peer]:
        """Return the hosts that report."""
        now_s = self._now_s()
        return [one for one in self._peers.values() if not one.is_gone(now_s)]

    def due_to_call(self) -> Iterator[Peer]:
        """Yield hosts that are gone and to be called once more, each on a new link."""
        now_s = self._now_s()
        for name, peer in list(self._peers.items()):
            if not peer.is_gone(now_s) or now_s < peer.called_s + CALL_AGAIN_S:
                continue
            peer.link.close()
            if now_s > peer.heard_s + FORGOTTEN_S:
                del self._peers[name]
                peer.lacks_after = None
                continue
            peer.called_s = now_s
            peer.link = self._dial(peer.address)
            yield peer
