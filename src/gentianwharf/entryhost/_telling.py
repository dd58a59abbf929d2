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

from ._messages import (
    KNOWS_NOTHING,
    Everything,
    Granted,
    HostAddress,
    LeaderItem,
    News,
    Report,
)
from ._roster import Dial, Peer, Roster
from ._told_values import ToldValues, first_part, whole

GRANTED_EVERY_S = 0.1
"""Moves that end within this time are told together: a plan moves dozens of spans, and
each message is sent once for each host."""

NEWS_EVERY_S = 0.4
"""At rest: tells hosts that the link works, and how many they are."""

CATCH_UP_PART = 1 / 6
"""Of the leader's link, for what single hosts lack: what all are told must not wait
behind it."""

CATCH_UP_BURST_S = 0.05
"""Of that part, what may be saved up: hosts report all within a moment."""

MOST_BYTES = 1_000_000
"""Of one message: a host reads no larger one."""

MOST_TOLD_S = 0.8
"""Of the leader's link, for changes told to all hosts together. Larger ones are fetched
by each host over its own link; a whole table of 85 servers is 350 kB for 86."""


@final
@dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """Up to which revision a host knows the store, and how long ago that was so."""

    revision: int
    age_s: float


@final
class Telling:
    """The leader's side of the links between hosts; at rest on all others.

    ``known`` is None while this host can't be sure of the store; ``changes_after`` is
    what a host lacks that knows a revision, None if that isn't known; ``page`` is all
    that stands in the store.
    """

    def __init__(
        self,
        *,
        name: LeaderItem,
        reactor: Any,
        link_bytes_per_s: float,
        dial: Dial,
        known: Callable[[], Known | None],
        changes_after: Callable[[int], Events | None],
        page: Callable[[], Page | None],
        on_hosts: Callable[[int], None],
    ) -> None:
        self.leads = False
        self.roster = Roster(
            own=HostAddress(name.host, name.address), dial=dial, now_s=reactor.seconds
        )
        self._name = name
        self._reactor = reactor
        self._most_told_bytes = link_bytes_per_s * MOST_TOLD_S
        self._catch_up_bytes_per_s = link_bytes_per_s * CATCH_UP_PART
        self._known = known
        self._changes_after = changes_after
        self._page = page
        self._on_hosts = on_hosts
        self._term = 0
        self._values = ToldValues()
        self._told_s = 0.0
        self._catch_up_s = 0.0
        self._lacking: deque[Peer] = deque()
        self._granted: list[Granted] = []
        self._granted_s = 0.0

    def begin(self, term: int) -> None:
        """Tell all known hosts: some can't learn from the store who leads."""
        self.leads = True
        self._term = term
        self.forget_told()
        self._granted.clear()
        self._lacking.clear()
        self.roster.begin_to_lead()
        self._tell()

    def cease(self) -> None:
        """Tell a last time: from now on all watch the store themselves."""
        if self.leads:
            self._tell()
            self.leads = False
            self.roster.cease_to_lead()

    def close(self) -> None:
        """Close every link."""
        self.roster.cease_to_lead()

    def forget_told(self) -> None:
        """Tell whole values from now on."""
        self._values.forget()

    def tick(self, now_s: float) -> None:
        """Tell what is due."""
        if not self.leads:
            return
        self._tell_granted()
        self._catch_up()
        if now_s >= self._told_s + NEWS_EVERY_S:
            self._told_s = now_s
            self._tell()
            self._call_gone()

    def note_granted(self, service: str, span: Span) -> None:
        """Tell all hosts that a move is done."""
        if not self.leads or not span.former_holders:
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

    def tell_events(self, after_revision: int, events: Events) -> None:
        """Tell all hosts what changed in the store after a revision."""
        if not self.leads:
            return
        news = self._at_rest()
        news.after_revision, news.revision = after_revision, events.revision
        news.changes = [self._values.change(one) for one in events.changes]
        self._send(news)

    def _tell(self, *, granted: Sequence[Granted] = ()) -> None:
        news = self._at_rest()
        news.granted = list(granted)
        self._send(news)

    def _at_rest(self) -> News:
        """Return the news when nothing has changed since the store was heard."""
        known = self._known()
        revision = known.revision if known is not None else 0
        return News(
            self._name,
            self._term,
            len(self.roster.present()) + 1,
            [],
            known.age_s if known is not None else None,
            revision,
            revision,
            [],
        )

    def _send(self, news: News) -> None:
        self._on_hosts(news.hosts)
        present = self.roster.present()
        data = msgspec.msgpack.encode(news)
        most_bytes = min(MOST_BYTES, self._most_told_bytes / max(1, len(present)))
        if news.changes and len(data) > most_bytes:
            # What is told next would wait behind it, and hosts would take it for as new
            # as it was when it was sent: a server that leaves would get work for long.
            # Told only that there was something, each host fetches it.
            news.after_revision, news.changes = news.revision, []
            data = msgspec.msgpack.encode(news)
        for peer in present:
            peer.link.send(data)

    def _call_gone(self) -> None:
        """Tell hosts that fell silent who leads: they may be back, and not know it."""
        called = [peer.link for peer in self.roster.due_to_call()]
        if called:
            data = msgspec.msgpack.encode(self._at_rest())
            for link in called:
                link.send(data)

    def answer(self, report: Report) -> None:
        """Tell a host what it lacks, by its report."""
        peer = self.roster.hear(report.host, report.address)
        if peer.lacks_after is None and report.lacks_after is not None:
            self._lacking.append(peer)
        peer.lacks_after = report.lacks_after
        self._catch_up()

    def _catch_up(self) -> None:
        """Tell hosts one by one, in the order of asking, what each of them lacks.

        What is told to all is of no use to them until then.
        """
        now_s = self._reactor.seconds()
        self._catch_up_s = max(self._catch_up_s, now_s - CATCH_UP_BURST_S)
        while self._lacking and self._catch_up_s <= now_s:
            peer = self._lacking.popleft()
            revision, peer.lacks_after = peer.lacks_after, None
            data = self._missed(revision) if revision is not None else None
            if data is None:
                continue
            self._catch_up_s += len(data) / self._catch_up_bytes_per_s
            if len(data) > MOST_BYTES:
                log.warning("a host lacks more than can be told: {} bytes", len(data))
            else:
                peer.link.send(data)

    def _missed(self, revision: int) -> bytes | None:
        """Return what a host lacks that knows a revision, None if that isn't sure."""
        news = self._at_rest()
        if news.age_s is None:
            return None
        lacking = None
        if revision != KNOWS_NOTHING:
            lacking = self._changes_after(revision)
        if lacking is None:
            return self._everything()
        part = first_part(lacking)
        news.after_revision, news.revision = revision, part.revision
        news.changes = part.changes
        return msgspec.msgpack.encode(news)

    def _everything(self) -> bytes | None:
        page = self._page()
        if page is None:
            return None
        items = [whole(one) for one in page.items]
        return msgspec.msgpack.encode(
            Everything(self._name, self._term, page.revision, items)
        )
