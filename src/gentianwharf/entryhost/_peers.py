"""What hosts tell each other: reports to the leader, and its news to all.

Every host sends the leader a few reports a second: what was asked for and how busy
servers are. The leader sends each host that reports the moves that are done and the
changes that its watch of the store brings, so that the others need no watch. Nothing
is decided by these messages alone: a host that gets none watches the store itself.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError
from gentianwharf.keyspace import LoadSeen, Span
from gentianwharf.links import NngLink, NngListener, dial
from gentianwharf.logs import log
from gentianwharf.store import Events, EventsListener, Item

from ._messages import (
    AskedHolds,
    Granted,
    LeaderItem,
    News,
    Report,
    ToldHolds,
)
from ._seen_load import SeenLoad
from ._told_values import ToldValues, UnknownBaseError, decoded, first_part

REPORT_EVERY_S = 0.25
"""Hot keys are to be seen within a second; a report of an idle host is 60 bytes."""

MOST_REPORTS_PER_S = 100.0
"""From all hosts together: more hosts report less often each, or 86 of them would take
a leader with four tenths of a core a quarter of its time."""

GRANTED_EVERY_S = 0.1
"""Moves that end within this time are told together: a plan moves dozens of spans, and
each message is sent once for each host."""

NEWS_EVERY_S = 0.4
"""At rest: tells hosts that the link works, and how many they are."""

FED_S = 1.4
"""So long after the leader last heard the store a host watches the store itself. The
leader hears it every 0.8 s, or every 1.3 s of a slow one; what it does not hear any
more reaches the others by themselves within half a second more, before a server that
leaves may get no more work (2 s)."""

CATCH_UP_BYTES_PER_S = 100_000
"""Told to single hosts that lack something, a sixth of a link of 5 Mbit/s: what all are
told must not wait behind it."""

HEARS_S = 2.0
"""News younger than this: what the leader has not told is not done."""

SILENT_S = 3.0
"""So long without news, and the link is made anew."""

GONE_S = 4.0
"""A host that has not reported for so long counts no more."""

MOST_BYTES = 1_000_000

MOST_TOLD_BYTES = 500_000
"""Of changes told to all hosts together: 0.8 s of a link of 5 Mbit/s. Larger ones are
fetched by each host over its own link; a whole table of 85 servers is 350 kB for 86."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """Up to which revision a host knows the store, and how long ago that was so."""

    revision: int
    age_s: float


@final
@dataclass(kw_only=True, slots=True)
class _Peer:
    link: NngLink
    address: str
    heard_s: float


@final
class Peers:
    """One host's links to the leader and, while it leads, to all others."""

    def __init__(
        self, *, host: str, address: str, reactor: Any, process: int = 0
    ) -> None:
        self.on_requests: Callable[[str, Mapping[int, float]], None]
        self.on_load: Callable[[str, str, LoadSeen], None]
        self.on_granted: Callable[[str, int, int, int], None]
        self.on_events: EventsListener
        self.on_hosts: Callable[[int], None]
        self.known: Callable[[], Known | None]
        self.item: Callable[[str], Item | None]
        self.lacks_after: Callable[[], int | None] = lambda: None
        self.changes_after: Callable[[int], Events | None] = lambda revision: None
        self.on_asked: Callable[[AskedHolds], None] = lambda question: None
        self.on_told: Callable[[ToldHolds], None] = lambda answer: None
        self.name = LeaderItem(host=host, address=address, process=process)
        self._reactor = reactor
        self._listener: NngListener | None = None
        self._leader: LeaderItem | None = None
        self._to_leader: NngLink | None = None
        self._heard_s = 0.0
        self._began_s = float(reactor.seconds())
        self.followed_revision = 0
        """That of the leader's item in the store which this host goes by."""
        self._news_s = float("-inf")
        self._fed_until_s = float("-inf")
        self._told = ToldValues()
        self._reported_s = 0.0
        self._told_s = 0.0
        self._catch_up_s = 0.0
        self._granted: list[Granted] = []
        self._granted_s = 0.0
        self._hosts = 1
        self._leads = False
        self._peers: dict[str, _Peer] = {}
        self.seen = SeenLoad()

    def start(self) -> None:
        """Listen for the other hosts."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self.name.address,
            on_data=self._received,
            most_bytes=MOST_BYTES,
        )

    def stop(self) -> None:
        """Close every link."""
        if self._listener is not None:
            self._listener.close()
        self._close_leader()
        for peer in self._peers.values():
            peer.link.close()
        self._peers.clear()

    def hears_leader(self) -> bool:
        """Whether the leader's news come: then what it does not tell is not done."""
        if self._leads:
            return True
        return self._leader is not None and self._news_age_s() < HEARS_S

    def is_fed(self) -> bool:
        """Whether the leader tells all that changes in the store."""
        return not self._leads and self._reactor.seconds() < self._fed_until_s

    def leader_silent_s(self) -> float:
        """Return how old the leader's last news are, 0 while this host leads."""
        if self._leads:
            return 0.0
        return float(self._reactor.seconds() - max(self._news_s, self._began_s))

    def _news_age_s(self) -> float:
        return float(self._reactor.seconds() - self._news_s)

    # Who leads.

    def follow(self, item: Item | None) -> None:
        """Report to the leader that an item of the store names."""
        leader = None
        if item is not None:
            try:
                leader = msgspec.json.decode(item.value, type=LeaderItem)
            except msgspec.DecodeError as error:
                log.warning(
                    "the leader's item can't be read: {}",
                    error,
                    extra={"peer": item.key, "revision": item.revision},
                )
        self.followed_revision = item.revision if item is not None else 0
        if leader == self._leader:
            return
        self._close_leader()
        self._leader = leader
        self._news_s = float("-inf")
        self._fed_until_s = float("-inf")

    def lead(self, leads: bool) -> None:
        """Begin or cease to tell the others."""
        if self._leads and not leads:
            # The last news: from now on all watch the store themselves.
            self._tell()
        self._leads = leads
        self._told.forget()
        self._granted.clear()

    def tell_granted(self, service: str, span: Span) -> None:
        """Tell all hosts that a move is done."""
        if not self._leads or not span.former:
            # Nobody waits for a span that was not moved, and a new leader has hundreds.
            return
        self._granted.append(Granted(service, span.first, span.last, span.token))
        self._tell_granted()

    def _tell_granted(self) -> None:
        now_s = self._reactor.seconds()
        if self._granted and now_s >= self._granted_s + GRANTED_EVERY_S:
            self._granted_s = now_s
            granted, self._granted = self._granted, []
            self._tell(granted=granted)

    def forget_told(self) -> None:
        """Tell whole values from now on: this host missed some changes itself."""
        self._told.forget()

    def tell_events(self, after_revision: int, events: Events) -> None:
        """Tell all hosts what changed in the store."""
        if self._leads:
            self._tell(after_revision=after_revision, events=events)

    def tick(self) -> None:
        """Report and tell what is due."""
        now_s = self._reactor.seconds()
        report_every_s = max(REPORT_EVERY_S, self._hosts / MOST_REPORTS_PER_S)
        if now_s >= self._reported_s + report_every_s:
            self._reported_s = now_s
            self._report(now_s)
        if self._leads:
            self._tell_granted()
        if now_s >= self._told_s + NEWS_EVERY_S:
            self._told_s = now_s
            self._drop_gone(now_s)
            if self._leads:
                self._tell()

    def _report(self, now_s: float) -> None:
        requests, loads = self.seen.take()
        report = Report(
            self.name.host, self.name.address, requests, loads, self.lacks_after()
        )
        if self._leads:
            self._take(report)
            return
        if self._leader is None or self._leader == self.name:
            return
        if self._to_leader is None or now_s > self._heard_s + SILENT_S:
            self._close_leader()
            self._heard_s = now_s
            self._to_leader = dial(self._leader.address)
        self._to_leader.send(msgspec.msgpack.encode(report))

    def _close_leader(self) -> None:
        if self._to_leader is not None:
            self._to_leader.close()
            self._to_leader = None

    def _tell(
        self,
        *,
        granted: Sequence[Granted] = (),
        after_revision: int | None = None,
        events: Events | None = None,
    ) -> None:
        hosts = self._hosts = len(self._peers) + 1
        self.on_hosts(hosts)
        known = self.known()
        revision = known.revision if known is not None else 0
        if events is not None:
            revision = events.revision
        news = News(
            self.name.host,
            hosts,
            list(granted),
            known.age_s if known is not None else None,
            revision if after_revision is None else after_revision,
            revision,
            [self._told.change(one) for one in events.changes] if events else [],
        )
        data = msgspec.msgpack.encode(news)
        if news.changes and len(data) * len(self._peers) > MOST_TOLD_BYTES:
            # What is told next would wait behind it, and hosts would take it for as new
            # as it was when it was sent: a server that leaves would get work for long.
            # Told only that there was something, each host fetches it.
            news.after_revision, news.changes = revision, []
            data = msgspec.msgpack.encode(news)
        for peer in self._peers.values():
            peer.link.send(data)

    def _drop_gone(self, now_s: float) -> None:
        for name, peer in list(self._peers.items()):
            if now_s > peer.heard_s + GONE_S:
                peer.link.close()
                del self._peers[name]

    def _received(self, data: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(
                data, type=Report | News | AskedHolds | ToldHolds
            )
        except msgspec.DecodeError as error:
            log.warning("a host's message can't be read: {}", error)
            return
        if isinstance(message, Report):
            self._received_report(message)
        elif isinstance(message, News):
            self._received_news(message)
        elif isinstance(message, AskedHolds):
            self.on_asked(message)
        else:
            self.on_told(message)

    def _received_report(self, report: Report) -> None:
        if not self._leads:
            return
        now_s = self._reactor.seconds()
        peer = self._peers.get(report.host)
        if peer is not None and peer.address != report.address:
            peer.link.close()
            peer = None
        if peer is None:
            peer = _Peer(
                link=dial(report.address), address=report.address, heard_s=now_s
            )
            self._peers[report.host] = peer
        peer.heard_s = now_s
        self._take(report)
        if report.lacks_after is not None:
            self._catch_up(peer, report.lacks_after)

    def _catch_up(self, peer: _Peer, revision: int) -> None:
        """Tell one host what it lacks: the store may give it nothing.

        What is told to all would be of no use to it until the store does.
        """
        now_s = self._reactor.seconds()
        if now_s < self._catch_up_s:
            return
        known, lacking = self.known(), self.changes_after(revision)
        if known is None or lacking is None:
            return
        part = first_part(lacking)
        news = News(
            self.name.host,
            self._hosts,
            [],
            known.age_s,
            revision,
            part.revision,
            part.changes,
        )
        data = msgspec.msgpack.encode(news)
        self._catch_up_s = now_s + len(data) / CATCH_UP_BYTES_PER_S
        peer.link.send(data)

    def _take(self, report: Report) -> None:
        for service, counts in report.requests.items():
            self.on_requests(service, counts)
        for service, loads in report.loads.items():
            for server_id, load in loads.items():
                seen = LoadSeen(
                    running=load.running,
                    waiting=load.waiting,
                    answers=load.answers,
                    ran=load.ran,
                    quick=load.quick,
                    quick_s=load.quick_s,
                    unanswered=load.unanswered,
                )
                self.on_load(service, server_id, seen)

    def _received_news(self, news: News) -> None:
        if self._leader is None or news.leader != self._leader.host:
            # A leader of before: what it tells may be old.
            return
        now_s = self._heard_s = self._news_s = self._reactor.seconds()
        self._fed_until_s = float("-inf")
        self._hosts = news.hosts
        self.on_hosts(news.hosts)
        if news.age_s is not None:
            self._fed_until_s = now_s - news.age_s + FED_S
            self.on_events(*self._events(news))
        for one in news.granted:
            self.on_granted(one.service, one.first, one.last, one.token)

    def _events(self, news: News) -> tuple[int, Events]:
        try:
            changes = tuple(decoded(one, item=self.item) for one in news.changes)
        except (UnknownBaseError, InputError) as error:
            # As if the message had been lost: the store has what it told.
            log.info("changes not told in full: {}", error)
            return news.revision, Events(changes=(), revision=news.revision)
        return news.after_revision, Events(changes=changes, revision=news.revision)
