"""What hosts tell each other: reports to the leader, and its news to all.

Every host sends the leader a few reports a second: what was asked for and how busy
servers are. The leader sends each host that reports the moves that are done and the
changes that its watch of the store brings, so that the others need no watch. Nothing
is decided by these messages alone: a host that gets none watches the store itself.
"""

from collections.abc import Callable, Mapping
from typing import Any, final

import msgspec

from gentianwharf.errors import InputError
from gentianwharf.keyspace import ObservedLoad, Span
from gentianwharf.links import NngLink, NngListener, dial
from gentianwharf.logs import log
from gentianwharf.store import Events, EventsListener, Item, Page

from ._messages import (
    AskedHolds,
    Everything,
    LeaderItem,
    News,
    Report,
    ToldHolds,
)
from ._seen_load import SeenLoad
from ._telling import MOST_BYTES, Known, Telling
from ._told_values import UnknownBaseError, decoded

REPORT_EVERY_S = 0.25
"""Hot keys are to be seen within a second; a report of an idle host is 60 bytes."""

MOST_REPORTS_PER_S = 100.0
"""From all hosts together: more hosts report less often each, or 86 of them would take
a leader with four tenths of a core a quarter of its time."""

FED_S = 1.4
"""So long after the leader last heard the store a host watches the store itself. The
leader hears it every 0.8 s, or every 1.3 s of a slow one; what it does not hear any
more reaches the others by themselves within half a second more, before a server that
leaves may get no more work (2 s)."""

HEARS_S = 2.0
"""News younger than this: what the leader has not told is not done."""

SILENT_S = 3.0
"""So long without news, and the link is made anew."""


