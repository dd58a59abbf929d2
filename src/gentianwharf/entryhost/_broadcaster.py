"""Sends finished moves and changes of the store from the leader to all hosts.

Load pattern: each message is sent to every host over the leader's single uplink. After
an outage, all hosts that lack changes request them at the same time.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.keyspace import Span
from gentianwharf.logs import log
from gentianwharf.placement import rendezvous_rank
from gentianwharf.store import Events, Page

from ._deltas import DeltaEncoder, encode_whole, first_batch
from ._fan_out import FanOut
from ._grant_pace import grant_interval_s
from ._inherited_writes import Inherited
from ._membership import Dial, Membership, Peer
from ._peer_messages import (
    MAX_MESSAGE_BYTES,
    NO_REVISION,
    GrantNotice,
    HostAddress,
    HostIdentity,
    InheritedUpdate,
    LeaderUpdate,
    Notices,
    NoticeUpdate,
    QuarantineNews,
    Report,
    SpeedUpdate,
    StatedHost,
    StatedWrites,
    StoreSnapshot,
)
from ._update_relay import UpdateRelay

MAX_REPEATED_GRANTS = 20
"""Finished moves that a periodic update repeats, 22 bytes each. With 89 hosts they take
a tenth of a link of 10 Mbit/s, and each move is repeated before the table stops listing
it, unless a plan moves more than a hundred spans."""

HEARTBEAT_INTERVAL_S = 0.4
"""Interval of updates while nothing changes. They confirm that the link works, and
carry the number of hosts."""

CATCH_UP_SHARE = 1 / 6
"""Share of the leader's bandwidth for changes that single hosts lack, so that updates
to all hosts do not queue behind them."""

CATCH_UP_BURST_S = 0.05
"""Unused part of that share that may accumulate: all hosts report within a short
time."""

DEPUTIES = 8
"""Hosts that keep the record of repeats for the next leader: any may be lost."""

MAX_BROADCAST_S = 0.8
"""Maximum time on the leader's uplink for changes that it sends to all hosts itself:
a whole table of 85 servers is 350 kB for 86 hosts."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class StorePosition:
    """The revision up to which a host has the store, and the age of that state."""

    revision: int
    age_s: float


