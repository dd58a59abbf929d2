"""Messages between hosts: reports to the leader, and its updates to all hosts.

Every host sends the leader a few reports per second with the number of requests and the
load of servers. The leader sends each reporting host the finished moves and the changes
that its watch of the store returns, so that other hosts need no watch. No decision
depends on these messages alone: a host that receives none watches the store itself.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, final

import msgspec

from gentianwharf.dispatch import is_slot_message
from gentianwharf.errors import InputError
from gentianwharf.keyspace import ObservedLoad, Span
from gentianwharf.links import NngLink, NngListener, dial
from gentianwharf.logs import log
from gentianwharf.store import Events, EventsListener, Item, Page

from ._broadcaster import Broadcaster, StorePosition
from ._host_links import HostLinks
from ._inherited_exchange import InheritedExchange
from ._leader_changes import LeaderChanges
from ._load_accumulator import LoadAccumulator
from ._peer_messages import (
    MAX_MESSAGE_BYTES,
    FromLeader,
    HostAddress,
    HostIdentity,
    InheritedUpdate,
    LeaderUpdate,
    Notices,
    NoticeUpdate,
    QuarantineMessage,
    RelayedUpdate,
    RemainingGrantsRequest,
    RemainingGrantsResponse,
    Report,
    SpeedUpdate,
    StatedWrites,
    StoreSnapshot,
    decode_identity,
    decode_message,
)
from ._update_delay import UpdateDelays
from ._update_relay import UpdateRelay

REPORT_INTERVAL_S = 0.25
"""Hot keys have to be detected within a second; the report of an idle host is 60
bytes."""

MAX_REPORTS_PER_S = 100.0
"""Limit for all hosts together, each of which reports less often as their number grows:
86 hosts would otherwise take a quarter of the processor time of a leader with 0.4
cores."""

CHANGES_VALID_S = 1.4
"""How long after the store's last answer to the leader a host starts to watch the store
itself. The store answers the leader every 0.8 s, or every 1.3 s if it is slow. Changes
that the leader misses reach the other hosts through their own watches within another
0.5 s, before a server that is leaving must receive no more work (2 s)."""

UPDATE_VALID_S = 2.0
"""Within this time after an update, a move without a notice counts as unfinished."""

RECONNECT_AFTER_S = 3.0
"""The link to the leader is opened again after this time without an update."""


def report_interval_s(hosts: int) -> float:
    """Return the interval of each host's reports.

    >>> report_interval_s(9), report_interval_s(300)
    (0.25, 3.0)
    """
    return max(REPORT_INTERVAL_S, hosts / MAX_REPORTS_PER_S)


@final
class Peers:
    """A host's link to the leader and, while it leads, to all other hosts."""

    def __init__(
        self,
        *,
        host: str,
        address: str,
        link_bytes_per_s: float,
        reactor: Any,
        incarnation: int = 0,
        domain: str = "",
        cores: float = 0.0,
    ) -> None:
        self.on_requests: Callable[[str, Mapping[int, float]], None]
        self.on_load: Callable[[str, str, ObservedLoad], None]
        self.on_granted: Callable[[str, int, int, int], None]
        self.on_events: EventsListener
        self.on_host_count: Callable[[int], None]
        self.store_position: Callable[[], StorePosition | None]
        self.stored_item: Callable[[str], Item | None]
        self.missing_after: Callable[[], int | None] = lambda: None
        self.changes_after: Callable[[int], Events | None] = lambda revision: None
        self.page: Callable[[], Page | None] = lambda: None
        self.on_page: Callable[[Page], None] = lambda page: None
        self.stored_revision: Callable[[], int | None] = lambda: None
        """Returns the revision of this host's copy, None without a complete copy."""
        self.rules_revision: Callable[[], int] = lambda: 0
        """Returns the revision of the newest rules that are known to exist."""
        self.received_rules: Callable[[], int] = lambda: 0
        """Returns the revision of the newest rules that this host has received."""
        self.on_rules_stated: Callable[[int], None] = lambda revision: None
        self.granted_moves: Callable[[], Sequence[tuple[str, Span]]] = tuple
        self.on_superseded: Callable[[], None] = lambda: None
        self.on_grants_request: Callable[[RemainingGrantsRequest], None] = (
            lambda request: None
        )
        self.on_grants_response: Callable[[RemainingGrantsResponse], None] = (
            lambda response: None
        )
        self.on_speeds: Callable[[Mapping[str, float]], None] = lambda speeds: None
        self.on_reported_notices: Callable[[Notices], None] = lambda notices: None
        self.on_notices: Callable[[Notices], None] = lambda notices: None
        self.unconfirmed: Callable[[], dict[str, int]] = dict
        """Returns the repeats that may be unconfirmed at the next report."""
        self.identity = HostIdentity(
            host=host, address=address, incarnation=incarnation
        )
        self.on_slot_message: Callable[[bytes], None] = lambda data: None
        self.on_quarantine_message: Callable[[QuarantineMessage], None] = (
            lambda message: None
        )
        self._own = HostAddress(host, address, domain, cores, link_bytes_per_s)
        self._dial = dial
        self._reactor = reactor
        self._listener: NngListener | None = None
        self._leader: HostIdentity | None = None
        self._leader_link: NngLink | None = None
        self._contacted_s = 0.0
        self._started_s = float(reactor.seconds())
        self.followed_revision = 0
        """Revision of the item of the current leader, or of the last one."""
        self._stored_revision = 0
        self._updated_s = float("-inf")
        self._changes_valid_until_s = float("-inf")
        self._changes = LeaderChanges()
        self._update_delays = UpdateDelays()
        self._reported_s = 0.0
        self._host_count = 1
        self._relay = UpdateRelay(
            links=HostLinks(dial=dial, now_s=reactor.seconds),
            link_bytes_per_s=link_bytes_per_s,
            reactor=reactor,
        )
        self.broadcaster = Broadcaster(
            identity=self.identity,
            own=self._own,
            reactor=reactor,
            link_bytes_per_s=link_bytes_per_s,
            dial=dial,
            relay=self._relay,
            store_position=lambda: self.store_position(),
            changes_after=lambda revision: self.changes_after(revision),
            page=lambda: self.page(),
            on_host_count=self._set_host_count,
            granted_moves=lambda: self.granted_moves(),
            rules_revision=lambda: self.rules_revision(),
        )
        self.membership = self.broadcaster.membership
        self.inherited = InheritedExchange(
            identity=self.identity,
            broadcaster=self.broadcaster,
            now_s=reactor.seconds,
        )
        self.observed = LoadAccumulator()

    def start(self) -> None:
        """Listen for messages of other hosts."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self.identity.address,
            on_data=self._on_message,
            max_bytes=MAX_MESSAGE_BYTES,
        )

    def stop(self) -> None:
        """Close every link."""
        if self._listener is not None:
            self._listener.close()
        self._close_leader_link()
        self._relay.close()
        self.broadcaster.close()

    def receives_updates(self) -> bool:
        """Whether the leader's updates arrive.

        If they do, a move without a notice is not finished.
        """
        if self.broadcaster.leads:
            return True
        return self._leader is not None and self._update_age_s() < UPDATE_VALID_S

    def receives_changes(self) -> bool:
        """Whether the leader sends all changes of the store to this host."""
        return (
            not self.broadcaster.leads
            and self._reactor.seconds() < self._changes_valid_until_s
        )

    def leader_silent_s(self) -> float:
        """Return the age of the leader's last update, 0 while this host leads."""
        if self.broadcaster.leads:
            return 0.0
        return float(self._reactor.seconds() - max(self._updated_s, self._started_s))

    def _update_age_s(self) -> float:
        return float(self._reactor.seconds() - self._updated_s)

    # Leadership.

    def follow(self, item: Item | None) -> None:
        """Report to the leader that is named by an item of the store.

        The item is ignored if a later leader has already sent an update.
        """
        if item is None:
            if self.followed_revision == self._stored_revision:
                self._set_leader(None, self.followed_revision)
            return
        self._stored_revision = item.revision
        if item.revision < self.followed_revision:
            return
        leader = None
        try:
            leader = decode_identity(item.value, peer=item.key)
        except InputError as error:
            log.warning(
                "cannot decode the leader's item: {}",
                error,
                extra={"peer": item.key, "revision": item.revision},
            )
        self._set_leader(leader, item.revision)

    def _set_leader(self, leader: HostIdentity | None, revision: int) -> None:
        self.followed_revision = revision
        if leader == self._leader:
            return
        self._close_leader_link()
        self._changes.start()
        self._leader = leader
        self._updated_s = float("-inf")
        self._changes_valid_until_s = float("-inf")

    def start_leading(self, revision: int) -> None:
        """Start to send updates.

        ``revision`` is the revision of this host's item in the store.
        """
        self._set_leader(self.identity, revision)
        self.inherited.start_leading()
        self.broadcaster.start(revision)

    def stop_leading(self) -> None:
        """Stop sending updates."""
        self.broadcaster.stop()

    def broadcast_grant(self, service: str, span: Span) -> None:
        """Notify all hosts that a move is finished."""
        self.broadcaster.note_granted(service, span)

    def reset_deltas(self) -> None:
        """Send complete values again: this host may have missed changes."""
        self.broadcaster.reset_deltas()

    def broadcast_speeds(self, speeds: Mapping[str, float]) -> None:
        """Send all hosts the speeds of servers, and apply them here."""
        if self.broadcaster.leads:
            self.broadcaster.broadcast_speeds(speeds)
            self.on_speeds(speeds)

    def broadcast_notices(self, notices: Notices) -> None:
        """Send all hosts what servers stated, and apply it here."""
        if self.broadcaster.leads and notices:
            self.broadcaster.broadcast_notices(notices)
            self.on_notices(notices)

    def send_to_leader(self, data: bytes) -> bool:
        """Send a message to the leader; return False if there is no link to it."""
        return self._leader_link is not None and self._leader_link.send(data)

    def announce_rules(self) -> None:
        """Tell all hosts that new rules exist."""
        self.broadcaster.announce_rules()

    def broadcast_events(self, after_revision: int, events: Events) -> float | None:
        """Send all hosts the changes of the store.

        Return in how many seconds they have been sent, None if they are not sent.
        """
        return self.broadcaster.broadcast_events(after_revision, events)

    def tick(self) -> None:
        """Send the reports and updates that are due."""
        now_s = self._reactor.seconds()
        interval_s = report_interval_s(self._host_count)
        if now_s >= self._reported_s + interval_s:
            self._reported_s = now_s
            self._send_report(now_s)
        self.broadcaster.tick(now_s)
        self._relay.tick()
        self.inherited.tick(interval_s)

    def _send_report(self, now_s: float) -> None:
        requests, loads, notices = self.observed.collect()
        report = Report(
            self.identity.host,
            self.identity.address,
            requests,
            loads,
            self._missing_after(),
            notices,
            self._own.domain,
            self._own.cores,
            self.identity.incarnation,
            self.unconfirmed(),
            self.received_rules(),
            self._own.link_bytes_per_s,
        )
        if self.broadcaster.leads:
            self._process_report(report)
            return
        if self._leader is None or self._leader == self.identity:
            return
        if self._leader_link is None or now_s > self._contacted_s + RECONNECT_AFTER_S:
            if self._leader_link is not None:
                self._changes.forget_bases()
            self._close_leader_link()
            self._contacted_s = now_s
            self._leader_link = self._dial(self._leader.address)
        self._leader_link.send(msgspec.msgpack.encode(report))
        record = self.inherited.record_to_forward(self.followed_revision)
        if record is not None:
            self._leader_link.send(record)

    def _missing_after(self) -> int | None:
        """Return the revision after which the leader should send changes again."""
        missing_after = self.missing_after()
        if missing_after is not None:
            return missing_after
        return self._changes.missing_after(self.stored_revision())

    def _close_leader_link(self) -> None:
        if self._leader_link is not None:
            self._leader_link.close()
            self._leader_link = None

    def _on_message(self, data: bytes) -> None:
        if is_slot_message(data):
            self.on_slot_message(data)
            return
        try:
            message = decode_message(data)
        except msgspec.DecodeError as error:
            log.warning("cannot decode a message from a host: {}", error)
            return
        if isinstance(message, Report):
            if self.broadcaster.leads:
                self._process_report(message)
                self.broadcaster.note_report(message)
        elif isinstance(message, LeaderUpdate):
            self._on_update(message)
        elif isinstance(message, RelayedUpdate):
            self._on_relayed(message)
        elif isinstance(message, SpeedUpdate):
            self._on_speed_update(message)
        elif isinstance(message, NoticeUpdate):
            if self._is_from_leader(message):
                self.on_notices(message.notices)
        elif isinstance(message, InheritedUpdate):
            if self._is_from_leader(message):
                self.inherited.apply(message)
        elif isinstance(message, StatedWrites):
            self._on_stated_writes(message)
        elif isinstance(message, StoreSnapshot):
            self._on_snapshot(message)
        elif isinstance(message, RemainingGrantsRequest):
            self.on_grants_request(message)
        elif isinstance(message, RemainingGrantsResponse):
            self.on_grants_response(message)
        else:
            self.on_quarantine_message(message)

    def _on_stated_writes(self, record: StatedWrites) -> None:
        if not self.broadcaster.leads:
            if self._is_from_leader(record):
                self.inherited.keep(record)
        elif record.term < self.followed_revision:
            self.inherited.merge(record)
        else:
            # Only a newer leader sends this, which this host has to follow.
            self._is_from_leader(record)

    def _process_report(self, report: Report) -> None:
        self.on_rules_stated(report.rules_revision)
        self.inherited.note_report(report)
        if report.notices:
            self.on_reported_notices(report.notices)
        for service, counts in report.requests.items():
            self.on_requests(service, counts)
        for service, loads in report.loads.items():
            for server_id, load in loads.items():
                reported = ObservedLoad(**msgspec.structs.asdict(load))
                self.on_load(service, server_id, reported)

    def _on_update(self, update: LeaderUpdate) -> None:
        if not self._is_from_leader(update):
            return
        now_s = self._contacted_s = self._updated_s = self._reactor.seconds()
        self._changes_valid_until_s = float("-inf")
        self._set_host_count(update.host_count)
        self.on_rules_stated(update.rules_revision)
        delay_s = 0.0
        if update.sent_s is not None:
            delay_s = self._update_delays.of(update.leader).note(
                sent_s=update.sent_s, received_s=now_s
            )
        if update.age_s is not None:
            age_s = update.age_s + delay_s
            self._changes_valid_until_s = now_s - age_s + CHANGES_VALID_S
            self._apply_changes(update)
        for grant in update.granted:
            self.on_granted(grant.service, grant.first, grant.last, grant.token)

    def _on_relayed(self, relayed: RelayedUpdate) -> None:
        """Relay an update, and apply its changes.

        It does not extend the validity of this host's state, since other hosts may have
        queued it for an unknown time.
        """
        update = relayed.update
        if self.broadcaster.leads or not self._is_from_leader(update):
            return
        self._relay.forward(update, relayed.receivers)
        self.on_rules_stated(update.rules_revision)
        if update.age_s is not None and update.revision > (self.stored_revision() or 0):
            self._apply_changes(update)

    def _apply_changes(self, update: LeaderUpdate) -> None:
        events = self._changes.events(update, stored_item=self.stored_item)
        if events is not None:
            self.on_events(update.after_revision, events)
            return
        self._send_report(self._reactor.seconds())
        # The message counts as lost.
        self.on_events(update.revision, Events(changes=(), revision=update.revision))

    def _set_host_count(self, host_count: int) -> None:
        self._host_count = host_count
        self.on_host_count(host_count)

    def _on_snapshot(self, snapshot: StoreSnapshot) -> None:
        if not self._is_from_leader(snapshot):
            return
        page = self._changes.page(snapshot)
        if page is not None:
            self.on_page(page)

    def _on_speed_update(self, update: SpeedUpdate) -> None:
        if self._is_from_leader(update):
            self.on_speeds(
                {name: percent / 100 for name, percent in update.percent.items()}
            )

    def _is_from_leader(self, update: FromLeader) -> bool:
        """Whether a message comes from the newest leader."""
        if update.term > self.followed_revision:
            self._follow_sender(update)
        return update.term == self.followed_revision and update.leader == self._leader

    def _follow_sender(self, update: FromLeader) -> None:
        """Follow a newer leader that the store has not reported to this host."""
        log.info(
            "following the leader that sent an update",
            extra={"host": update.leader.host, "revision": update.term},
        )
        if self.broadcaster.leads:
            self.on_superseded()
        self._set_leader(update.leader, update.term)
