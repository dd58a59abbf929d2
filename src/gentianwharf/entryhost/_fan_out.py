"""Large changes of the store, which hosts pass on to each other along a tree.

A list of several thousand rules changes by up to hundreds of kilobytes, and the uplink
of a leader may transfer less than one of them in 0.1 s. Hosts with fast links are close
to the root, and each host sends to as many others as the time allows.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappush, heapreplace
from typing import Any, final

from gentianwharf.logs import log

from ._membership import Peer
from ._peer_messages import MAX_MESSAGE_BYTES, LeaderUpdate, Receiver
from ._update_relay import UpdateRelay

MAX_DIRECT_S = 0.2
"""Maximum time on the leader's uplink for changes that it sends to each host itself."""

MAX_FAN_OUT_S = 1.2
"""Maximum time for changes that hosts pass on. Hosts fetch larger changes from the
store, as each of them would need about as long to receive them from another host."""

HOP_S = 0.03
"""Assumed time in which a host receives a message, apart from its transfer, until it
passes the message on. It includes a new connection."""

MIN_SPARE_S = 0.1
MAX_SPARE_S = 0.4
"""Limits of the time that is added to the estimated time of a transfer, since other
traffic uses the same links. Hosts that lack the change after that fetch it."""

RECEIVER_BYTES = 24
"""Size of a host in the message to the one that passes the message on to it."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A host that has to receive a message; ``link_bytes_per_s`` is 0 if unknown."""

    address: str
    link_bytes_per_s: float
    may_relay: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Tree:
    """Who receives a message from whom; ``duration_s`` is until the last has it.

    ``receivers`` are in the order of ``RelayedUpdate``.
    """

    receivers: list[Receiver]
    duration_s: float


UNKNOWN_LINK_BYTES_PER_S = 625_000
"""Assumed for hosts that do not state their bandwidth."""


def plan_tree(
    targets: Sequence[Target], *, message_bytes: int, link_bytes_per_s: float
) -> Tree:
    """Return a tree for a message from a host with a link of ``link_bytes_per_s``.

    Hosts with fast links receive the message first. Each host receives it from the
    sender that can transfer it the soonest.
    """
    ordered = sorted(
        targets,
        key=lambda target: (
            not target.may_relay,
            -target.link_bytes_per_s,
            target.address,
        ),
    )
    root = len(ordered)
    links = [
        target.link_bytes_per_s or UNKNOWN_LINK_BYTES_PER_S for target in ordered
    ] + [link_bytes_per_s]
    children: list[list[int]] = [[] for _ in links]
    # By when a host could have sent the message once more.
    senders = [(message_bytes / link_bytes_per_s, root)]
    duration_s = 0.0
    for number, target in enumerate(ordered):
        sent_s, sender = senders[0]
        slower = min(links[sender], links[number])
        begin_s = sent_s - message_bytes / links[sender]
        received_s = begin_s + message_bytes / slower + HOP_S
        duration_s = max(duration_s, received_s)
        children[sender].append(number)
        heapreplace(senders, (sent_s + message_bytes / links[sender], sender))
        if target.may_relay:
            heappush(senders, (received_s + message_bytes / links[number], number))
    receivers: list[Receiver] = []
    _append_receivers(receivers, ordered, children, root)
    return Tree(receivers=receivers, duration_s=duration_s)


def _append_receivers(
    receivers: list[Receiver],
    targets: Sequence[Target],
    children: Sequence[Sequence[int]],
    sender: int,
) -> None:
    """Append the hosts below a sender, each followed by those below it."""
    for child in children[sender]:
        receiver = Receiver(targets[child].address, 0)
        receivers.append(receiver)
        begin = len(receivers)
        _append_receivers(receivers, targets, children, child)
        receiver.below = len(receivers) - begin


@final
class FanOut:
    """The leader's side: decides which changes are passed on, and by whom.

    While changes are on their way, the leader's updates to each host state the revision
    before them. Otherwise hosts would fetch from the store, over the same links, what
    they are about to receive. Later changes follow along the same tree, since they
    can't be applied before.
    """

    def __init__(
        self, *, link_bytes_per_s: float, relay: UpdateRelay, reactor: Any
    ) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._relay = relay
        self._reactor = reactor
        self._receivers: list[Receiver] = []
        self._latest_s = 0.0
        """When the last change has to be received, however many follow the first."""
        self._until_s = 0.0
        """When all hosts should have received the changes."""
        self._settled_s = 0.0
        """When hosts that still lack the changes have to fetch them."""
        self._before_revision: int | None = None

    def reset(self) -> None:
        """State the newest revision from now on."""
        self._before_revision = None
        self._receivers = []

    def is_under_way(self) -> bool:
        """Whether hosts are passing on changes."""
        return (
            self._before_revision is not None
            and self._reactor.seconds() < self._settled_s
        )

    def take_settled(self) -> bool:
        """Return once after each transfer that its time is over."""
        if self._before_revision is None or self.is_under_way():
            return False
        self.reset()
        return True

    def stated_revision(self, revision: int) -> int:
        """Return the revision that hosts should have, ``revision`` being the newest."""
        if self._before_revision is None or not self.is_under_way():
            return revision
        return min(revision, self._before_revision)

    def send(
        self, update: LeaderUpdate, peers: Sequence[Peer], *, update_bytes: int
    ) -> float | None:
        """Send changes to all hosts along a tree.

        Return in how many seconds all hosts have them, None if the leader should send
        them itself, or not at all.
        """
        message_bytes = update_bytes + len(peers) * RECEIVER_BYTES
        if message_bytes > MAX_MESSAGE_BYTES or not peers or update.age_s is None:
            # Hosts use no changes of a leader that may have missed some.
            return None
        now_s = self._reactor.seconds()
        direct_s = update_bytes * len(peers) / self._link_bytes_per_s
        is_under_way = self.is_under_way()
        if not is_under_way and direct_s <= MAX_DIRECT_S:
            return None
        heard_s = max(peer.last_seen_s for peer in peers)
        tree = plan_tree(
            [_target(peer, heard_s) for peer in peers],
            message_bytes=message_bytes,
            link_bytes_per_s=self._link_bytes_per_s,
        )
        queued_s = max(0.0, self._until_s - now_s) if is_under_way else 0.0
        duration_s = queued_s + tree.duration_s
        if duration_s > MAX_FAN_OUT_S or (not is_under_way and direct_s <= duration_s):
            return None
        if is_under_way and now_s + duration_s > self._latest_s:
            return None
        if not is_under_way:
            self._latest_s = now_s + MAX_FAN_OUT_S
            self._receivers = tree.receivers
            self._before_revision = update.after_revision
        spare_s = min(MAX_SPARE_S, max(MIN_SPARE_S, duration_s))
        self._until_s = now_s + duration_s
        self._settled_s = self._until_s + spare_s
        self._relay.pass_on(update, self._receivers)
        log.info(
            "changes are passed on from host to host",
            extra={
                "revision": update.revision,
                "update_bytes": update_bytes,
                "hosts": len(self._receivers),
                "planned_s": round(duration_s, 3),
            },
        )
        return duration_s


def _target(peer: Peer, heard_s: float) -> Target:
    link_bytes_per_s = peer.entry.link_bytes_per_s
    return Target(
        address=peer.address,
        link_bytes_per_s=link_bytes_per_s,
        may_relay=link_bytes_per_s > 0 and not peer.is_overdue(heard_s),
    )
