"""What the leader tells: moves that are done, and the store's changes.

Load pattern: each message goes to every host over the leader's one link, and hosts that
lack something ask all at once, after an outage.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.keyspace import Span
from gentianwharf.logs import log
from gentianwharf.store import Events, Page

from ._deltas import DeltaEncoder, encode_whole, first_batch
from ._membership import Dial, Membership, Peer
from ._peer_messages import (
    NO_REVISION,
    GrantNotice,
    HostAddress,
    HostIdentity,
    LeaderUpdate,
    Report,
    StoreSnapshot,
)

GRANT_INTERVAL_S = 0.1
"""Moves that end within this time are told together: a plan moves dozens of spans, and
each message is sent once for each host."""

HEARTBEAT_INTERVAL_S = 0.4
"""At rest: tells hosts that the link works, and how many they are."""

CATCH_UP_SHARE = 1 / 6
"""Of the leader's link, for what single hosts lack: what all are told must not wait
behind it."""

CATCH_UP_BURST_S = 0.05
"""Of that part, what may be saved up: hosts report all within a moment."""

MAX_MESSAGE_BYTES = 1_000_000
"""Of one message: a host reads no larger one."""

MAX_BROADCAST_S = 0.8
"""Of the leader's link, for changes told to all hosts together. Larger ones are fetched
by each host over its own link; a whole table of 85 servers is 350 kB for 86."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StorePosition:
    """Up to which revision a host knows the store, and how long ago that was so."""

    revision: int
    age_s: float