@final
class Peers:
    """One host's links to the leader and, while it leads, to all others."""

    def __init__(
        self,
        *,
        host: str,
        address: str,
        link_bytes_per_s: float,
        reactor: Any,
        process: int = 0,
    ) -> None:
        self.on_requests: Callable[[str, Mapping[int, float]], None]
        self.on_load: Callable[[str, str, ObservedLoad], None]
        self.on_granted: Callable[[str, int, int, int], None]
        self.on_events: EventsListener
        self.on_hosts: Callable[[int], None]
        self.known: Callable[[], Known | None]
        self.item: Callable[[str], Item | None]
        self.lacks_after: Callable[[], int | None] = lambda: None
        self.changes_after: Callable[[int], Events | None] = lambda revision: None
        self.page: Callable[[], Page | None] = lambda: None
        self.on_page: Callable[[Page], None] = lambda page: None
        self.on_superseded: Callable[[], None] = lambda: None
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
        """That of the item of the leader whom this host follows, or followed last."""
        self._stored_revision = 0
        self._news_s = float("-inf")
        self._fed_until_s = float("-inf")
        self._reported_s = 0.0
        self._hosts = 1
        self._telling = Telling(
            name=self.name,
            reactor=reactor,
            link_bytes_per_s=link_bytes_per_s,
            dial=lambda one: dial(one),
            known=lambda: self.known(),
            changes_after=lambda revision: self.changes_after(revision),
            page=lambda: self.page(),
            on_hosts=self._note_hosts,
        )
        self.roster = self._telling.roster
        self.seen = SeenLoad()

    def start(self) -> None:
        """Listen for the other hosts."""
        self._listener = NngListener(
            reactor=self._reactor,
            address=self.name.address,
            on_data=self._received,
            max_bytes=MOST_BYTES,
        )

    def stop(self) -> None:
        """Close every link."""
        if self._listener is not None:
            self._listener.close()
        self._close_leader()
        self._telling.close()

    def hears_leader(self) -> bool:
        """Whether the leader's news come: then what it does not tell is not done."""
        if self._telling.leads:
            return True
        return self._leader is not None and self._news_age_s() < HEARS_S

    def is_fed(self) -> bool:
        """Whether the leader tells all that changes in the store."""
        return not self._telling.leads and self._reactor.seconds() < self._fed_until_s

    def leader_silent_s(self) -> float:
        """Return how old the leader's last news are, 0 while this host leads."""
        if self._telling.leads:
            return 0.0
        return float(self._reactor.seconds() - max(self._news_s, self._began_s))

    def _news_age_s(self) -> float:
        return float(self._reactor.seconds() - self._news_s)

    # Who leads.

    def follow(self, item: Item | None) -> None:
        """Report to the leader that an item of the store names.

        What the store says may be older than what a later leader has said itself.
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
            leader = msgspec.json.decode(item.value, type=LeaderItem)
        except msgspec.DecodeError as error:
            log.warning(
                "the leader's item can't be read: {}",
                error,
                extra={"peer": item.key, "revision": item.revision},
            )
        self._set_leader(leader, item.revision)

    def _set_leader(self, leader: LeaderItem | None, revision: int) -> None:
        self.followed_revision = revision
        if leader == self._leader:
            return
        self._close_leader()
        self._leader = leader
        self._news_s = float("-inf")
        self._fed_until_s = float("-inf")

    def begin_to_lead(self, revision: int) -> None:
        """Tell the others; ``revision`` is that of this host's item in the store."""
        self._set_leader(self.name, revision)
        self._telling.begin(revision)

    def cease_to_lead(self) -> None:
        """Tell the others no more."""
        self._telling.cease()

    def tell_granted(self, service: str, span: Span) -> None:
        """Tell all hosts that a move is done."""
        self._telling.note_granted(service, span)

    def forget_told(self) -> None:
        """Tell whole values from now on: this host missed some changes itself."""
        self._telling.forget_told()

    def tell_events(self, after_revision: int, events: Events) -> None:
        """Tell all hosts what changed in the store."""
        self._telling.tell_events(after_revision, events)

    def tick(self) -> None:
        """Report and tell what is due."""
        now_s = self._reactor.seconds()
        report_every_s = max(REPORT_EVERY_S, self._hosts / MOST_REPORTS_PER_S)
        if now_s >= self._reported_s + report_every_s:
            self._reported_s = now_s
            self._report(now_s)
        self._telling.tick(now_s)

    def _report(self, now_s: float) -> None:
        requests, loads = self.seen.take()
        report = Report(
            self.name.host,
            self.name.address,
            requests,
            loads,
            self.lacks_after(),
        )
        if self._telling.leads:
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

    def _received(self, data: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(
                data,
                type=Report | News | Everything | AskedHolds | ToldHolds,
            )
        except msgspec.DecodeError as error:
            log.warning("a host's message can't be read: {}", error)
            return
        if isinstance(message, Report):
            if self._telling.leads:
                self._take(message)
                self._telling.answer(message)
        elif isinstance(message, News):
            self._received_news(message)
        elif isinstance(message, Everything):
            self._received_everything(message)
        elif isinstance(message, AskedHolds):
            self.on_asked(message)
        else:
            self.on_told(message)

    def _take(self, report: Report) -> None:
        for service, counts in report.requests.items():
            self.on_requests(service, counts)
        for service, loads in report.loads.items():
            for server_id, load in loads.items():
                seen = ObservedLoad(
                    running=load.running,
                    waiting=load.waiting,
                    answers=load.answers,
                    executed=load.ran,
                    unqueued=load.quick,
                    unqueued_s=load.quick_s,
                    unanswered=load.unanswered,
                )
                self.on_load(service, server_id, seen)

    def _received_news(self, news: News) -> None:
        if not self._is_followed(news):
            return
        now_s = self._heard_s = self._news_s = self._reactor.seconds()
        self._fed_until_s = float("-inf")
        self._note_hosts(news.hosts)
        if news.age_s is not None:
            self._fed_until_s = now_s - news.age_s + FED_S
            self.on_events(*self._events(news))
        for one in news.granted:
            self.on_granted(one.service, one.first, one.last, one.token)

    def _note_hosts(self, hosts: int) -> None:
        self._hosts = hosts
        self.on_hosts(hosts)

    def _received_everything(self, told: Everything) -> None:
        if not self._is_followed(told):
            return
        try:
            items = [decoded(one, item=lambda key: None) for one in told.items]
        except (UnknownBaseError, InputError) as error:
            log.info("all items not taken: {}", error)
            return
        found = tuple(one for one in items if isinstance(one, Item))
        self.on_page(Page(items=found, revision=told.revision))

    def _is_followed(self, news: News | Everything) -> bool:
        """Whether the latest leader tells this: what a former one tells is old."""
        if news.term > self.followed_revision:
            self._follow_told(news)
        return news.term == self.followed_revision and news.leader == self._leader

    def _follow_told(self, news: News | Everything) -> None:
        """Follow a later leader, of whom the store has not told this host."""
        log.info(
            "following the leader that has told so",
            extra={"host": news.leader.host, "revision": news.term},
        )
        if self._telling.leads:
            self.on_superseded()
        self._set_leader(news.leader, news.term)

    def _events(self, news: News) -> tuple[int, Events]:
        try:
            changes = tuple(decoded(one, item=self.item) for one in news.changes)
        except (UnknownBaseError, InputError) as error:
            # As if the message had been lost: the store has what it told.
            log.info("changes not told in full: {}", error)
            return news.revision, Events(changes=(), revision=news.revision)
        return news.after_revision, Events(changes=changes, revision=news.revision)