@final
class Broadcaster:
    """The leader's side of the links between hosts; inactive on all other hosts.

    ``store_position`` returns None while this host may have missed changes of the
    store. ``changes_after`` returns the changes after a revision, or None if they are
    not known completely. ``page`` returns all items of the store.
    """

    def __init__(
        self,
        *,
        identity: HostIdentity,
        own: HostAddress,
        reactor: Any,
        link_bytes_per_s: float,
        dial: Dial,
        relay: UpdateRelay,
        store_position: Callable[[], StorePosition | None],
        changes_after: Callable[[int], Events | None],
        page: Callable[[], Page | None],
        on_host_count: Callable[[int], None],
        granted_moves: Callable[[], Sequence[tuple[str, Span]]],
        rules_revision: Callable[[], int] = lambda: 0,
    ) -> None:
        self.leads = False
        self.membership = Membership(own=own, dial=dial, now_s=reactor.seconds)
        self._identity = identity
        self._reactor = reactor
        self._link_bytes_per_s = link_bytes_per_s
        self._fan_out = FanOut(
            link_bytes_per_s=link_bytes_per_s, relay=relay, reactor=reactor
        )
        self._max_broadcast_bytes = link_bytes_per_s * MAX_BROADCAST_S
        self._catch_up_bytes_per_s = link_bytes_per_s * CATCH_UP_SHARE
        self._store_position = store_position
        self._changes_after = changes_after
        self._page = page
        self._on_host_count = on_host_count
        self._granted_moves = granted_moves
        self._rules_revision = rules_revision
        self._repeated = 0
        self._term = 0
        self._delta_encoder = DeltaEncoder()
        self._updated_s = 0.0
        self._catch_up_until_s = 0.0
        self._catch_up_queue: deque[Peer] = deque()
        self._granted: list[GrantNotice] = []
        self._granted_s = float("-inf")
        self._grants_timer: Any = None

    def start(self, term: int) -> None:
        """Send an update to all known hosts.

        Some of them cannot read the new leader from the store.
        """
        self.leads = True
        self._term = term
        self.reset_deltas()
        self._fan_out.reset()
        self._granted.clear()
        self._catch_up_queue.clear()
        self.membership.start_leading()
        self._send_update()

    def stop(self) -> None:
        """Send a last update, after which all hosts watch the store themselves."""
        if self.leads:
            self._send_update()
            self.leads = False
            self.membership.stop_leading()

    def close(self) -> None:
        """Close every link."""
        self.membership.stop_leading()

    def reset_deltas(self) -> None:
        """Send complete values again, as bases for later deltas."""
        self._delta_encoder.reset()

    def tick(self, now_s: float) -> None:
        """Send the missing changes and updates that are due."""
        if not self.leads:
            return
        self._send_missing()
        has_finished = self._fan_out.take_finished()
        if has_finished or now_s >= self._updated_s + HEARTBEAT_INTERVAL_S:
            self._updated_s = now_s
            self._send_update(granted=self._next_repeated())
            self._reconnect_inactive()

    def note_granted(self, service: str, span: Span) -> None:
        """Notify all hosts that a move is finished."""
        if not self.leads or not span.former_holders:
            # No request waits for a span that was not moved, and a new leader grants
            # hundreds of them.
            return
        self._granted.append(GrantNotice(service, span.first, span.last, span.token))
        self._send_grants()

    def _send_grants(self) -> None:
        """Send the notices that wait, now or as soon as they are due."""
        if not self._granted or not self.leads:
            return
        now_s = self._reactor.seconds()
        interval_s = grant_interval_s(
            hosts=len(self.membership.active()), link_bytes_per_s=self._link_bytes_per_s
        )
        wait_s = self._granted_s + interval_s - now_s
        if wait_s <= 0:
            self._granted_s = now_s
            granted, self._granted = self._granted, []
            self._send_update(granted=granted)
        elif self._grants_timer is None or not self._grants_timer.active():
            self._grants_timer = self._reactor.callLater(wait_s, self._send_grants)

    def _next_repeated(self) -> Sequence[GrantNotice]:
        """Return the notices to repeat now, in turn if there are too many."""
        moves = self._granted_moves()
        begin = self._repeated if self._repeated < len(moves) else 0
        end = self._repeated = begin + MAX_REPEATED_GRANTS
        return [
            GrantNotice(service, span.first, span.last, span.token)
            for service, span in moves[begin:end]
        ]

    def announce_rules(self) -> None:
        """Tell all hosts that new rules exist, before a large update delays this."""
        if self.leads:
            self._send_update()

    def broadcast_events(self, after_revision: int, events: Events) -> float | None:
        """Send all hosts the changes of the store after a revision.

        Return in how many seconds they have been sent, None if they are not sent.
        """
        if not self.leads:
            return None
        update = self._empty_update()
        update.after_revision, update.revision = after_revision, events.revision
        update.changes = [
            self._delta_encoder.encode(change) for change in events.changes
        ]
        sent_in_s = self._broadcast(update)
        is_complete = len(update.changes) == len(events.changes)
        return sent_in_s if is_complete else None

    def broadcast_speeds(self, speeds: Mapping[str, float]) -> None:
        """Send all hosts the speeds of servers, relative to the mean."""
        if not self.leads or not speeds:
            return
        percent = {server_id: round(speed * 100) for server_id, speed in speeds.items()}
        self._send_to_all(SpeedUpdate(self._identity, self._term, percent))

    def broadcast_notices(self, notices: Notices) -> None:
        """Send all hosts what servers stated in their answers."""
        self._send_to_all(NoticeUpdate(self._identity, self._term, notices))

    def send_inherited(self, inherited: Sequence[Inherited]) -> None:
        """Send hosts what ended processes have written, to each its own."""
        if not inherited:
            return
        links = {peer.host: peer.link for peer in self.membership.active()}
        for told in inherited:
            if told.host in links:
                update = InheritedUpdate(
                    self._identity,
                    self._term,
                    told.incarnation,
                    told.repeats,
                    told.is_known,
                )
                links[told.host].send(msgspec.msgpack.encode(update))

    def send_record(self, hosts: list[StatedHost], *, readers: Set[str]) -> None:
        """Send the record of repeats that may still arrive to the deputies.

        They are chosen among ``readers``, the hosts that can read it.
        """
        data = msgspec.msgpack.encode(StatedWrites(self._identity, self._term, hosts))
        links = {
            peer.host: peer.link
            for peer in self.membership.active()
            if peer.host in readers
        }
        for name in rendezvous_rank(self._identity.host, sorted(links))[:DEPUTIES]:
            links[name].send(data)

    def broadcast_news(self, news: QuarantineNews) -> float:
        """Send all hosts what one of them found out about requests.

        Return for how many seconds that takes this host's uplink.
        """
        return self._send_to_all(news) / self._link_bytes_per_s

    def _send_to_all(self, update: SpeedUpdate | NoticeUpdate | QuarantineNews) -> int:
        """Send an update to all hosts; return how many bytes that takes."""
        data = msgspec.msgpack.encode(update)
        active = self.membership.active()
        for peer in active:
            peer.link.send(data)
        return len(data) * len(active)

    def _send_update(self, *, granted: Sequence[GrantNotice] = ()) -> None:
        update = self._empty_update()
        update.granted = list(granted)
        self._broadcast(update)

    def _empty_update(self) -> LeaderUpdate:
        """Return an update without changes, as of the store's last answer."""
        position = self._store_position()
        revision = 0
        if position is not None:
            revision = self._fan_out.stated_revision(position.revision)
        return LeaderUpdate(
            self._identity,
            self._term,
            len(self.membership.active()) + 1,
            [],
            position.age_s if position is not None else None,
            revision,
            revision,
            [],
            self._rules_revision(),
            float(self._reactor.seconds()),
        )

    def _broadcast(self, update: LeaderUpdate) -> float:
        """Send an update to all hosts; return the expected transfer time in seconds."""
        self._on_host_count(update.host_count)
        active = self.membership.active()
        data = msgspec.msgpack.encode(update)
        max_bytes = min(
            MAX_MESSAGE_BYTES, self._max_broadcast_bytes / max(1, len(active))
        )
        if update.changes:
            sent_in_s = self._fan_out.send(update, active, update_bytes=len(data))
            if sent_in_s is not None:
                return sent_in_s
            # Hosts can't apply these changes before those of the relay in progress.
            self._fan_out.reset()
        if update.changes and len(data) > max_bytes:
            # Later updates would queue behind this message, and hosts would take them
            # to be as recent as at the time of sending: a server that is leaving would
            # receive work for too long. The update is sent without its changes, so that
            # each host fetches them from the store.
            update.after_revision, update.changes = update.revision, []
            data = msgspec.msgpack.encode(update)
        for peer in active:
            peer.link.send(data)
        return len(data) * len(active) / self._link_bytes_per_s

    def _reconnect_inactive(self) -> None:
        """Send an update to inactive hosts.

        They may have restarted without learning who leads.
        """
        reconnected = [peer.link for peer in self.membership.reconnect_inactive()]
        if reconnected:
            data = msgspec.msgpack.encode(self._empty_update())
            for link in reconnected:
                link.send(data)

    def note_report(self, report: Report) -> None:
        """Record a host's report, and queue the host if it lacks changes."""
        peer = self.membership.mark_alive(
            HostAddress(
                report.host,
                report.address,
                report.domain,
                report.cores,
                report.link_bytes_per_s,
            )
        )
        if peer.missing_after is None and report.missing_after is not None:
            self._catch_up_queue.append(peer)
        peer.missing_after = report.missing_after
        self._send_missing()

    def _send_missing(self) -> None:
        """Send hosts the changes that they lack, one by one in order of request.

        A host cannot use later updates until it has received these changes.
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
                log.warning(
                    "changes for one host exceed the message limit: {} bytes", len(data)
                )
            else:
                peer.link.send(data)

    def _missing_since(self, revision: int) -> bytes | None:
        """Return the changes after a revision, None if some may be missing here."""
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
