"""Distribution of large changes of the store along a relay tree of hosts.

An update of several thousand rules takes up to hundreds of kilobytes, and the uplink
of a leader may transfer less than one such update in 0.1 s. Hosts with fast links are
close to the root, and each host sends to as many others as the time allows.
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
"""Maximum time for changes that hosts relay. Hosts fetch larger changes from the store,
since receiving them from another host would take about as long."""

HOP_LATENCY_S = 0.03
"""Assumed latency per hop in addition to the transfer time, including the set-up of a
connection."""

MIN_MARGIN_S = 0.1
MAX_MARGIN_S = 0.4
"""Limits of the margin that is added to the estimated duration of a transfer, since
other traffic shares the links. Hosts without the change after that fetch it."""

RECEIVER_BYTES = 24
"""Encoded size of a ``Receiver`` in a relayed message."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RelayTarget:
    """A host that should receive a message; ``link_bytes_per_s`` is 0 if unknown."""

    address: str
    link_bytes_per_s: float
    may_relay: bool


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class RelayTree:
    """The hosts of a relay tree, and the estimated time until all have the message.

    ``receivers`` are in the order of ``RelayedUpdate``.
    """

    receivers: list[Receiver]
    duration_s: float


UNKNOWN_LINK_BYTES_PER_S = 625_000
"""Assumed bandwidth of hosts that do not report theirs."""


def plan_relay_tree(
    targets: Sequence[RelayTarget], *, message_bytes: int, link_bytes_per_s: float
) -> RelayTree:
    """Return a relay tree for a message from a host with the given bandwidth.

    Hosts with fast links receive the message first. Each host is assigned to the sender
    that can complete its next transfer first.
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
    # Heap of when each sender could complete its next transfer.
    senders = [(message_bytes / link_bytes_per_s, root)]
    duration_s = 0.0
    for number, target in enumerate(ordered):
        sent_s, sender = senders[0]
        slower = min(links[sender], links[number])
        begin_s = sent_s - message_bytes / links[sender]
        received_s = begin_s + message_bytes / slower + HOP_LATENCY_S
        duration_s = max(duration_s, received_s)
        children[sender].append(number)
        heapreplace(senders, (sent_s + message_bytes / links[sender], sender))
        if target.may_relay:
            heappush(senders, (received_s + message_bytes / links[number], number))
    receivers: list[Receiver] = []
    _append_receivers(receivers, ordered, children, root)
    return RelayTree(receivers=receivers, duration_s=duration_s)


def _append_receivers(
    receivers: list[Receiver],
    targets: Sequence[RelayTarget],
    children: Sequence[Sequence[int]],
    sender: int,
) -> None:
    """Append the descendants of a sender in pre-order."""
    for child in children[sender]:
        receiver = Receiver(targets[child].address, 0)
        receivers.append(receiver)
        begin = len(receivers)
        _append_receivers(receivers, targets, children, child)
        receiver.descendants = len(receivers) - begin


@final
class FanOut:
    """Decides on the leader which changes are relayed, and by which hosts.

    During a relay, the leader's updates to each host state the revision before the
    relayed changes. Otherwise hosts would fetch these changes from the store, over the
    same links. Later changes are sent along the same tree, so that they arrive in
    order.
    """

    def __init__(
        self, *, link_bytes_per_s: float, relay: UpdateRelay, reactor: Any
    ) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._relay = relay
        self._reactor = reactor
        self._receivers: list[Receiver] = []
        self._latest_end_s = 0.0
        """Latest allowed end of the relay, including changes that are added to it."""
        self._expected_end_s = 0.0
        """When all hosts should have received the changes, without the margin."""
        self._deadline_s = 0.0
        """When hosts without the changes start to fetch them from the store."""
        self._before_revision: int | None = None

    def reset(self) -> None:
        """Discard the relay in progress, and state the newest revision from now on."""
        self._before_revision = None
        self._receivers = []

    def is_in_progress(self) -> bool:
        """Whether hosts are relaying changes."""
        return (
            self._before_revision is not None
            and self._reactor.seconds() < self._deadline_s
        )

    def take_finished(self) -> bool:
        """Return True once after the deadline of each relay."""
        if self._before_revision is None or self.is_in_progress():
            return False
        self.reset()
        return True

    def stated_revision(self, revision: int) -> int:
        """Return the revision to state in updates; ``revision`` is the newest one."""
        if self._before_revision is None or not self.is_in_progress():
            return revision
        return min(revision, self._before_revision)

    def send(
        self, update: LeaderUpdate, peers: Sequence[Peer], *, update_bytes: int
    ) -> float | None:
        """Send changes to all hosts along a relay tree.

        Return the expected duration in seconds, or None if nothing was sent because the
        changes cannot be relayed, or not faster than the leader sends them itself.
        """
        message_bytes = update_bytes + len(peers) * RECEIVER_BYTES
        if message_bytes > MAX_MESSAGE_BYTES or not peers or update.age_s is None:
            # Hosts ignore the changes of a leader that may have missed some.
            return None
        now_s = self._reactor.seconds()
        direct_s = update_bytes * len(peers) / self._link_bytes_per_s
        is_in_progress = self.is_in_progress()
        if not is_in_progress and direct_s <= MAX_DIRECT_S:
            return None
        latest_report_s = max(peer.last_seen_s for peer in peers)
        tree = plan_relay_tree(
            [_target(peer, latest_report_s) for peer in peers],
            message_bytes=message_bytes,
            link_bytes_per_s=self._link_bytes_per_s,
        )
        queued_s = max(0.0, self._expected_end_s - now_s) if is_in_progress else 0.0
        duration_s = queued_s + tree.duration_s
        if duration_s > MAX_FAN_OUT_S or (
            not is_in_progress and direct_s <= duration_s
        ):
            return None
        if is_in_progress and now_s + duration_s > self._latest_end_s:
            return None
        if not is_in_progress:
            self._latest_end_s = now_s + MAX_FAN_OUT_S
            self._receivers = tree.receivers
            self._before_revision = update.after_revision
        margin_s = min(MAX_MARGIN_S, max(MIN_MARGIN_S, duration_s))
        self._expected_end_s = now_s + duration_s
        self._deadline_s = self._expected_end_s + margin_s
        self._relay.forward(update, self._receivers)
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


def _target(peer: Peer, latest_report_s: float) -> RelayTarget:
    link_bytes_per_s = peer.entry.link_bytes_per_s
    return RelayTarget(
        address=peer.address,
        link_bytes_per_s=link_bytes_per_s,
        may_relay=link_bytes_per_s > 0 and not peer.is_overdue(latest_report_s),
    )
