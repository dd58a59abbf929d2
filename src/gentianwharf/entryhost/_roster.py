"""The hosts that a leader tells, and those that it has not heard for a while."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import final

import xxhash

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
    told_hosts_s: float = float("-inf")
    lacks_after: int | None = None
    """The revision after which it lacks changes that it can't get."""

    def is_gone(self, now_s: float) -> bool:
        """Whether it has not reported for long."""
        return now_s > self.heard_s + GONE_S


@final
class Roster:
    """Known hosts by name.

    A host learns the others from its leader while it follows, so that it can tell them
    when it leads itself: they may not be able to learn it from the store.
    """

    def __init__(self, *, own: HostAddress, dial: Dial, now_s: Clock) -> None:
        self._own = own
        self._dial = dial
        self._now_s = now_s
        self._peers: dict[str, Peer] = {}
        self._told: tuple[HostAddress, ...] = ()
        self.mark = mark_of(())
        """A digest of what this host was told, or tells, of all hosts."""

    def begin_to_lead(self) -> None:
        """Take all hosts that were told of for present, until they fall silent."""
        for one in self._told:
            if one.host != self._own.host:
                self.hear(one.host, one.address)
        self.mark = mark_of(self.hosts())

    def cease_to_lead(self) -> None:
        """Close every link; what is known of the hosts stays."""
        self._told = self.hosts()
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def hosts(self) -> tuple[HostAddress, ...]:
        """Return all known hosts while this one leads, itself among them."""
        known = [HostAddress(one.host, one.address) for one in self._peers.values()]
        return tuple(sorted([self._own, *known], key=lambda one: one.host))

    def take(self, hosts: Iterable[HostAddress]) -> None:
        """Learn from the leader which hosts there are."""
        self._told = tuple(hosts)
        self.mark = mark_of(self._told)

    def hear(self, host: str, address: str) -> Peer:
        """Note a sign of life; return the host, with a link to where it is now."""
        now_s = self._now_s()
        peer = self._peers.get(host)
        if peer is not None and (peer.address != address or peer.is_gone(now_s)):
            # What is queued for a host that was gone is no news any more.
            peer.link.close()
            peer = None
        if peer is None:
            peer = self._peers[host] = Peer(
                host=host,
                address=address,
                heard_s=now_s,
                called_s=now_s,
                link=self._dial(address),
            )
            self.mark = mark_of(self.hosts())
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
                self.mark = mark_of(self.hosts())
                continue
            peer.called_s = now_s
            peer.link = self._dial(peer.address)
            yield peer


def mark_of(hosts: Iterable[HostAddress]) -> int:
    """Return a digest of hosts and their addresses, in whatever order.

    >>> one, other = HostAddress("a", "10.0.0.1:90"), HostAddress("b", "10.0.0.2:90")
    >>> mark_of([one, other]) == mark_of([other, one]) != mark_of([one])
    True
    """
    names = sorted(f"{one.host}={one.address}" for one in hosts)
    return int(xxhash.xxh32_intdigest("\n".join(names).encode()))