@final
class Broadcaster:
    """The leader's side of the links between hosts; at rest on all others.

    ``known`` is None while this host can't be sure of the store; ``changes_after`` is
    what a host lacks that knows a revision, None if that isn't known; ``page`` is all
    that stands in the store.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        reactor: Any,
        link_bytes_per_s: float,
        dial: Dial,
        store_position: Callable[[], StorePosition | None],
        changes_after: Callable[[int], Events | None],
        page: Callable[[], Page | None],
        on_host_count: Callable[[int], None],
    ) -> None:
        self.leads = False
        self.membership = Membership(
            own=HostAddress(identity.host, identity.address),
            dial=dial,
            now_s=reactor.seconds,
        )
        self._identity = identity
        self._reactor = reactor
        self._max_broadcast_bytes = link_bytes_per_s * MAX_BROADCAST_S
        self._catch_up_bytes_per_s = link_bytes_per_s * CATCH_UP_SHARE
        self._store_position = store_position
        self._changes_after = changes_after
        self._page = page
        self._on_host_count = on_host_count
        self._term = 0
        self._delta_encoder = DeltaEncoder()
        self._updated_s = 0.0
        self._catch_up_until_s = 0.0
        self._catch_up_queue: deque[Peer] = deque()
        self._granted: list[GrantNotice] = []
        self._granted_s = 0.0

    def start(self, term: int) -> None:
        """Tell all known hosts: some can't learn from the store who leads."""
        self.leads = True
        self._term = term
        self.reset_deltas()
        self._granted.clear()
        self._catch_up_queue.clear()
        self.membership.start_leading()
        self._send_update()

    def stop(self) -> None:
        """Tell a last time: from now on all watch the store themselves."""
        if self.leads:
            self._send_update()
            self.leads = False
            self.membership.stop_leading()

    def close(self) -> None:
        """Close every link."""
        self.membership.stop_leading()

    def reset_deltas(self) -> None:
        """Tell whole values from now on."""
        self._delta_encoder.reset()

    def tick(self, now_s: float) -> None:
        """Tell what is due."""
        if not self.leads:
            return
        self._send_grants()
        self._send_missing()
        if now_s >= self._updated_s + HEARTBEAT_INTERVAL_S:
            self._updated_s = now_s
            self._send_update()
            self._reconnect_inactive()

    def note_granted(self, service: str, span: Span) -> None:
        """Tell all hosts that a move is done."""
        if not self.leads or not span.former:
            # Nobody waits for a span that was not moved, and a new leader has hundreds.
            return
        self._granted.append(GrantNotice(service, span.first, span.last, span.token))
        self._send_grants()

    def _send_grants(self) -> None:
        now_s = self._reactor.seconds()
        if self._granted and now_s >= self._granted_s + GRANT_INTERVAL_S:
            self._granted_s = now_s
            granted, self._granted = self._granted, []
            self._send_update(granted=granted)

    def broadcast_events(self, after_revision: int, events: Events) -> None:
        """Tell all hosts what changed in the store after a revision."""
        if not self.leads:
            return
        update = self._empty_update()
        update.after_revision, update.revision = after_revision, events.revision
        update.changes = [
            self._delta_encoder.encode(change) for change in events.changes
        ]
        self._broadcast(update)

    def _send_update(self, *, granted: Sequence[GrantNotice] = ()) -> None:
        update = self._empty_update()
        update.granted = list(granted)
        self._broadcast(update)

    def _empty_update(self) -> LeaderUpdate:
        """Return the news when nothing has changed since the store was heard."""
        position = self._store_position()
        revision = position.revision if position is not None else 0
        return LeaderUpdate(
            self._identity,
            self._term,
            len(self.membership.active()) + 1,
            [],
            position.age_s if position is not None else None,
            revision,
            revision,
            [],
        )

    def _broadcast(self, update: LeaderUpdate) -> None:
        self._on_host_count(update.host_count)
        active = self.membership.active()
        data = msgspec.msgpack.encode(update)
        max_bytes = min(
            MAX_MESSAGE_BYTES, self._max_broadcast_bytes / max(1, len(active))
        )
        if update.changes and len(data) > max_bytes:
            # What is told next would wait behind it, and hosts would take it for as new
            # as it was when it was sent: a server that leaves would get work for long.
            # Told only that there was something, each host fetches it.
            update.after_revision, update.changes = update.revision, []
            data = msgspec.msgpack.encode(update)
        for peer in active:
            peer.link.send(data)

    def _reconnect_inactive(self) -> None:
        """Tell hosts that fell silent who leads: they may be back, and not know it."""
        reconnected = [peer.link for peer in self.membership.reconnect_inactive()]
        if reconnected:
            data = msgspec.msgpack.encode(self._empty_update())
            for link in reconnected:
                link.send(data)

    def note_report(self, report: Report) -> None:
        """Tell a host what it lacks, by its report."""
        peer = self.membership.mark_alive(report.host, report.address)
        if peer.missing_after is None and report.missing_after is not None:
            self._catch_up_queue.append(peer)
        peer.missing_after = report.missing_after
        self._send_missing()

    def _send_missing(self) -> None:
        """Tell hosts one by one, in the order of asking, what each of them lacks.

        What is told to all is of no use to them until then.
        """
        now_s = self._reactor.seconds()
        self._catch_up_until_s = max(self._catch_up_until_s, now_s - CATCH_UP_BURST_S)
        while self._catch_up_queue and self._catch_up_until_s <= now_s:
            peer = self._catch_up_queue.popleft()
            revision, peer.missing_after = peer.missing_after, None
            data = self._missing_since(revision) if revision is not None else None
            if data is None:
                continue
            self._catch_up_until_s += len(data) / self._catch_up_bytes_per_s
            if len(data) > MAX_MESSAGE_BYTES:
                log.warning("a host lacks more than can be told: {} bytes", len(data))
            else:
                peer.link.send(data)

    def _missing_since(self, revision: int) -> bytes | None:
        """Return what a host lacks that knows a revision, None if that isn't sure."""
        update = self._empty_update()
        if update.age_s is None:
            return None
        missing = None
        if revision != NO_REVISION:
            missing = self._changes_after(revision)
        if missing is None:
            return self._snapshot()
        batch = first_batch(missing)
        update.after_revision, update.revision = revision, batch.revision
        update.changes = batch.changes
        return msgspec.msgpack.encode(update)

    def _snapshot(self) -> bytes | None:
        page = self._page()
        if page is None:
            return None
        items = [encode_whole(item) for item in page.items]
        return msgspec.msgpack.encode(
            StoreSnapshot(self._identity, self._term, page.revision, items)
        )
